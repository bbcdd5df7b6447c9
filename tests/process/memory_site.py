"""A gateway with little memory, its store and upstreams, and crowds of callers that hold what they can
of it. For the tests of the memory that a process holds for others."""
import asyncio
import json
import os
import pathlib
import re
import shutil
import socket
import tempfile

from deployment import LOAD_FRACTION, Process, descriptor_limit, http as http_call, wait_until
from test_gateway import free_ports

BYTES_PER_MB = 2 ** 20
MEMORY_MB = 64
MAX_DESCRIPTORS = 512
MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 4 * BYTES_PER_MB
LARGE_ANSWER_BYTES = 4 * BYTES_PER_MB
ORDINARY_CALL_LIMIT_S = 30
# A caller that can't send a part any further goes on after this time.
PART_LIMIT_S = 30
CONNECTIONS_END_LIMIT_S = 60
# To upstreams and the store; they may be opened while a test runs.
OWN_CONNECTIONS = 16
# In this time answers reach a caller that doesn't read them.
ANSWER_TIME_S = 3
SERVICES = ("ordinary", "uploads", "downloads", "deaf")
# A sanitizer holds freed memory back and adds its own to each object.
MEMORY_IS_COMPARABLE = LOAD_FRACTION == 1


class Upstream:
    """An upstream that reads requests, or not, and gives answers of one size."""

    def __init__(self, service, answer_bytes=2, is_deaf=False):
        self.service, self.name = service, f"{service}-1"
        self.answer = b"a" * answer_bytes
        self.is_deaf = is_deaf

    async def start(self):
        # A small receive buffer, so that unread bytes stay with the gateway.
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listening.bind(("127.0.0.1", 0))
        self.port = listening.getsockname()[1]
        self.server = await asyncio.start_server(self.serve, sock=listening, backlog=1000)

    def registration(self):
        return {"address": f"127.0.0.1:{self.port}", "born": 1,
                "info": {"service": self.service, "version": "v1", "zone": "p1", "slots": 200},
                "status": {"state": "ready", "seq": 1, "coldLeftMs": 0}}

    async def serve(self, reader, writer):
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                if self.is_deaf and not head.startswith(b"GET /health"):
                    reader._transport.pause_reading()
                    await asyncio.sleep(3600)
                length = re.search(rb"(?i)content-length: *(\d+)", head)
                left = int(length[1]) if length else 0
                while left > 0:
                    left -= len(await reader.read(min(left, 65536)) or b" " * left)
                is_health = head.startswith(b"GET /health")
                identity = re.search(rb"(?i)x-request-id: *(\S+)", head)
                lines = [b"HTTP/1.1 200 OK", b"X-Instance-Id: " + self.name.encode(),
                         b"X-Response-Signature: " + self.name.encode(),
                         b"X-Request-Id: " + (identity[1] if identity else b"-"),
                         b"Content-Length: %d" % (0 if is_health else len(self.answer)), b"", b""]
                writer.write(b"\r\n".join(lines) + (b"" if is_health else self.answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()


class MeasuredSite:
    """A process under test, `measured`, with bounds on what it may hold. A site that derives from this
    answers `call` with the status of an ordinary request to the process."""

    measured: Process
    memory_mb: int
    bound_mb: int
    max_descriptors: int
    descriptors_at_start: int
    ports: dict

    def status_mb(self, field):
        text = pathlib.Path(f"/proc/{self.measured.process.pid}/status").read_text()
        return int(re.search(rf"{field}:\s+(\d+) kB", text)[1]) / 1024

    def queued_mb(self):
        """Bytes that the operating system holds in the queues of the process's connections."""
        sockets = set()
        for each in pathlib.Path(f"/proc/{self.measured.process.pid}/fd").iterdir():
            try:
                sockets.add(os.readlink(each))
            except OSError:
                pass  # Closed meanwhile.
        queued_bytes = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            is_listening = fields[3] == "0A"
            if f"socket:[{fields[9]}]" in sockets and not is_listening:
                queued_bytes += sum(int(each, 16) for each in fields[4].split(":"))
        return queued_bytes / BYTES_PER_MB

    def check_memory_with_queues(self):
        resident_mb, queued_mb = self.status_mb("VmRSS"), self.queued_mb()
        print(f"resident {resident_mb:.0f} MB, in socket queues {queued_mb:.0f} MB", flush=True)
        self.check_total(resident_mb + queued_mb)

    def check_total(self, total_mb):
        if MEMORY_IS_COMPARABLE:
            assert total_mb <= self.bound_mb, f"{total_mb:.0f} MB exceed {self.bound_mb} MB"

    def open_descriptors(self):
        return len(list(pathlib.Path(f"/proc/{self.measured.process.pid}/fd").iterdir()))

    async def check_ordinary_call(self):
        """An ordinary caller gets an answer, at least when it asks again."""
        await asyncio.to_thread(wait_until, lambda: self.call() == 200,
                                "an ordinary request is answered", ORDINARY_CALL_LIMIT_S)

    def check_bounds(self):
        assert self.measured.is_running(), f"the process ended: {self.measured.process.returncode}"
        peak_mb, descriptors = self.status_mb("VmHWM"), self.open_descriptors()
        print(f"peak memory {peak_mb:.0f} MB of {self.memory_mb}, descriptors {descriptors} of "
              f"{self.max_descriptors}", flush=True)
        if MEMORY_IS_COMPARABLE:
            assert peak_mb <= self.bound_mb, f"{peak_mb:.0f} MB exceed {self.bound_mb} MB"
        # An eighth stays free for connections of the process's own.
        assert descriptors <= self.max_descriptors * 7 / 8, f"{descriptors} descriptors"

    async def check_connections_end(self):
        """Connections end whose last answer is sent, also if their callers don't close them."""
        most = self.descriptors_at_start + OWN_CONNECTIONS
        await asyncio.to_thread(wait_until, lambda: self.open_descriptors() <= most,
                                f"at most {most} descriptors", CONNECTIONS_END_LIMIT_S)

    async def check_crowd(self, callers, answered_callers_stay=False):
        """Runs the callers until each has sent what it wants to send or was turned away; checks the
        process while they stay, and after they have left."""
        descriptors = []
        tasks = [asyncio.create_task(each.run(self)) for each in callers]
        for each in callers:
            await each.settled.wait()
            descriptors.append(self.open_descriptors() if self.measured.is_running() else 0)
        print(f"{len(callers)} callers, {sum(each.is_open for each in callers)} stay; most "
              f"descriptors {max(descriptors)}", flush=True)
        self.check_bounds()
        self.check_memory_with_queues()
        assert max(descriptors) <= self.max_descriptors * 7 / 8, f"{max(descriptors)} descriptors"
        await self.check_ordinary_call()
        if answered_callers_stay:
            await self.check_connections_end()
        self.check_bounds()
        for each in tasks:
            each.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.check_ordinary_call()
        self.check_bounds()


class MemorySite(MeasuredSite):
    """One gateway with its store and one upstream of each service."""

    def __init__(self, binaries, memory_mb=MEMORY_MB, bound_mb=None, max_body_bytes=MAX_BODY_BYTES,
                 answer_bytes=LARGE_ANSWER_BYTES, max_descriptors=MAX_DESCRIPTORS,
                 idle_timeout_ms=60_000):
        self.binaries = pathlib.Path(binaries)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="burdockstep-memory-"))
        self.memory_mb, self.max_body_bytes = memory_mb, max_body_bytes
        self.bound_mb = bound_mb or memory_mb
        self.max_descriptors, self.idle_timeout_ms = max_descriptors, idle_timeout_ms
        self.upstreams = [Upstream("ordinary"), Upstream("uploads"),
                          Upstream("downloads", answer_bytes), Upstream("deaf", is_deaf=True)]
        self.processes = []
        self.calls = 0

    async def __aenter__(self):
        address_file = self.folder / "site"
        self.start([self.binaries / "burdockstep-standin", "--role", "site", "--address-file",
                    address_file], "site.log")
        wait_until(lambda: address_file.exists() and address_file.read_text(),
                   "site stand-in listens")
        self.control = "http://" + address_file.read_text().strip()
        self.store = json.loads(http_call("GET", f"{self.control}/control/state")[2])["store"]
        for each in self.upstreams:
            await each.start()
            self.write_row("servers", each.name, each.registration())
        self.write_row("op", "config", self.configuration())
        await self.prepare_gateway()
        self.start_gateway()
        await self.check_ordinary_call()
        self.descriptors_at_start = self.open_descriptors()
        return self

    async def prepare_gateway(self):
        """For sites that derive from this: what has to be done just before the gateway starts."""

    async def __aexit__(self, *problem):
        for each in self.processes:
            if each.is_running():
                each.process.kill()
                each.process.wait()
        if problem[0] is not None:
            for log in sorted(self.folder.glob("*.log")):
                print(f"--- {log.name}", *log.read_text().splitlines()[-15:], sep="\n")
        shutil.rmtree(self.folder)

    def start(self, arguments, log):
        process = Process([str(each) for each in arguments], self.folder / log)
        self.processes.append(process)
        return process

    def write_row(self, table, key, value):
        body = json.dumps({"table": table, "key": key, "value": json.dumps(value)}).encode()
        assert http_call("POST", f"{self.control}/control/row", body)[0] == 200

    def configuration(self):
        rules = [{"name": each, "kind": "idempotent", "targetLatencyMs": 1000, "priority": 1,
                  "match": {"prefix": f"/{each}/"},
                  "action": {"service": each, "timeoutMs": 20_000, "maxAttempts": 2,
                             "homeRegions": []}} for each in SERVICES]
        return {"version": "r3", "listeners": [{"host": "h", "rules": rules}],
                "limits": {"headerBytes": MAX_HEAD_BYTES, "maxBodyBytes": self.max_body_bytes,
                           "headerTimeoutMs": 10_000, "idleTimeoutMs": self.idle_timeout_ms},
                "clusters": [{"name": each, "healthPath": "/health", "maxConns": 1000,
                              "coldStartS": 0.2, "coldPerS": 1000} for each in SERVICES]}

    def start_gateway(self):
        names = ("callers", "readiness", "lookups", "metrics", "peers")
        self.ports = dict(zip(names, free_ports(len(names))))
        lines = ["[instance]", 'name = "g"', 'place = "p1"', 'region = "r"',
                 f'store = "{self.store}"']
        lines += [f'{each} = "127.0.0.1:{self.ports[each]}"' for each in names]
        lines += ["[limits]", "retry_slack = 1000", f"memory_mb = {self.memory_mb}",
                  "[places]", 'p1 = "r"', ""]
        settings = self.folder / "gateway.toml"
        settings.write_text("\n".join(lines))
        # The test itself needs more.
        with descriptor_limit(self.max_descriptors):
            self.measured = self.start([self.binaries / "burdockstep-gateway", "--settings",
                                        settings], "gateway.log")

    def call(self, path="/ordinary/x", body=None, deadline_ms=2500):
        """Returns the status of a request, or 0 if there was none."""
        self.calls += 1
        headers = {"Host": "h", "X-Request-Id": f"ordinary-{self.calls}",
                   "X-Deadline-Ms": str(deadline_ms)}
        try:
            return http_call("POST" if body else "GET",
                             f"http://127.0.0.1:{self.ports['callers']}{path}", body, headers,
                             deadline_ms / 1000 + 1)[0]
        except OSError:
            return 0

