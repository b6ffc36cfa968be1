#!/bin/bash
# Builds the stand-ins that the cases start, after the build of the deploy file: the players of the cases and the lab.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go test -c -o review/bin/cases ./review/testdata/cases
go build -o review/bin/robinlab ./cmd/robinlab
