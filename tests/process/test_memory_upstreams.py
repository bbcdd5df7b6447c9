"""An upstream takes connections and doesn't read the bodies that are sent to it."""
import sys

from memory_site import complete_bodies, run


async def check_upstream_that_does_not_read(site):
    await site.check_crowd(complete_bodies(48))


if __name__ == "__main__":
    run(check_upstream_that_does_not_read, sys.argv[1])
