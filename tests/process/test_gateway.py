"""Gateways as real processes before a site stand-in: routes, leaving, faults of the store, stops."""
import http.client
import json
import pathlib
import signal
import socket
import sys
import tempfile
import threading
import time

from deployment import Process, http as http_call, wait_until

ENTRIES = 3


def free_ports(count):
    """Ports that nobody listens on now."""
    holders = [socket.socket() for _ in range(count)]
    for each in holders:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in holders]
    for each in holders:
        each.close()
    return ports


class Site:
    """The site stand-in and three gateways in two places of one region."""

    def __init__(self, binaries):
        self.binaries = pathlib.Path(binaries)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="burdockstep-gateway-"))
        self.processes = []
        self.gateways = []
        self.version = 0

    def __enter__(self):
        address_file = self.folder / "site"
        self.start([self.binaries / "burdockstep-standin", "--role", "site", "--address-file",
                    str(address_file)], "site.log")
        wait_until(lambda: address_file.exists() and address_file.read_text(), "site listens")
        self.control = "http://" + address_file.read_text().strip()
        self.store = self.state()["store"]
        for number in range(1, 5):
            self.order("upstream", name=f"u{number}", service="reads", place="p1")
        for number in range(1, 3):
            self.order("upstream", name=f"w{number}", service="writes", place="p2")
        self.apply()
        for number in range(ENTRIES):
            self.start_gateway(number)
        for each in self.gateways:
            wait_until(lambda each=each: self.ready(each), "gateway is ready")
        wait_until(lambda: len(self.lookup(self.gateways[0])) == 2, "both of place p1 are named")
        return self

    def __exit__(self, *problem):
        for each in self.processes:
            if each.is_running():
                each.process.kill()
                each.process.wait()
        if problem[0] is not None:
            for log in sorted(self.folder.glob("*.log")):
                print(f"--- {log.name}", *log.read_text().splitlines()[-25:], sep="\n")

    def start(self, arguments, log):
        process = Process([str(each) for each in arguments], self.folder / log)
        self.processes.append(process)
        return process

    def start_gateway(self, number):
        ports = free_ports(5)
        gateway = {"name": f"g{number}", "place": "p1" if number < 2 else "p2",
                   **dict(zip(("callers", "readiness", "lookups", "metrics", "peers"), ports))}
        lines = ["[instance]", f'name = "{gateway["name"]}"', f'place = "{gateway["place"]}"',
                 'region = "r"', f'store = "{self.store}"']
        for key in ("callers", "readiness", "lookups", "metrics", "peers"):
            lines.append(f'{key} = "127.0.0.1:{gateway[key]}"')
        lines += ["[limits]", "stop_limit_ms = 4000", "retry_slack = 100", "drain_limit_ms = 1000",
                  "[places]", 'p1 = "r"', 'p2 = "r"', ""]
        gateway["settings"] = self.folder / f"{gateway['name']}.toml"
        gateway["settings"].write_text("\n".join(lines))
        gateway["process"] = self.start([self.binaries / "burdockstep-gateway", "--settings",
                                         gateway["settings"]], f"{gateway['name']}.log")
        self.gateways.append(gateway)
        return gateway

    def order(self, what, **fields):
        status, _, body = http_call("POST", f"{self.control}/control/{what}",
                                    json.dumps(fields).encode())
        assert status == 200, (what, fields, status)
        return json.loads(body)

    def state(self):
        return json.loads(http_call("GET", f"{self.control}/control/state")[2])

    def apply(self, reads_prefix="/read/"):
        self.version += 3
        def rule(prefix, kind, service):
            return {"name": prefix, "kind": kind, "targetLatencyMs": 1000, "priority": 1,
                    "affinity": True, "match": {"prefix": prefix},
                    "action": {"service": service, "timeoutMs": 3000, "maxAttempts": 2,
                               "homeRegions": []}}
        document = {"version": f"r{self.version}",
                    "limits": {"headerBytes": 16384, "maxBodyBytes": 100000,
                               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                    "listeners": [{"host": "h", "rules": [
                        rule(reads_prefix, "idempotent", "reads"),
                        rule("/write/", "non_idempotent", "writes")]}],
                    "clusters": [{"name": name, "healthPath": "/health", "maxConns": 100,
                                  "coldStartS": 0.2, "coldPerS": 100}
                                 for name in ("reads", "writes")]}
        self.order("row", table="op", key="config", value=json.dumps(document))

    @staticmethod
    def ready(gateway):
        try:
            return http_call("GET", f"http://127.0.0.1:{gateway['readiness']}/v1/ready")[0] == 200
        except OSError:
            return False

    @staticmethod
    def lookup(gateway, place="p1"):
        try:
            status, _, body = http_call(
                "GET", f"http://127.0.0.1:{gateway['lookups']}/v1/resolve?name=h&region=r&zone={place}")
        except OSError:
            return []
        return json.loads(body)["addresses"] if status == 200 else []

    @staticmethod
    def call(gateway, path, request_id, method="GET", body=None):
        headers = {"Host": "h", "X-Request-Id": request_id, "X-Deadline-Ms": "2500",
                   "Cookie": "X-Affinity-Key=7"}
        return http_call(method, f"http://127.0.0.1:{gateway['callers']}{path}", body, headers)


def check_routes(site):
    status, headers, body = site.call(site.gateways[0], "/read/x", "a1")
    assert status == 200 and body.endswith(b"/read/x"), (status, body)
    assert {k.lower(): v for k, v in headers.items()}["x-response-signature"].startswith("u")
    status, _, body = site.call(site.gateways[1], "/write/y", "a2", "POST", b"paid")
    assert status == 200 and body.startswith(b"w"), (status, body)
    assert site.call(site.gateways[2], "/none/", "a3")[0] == 404


def check_pipelined(site):
    with socket.create_connection(("127.0.0.1", site.gateways[0]["callers"]), 5) as caller:
        caller.settimeout(5)
        for number in range(3):
            caller.sendall(f"GET /read/{number} HTTP/1.1\r\nHost: h\r\nX-Request-Id: p{number}\r\n"
                           f"X-Deadline-Ms: 2000\r\n\r\n".encode())
        got = b""
        while got.count(b"/read/") < 3:
            got += caller.recv(65536)
    order = [got.index(f"/read/{number}".encode()) for number in range(3)]
    assert order == sorted(order), got


def check_configuration(site):
    site.apply(reads_prefix="/moved/")
    wait_until(lambda: all(site.call(each, "/moved/x", "c1")[0] == 200 for each in site.gateways),
             "the new route is served by all")
    assert site.call(site.gateways[0], "/read/x", "c2")[0] == 404
    site.apply()
    wait_until(lambda: all(site.call(each, "/read/x", "c3")[0] == 200 for each in site.gateways),
             "the old route is back")


def runs_after(site, name, wait_s, calls=12):
    """How many requests an upstream gets once `wait_s` have passed."""
    time.sleep(wait_s)
    before = site.state()["runs"][name]
    for number in range(calls):
        for each in site.gateways:
            site.call(each, "/read/x", f"d{name}{number}{each['name']}")
    return site.state()["runs"][name] - before


def check_leaving(site):
    served_by = site.call(site.gateways[0], "/read/x", "l0")[2].split()[0].decode()
    site.order("change", name=served_by, change="drain")
    assert runs_after(site, served_by, 1.0) == 0, "a draining upstream got requests"
    served_by = site.call(site.gateways[0], "/read/x", "l1")[2].split()[0].decode()
    site.order("change", name=served_by, change="leave")
    assert runs_after(site, served_by, 1.0) == 0, "a removed upstream got requests"


def check_at_most_once(site):
    for name in ("w1", "w2"):
        site.order("change", name=name, change="lose")
    status = site.call(site.gateways[0], "/write/z", "once", "POST", b"x")[0]
    assert status == 502, status
    state = site.state()
    assert sum(state["most_runs_of_one"][name] for name in ("w1", "w2")) <= 2, state
    for name in ("w1", "w2"):
        site.order("change", name=name, change="shed")
    status, headers, _ = site.call(site.gateways[0], "/write/z", "shed", "POST", b"x")
    assert status == 503 and any(each.lower() == "retry-after" for each in headers), headers
    for name in ("w1", "w2"):
        site.order("change", name=name, change="heal")
    wait_until(lambda: site.call(site.gateways[0], "/write/z", "again", "POST", b"x")[0] == 200,
             "writes are served again")


def check_store_outage(site):
    for mode in ("silent", "busy", "slow", "forget"):
        site.order("store", mode=mode)
        give_up = time.monotonic() + 2.5
        while time.monotonic() < give_up:
            for each in site.gateways:
                assert site.call(each, "/read/x", f"o{mode}")[0] == 200, mode
            time.sleep(0.1)
        site.order("store", mode="none")
    site.apply(reads_prefix="/after/")
    wait_until(lambda: all(site.call(each, "/after/x", "o1")[0] == 200 for each in site.gateways),
             "a change after the outages is in force")
    site.apply()
    wait_until(lambda: all(site.call(each, "/read/x", "o2")[0] == 200 for each in site.gateways),
             "the route is back")


def store_calls(gateway):
    body = http_call("GET", f"http://127.0.0.1:{gateway['metrics']}/metrics")[2].decode()
    figures = dict(line.rsplit(" ", 1) for line in body.splitlines())
    return int(figures["burdockstep_store_calls_total"])


def check_registry_readers(site):
    """Two entries read the registry; the third one lives from what they tell."""
    before = [store_calls(each) for each in site.gateways]
    wait_until(lambda: max(store_calls(each) - old
                           for each, old in zip(site.gateways, before)) >= 12, "readers read")
    grown = sorted(store_calls(each) - old for each, old in zip(site.gateways, before))
    assert grown[0] * 3 <= grown[-1], grown


def check_reload(site):
    gateway = site.gateways[0]
    gateway["process"].signal(signal.SIGHUP)
    good = gateway["settings"].read_text()
    gateway["settings"].write_text("[instance]\n")
    gateway["process"].signal(signal.SIGHUP)
    time.sleep(0.3)
    assert site.call(gateway, "/read/x", "h1")[0] == 200
    gateway["settings"].write_text(good)


def check_kill(site):
    killed = site.gateways[1]
    address = f"127.0.0.1:{killed['callers']}"
    assert address in site.lookup(site.gateways[0])
    killed["process"].signal(signal.SIGKILL)
    wait_until(lambda: address not in site.lookup(site.gateways[0]), "look-ups drop a dead entry")


def check_stop(site):
    gateway = site.gateways[0]
    for name in site.state()["runs"]:
        site.order("change", name=name, change="slow")
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(site.call(gateway, "/read/last", "s1")[0]))
    kept = http.client.HTTPConnection("127.0.0.1", gateway["callers"], timeout=10)
    caller.start()
    time.sleep(0.3)
    gateway["process"].signal(signal.SIGTERM)
    wait_until(lambda: not site.ready(gateway), "a stopping entry isn't ready")
    # Connections that are open are served until the process goes.
    kept.request("GET", "/read/kept", headers={"Host": "h", "X-Request-Id": "s2",
                                               "X-Deadline-Ms": "2500"})
    assert kept.getresponse().status in (200, 503)
    caller.join()
    assert answers == [200], answers
    assert gateway["process"].wait() == 0


def main():
    with Site(sys.argv[1]) as site:
        for check in (check_routes, check_pipelined, check_configuration, check_leaving,
                      check_at_most_once, check_store_outage, check_registry_readers, check_reload, check_kill,
                      check_stop):
            began = time.monotonic()
            check(site)
            print(f"{check.__name__}: {time.monotonic() - began:.1f} s", flush=True)


main()
