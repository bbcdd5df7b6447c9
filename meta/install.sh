#!/usr/bin/env bash
# Installs the Debian packages listed in meta/packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."

missing=()
while read -r package; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done <meta/packages.txt
if [ ${#missing[@]} -gt 0 ]; then
    as_root=()
    [ "$(id -u)" -eq 0 ] || as_root=(sudo)
    "${as_root[@]}" apt-get update -qq
    "${as_root[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
fi
