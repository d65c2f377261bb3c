#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. The controllers are built by the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/testdata/standin
