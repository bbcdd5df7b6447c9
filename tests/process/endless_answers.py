"""Servers whose answers never end, in each place of an answer where bytes can go on."""
import asyncio
import re
import socket

FIRST_PIECE_BYTES = 2 ** 14
PIECE_BYTES = 2 ** 18


def repeated(part, size=PIECE_BYTES):
    return part * max(size // len(part), 1)


OK = b"HTTP/1.1 200 OK\r\n"
OWN = OK + b"X-Request-Id: %(id)s\r\nX-Response-Signature: %(id)s\r\n"
OTHER = OK + b"X-Request-Id: another\r\n"
CHUNKED = OWN + b"Transfer-Encoding: chunked\r\n\r\n"
LARGE_CHUNK = b"%x\r\n" % PIECE_BYTES + b"c" * PIECE_BYTES + b"\r\n"

# What an answer begins with, and what then goes on without end.
ENDLESS_ANSWERS = {
    "no-http": (b"", b"\x00\xfe"),
    "empty-lines": (b"", b"\r\n"),
    "reason": (b"HTTP/1.1 200 ", b"r"),
    "field-name": (OK, b"n"),
    "field-value": (OK + b"a: ", b"v"),
    "fields": (OK, b"a: b\r\n"),
    "empty-fields": (OK, b"a:\r\n"),
    "interim-answers": (b"", b"HTTP/1.1 100 Continue\r\na: b\r\n\r\n"),
    "other-answers": (b"", OTHER + b"Content-Length: 0\r\n\r\n"),
    "other-body": (OTHER + b"\r\n", b"o"),
    "body-with-length": (OWN + b"Content-Length: 1000000000000\r\n\r\n", b"b"),
    "body-without-length": (OWN + b"\r\n", b"b"),
    "large-chunks": (CHUNKED, LARGE_CHUNK),
    "small-chunks": (CHUNKED, b"1\r\nc\r\n"),
    "chunk-length": (CHUNKED, b"0"),
    "chunk-extension": (CHUNKED + b"1;", b"e"),
    "trailers": (CHUNKED + b"1\r\nc\r\n0\r\n", b"t: v\r\n"),
    "after-the-answer": (OWN + b"Content-Length: 1\r\n\r\nb", b"x"),
}
# Kinds whose bytes belong to a body, of which a caller may take more.
BODY_KINDS = ("other-body", "body-with-length", "body-without-length", "large-chunks")


class EndlessServer:
    """Answers requests for `path` as its kind says, and all others shortly and well."""

    def __init__(self, name, kind, path="/endless/", port=0):
        self.name, self.kind, self.path, self.port = name, kind, path, port
        self.start_bytes, self.part = ENDLESS_ANSWERS[kind]
        self.piece = repeated(self.part)
        self.sent_bytes, self.most_sent_bytes = 0, 0
        self.writers = set()

    async def start(self):
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # So that little waits on this side, which isn't measured.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 ** 16)
        listening.bind(("127.0.0.1", self.port))
        self.port = listening.getsockname()[1]
        self.server = await asyncio.start_server(self.serve, sock=listening, backlog=1000)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_request(reader):
                found = re.search(rb"(?i)x-request-id: *(\S+)", request)
                identity = found[1] if found else b"-"
                if self.path.encode() in request.split(b"\r\n")[0]:
                    await self.send_without_end(writer, identity)
                else:
                    self.write_short_answer(writer, identity)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def write_short_answer(self, writer, identity):
        writer.write(OWN.replace(b"%(id)s", identity) + b"X-Instance-Id: " + self.name.encode() +
                     b"\r\nContent-Length: 2\r\n\r\nok")

    async def send_without_end(self, writer, identity):
        writer.write(self.start_bytes.replace(b"%(id)s", identity))
        part, piece = (each.replace(b"%(id)s", identity) for each in (self.part, self.piece))
        sent_bytes = 0
        while not writer.is_closing():
            # Small pieces at first: answers without sense end at once.
            bytes_to_send = piece if sent_bytes > PIECE_BYTES else repeated(part, FIRST_PIECE_BYTES)
            writer.write(bytes_to_send)
            await writer.drain()
            sent_bytes += len(bytes_to_send)
            self.sent_bytes += len(bytes_to_send)
            self.most_sent_bytes = max(self.most_sent_bytes, sent_bytes)


class FaultyStore(EndlessServer):
    """Passes calls on to `store` until its fault begins: answers of its kind."""

    def __init__(self, kind, path="/v1/"):
        super().__init__("store", kind, path)
        self.store = None
        self.refused_path = None  # Calls for it aren't passed on.
        self.is_faulty = False

    def begin_fault(self):
        self.is_faulty = True
        for each in list(self.writers):
            each.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            if self.is_faulty:
                await self.serve_fault(reader, writer)
            else:
                await self.pass_on(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_fault(self, reader, writer):
        await super().serve(reader, writer)

    async def pass_on(self, reader, writer):
        host, port = self.store.split(":")
        from_store, to_store = await asyncio.open_connection(host, int(port))
        self.writers.add(to_store)
        answers = asyncio.create_task(self.pass_answers_on(from_store, writer))
        try:
            while request := await read_request(reader):
                if self.refused_path and self.refused_path.encode() in request.split(b"\r\n")[0]:
                    return
                to_store.write(request)
                await to_store.drain()
        finally:
            to_store.close()
            self.writers.discard(to_store)
            answers.cancel()

    async def pass_answers_on(self, from_store, writer):
        try:
            while data := await from_store.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


async def read_request(reader):
    """Head and body of a request."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = re.search(rb"(?i)content-length: *(\d+)", head)
    return head + (await reader.readexactly(int(length[1])) if length else b"")
