"""Callers that hold memory in each way, all at once, while an ordinary caller asks."""
import sys

from memory_site import (BYTES_PER_MB, MAX_BODY_BYTES, chunked_bodies, complete_bodies,
                         dripping_bodies, endless_heads, run, silent_connections, unfinished_bodies,
                         unread_answers)


async def check_all_at_once(site):
    await site.check_crowd(
        unfinished_bodies(12) + dripping_bodies(12) + chunked_bodies(12, 1, BYTES_PER_MB) +
        chunked_bodies(12, MAX_BODY_BYTES // 2, MAX_BODY_BYTES) + unread_answers(16) +
        complete_bodies(12) + endless_heads(40) + silent_connections(600))


if __name__ == "__main__":
    run(check_all_at_once, sys.argv[1])
