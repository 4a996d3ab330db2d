#!/bin/sh
# Builds the stand-ins of the third review: target/review/rig3. The program under test is target/figd, by the deploy file's build line.
set -e
cd "$(dirname "$0")/rig3"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review/rig3 .
