"""The platform's store answers a gateway with bytes, or with pages, without end. The gateway lives, holds
little, and serves by what it knows."""
import json
import sys

from endless_answers import ENDLESS_ANSWERS, FaultyStore
from memory_site import BYTES_PER_MB, MemorySite, run_on
from test_memory_endless import check_ordinary_calls_beside

PAGES = "pages"
ROWS_PER_PAGE = 500
# Rows as large as the store allows for a page of a megabyte.
ROW_VALUE = "eA==" + "e" * 1400


class PagingStore(FaultyStore):
    """Its fault: behind each page of new rows, there are always more."""

    def __init__(self):
        super().__init__("no-http")
        self.pages = 0

    async def serve_fault(self, reader, writer):
        while await reader.readuntil(b"\r\n\r\n"):
            self.write_page(writer)
            await writer.drain()

    def write_page(self, writer):
        self.pages += 1
        rows = [{"table": "servers", "part": "", "key": f"k{self.pages:06}-{number:03}",
                 "value": ROW_VALUE, "schemaVersion": 10 ** 6 + self.pages} for number in
                range(ROWS_PER_PAGE)]
        body = json.dumps({"rows": rows, "hasMore": True, "schemaVersion": 10 ** 9,
                           "nowMs": 1}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nStore-Era: 9\r\nContent-Type: application/json\r\n"
                     b"Content-Length: %d\r\n\r\n" % len(body) + body)
        self.sent_bytes += len(body)


class FaultyStoreSite(MemorySite):
    """A gateway whose store becomes faulty."""

    def __init__(self, binaries, kind):
        super().__init__(binaries)
        self.store_proxy = PagingStore() if kind == PAGES else FaultyStore(kind)

    async def prepare_gateway(self):
        self.store_proxy.store = self.store
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
