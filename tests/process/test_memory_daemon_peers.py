"""Peers of a daemon answer with bytes without end, or ask and don't read the answer. The daemon lives,
holds little, and answers ordinary requests meanwhile."""
import asyncio
import socket
import sys

from deployment import PLACES, binaries_folder_argument, wait_until
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
# Not an answer: these peers ask for the document.
ASKING_KIND = "do-not-read"
ASKING_PEERS = 48
DOCUMENT_BYTES = 7 * 2 ** 19


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


class ReadingPeer(FaultyPeer):
    """Keeps the first question that it is asked, by a daemon that has no document yet."""

    def __init__(self):
        super().__init__("larger-frame")
        self.question = None

    async def serve(self, reader, writer):
        length = await reader.readexactly(4)
        question = length + await reader.readexactly(int.from_bytes(length, "little"))
        self.question = self.question or question
        writer.close()


class LargeDocumentSite(FaultyPeerSite):
    """One daemon with a large document in force. A peer knows how the daemon asks for one."""

    def __init__(self, binaries):
        super().__init__(binaries, "larger-frame")
        self.peers = [ReadingPeer()]
        wait_and_apply_document = self.deployment.wait_and_apply_document

        def wait_and_apply_large_document():
            with open(self.deployment.deployment_file, "a", encoding="utf-8") as file:
                file.write(f"# {'x' * 97}\n" * (DOCUMENT_BYTES // 100))
            wait_and_apply_document()
        self.deployment.wait_and_apply_document = wait_and_apply_large_document

    def list_a_peer(self, question):
        """Lets the daemon read a list with a second entry: only listed peers are answered."""
        self.deployment.addresses["entry-2"] = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]
        self.deployment.register("entry-2", *PLACES[1])
        self.platform_proxy.refused_path = None
        wait_until(lambda: self.answered_bytes(question) > 0, "the daemon answers a peer")

    def answered_bytes(self, question):
        with socket.create_connection(("127.0.0.1", self.ports["peers"])) as connection:
            connection.sendall(question)
            received_bytes = 0
            try:
                while chunk := connection.recv(2 ** 20):
                    received_bytes += len(chunk)
            except OSError:
                pass
        return received_bytes


async def check_peers_that_do_not_read(site):
    """Guards against copies of a large document for all peers that ask for it at once."""
    question = site.peers[0].question
    assert question, "the daemon asked no peer"
    await asyncio.to_thread(site.list_a_peer, question)
    connections = []
    for _ in range(ASKING_PEERS):
        connections.append(socket.socket())
        connections[-1].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connections[-1].connect(("127.0.0.1", site.ports["peers"]))
        connections[-1].sendall(question)
    await check_ordinary_calls_beside(site, crowd=[])
    # One of them is always answered, and the others are when they ask again.
    for each in connections:
        each.close()
    await asyncio.to_thread(wait_until, lambda: site.answered_bytes(question) >= DOCUMENT_BYTES,
                            "a peer gets the document")


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
    for kind in sys.argv[2:] or [*PEER_ANSWERS, ASKING_KIND]:
        print(kind, end=" ", flush=True)
        if kind == ASKING_KIND:
            run_on(LargeDocumentSite(binaries), check_peers_that_do_not_read)
        else:
            run_on(FaultyPeerSite(binaries, kind), check_peers_without_end)
