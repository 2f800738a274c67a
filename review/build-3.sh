#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They use the standard library alone.
set -e
cd "$(dirname "$0")/stand-4"
mkdir -p ../../target/review-3
GOWORK=off go build -o ../../target/review-3/stand4 .
