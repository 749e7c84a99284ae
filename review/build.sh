#!/bin/bash
# Builds the stand-ins of the cases into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -ldflags=-linkmode=external -o target/review/standin ./review/standin
