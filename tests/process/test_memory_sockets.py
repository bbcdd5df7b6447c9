"""What the operating system holds in the queues of the gateway's connections counts towards the
machine's memory, too: answers that callers cease to read when their connections have become fast."""
import sys

from memory_site import BYTES_PER_MB, run, stalled_answers

ANSWER_BYTES = BYTES_PER_MB
CROWD = 24
READ_ANSWERS = 20
UNREAD_ANSWERS = 3


async def check_answers_that_cease_to_be_read(site):
    await site.check_crowd(stalled_answers(CROWD, ANSWER_BYTES, READ_ANSWERS, UNREAD_ANSWERS))


if __name__ == "__main__":
    run(check_answers_that_cease_to_be_read, sys.argv[1], answer_bytes=ANSWER_BYTES)
