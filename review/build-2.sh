#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python programs (common-2/) and need no build; this checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "python3 3.11 or newer is needed"; exit 1; }
for each in common-2/*.py [6-9]/*.py 10/*.py; do
    [ ! -e "$each" ] || python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$each"
done
[ -x ../target/burdockstep-gateway ] || echo "note: target/burdockstep-gateway is missing: run the build of deploy/system.toml"
