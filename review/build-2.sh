#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
(cd review/standin2 && GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2/standin .)
