#!/usr/bin/env bash
# Installs missing packages and builds into build/KIND.
# Usage: meta/build.sh [KIND], where KIND is release (default) or sanitize.
set -euo pipefail
cd "$(dirname "$0")/.."

kind=${1:-release}
options=()
if [ "$kind" = sanitize ]; then
    options=(-DBURDOCKSTEP_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug -DBURDOCKSTEP_SEEDS=400)
fi
meta/install.sh
cmake -S . -B "build/$kind" -G Ninja "${options[@]}" >/dev/null
cmake --build "build/$kind"
