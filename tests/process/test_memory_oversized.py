"""Bodies far over the limit, announced or just sent, to each of the gateway's listeners. Their callers
never stop sending by themselves."""
import sys

from memory_site import MAX_BODY_BYTES, endless_bodies, request_head, run

LISTENERS = ("callers", "lookups", "readiness", "metrics")
CROWD_OF_A_LISTENER = 24
IDLE_TIMEOUT_MS = 5_000
SENT_BYTES = 8 * MAX_BODY_BYTES
ANNOUNCED_BYTES = 1000 * MAX_BODY_BYTES


async def check_announced_bodies(site):
    await site.check_crowd([each for listener in LISTENERS
                            for each in endless_bodies(CROWD_OF_A_LISTENER, SENT_BYTES, listener,
                                                       f"Content-Length: {ANNOUNCED_BYTES}")],
                           answered_callers_stay=True)


async def check_bodies_in_chunks(site):
    await site.check_crowd([each for listener in LISTENERS
                            for chunk_bytes in (1, MAX_BODY_BYTES // 2)
                            for each in endless_bodies(CROWD_OF_A_LISTENER, SENT_BYTES, listener,
                                                       "Transfer-Encoding: chunked", chunk_bytes)],
                           answered_callers_stay=True)


async def check_bodies_behind_a_request_under_way(site):
    """The refusal has to wait for the answer before it."""
    first = request_head("GET", "/deaf/x", "first")
    await site.check_crowd(
        endless_bodies(CROWD_OF_A_LISTENER, SENT_BYTES, "callers",
                       f"Content-Length: {ANNOUNCED_BYTES}", prefix=first) +
        endless_bodies(CROWD_OF_A_LISTENER, SENT_BYTES, "callers", "Transfer-Encoding: chunked",
                       MAX_BODY_BYTES // 2, prefix=first))


if __name__ == "__main__":
    for check in (check_announced_bodies, check_bodies_in_chunks,
                  check_bodies_behind_a_request_under_way):
        run(check, sys.argv[1], idle_timeout_ms=IDLE_TIMEOUT_MS)