class Caller:
    """A caller that sends some parts, and stays until it is turned away. It may send its last part
    again and again, slowly, and it may leave its answers unread."""

    def __init__(self, parts, slow_part=b"", reads=True, starts_after_s=0, listener="callers"):
        self.parts, self.slow_part, self.reads = parts, slow_part, reads
        self.starts_after_s, self.listener = starts_after_s, listener
        self.receive_buffer_bytes = 0 if reads else 4096
        self.settled = asyncio.Event()
        self.is_open = False

    async def run(self, site):
        connection = socket.socket()
        connection.setblocking(False)
        if self.receive_buffer_bytes:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes)
        loop = asyncio.get_running_loop()
        try:
            await asyncio.sleep(self.starts_after_s)
            await loop.sock_connect(connection, ("127.0.0.1", site.ports[self.listener]))
            self.is_open = True
            reading = asyncio.create_task(self.read(loop, connection))
            for each in self.parts:
                await self.send(loop, connection, each)
            await self.wait_for_answers(reading)
            self.settled.set()
            while self.slow_part and not reading.done():
                await loop.sock_sendall(connection, self.slow_part)
                await asyncio.sleep(0.05)
            await reading
        except OSError:
            pass
        finally:
            self.is_open = False
            self.settled.set()
            connection.close()

    async def send(self, loop, connection, part):
        """Sends a part, or what the gateway takes of it: it may cease to read from this caller."""
        try:
            await asyncio.wait_for(loop.sock_sendall(connection, part), PART_LIMIT_S)
        except asyncio.TimeoutError:
            pass

    async def wait_for_answers(self, reading):
        if not self.reads:
            await asyncio.sleep(ANSWER_TIME_S)

    async def read(self, loop, connection):
        if not self.reads:
            await asyncio.sleep(3600)
        try:
            while await loop.sock_recv(connection, 65536):
                pass
        except OSError:
            pass  # Turned away.


