"""Stand-ins of a small deployment for the scripts of the review: the platform's store, backends,
clients, and the starting and stopping of gateways. All of them run in one asyncio loop; the gateways
run as processes with the command and the settings template of the deploy file."""
import asyncio
import base64
import json
import os
import pathlib
import re
import signal
import socket
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy/system.toml").read_text())
ROLE = next(iter(DEPLOY["roles"].values()))
# The bounds that the pages give for the site armor-caramel.
BOUNDS = {"graceS": 6, "drainMs": 2000, "retryRatio": 0.2, "retrySlack": 58, "budgetWindowS": 10,
          "maxShift": 0.15, "stableMs": 3000, "evacuateMs": 5000}
MEMORY_MB = 260
HEARTBEAT_S = 1.5
ZONES = {"quimper": "finistere", "brest": "finistere", "vannes": "morbihan", "lorient": "morbihan",
         "rennes": "ille", "fougeres": "ille"}


def now_ms():
    return int(time.time() * 1000)


class Record:
    """The record of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def at(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.at():9.3f} {text}\n")


def free_ports(ip, count):
    """Returns different ports that nobody uses at this address."""
    probes = [socket.socket() for _ in range(count)]
    for each in probes:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in probes]
    for each in probes:
        each.close()
    return ports


# Settings ------------------------------------------------------------------------------------------

def find_field(name, scopes):
    if name == ".":
        return scopes[-1][0]
    if name == "@":
        return scopes[-1][1]
    for value, _ in reversed(scopes):
        found = value
        for part in name.split("."):
            if isinstance(found, list) and part.isdigit() and int(part) < len(found):
                found = found[int(part)]
            elif isinstance(found, dict) and part in found:
                found = found[part]
            else:
                break
        else:
            return found
    return None


def render(text, scopes):
    """Fills in a settings template as DEPLOY.md describes it (values, |json, and sections)."""
    section = re.search(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", text, re.S)
    if section:
        value = find_field(section[1], scopes)
        entries = value.items() if isinstance(value, dict) else []
        inside = "".join(render(section[2], scopes + [(each, key)]) for key, each in entries)
        return (render(text[:section.start()], scopes) + inside +
                render(text[section.end():], scopes))

    def fill(match):
        name, _, form = match[1].partition("|")
        value = find_field(name, scopes)
        return json.dumps(value) if form == "json" else "" if value is None else str(value)
    return re.sub(r"\{\{([^#/}][^}]*)\}\}", fill, text)


# HTTP ----------------------------------------------------------------------------------------------

async def read_head(reader):
    """Returns the start line and the headers with lower-case names, or None at the end."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(start, headers, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


# The platform's store ------------------------------------------------------------------------------

