"""Stand-ins for the platform's store, for servers and for clients, and the gateways as separate processes.

All of them use loopback addresses and the real clock. The stand-ins follow the users' pages PROTOCOL.md and
DEPLOY.md; what a page leaves open, they do as a sound program would.
"""
import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
GATEWAY = ROOT / "target" / "burdockstep-gateway"
TEMPLATE = ROOT / "deploy" / "gateway.toml.template"

# The bounds of a small deployment (the settings example of DEPLOY.md).
BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "stableMs": 3000, "ackMs": 4000, "catchUpS": 4,
          "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
          "rollbackSlackMs": 250, "maxStretchMs": 5000, "retryRatio": 0.2, "budgetWindowS": 10,
          "retrySlack": 58, "coldOvershoot": 1.5, "coldSlack": 5, "evacuateMs": 5000,
          "recoveryS": 15, "ttl_max_s": 5, "maxShift": 0.15}
HEARTBEAT_S = 1.5
LAPSE_S = 3 * HEARTBEAT_S  # An entry is removed after three heartbeat intervals of silence.
LONGEST_RUN_S = 110


class CannotRun(Exception):
    """The case can't be run here, whatever the gateway does."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start, to a file."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Message:
    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_message(reader, has_body=True):
    """Reads one HTTP/1.1 message that has a length, chunks or no body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for each in lines[1:]:
        if ":" in each:
            name, value = each.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if has_body and headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    elif has_body and "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(lines[0], headers, body)


