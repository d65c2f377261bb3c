#!/bin/sh
# Builds the stand-in of the cases 4 to 8 of the second review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/bench ./review/stand-ins-2/testdata/bench
