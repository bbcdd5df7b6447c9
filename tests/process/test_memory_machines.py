"""Bodies and answers of the sizes that the pages permit, on machines of the smaller sizes."""
import asyncio
import sys

from memory_site import BYTES_PER_MB, run, unfinished_bodies, unread_answers

LARGEST_BODY_BYTES = 64 * BYTES_PER_MB
ANSWER_BYTES = 30_000_000
UPLOAD_LIMIT_MS = 20_000
MACHINES = ({"memory_mb": 260, "bound_mb": 200}, {"memory_mb": 160, "bound_mb": 160})


async def check_one_largest_body_is_served_in_calm(site):
    status = await asyncio.to_thread(site.call, "/uploads/x", b"b" * LARGEST_BODY_BYTES,
                                     UPLOAD_LIMIT_MS)
    assert status == 200, status
    site.check_bounds()


async def check_largest_bodies_and_unread_answers(site):
    await site.check_crowd(unfinished_bodies(64, LARGEST_BODY_BYTES) + unread_answers(60))


if __name__ == "__main__":
    for check in (check_one_largest_body_is_served_in_calm, check_largest_bodies_and_unread_answers):
        for machine in MACHINES:
            run(check, sys.argv[1], max_body_bytes=LARGEST_BODY_BYTES, answer_bytes=ANSWER_BYTES,
                **machine)
