"""Callers send request after request on one connection and read none of the short answers."""
import sys

from memory_site import pipelined_requests, run

LISTENERS = ("callers", "lookups", "readiness", "metrics")
CROWD = 24
REQUESTS_OF_A_CALLER = 100_000


async def check_unread_short_answers(site):
    for listener in LISTENERS:
        await site.check_crowd(pipelined_requests(CROWD, REQUESTS_OF_A_CALLER, listener))


if __name__ == "__main__":
    run(check_unread_short_answers, sys.argv[1])
