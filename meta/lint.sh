#!/usr/bin/env bash
# Checks the format of all C++ sources and runs the linter on them.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake -S . -B build/lint -G Ninja -DBURDOCKSTEP_PRECOMPILE=OFF >/dev/null
git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run --Werror
git ls-files '*.cpp' | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p build/lint 2>/dev/null
echo "lint: clean"
