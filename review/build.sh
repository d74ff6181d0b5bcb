#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/, beside what the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS= GOTOOLCHAIN=local go build -o ../../target/review/standin .