class Store:
    """Tables of rows with one version counter, long polls and a history of all changes."""

    def __init__(self, ip):
        self.ip = ip
        self.rows = {}
        self.version = 1
        self.history = []  # (version, table, key, value or None)
        self.changed = asyncio.Event()
        self.era = 0
        self.turns_away = lambda ip: False  # Machines that get 503.
        self.keeps_each_change = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def put(self, table, key, value):
        """Writes or, with None, removes a row. Returns the version."""
        self.version += 1
        rows = self.rows.setdefault(table, {})
        if value is None:
            rows.pop(key, None)
        else:
            rows[key] = (base64.b64encode(value).decode(), self.version)
        self.history.append((self.version, table, key, rows.get(key, (None,))[0]))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put_json(self, table, key, value):
        return self.put(table, key, json.dumps(value).encode())

    def feed(self, table, after):
        changes = [each for each in self.history if each[0] > after and each[1] == table]
        if not self.keeps_each_change:
            changes = sorted({each[2]: each for each in changes}.values())
        return [{"table": table, "part": "", "key": key, "schemaVersion": version,
                 **({"deleted": True} if value is None else {"value": value})}
                for version, _, key, value in changes]

    async def answer(self, line, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        fields = dict(each.split("=", 1) for each in query.split("&") if "=" in each)
        if path == "/v1/rows-get":
            first = fields.get("from", "").replace("%2F", "/")
            rows = [{"table": fields["table"], "part": "", "key": key, "value": value,
                     "schemaVersion": version}
                    for key, (value, version) in sorted(self.rows.get(fields["table"], {}).items())
                    if key >= first]
            return 200, {"rows": rows[:500], "hasMore": len(rows) > 500}
        if path == "/v1/rows-feed":
            after, wait = int(fields["after"]), int(fields.get("waitMs", "0")) / 1000
            end = time.monotonic() + wait
            if after > self.version:
                return 410, {}
            while not (rows := self.feed(fields["table"], after)) and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            return 200, {"rows": rows}
        if path == "/v1/rows-tx" and method == "POST":
            await asyncio.sleep(0.008)
            for each in json.loads(body)["writes"]:
                self.put(each["table"], each["key"], base64.b64decode(each["value"]))
            return 200, {}
        return 404, {}

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                await asyncio.sleep(0.004)
                status, answer = (503, {}) if self.turns_away(peer) else \
                    await self.answer(head[0], body)
                answer |= {"schemaVersion": self.version, "nowMs": int(time.monotonic() * 1000)}
                writer.write(message(f"HTTP/1.1 {status} X",
                                     {"Content-Type": "application/json", "Store-Era": self.era},
                                     json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# Backends ------------------------------------------------------------------------------------------

class Backend:
    """A backend that runs requests in its slots and registers itself in the store."""

    def __init__(self, site, name, service, zone, ip, work_s, slots=3):
        self.site, self.name, self.service, self.zone, self.ip = site, name, service, zone, ip
        self.work_s, self.slots = work_s, slots
        self.born, self.seq, self.state = now_ms(), 0, "ready"
        self.leaving = False
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.runs = {}
        self.on_request = lambda backend, request_id, peer: None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port, limit=1 << 17)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self.beat())

    def registration(self):
        return {"address": f"{self.ip}:{self.port}", "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone,
                         "slots": self.slots},
                "status": {"state": self.state, "seq": self.seq, "coldLeftMs": 0}}

    def register(self):
        self.seq += 1
        return self.site.store.put_json("servers", self.name, self.registration())

    async def beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def load(self):
        return f"{self.running},{self.waiting},{self.slots},100"

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                writer.write(await self.answer(head, body, peer))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, head, body, peer):
        line, headers = head
        if line.split(" ")[1] == "/health":
            return message("HTTP/1.1 200 OK" if not self.leaving else "HTTP/1.1 503 X",
                           {"X-Instance-Id": self.name, "X-Backend-Load": self.load()})
        request_id = headers.get("x-request-id", "-")
        common = {"X-Request-Id": request_id, "X-Instance-Id": self.name}
        if self.leaving:
            common |= {"Server-Leaving": "1"}
        if headers.get("x-expect-instance", self.name) != self.name:
            return message("HTTP/1.1 421 X", common)
        self.on_request(self, request_id, peer)
        if self.waiting >= 3 * self.slots:
            return message("HTTP/1.1 503 X", common | {"X-Not-Executed": "1"})
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.site.record(f"run {request_id} at {self.name} body {len(body)}")
            await asyncio.sleep(self.work_s)
            self.running -= 1
        return message("HTTP/1.1 200 OK", common | {
            "X-Response-Signature": f"{self.name}.{request_id}", "X-Backend-Load": self.load()},
            f"{request_id} {line.split(' ')[1]}".encode())


# Gateways ------------------------------------------------------------------------------------------

class Gateway:
    """One machine that runs the deploy file's role. It keeps its addresses when it starts again."""

    def __init__(self, site, name, zone, ip):
        self.site, self.name, self.zone, self.ip = site, name, zone, ip
        names = ("front", "ready", "directory", "control", "peers", "metrics")
        self.ports = dict(zip(names, free_ports(ip, len(names))))
        self.process = None
        self.ends = []

    def listen(self, what):
        return f"{self.ip}:{self.ports[what]}"

    def fields(self):
        return {"node": self.name, "role": "gateway", "ip": self.ip, "zone": self.zone,
                "region": ZONES[self.zone], "limits": {"memoryMb": MEMORY_MB},
                "internalPorts": [self.ports["peers"], self.ports["metrics"]],
                "listen": {each: self.listen(each)
                           for each in ("front", "ready", "control", "directory")},
                "zones": ZONES, "provider": {"address": self.site.store.address},
                "bounds": BOUNDS}

    async def start(self):
        settings = self.site.folder / f"{self.name}.toml"
        settings.write_text(render((ROOT / ROLE["template"]).read_text(), [(self.fields(), None)]))
        log = open(self.site.folder / f"{self.name}.log", "ab")
        environment = {each: os.environ[each] for each in ("PATH", "HOME", "LANG")
                       if each in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            *ROLE["run"].split(" "), cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
            env=environment | {"BURDOCKSTEP_BOOT": str(settings)})
        log.close()
        self.site.record(f"start {self.name}")

    def send_signal(self, number):
        self.site.record(f"signal {signal.Signals(number).name} {self.name}")
        self.process.send_signal(number)

    def memory_mb(self):
        """Resident memory of the process, in units of 2^20 bytes."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
            return int(re.search(r"VmRSS:\s+(\d+) kB", text)[1]) / 1024
        except (OSError, TypeError):
            return 0.0

    async def is_ready(self):
        try:
            return (await call(self.ip, self.ports["ready"], "GET", "/v1/ready"))[0] == 200
        except (ConnectionError, OSError, asyncio.TimeoutError):
            return False


async def exchange(reader, writer, bytes_to_send):
    """Sends a request and returns status, headers and body; status 0 if the connection ends."""
    try:
        writer.write(bytes_to_send)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return 0, {}, b""
        return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])
    except (ConnectionError, OSError, asyncio.IncompleteReadError):
        return 0, {}, b""


async def call(ip, port, method, target, headers=None, body=b"", timeout=5.0):
    """One request on a new connection."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1.0)
    try:
        start = f"{method} {target} HTTP/1.1"
        request = message(start, headers or {"Host": "x"}, body)
        return await asyncio.wait_for(exchange(reader, writer, request), timeout)
    finally:
        writer.close()