def answer_bytes(status, headers, body=b"", reason="Answer"):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's store: rows, feeds with long polls, and a restoration from an older copy."""

    def __init__(self, record, ip):
        self.record, self.ip = record, ip
        self.tables, self.version, self.era = {}, 0, 1
        self.oldest_version = 0
        self.changed = asyncio.Condition()
        self.is_away = False
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def put(self, table, key, value):
        """Writes a row; a value of None removes it. Returns once the store has acknowledged it."""
        self.version += 1
        self.tables.setdefault(table, {})[key] = (value, self.version)
        async with self.changed:
            self.changed.notify_all()

    def copy(self):
        return {table: dict(rows) for table, rows in self.tables.items()}, self.version

    async def go_away(self):
        self.record.line("store: away")
        self.is_away = True
        for each in list(self.writers):
            each.transport.abort()

    async def return_from(self, copy):
        tables, self.version = copy
        self.tables = {table: dict(rows) for table, rows in tables.items()}
        self.era += 1
        self.is_away = False
        self.record.line(f"store: back from a copy, era {self.era}, version {self.version}")

    def rows(self, table):
        return {key: each for key, each in sorted(self.tables.get(table, {}).items())
                if each[0] is not None}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if self.is_away:
                    writer.transport.abort()
                    return
                status, body = await self.answer(request)
                if self.is_away:
                    writer.transport.abort()
                    return
                headers = [("Content-Type", "application/json"), ("Store-Era", self.era)]
                writer.write(answer_bytes(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def encode(self, table, key, row):
        value, version = row
        encoded = {"table": table, "part": "", "key": key, "schemaVersion": version}
        if value is None:
            return encoded | {"deleted": True}
        return encoded | {"value": base64.b64encode(value).decode()}

    def reply(self, **fields):
        return 200, fields | {"schemaVersion": self.version, "nowMs": int(time.monotonic() * 1000)}

    async def answer(self, request):
        method, target, _ = request.start.split(" ")
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/v1/rows-get":
            table, limit = query["table"], min(int(query.get("limit", 500)), 500)
            keys = [key for key in self.rows(table)
                    if query.get("from", "") <= key and ("to" not in query or key < query["to"])]
            rows = [self.encode(table, key, self.tables[table][key]) for key in keys[:limit]]
            return self.reply(rows=rows, hasMore=len(keys) > limit)
        if path == "/v1/rows-feed":
            return await self.feed(query["table"], int(query["after"]), int(query["waitMs"]) / 1000)
        if path == "/v1/rows-tx" and method == "POST":
            body = json.loads(request.body)
            for each in body["writes"]:
                if each["table"] in ("op", "servers"):
                    return 403, {}
            for each in body["precondition"]:
                row = self.tables.get(each["table"], {}).get(each["key"], (None, 0))
                if (row[1] if row[0] is not None else 0) != each["schemaVersion"]:
                    return 412, {"rows": []}
            for each in body["writes"]:
                await self.put(each["table"], each["key"], base64.b64decode(each["value"]))
            for each in body["remove"]:
                await self.put(each["table"], each["key"], None)
            return self.reply()
        return 404, {}

    async def feed(self, table, after, wait_s):
        era, end = self.era, time.monotonic() + wait_s
        while True:
            if not self.oldest_version <= after <= self.version or self.era != era:
                return 410, {}
            rows = [(row[1], key) for key, row in self.tables.get(table, {}).items()
                    if row[1] > after]
            left = end - time.monotonic()
            if rows or left <= 0 or self.is_away:
                return self.reply(rows=[self.encode(table, key, self.tables[table][key])
                                        for _, key in sorted(rows)])
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
                except TimeoutError:
                    pass


class Server:
    """A server of one service. It registers itself and writes its heartbeats to the store."""

    def __init__(self, record, store, name, service, zone, ip, slots=3, work_s=0.05,
                 recent_work_s=None, kept_objects=30):
        self.record, self.store = record, store
        self.name, self.service, self.zone, self.ip = name, service, zone, ip
        self.slots, self.work_s = slots, work_s
        # Work on one of the objects that the server handled lately; the same as other work if not given.
        self.recent_work_s = work_s if recent_work_s is None else recent_work_s
        self.kept_objects, self.recent_objects = kept_objects, []
        self.free_slots = asyncio.Semaphore(slots)
        self.sequence, self.state, self.registered = 0, "ready", False
        self.is_leaving = False
        self.cold_until = 0.0  # By the record's clock.
        self.next_is_late_s = None  # The next heartbeat gets no answer and is written so much later.
        self.running, self.ended_at = 0, None
        self.arrivals = []  # (time, id, gateway's ip)
        self.runs, self.completed = {}, set()
        self.writers = set()
        self.born = int(time.time() * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.registered = True
        self.heartbeat_task = asyncio.create_task(self.write_heartbeats())

    def cold_left_ms(self):
        return max(int((self.cold_until - self.record.now()) * 1000), 0)

    def entry(self):
        return json.dumps({"address": self.address, "born": self.born,
                           "info": {"service": self.service, "version": "v1", "zone": self.zone,
                                    "slots": self.slots},
                           "status": {"state": self.state, "seq": self.sequence,
                                      "coldLeftMs": self.cold_left_ms()}}).encode()

    async def write_entry(self):
        self.sequence += 1
        await self.store.put("servers", self.name, self.entry())

    async def write_heartbeats(self):
        while self.registered:
            if self.next_is_late_s is not None:
                self.late_write = asyncio.create_task(self.write_late(self.next_is_late_s))
                self.next_is_late_s = None
            elif not self.store.is_away:
                await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def write_late(self, delay_s):
        """The store performs this heartbeat late, and the server gets no answer. The entry lapses again."""
        self.sequence += 1
        entry = self.entry()
        self.record.line(f"server {self.name}: heartbeat {self.sequence} gets no answer")
        await asyncio.sleep(delay_s)
        await self.store.put("servers", self.name, entry)
        self.record.line(f"server {self.name}: that heartbeat is written, {delay_s} s late")
        await asyncio.sleep(LAPSE_S)
        await self.store.put("servers", self.name, None)
        self.record.line(f"server {self.name}: the store removes its entry after {LAPSE_S} s of silence")

    async def leave_without_draining(self):
        """Has its entry removed, and serves on until `end`."""
        self.is_leaving, self.registered = True, False
        self.heartbeat_task.cancel()
        await self.store.put("servers", self.name, None)
        self.record.line(f"server {self.name}: leaves; the store has removed its entry")

    async def lapse(self):
        await self.store.put("servers", self.name, None)
        self.record.line(f"server {self.name}: the store removes its entry after {LAPSE_S} s of silence")

    def end(self):
        self.ended_at = self.record.now()
        self.server.close()
        for each in list(self.writers):
            each.transport.abort()
        self.record.line(f"server {self.name}: ends with {self.running} requests at work")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self.answer(request, writer))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def work_on(self, cookie):
        """Seconds that the request takes; a cold server takes twice as long."""
        is_recent = cookie in self.recent_objects
        if cookie:
            self.recent_objects = [each for each in self.recent_objects if each != cookie] + [cookie]
            del self.recent_objects[:-self.kept_objects]
        return (self.recent_work_s if is_recent else self.work_s) * (2 if self.cold_left_ms() else 1)

    def load(self):
        return f"{min(self.running, self.slots)},{max(self.running - self.slots, 0)},{self.slots},100"

    async def answer(self, request, writer):
        identity = request.header("x-request-id")
        headers = [("X-Instance-Id", self.name), ("X-Backend-Load", self.load())]
        if self.is_leaving:
            headers.append(("Server-Leaving", "1"))
        if request.start.startswith("GET /health "):
            headers.append(("X-Cold-Ms", self.cold_left_ms()))
            return answer_bytes(503 if self.is_leaving else 200, headers)
        headers.append(("X-Request-Id", identity))
        if request.header("x-expect-instance", self.name) != self.name:
            return answer_bytes(421, headers)
        gateway = writer.get_extra_info("peername")[0]
        self.arrivals.append((self.record.now(), identity, gateway))
        self.record.line(f"server {self.name}: {identity} arrives from {gateway}")
        if self.running >= 4 * self.slots:  # As many waiting as `queue` of the site files: 9 beside 3 slots.
            return answer_bytes(503, headers + [("X-Not-Executed", "1")])
        self.running += 1
        self.runs[identity] = self.runs.get(identity, 0) + 1
        try:
            async with self.free_slots:
                await asyncio.sleep(self.work_on(request.header("cookie")))
        finally:
            self.running -= 1
        if self.ended_at is not None:
            raise ConnectionResetError
        self.completed.add(identity)
        body = f"{self.name} {identity}".encode()
        return answer_bytes(200, headers + [("X-Response-Signature", f"{self.name}.{identity}")], body)


def render(template, values):
    """Fills in a template as DEPLOY.md says, as far as this project's template needs it."""
    def look_up(scopes, path):
        for scope in reversed(scopes):
            found = scope
            for part in path.split("."):
                if isinstance(found, dict) and part in found:
                    found = found[part]
                elif isinstance(found, list) and part.isdigit() and int(part) < len(found):
                    found = found[int(part)]
                else:
                    found = None
                    break
            if found is not None:
                return found
        return None

    def fill(text, scopes, current, key):
        section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
        def expand(match):
            value = look_up(scopes, match[1])
            if not value:
                return ""
            if isinstance(value, dict):
                return "".join(fill(match[2], scopes + [each], each, name)
                               for name, each in value.items())
            return fill(match[2], scopes, value, match[1])
        text = section.sub(expand, text)
        def place(match):
            name, is_json = match[1], bool(match[2])
            value = key if name == "@" else current if name == "." else look_up(scopes, name)
            return json.dumps(value) if is_json else "" if value is None else str(value)
        return re.sub(r"\{\{(@|\.|[\w.]+)(\|json)?\}\}", place, text)

    return fill(template, [values], None, None)


class Gateway:
    """One gateway process, started with the command and the template of the deploy file."""

    def __init__(self, record, folder, store, number, zone, zones, bounds=BOUNDS, memory_mb=260):
        self.record, self.number, self.zone = record, number, zone
        self.ip = f"127.0.5.{number}"
        self.node = f"front-{zone}-{number}"
        self.settings = folder / f"{self.node}.toml"
        self.log = folder / f"{self.node}.log"
        self.process = None
        ports = free_ports(self.ip, 5)
        names = ("front", "ready", "directory", "peers", "metrics")
        self.ports = dict(zip(names, ports))
        values = {"node": self.node, "zone": zone, "region": zones[zone], "ip": self.ip,
                  "listen": {each: f"{self.ip}:{self.ports[each]}"
                             for each in ("front", "ready", "directory")},
                  "internalPorts": [self.ports["peers"], self.ports["metrics"]],
                  "provider": {"address": store.address}, "zones": zones, "bounds": bounds,
                  "limits": {"cpuShare": 0.2, "cores": 1, "memoryMb": memory_mb, "maxFds": 4100,
                             "linkMbps": 1000.0, "diskMb": 0}}
        self.settings.write_text(render(TEMPLATE.read_text(), values))

    async def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "BURDOCKSTEP_BOOT": str(self.settings)}
        log = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(GATEWAY), cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.record.line(f"gateway {self.node}: started")

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def is_ready(self):
        try:
            return (await call_once(self.ip, self.ports["ready"], "GET", "/v1/ready", [])).start.split()[1] == "200"
        except OSError:
            return False

    async def metrics(self):
        text = (await call_once(self.ip, self.ports["metrics"], "GET", "/metrics", [])).body.decode()
        return {name: value for name, value in (each.rsplit(" ", 1) for each in text.splitlines())}

    async def kill(self):
        if self.is_running():
            self.process.kill()
            await self.process.wait()


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


async def call_once(ip, port, method, target, headers, body=b"", timeout_s=5.0):
    """Sends one request on a connection of its own and returns the answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines + ["", ""]).encode() + body)
            return await read_message(reader)
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError("closed without a whole answer") from error
        finally:
            writer.close()


def configuration(version, rules, services, limits=None, cold_per_s=4.9):
    """An operator's configuration: rules are (host, prefix, kind, service, timeout in ms)."""
    listeners = {}
    for host, prefix, kind, service, timeout_ms in rules:
        listeners.setdefault(host, []).append(
            {"name": "r" + prefix.strip("/"), "kind": kind, "targetLatencyMs": 300, "priority": 1,
             "affinity": True, "match": {"prefix": prefix},
             "action": {"service": service, "timeoutMs": timeout_ms, "maxAttempts": 2,
                        "homeRegions": []}})
    return json.dumps(
        {"version": f"r{version}",
         "limits": limits or {"headerBytes": 16384, "maxBodyBytes": 67108864,
                              "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
         "listeners": [{"host": host, "rules": each} for host, each in listeners.items()],
         "clusters": [{"name": each, "healthPath": "/health", "maxConns": 330, "protocol": "h1",
                       "tls": False, "coldStartS": 3.0, "coldPerS": cold_per_s} for each in services]}).encode()


async def wait_until(condition, what, timeout_s=20.0):
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise CannotRun(f"not within {timeout_s} s: {what}")


def say(text):
    """Prints, for who watches. The exit status doesn't depend on it."""
    try:
        print(text, flush=True)
    except OSError:
        pass


def run_case(record_path, case):
    """Runs a case and records it: an async function of (record, temporary folder, with_trouble) that returns True
    if the rule held. Returns the exit status."""
    if not GATEWAY.exists():
        print(f"{GATEWAY} is missing; run the build of deploy/system.toml")
        return 2
    record = Record(record_path)
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="burdockstep-review-"))
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"case begins, trouble {'on' if with_trouble else 'off'}")
    # So that the gateways are ended too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    async def run_in_time():
        async with asyncio.timeout(LONGEST_RUN_S):
            return await case(record, temporary, with_trouble)

    try:
        held = asyncio.run(run_in_time())
        verdict = "the rule held" if held else "THE RULE WAS BROKEN"
        record.line(verdict)
        say(verdict)
        return 0 if held else 1
    except (Exception, KeyboardInterrupt) as error:  # None of them says that the rule was broken.
        record.line(f"the case could not run: {error!r}")
        say(f"the case could not run: {error!r}")
        return 2
    finally:
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(temporary, logs, dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
