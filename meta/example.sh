#!/usr/bin/env bash
# Builds the project, then runs one of the example deployments on this machine.
# Usage: meta/example.sh [armor|chuong-chung] [CALLS] [RATE]
set -euo pipefail
cd "$(dirname "$0")/.."

meta/build.sh release
meta/run_example.sh "$@"
