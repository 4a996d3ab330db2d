#!/bin/sh
# Builds the stand-ins of this review's scripts. They need the standard library only.
set -eu
cd "$(dirname "$0")/rig2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../../target/review-2/ ./...
