#!/bin/sh
# Builds the stand-in that the scripts of review/ start. The programs of the deploy file are built by its own line.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/standin
