#!/bin/sh
# Builds the stand-ins and clients of all scripts under review/ into target/review.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target/review
go build -o ../target/review/harness .
