#!/bin/sh
# Builds the stand-in that the scripts of cases 6, 7, 9 and 10 start. The programs of the deploy file are built by its own
# line.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review/standin2 ./review/standin2
