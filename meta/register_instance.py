#!/usr/bin/env python3
"""Adds an instance to the platform stand-in's instance list.

Usage: register_instance.py PLATFORM-ADDRESS SETTINGS-FILE ADDRESSES-FILE
"""
import json
import sys
import tomllib
import urllib.request

platform, settings_path, addresses_path = sys.argv[1:4]
with open(settings_path, "rb") as file:
    instance = tomllib.load(file)["instance"]
with open(addresses_path, encoding="utf-8") as file:
    callers, operators, peers = file.read().split()
body = json.dumps({"instance": instance["name"], "place": instance["place"],
                   "region": instance["region"], "callers": callers, "operators": operators,
                   "peers": peers, "leaving": False}).encode()
request = urllib.request.Request(f"http://{platform}/control/instances", body, method="POST")
urllib.request.urlopen(request, timeout=5).read()
