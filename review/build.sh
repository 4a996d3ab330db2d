#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The daemons are built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off go build -buildvcs=false -o ../bin/rig .