class Site:
    """A small deployment: a store, backends of some services, and gateways."""

    def __init__(self, record_path, routes, limits=None):
        self.record = Record(record_path)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        self.store = Store("127.0.0.1")
        self.routes = routes  # prefix -> (kind, service, timeout in ms)
        self.limits = {"headerBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000} | (limits or {})
        self.backends, self.gateways = [], []
        self.version = 0

    async def start(self):
        await self.store.start()

    def configure(self):
        self.version += 2
        rules = [{"name": prefix, "kind": kind, "targetLatencyMs": 1000, "priority": 1,
                  "affinity": True, "match": {"prefix": prefix},
                  "action": {"service": service, "timeoutMs": timeout, "maxAttempts": 2,
                             "homeRegions": []}}
                 for prefix, (kind, service, timeout) in self.routes.items()]
        services = sorted({each[1] for each in self.routes.values()})
        self.store.put_json("op", "config", {
            "version": f"r{self.version}", "limits": self.limits,
            "listeners": [{"host": "h.example", "rules": rules}],
            "clusters": [{"name": each, "healthPath": "/health", "maxConns": 330,
                          "protocol": "h1", "tls": False, "coldStartS": 3.0, "coldPerS": 4.9}
                         for each in services]})

    async def add_backend(self, *arguments, **options):
        backend = Backend(self, *arguments, **options)
        await backend.start()
        self.backends.append(backend)
        return backend

    async def add_gateway(self, name, zone, ip):
        gateway = Gateway(self, name, zone, ip)
        self.gateways.append(gateway)
        await gateway.start()
        return gateway

    async def wait_ready(self, limit_s=10.0):
        end = time.monotonic() + limit_s
        for each in self.gateways:
            while not await each.is_ready():
                if time.monotonic() > end:
                    raise RuntimeError(f"{each.name} isn't ready")
                await asyncio.sleep(0.1)

    def stop(self):
        """Ends all gateways by their process ids, also stopped ones."""
        for each in self.gateways:
            if each.process is not None and each.process.returncode is None:
                try:
                    each.process.kill()
                except ProcessLookupError:
                    pass
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for each in self.folder.glob("*.log"):
                (pathlib.Path(keep) / each.name).write_bytes(each.read_bytes())
        self.temporary.cleanup()


def request_headers(request_id, deadline_ms, key=None):
    return {"Host": "h.example", "X-Request-Id": request_id, "X-Deadline-Ms": deadline_ms} | (
        {"Cookie": f"X-Affinity-Key={key}"} if key is not None else {})


def run_case(folder, play):
    """Runs play(folder, trouble) and exits with its result: 0 held, 1 broken, 2 couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run_limited():
        # So that a terminated script still ends its processes.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM,
                                                      asyncio.current_task().cancel)
        return await asyncio.wait_for(play(pathlib.Path(folder), trouble), 115)

    try:
        code = asyncio.run(run_limited())
    except (Exception, asyncio.CancelledError) as problem:  # noqa: BLE001 - any failure is code 2
        print(f"the case couldn't run: {problem!r}")
        code = 2
    raise SystemExit(code)
