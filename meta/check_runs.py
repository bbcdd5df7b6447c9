#!/usr/bin/env python3
"""Prints how many requests the upstream stand-ins ran.

Usage: check_runs.py CONTROL-ADDRESS
"""
import json
import sys
import urllib.request

with urllib.request.urlopen(f"http://{sys.argv[1]}/control/runs", timeout=5) as answer:
    runs = json.load(answer)
print(f"upstreams ran {runs['requests']} distinct requests; "
      f"{runs['run_more_than_once']} ticketed ones ran more than once (must be 0), "
      f"{runs['idempotent_run_more_than_once']} idempotent ones (retries)")
