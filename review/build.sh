#!/bin/sh
# Builds the stand-ins that the scripts of the review start, into target/review/. The balancer is
# built by the build line of the deploy file.
set -eu
cd "$(dirname "$0")/lab"
mkdir -p ../../target/review
GOWORK=off go build -o ../../target/review/lab .
