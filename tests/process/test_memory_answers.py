"""Many callers ask for long answers and don't read them."""
import sys

from memory_site import run, unread_answers


async def check_unread_answers(site):
    await site.check_crowd(unread_answers(64))


if __name__ == "__main__":
    run(check_unread_answers, sys.argv[1])
