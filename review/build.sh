#!/usr/bin/env bash
# Builds every stand-in that a case under review/ starts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-rig ./review/_rig
