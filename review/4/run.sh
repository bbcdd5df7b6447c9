#!/usr/bin/env bash
# Nine of eighteen machines are removed as planned, one after the other. See claim.txt.
# Exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0: none is removed.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 play.py
