"""The platform's store answers a gateway with bytes, or with pages, without end. The gateway lives, holds
little, and serves by what it knows."""
import asyncio
import base64
import json
import sys

from endless_answers import ENDLESS_ANSWERS, FaultyStore
from memory_site import BYTES_PER_MB, MemorySite, run_on
from test_memory_endless import check_ordinary_calls_beside

PAGES = "pages"
REGISTRATIONS = "registrations"
ENTRIES = "entries"
ROWS_PER_PAGE = 500
# As many as an answer may have bytes for, not as the store's pages promise.
REGISTRATIONS_PER_PAGE = 8_000
ENTRIES_PER_PAGE = 8_000
# An entry asks for what has changed a few times a second.
REGISTERING_TIME_S = 8
# Rows as large as the store allows for a page of a megabyte.
ROW_VALUE = "eA==" + "e" * 1400


class PagingStore(FaultyStore):
    """Its fault: behind each page of new rows, there are always more."""

    era = 9

    def __init__(self):
        super().__init__("no-http")
        self.pages = 0

    async def serve_fault(self, reader, writer):
        while request := await reader.readuntil(b"\r\n\r\n"):
            self.write_page(writer, *self.rows_for(request))
            await writer.drain()

    def rows_for(self, _):
        """Returns rows and the store's version that they bring the reader to."""
        self.pages += 1
        return self.rows("k", ROWS_PER_PAGE, ROW_VALUE), 10 ** 9

    def rows(self, name, count, value):
        return [{"table": "servers", "part": "", "key": f"{name}{self.pages:06}-{number:05}",
                 "value": value, "schemaVersion": 10 ** 6 + self.pages} for number in range(count)]

    def write_page(self, writer, rows, version):
        body = json.dumps({"rows": rows, "hasMore": bool(rows), "schemaVersion": version,
                           "nowMs": 1}, separators=(",", ":")).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nStore-Era: %d\r\nContent-Type: application/json\r\n"
                     b"Content-Length: %d\r\n\r\n" % (self.era, len(body)) + body)
        self.sent_bytes += len(body)


class RegisteringStore(PagingStore):
    """Its fault: each answer of what has changed has registrations of further upstreams."""

    era = 1
    table = "servers"
    rows_per_page = REGISTRATIONS_PER_PAGE

    def rows_for(self, request):
        is_about_table = b"rows-feed?table=%b" % self.table.encode() in request
        self.pages += is_about_table
        rows = self.rows("r", self.rows_per_page, None) if is_about_table else []
        for number, each in enumerate(rows):
            value = json.dumps(self.value(number)).encode()
            each.update(table=self.table, value=base64.b64encode(value).decode())
        return rows, 10 ** 6 + self.pages

    def value(self, _):
        return {"address": "127.0.0.1:9", "born": 1,
                "info": {"service": "downloads", "version": "v1", "zone": "p1", "slots": 1},
                "status": {"state": "ready", "seq": 1, "coldLeftMs": 0}}


class ListingStore(RegisteringStore):
    """Its fault: each answer of what has changed has records of further entries."""

    table = "entries"
    rows_per_page = ENTRIES_PER_PAGE

    def value(self, number):
        peers = f"127.{self.pages % 250}.{number // 250}.{number % 250 + 1}:9"
        return {"place": "p1", "region": "r", "callers": "127.0.0.1:9", "peers": peers}


class FaultyStoreSite(MemorySite):
    """A gateway whose store becomes faulty."""

    def __init__(self, binaries, kind):
        super().__init__(binaries)
        stores = {PAGES: PagingStore, REGISTRATIONS: RegisteringStore,
                  ENTRIES: ListingStore}
        self.store_proxy = stores[kind]() if kind in stores else FaultyStore(kind)

    async def prepare_gateway(self):
        self.store_proxy.store = self.store
        await self.store_proxy.start()
        self.store = f"127.0.0.1:{self.store_proxy.port}"


async def check_store_without_end(site):
    site.store_proxy.begin_fault()
    if isinstance(site.store_proxy, RegisteringStore):
        await asyncio.sleep(REGISTERING_TIME_S)
    await check_ordinary_calls_beside(site, crowd=[])
    print(f"sent {site.store_proxy.sent_bytes / BYTES_PER_MB:.0f} MB", flush=True)
    assert site.store_proxy.sent_bytes > 0, "no call reached the store"


if __name__ == "__main__":
    for kind in sys.argv[2:] or [*ENDLESS_ANSWERS, PAGES, REGISTRATIONS, ENTRIES]:
        print(kind, end=" ", flush=True)
        run_on(FaultyStoreSite(sys.argv[1], kind), check_store_without_end)
