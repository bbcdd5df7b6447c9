"""The platform's store answers a gateway with bytes, or with pages, without end. The gateway lives, holds
little, and serves by what it knows."""
import asyncio
import json
import sys

from endless_answers import ENDLESS_ANSWERS, EndlessServer
from memory_site import BYTES_PER_MB, MemorySite, run_on
from test_memory_endless import check_ordinary_calls_beside

PAGES = "pages"
ROWS_PER_PAGE = 500
# Rows as large as the store allows for a page of a megabyte.
ROW_VALUE = "eA==" + "e" * 1400


class FaultyStore(EndlessServer):
    """Passes calls on to a store until it is given a fault, one of the kinds of endless answers or
    pages without end."""

    def __init__(self, kind, store):
        super().__init__("store", kind if kind != PAGES else "no-http", path="/v1/")
        self.has_pages, self.store = kind == PAGES, store
        self.is_faulty = False
        self.pages = 0

    async def serve(self, reader, writer):
        if self.is_faulty and not self.has_pages:
            await super().serve(reader, writer)
            return
        self.writers.add(writer)
        try:
            if self.is_faulty:
                while await reader.readuntil(b"\r\n\r\n"):
                    self.write_page(writer)
                    await writer.drain()
            await self.pass_on(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def write_page(self, writer):
        """A page of new rows, behind which there are always more."""
        self.pages += 1
        rows = [{"table": "servers", "part": "", "key": f"k{self.pages:06}-{number:03}",
                 "value": ROW_VALUE, "schemaVersion": 10 ** 6 + self.pages} for number in
                range(ROWS_PER_PAGE)]
        body = json.dumps({"rows": rows, "hasMore": True, "schemaVersion": 10 ** 9,
                           "nowMs": 1}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nStore-Era: 9\r\nContent-Type: application/json\r\n"
                     b"Content-Length: %d\r\n\r\n" % len(body) + body)
        self.sent_bytes += len(body)

    async def pass_on(self, reader, writer):
        host, port = self.store.split(":")
        from_store, to_store = await asyncio.open_connection(host, int(port))
        self.writers.add(to_store)

        async def copy(source, target):
            while data := await source.read(65536):
                target.write(data)
                await target.drain()
            target.close()
        await asyncio.gather(copy(reader, to_store), copy(from_store, writer))

    def begin_fault(self):
        self.is_faulty = True
        for each in list(self.writers):
            each.transport.abort()


class FaultyStoreSite(MemorySite):
    """A gateway whose store becomes faulty."""

    def __init__(self, binaries, kind):
        super().__init__(binaries)
        self.kind = kind

    async def prepare_gateway(self):
        self.store_proxy = FaultyStore(self.kind, self.store)
        await self.store_proxy.start()
        self.store = f"127.0.0.1:{self.store_proxy.port}"


async def check_store_without_end(site):
    site.store_proxy.begin_fault()
    await check_ordinary_calls_beside(site, crowd=[])
    print(f"sent {site.store_proxy.sent_bytes / BYTES_PER_MB:.0f} MB", flush=True)
    assert site.store_proxy.sent_bytes > 0, "no call reached the store"


if __name__ == "__main__":
    for kind in sys.argv[2:] or [*ENDLESS_ANSWERS, PAGES]:
        print(kind, end=" ", flush=True)
        run_on(FaultyStoreSite(sys.argv[1], kind), check_store_without_end)