def request_head(method, path, number, *lines):
    return "\r\n".join([f"{method} {path} HTTP/1.1", "Host: h", f"X-Request-Id: crowd-{number}",
                        "X-Deadline-Ms: 20000", *lines, "", ""]).encode()


def unfinished_bodies(count, size=MAX_BODY_BYTES, path="/uploads/x"):
    """Bodies with a length that stop one byte before their end."""
    body = b"b" * (size - 1)
    return [Caller([request_head("POST", path, f"u{number}", f"Content-Length: {size}"), body])
            for number in range(count)]


def dripping_bodies(count, size=MAX_BODY_BYTES, last_bytes=4096):
    """Bodies with a length whose last bytes come one by one."""
    body = b"b" * (size - last_bytes)
    return [Caller([request_head("POST", "/uploads/x", f"v{number}", f"Content-Length: {size}"),
                    body], slow_part=b"b") for number in range(count)]


def complete_bodies(count, size=MAX_BODY_BYTES, path="/deaf/x"):
    body = b"b" * size
    return [Caller([request_head("POST", path, f"c{number}", f"Content-Length: {size}"), body])
            for number in range(count)]


def chunked_bodies(count, chunk_bytes, body_bytes):
    """Bodies in chunks of one size that stop before the empty chunk that ends them."""
    chunk = b"%x\r\n" % chunk_bytes + b"c" * chunk_bytes + b"\r\n"
    chunks = chunk * (body_bytes // chunk_bytes)
    return [Caller([request_head("POST", "/uploads/x", f"h{number}", "Transfer-Encoding: chunked"),
                    chunks]) for number in range(count)]


def endless_bodies(count, sent_bytes, listener, framing, chunk_bytes=0, prefix=b""):
    """Bodies over the limit, of which the callers send much more than the limit, and then drip. They
    don't close, whatever they are answered."""
    piece = b"%x\r\n" % chunk_bytes + b"o" * chunk_bytes + b"\r\n" if chunk_bytes else b"o" * 65536
    body = piece * (sent_bytes // len(piece))
    return [Caller([prefix + request_head("POST", "/uploads/x", f"o{number}", framing), body],
                   slow_part=piece, reads=False, listener=listener) for number in range(count)]


def pipelined_requests(count, requests, listener):
    """Requests that are answered at once, one behind the other; no answer is read."""
    return [Caller([request_head("GET", "/none/x", "p") * requests], reads=False, listener=listener)
            for _ in range(count)]


class StallingCaller(Caller):
    """A caller that asks for some answers, one after the other, and reads them as fast as they come.
    Then it asks for more and reads no more."""

    def __init__(self, request, read_answers, unread_answers, answer_bytes):
        super().__init__([])
        self.request, self.answer_bytes = request, answer_bytes
        self.read_answers, self.unread_answers = read_answers, unread_answers
        self.receive_buffer_bytes = 2 ** 18
        self.stalled = asyncio.Event()

    async def wait_for_answers(self, reading):
        stalled = asyncio.create_task(self.stalled.wait())
        await asyncio.wait((reading, stalled), return_when=asyncio.FIRST_COMPLETED)
        stalled.cancel()
        await asyncio.sleep(ANSWER_TIME_S)

    async def read(self, loop, connection):
        for _ in range(self.read_answers):
            await loop.sock_sendall(connection, self.request)
            received = await loop.sock_recv(connection, 65536)
            if not received.startswith(b"HTTP/1.1 200 "):
                break
            left = self.answer_bytes - len(received)
            while left > 0 and received:
                received = await loop.sock_recv(connection, 65536)
                left -= len(received)
        await loop.sock_sendall(connection, self.request * self.unread_answers)
        self.stalled.set()
        await asyncio.sleep(3600)


def stalled_answers(count, answer_bytes, read_answers, unread_answers):
    """Answers that cease to be read when their connections have become fast."""
    return [StallingCaller(request_head("GET", "/downloads/x", f"s{number}"), read_answers,
                           unread_answers, answer_bytes) for number in range(count)]


def unread_answers(count, interval_s=0.05):
    """One after the other, so that each answer reaches the gateway whole."""
    return [Caller([request_head("GET", "/downloads/x", f"d{number}")], reads=False,
                   starts_after_s=number * interval_s) for number in range(count)]


def endless_heads(count, lines=15_000):
    """Heads of many short fields that never end; the fields stay within the head's limit."""
    return [Caller([b"GET /ordinary/x HTTP/1.1\r\nHost: h\r\n" + b"a:\r\n" * lines])
            for _ in range(count)]


def silent_connections(count):
    return [Caller([]) for _ in range(count)]


def connections_kept_after_the_answer(count):
    """The callers don't close their side after the answer that ends the connection."""
    return [Caller([request_head("GET", "/none/x", f"k{number}", "Connection: close")], reads=False)
            for number in range(count)]


def run_on(site, check):
    """Runs one check on a site that hasn't started."""
    async def run_check():
        async with site:
            await check(site)
    print(check.__name__, flush=True)
    asyncio.run(run_check())


def run(check, binaries, **options):
    """Runs one check on a gateway's site of its own."""
    print(*(f"{key}={value}" for key, value in options.items()), end=" ", flush=True)
    run_on(MemorySite(binaries, **options), check)
