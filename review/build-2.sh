#!/bin/sh
# Builds the stand-ins and clients of the second review's scripts, after the build of the deploy file.
set -e
cd "$(dirname "$0")/kit-2"
go build -buildvcs=false -o ../../target/review-2 .
cd ../kit-4
GOPROXY=off go build -buildvcs=false -o ../../target/review-4 .
