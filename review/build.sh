#!/usr/bin/env bash
# Checks the stand-ins that the scripts of the review start. All of them are written in Python and
# use its standard library only, so there is nothing to compile; the gateway itself comes from the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"

for each in common/*.py [1-5]/*.py; do
    [ ! -e "$each" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$each"
done
[ -x ../target/burdockstep-gateway ] || {
    echo "target/burdockstep-gateway is missing; run the build of deploy/system.toml first" >&2
    exit 2
}
