#!/bin/sh
# Builds the stand-ins of the scripted cases with the standard library alone.
set -e
cd "$(dirname "$0")/stand"
mkdir -p ../../target
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off go build -o ../../target/review-stand .
