#!/usr/bin/env bash
# The test command: builds, lints, and runs all tests, plain and under the sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."

meta/build.sh release
meta/lint.sh
ctest --test-dir build/release --output-on-failure
meta/build.sh sanitize
# The stops are left out: they wait for look-ups to run out, and the failures run the same code.
ctest --test-dir build/sanitize --output-on-failure -E planned_stop
meta/known_red.sh
