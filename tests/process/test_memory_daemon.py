"""What a daemon holds for callers and operators that send what they like, and read when they like."""
import asyncio
import sys

from deployment import Deployment, binaries_folder_argument, http
from memory_site import Caller, MeasuredSite, StallingCaller, run_on

MEMORY_MB = 64
MAX_DESCRIPTORS = 512
MAX_BODY_BYTES = 256 * 1024
MAX_DOCUMENT_BYTES = 5 * 2 ** 20
CALL_LIMIT_S = 5
# An upstream that works this slowly holds requests until their deadline.
SLOW = 0.01


class DaemonSite(MeasuredSite):
    """One daemon with little memory, its platform and upstreams."""

    def __init__(self, binaries, settings=f"memory_mb = {MEMORY_MB}\n", speed=4):
        self.deployment = Deployment(binaries, entries=1, entry_settings=settings, speed=speed,
                                     entry_descriptors=MAX_DESCRIPTORS)
        self.memory_mb = self.bound_mb = MEMORY_MB
        self.max_descriptors = MAX_DESCRIPTORS
        self.is_slow = speed == SLOW

    async def __aenter__(self):
        await asyncio.to_thread(self.deployment.__enter__)
        await asyncio.to_thread(self.deployment.wait_and_apply_document)
        self.measured = self.deployment.entries["entry-1"]
        self.ports = {name: int(address.rsplit(":", 1)[1])
                      for name, address in zip(("callers", "operators", "peers"),
                                               self.deployment.addresses["entry-1"])}
        await self.check_ordinary_call()
        self.descriptors_at_start = self.open_descriptors()
        return self

    async def __aexit__(self, *problem):
        self.deployment.__exit__(*problem)

    def call(self):
        # A look-up where upstreams are slow: calls may have to wait for those of the crowd.
        path = "/v1/lookup/levels" if self.is_slow else "/v1/call/levels/work"
        try:
            return http("GET", f"http://127.0.0.1:{self.ports['callers']}{path}",
                        headers={"x-request-id": "ordinary"}, timeout_s=CALL_LIMIT_S)[0]
        except OSError:
            return 0


def head(method, path, *lines):
    return "\r\n".join([f"{method} {path} HTTP/1.1", "Host: h", *lines, "", ""]).encode()


def unfinished_bodies(count, size=MAX_BODY_BYTES, listener="callers", path="/v1/call/levels/work"):
    parts = [head("POST", path, f"Content-Length: {size}"), b"b" * (size - 1)]
    return [Caller(parts, listener=listener) for _ in range(count)]


def chunked_bodies(count, chunk_bytes, body_bytes=MAX_BODY_BYTES, listener="callers",
                   path="/v1/call/levels/work"):
    chunk = b"%x\r\n" % chunk_bytes + b"c" * chunk_bytes + b"\r\n"
    parts = [head("POST", path, "Transfer-Encoding: chunked"), chunk * (body_bytes // chunk_bytes)]
    return [Caller(parts, listener=listener) for _ in range(count)]


def endless_bodies(count, framing, piece, listener="callers", path="/v1/call/levels/work"):
    """Bodies far over the limit; the callers go on to send, whatever they are answered."""
    sent = piece * (8 * MAX_DOCUMENT_BYTES // len(piece))
    return [Caller([head("POST", path, framing), sent], slow_part=piece, reads=False,
                   listener=listener) for _ in range(count)]


async def check_unfinished_bodies(site):
    await site.check_crowd(unfinished_bodies(240))


async def check_bodies_in_chunks(site):
    await site.check_crowd(chunked_bodies(120, 1) + chunked_bodies(120, MAX_BODY_BYTES // 2))


async def check_bodies_under_way(site):
    """Complete bodies for upstreams that take their time."""
    complete = [head("POST", "/v1/call/levels/work", f"Content-Length: {MAX_BODY_BYTES}"),
                b"b" * MAX_BODY_BYTES]
    await site.check_crowd([Caller(complete) for _ in range(240)])


PIECE = b"o" * 65536
CHUNK = b"%x\r\n" % len(PIECE) + PIECE + b"\r\n"
ANNOUNCED = f"Content-Length: {1000 * MAX_DOCUMENT_BYTES}"
CHUNKED = "Transfer-Encoding: chunked"


async def check_endless_bodies(site):
    for listener, path in (("callers", "/v1/call/levels/work"), ("operators", "/v1/apply")):
        await site.check_crowd(
            endless_bodies(24, ANNOUNCED, PIECE, listener, path) +
            endless_bodies(24, CHUNKED, CHUNK, listener, path),
            answered_callers_stay=True)


async def check_operators_bodies(site):
    await site.check_crowd(
        unfinished_bodies(24, MAX_DOCUMENT_BYTES, "operators", "/v1/apply") +
        chunked_bodies(24, MAX_DOCUMENT_BYTES // 2, MAX_DOCUMENT_BYTES, "operators", "/v1/apply"))


async def check_unread_short_answers(site):
    for listener, path in (("callers", "/v1/lookup/none"), ("operators", "/v1/status")):
        requests = head("GET", path) * 100_000
        await site.check_crowd([Caller([requests], reads=False, listener=listener)
                                for _ in range(24)])


async def check_unread_long_answers(site):
    request = head("GET", "/v1/call/sheets/work", "X-Request-Id: s")
    await site.check_crowd([StallingCaller(request, 2, 16, 65536) for _ in range(200)])


async def check_silent_connections(site):
    await site.check_crowd([Caller([]) for _ in range(600)])


async def check_all_at_once(site):
    """All of these, and peers that send what is no question, while an ordinary caller asks."""
    await site.check_crowd(
        unfinished_bodies(80) + chunked_bodies(40, 1) + chunked_bodies(40, MAX_BODY_BYTES // 2) +
        endless_bodies(12, ANNOUNCED, PIECE) + endless_bodies(12, CHUNKED, CHUNK) +
        unfinished_bodies(12, MAX_DOCUMENT_BYTES, "operators", "/v1/apply") +
        [Caller([b"\xff" * 70_000], listener="peers") for _ in range(80)] +
        [Caller([], listener="peers") for _ in range(80)] +
        [Caller([head("GET", "/v1/lookup/none") * 20_000], reads=False) for _ in range(12)] +
        [Caller([]) for _ in range(400)])


async def check_one_largest_body_is_served_in_calm(site):
    url = f"http://127.0.0.1:{site.ports['callers']}/v1/call/levels/work"
    status = (await asyncio.to_thread(http, "POST", url, b"b" * MAX_BODY_BYTES,
                                      {"x-request-id": "largest"}))[0]
    assert status == 200, status
    site.check_bounds()


if __name__ == "__main__":
    binaries = binaries_folder_argument(sys.argv)
    for check in (check_one_largest_body_is_served_in_calm, check_unfinished_bodies,
                  check_bodies_in_chunks, check_endless_bodies, check_operators_bodies,
                  check_unread_short_answers, check_unread_long_answers, check_silent_connections,
                  check_all_at_once):
        run_on(DaemonSite(binaries), check)
    run_on(DaemonSite(binaries, speed=SLOW), check_bodies_under_way)
