"""Heads without an end, and many connections that send nothing, or nothing more."""
import sys

from memory_site import connections_kept_after_the_answer, endless_heads, run, silent_connections


async def check_heads_without_end(site):
    await site.check_crowd(endless_heads(100))


async def check_silent_connections(site):
    await site.check_crowd(silent_connections(700))


async def check_connections_kept_after_the_answer(site):
    await site.check_crowd(connections_kept_after_the_answer(700))


if __name__ == "__main__":
    run(check_heads_without_end, sys.argv[1])
    run(check_silent_connections, sys.argv[1])
    run(check_connections_kept_after_the_answer, sys.argv[1])
