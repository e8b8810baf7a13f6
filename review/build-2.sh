#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-probe ./review/_probe
