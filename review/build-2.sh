#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use the standard library alone.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review-2
for n in 2 3; do
  (cd "stand-$n" && GOWORK=off go build -o "../../target/review-2/stand$n" .)
done
