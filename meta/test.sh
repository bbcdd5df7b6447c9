#!/usr/bin/env bash
# Builds the project, runs the linter, and runs all tests with and without sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."

meta/build.sh release
meta/lint.sh
ctest --test-dir build/release --output-on-failure
meta/build.sh sanitize
# The planned-stop test is skipped here: it spends its time waiting for look-up answers to expire,
# and the failure tests cover the same code.
ctest --test-dir build/sanitize --output-on-failure -E planned_stop
meta/known_red.sh
