#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. It needs the Go tools and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin review/standin/*.go
