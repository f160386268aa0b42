#!/bin/bash
# Builds the plays of review/kit-3, which are no cases. It needs Go only, no network.
set -e
cd "$(dirname "$0")/kit-3"
GOPROXY=off go build -buildvcs=false -o ../../target/review-3 .
# The stand-ins of cases 11 to 15.
(cd ../kit-5 && GOPROXY=off go build -buildvcs=false -ldflags=-linkmode=external -o ../../target/review-5/drive .)
