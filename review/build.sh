#!/usr/bin/env bash
# Builds the stand-ins of the cases. The project's own programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/platform"
mkdir -p ../../target
go build -o ../../target/review-stand .
