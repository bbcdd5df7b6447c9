"""Many bodies with a length, of legal size, stop just short of their end, or drip towards it."""
import sys

from memory_site import dripping_bodies, run, unfinished_bodies


async def check_bodies_sent_at_once(site):
    await site.check_crowd(unfinished_bodies(48))


async def check_bodies_that_end_byte_by_byte(site):
    await site.check_crowd(dripping_bodies(48))


if __name__ == "__main__":
    run(check_bodies_sent_at_once, sys.argv[1])
    run(check_bodies_that_end_byte_by_byte, sys.argv[1])
