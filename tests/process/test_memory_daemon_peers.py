"""Peers of a daemon answer with bytes without end. The daemon lives, holds little, and answers ordinary
requests meanwhile."""
import asyncio
import sys

from deployment import binaries_folder_argument
from endless_answers import PIECE_BYTES
from memory_site import run_on
from test_memory_daemon_platform import FaultyPlatformSite, check_was_reached
from test_memory_endless import check_ordinary_calls_beside

LARGEST_FRAME_BYTES = 6 * 2 ** 20
LIMIT_LINE = "a peer's answer exceeds a limit"
# Length, sent bytes of the frame, and what follows without end.
PEER_ANSWERS = {
    "just-short-of-the-largest-frame": (LARGEST_FRAME_BYTES, LARGEST_FRAME_BYTES - 1, b""),
    "larger-frame": (2 ** 32 - 1, 0, b"f"),
    "no-message": (PIECE_BYTES, PIECE_BYTES, b"f"),
}
# Eight frames of the first kind are more than the peers' answers may take together.
OVER_LIMIT_KINDS = {"just-short-of-the-largest-frame", "larger-frame"}


class FaultyPeer:
    """Answers each question with the frame of its kind."""

    def __init__(self, kind):
        self.length, self.frame_bytes, self.rest = PEER_ANSWERS[kind]
        self.sent_bytes = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            await self.send(writer, self.length.to_bytes(4, "little"))
            await self.send(writer, b"f" * self.frame_bytes)
            while self.rest and not writer.is_closing():
                await self.send(writer, self.rest * PIECE_BYTES)
            while await reader.read(65536):
                pass
        except (asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def send(self, writer, data):
        writer.write(data)
        await writer.drain()
        self.sent_bytes += len(data)


class FaultyPeerSite(FaultyPlatformSite):
    """One daemon, which asks peers, as its platform tells it of none."""

    def __init__(self, binaries, kind):
        super().__init__(binaries, "no-http")
        self.kind = kind
        self.platform_proxy.refused_path = "GET /instances"
        self.peers = [FaultyPeer(kind) for _ in range(8)]
        start_entry = self.deployment.start_entry
        self.deployment.start_entry = lambda number: start_entry(
            number, seeds=[f"127.0.0.1:{each.port}" for each in self.peers])

    async def __aenter__(self):
        for each in self.peers:
            await each.start()
        return await super().__aenter__()


async def check_peers_without_end(site):
    # The time in which a question's answer is awaited, and in which the daemon asks further ones.
    await asyncio.sleep(5)
    await check_ordinary_calls_beside(site, crowd=[])
    check_was_reached(sum(each.sent_bytes for each in site.peers))
    # Operators must be able to see why a peer's answer is missing.
    tells_of_limit = LIMIT_LINE in site.deployment.entries["entry-1"].log.read_text()
    assert tells_of_limit == (site.kind in OVER_LIMIT_KINDS), f"told of a limit: {tells_of_limit}"


if __name__ == "__main__":
    binaries = binaries_folder_argument(sys.argv[:2])
    for kind in sys.argv[2:] or PEER_ANSWERS:
        print(kind, end=" ", flush=True)
        run_on(FaultyPeerSite(binaries, kind), check_peers_without_end)
