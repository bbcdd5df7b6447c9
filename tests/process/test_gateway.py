"""Runs three gateways as processes against the site stand-in, which simulates the platform's store
and the upstreams. Checks routing, leaving upstreams, store faults, reloads, kills and stops."""
import http.client
import io
import json
import pathlib
import signal
import socket
import sys
import tempfile
import threading
import time

from deployment import Process, http as http_call, wait_until

GATEWAY_COUNT = 3


given_ports = set()


def free_ports(count):
    """Returns ports that are not in use at the moment and that were not returned before: a gateway
    may not have bound the ones that it was given."""
    sockets = []
    ports = []
    while len(ports) < count:
        sockets.append(socket.socket())
        sockets[-1].bind(("127.0.0.1", 0))
        port = sockets[-1].getsockname()[1]
        if port not in given_ports:
            ports.append(port)
            given_ports.add(port)
    for each in sockets:
        each.close()
    return ports


class GatewayDeployment:
    """The site stand-in and three gateways in two places of one region. Prints the end of each log
    if a check fails."""

    further_limits = []  # Lines of the settings' table of limits, for deployments derived from this.

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
        wait_until(lambda: address_file.exists() and address_file.read_text(),
                   "site stand-in listens")
        self.control = "http://" + address_file.read_text().strip()
        self.store = self.state()["store"]
        for number in range(1, 5):
            self.post_control("upstream", name=f"u{number}", service="reads", place="p1")
        for number in range(1, 3):
            self.post_control("upstream", name=f"w{number}", service="writes", place="p2")
        self.apply()
        for number in range(GATEWAY_COUNT):
            self.start_gateway(number)
        for each in self.gateways:
            wait_until(lambda each=each: self.ready(each), "gateway is ready")
        wait_until(lambda: len(self.lookup(self.gateways[0])) == 2,
                   "a look-up returns both gateways of place p1")
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
                  *self.further_limits, "[places]", 'p1 = "r"', 'p2 = "r"', ""]
        gateway["settings"] = self.folder / f"{gateway['name']}.toml"
        gateway["settings"].write_text("\n".join(lines))
        gateway["process"] = self.start([self.binaries / "burdockstep-gateway", "--settings",
                                         gateway["settings"]], f"{gateway['name']}.log")
        self.gateways.append(gateway)
        return gateway

    def post_control(self, what, **fields):
        status, _, body = http_call("POST", f"{self.control}/control/{what}",
                                    json.dumps(fields).encode())
        assert status == 200, (what, fields, status)
        return json.loads(body)

    def state(self):
        return json.loads(http_call("GET", f"{self.control}/control/state")[2])

    def apply(self, reads_prefix="/read/", write_timeout_ms=3000):
        self.version += 3
        def rule(prefix, kind, service, timeout_ms=3000):
            return {"name": prefix, "kind": kind, "targetLatencyMs": 1000, "priority": 1,
                    "affinity": True, "match": {"prefix": prefix},
                    "action": {"service": service, "timeoutMs": timeout_ms, "maxAttempts": 2,
                               "homeRegions": []}}
        document = {"version": f"r{self.version}",
                    "limits": {"headerBytes": 16384, "maxBodyBytes": 100000,
                               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                    "listeners": [{"host": "h", "rules": [
                        rule(reads_prefix, "idempotent", "reads"),
                        rule("/write/", "non_idempotent", "writes", write_timeout_ms)]}],
                    "clusters": [{"name": name, "healthPath": "/health", "maxConns": 100,
                                  "coldStartS": 0.2, "coldPerS": 100}
                                 for name in ("reads", "writes")]}
        self.post_control("row", table="op", key="config", value=json.dumps(document))

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


def check_requests_reach_upstreams_of_their_route(deployment):
    status, headers, body = deployment.call(deployment.gateways[0], "/read/x", "a1")
    assert status == 200 and body.endswith(b"/read/x"), (status, body)
    assert {k.lower(): v for k, v in headers.items()}["x-response-signature"].startswith("u")
    status, _, body = deployment.call(deployment.gateways[1], "/write/y", "a2", "POST", b"paid")
    assert status == 200 and body.startswith(b"w"), (status, body)
    assert deployment.call(deployment.gateways[2], "/none/", "a3")[0] == 404


def check_requests_without_an_id_are_sent_on_new_connections(deployment):
    """An answer without an id can't be told from a late copy of an earlier one."""
    gateway = deployment.gateways[0]
    for number in range(2):
        assert deployment.call(gateway, "/read/x", f"i{number}")[0] == 200
    before = metric(gateway, "upstream_connections_reused_total")
    for _ in range(3):
        status = http_call("GET", f"http://127.0.0.1:{gateway['callers']}/read/x", None,
                           {"Host": "h", "X-Deadline-Ms": "2500"})[0]
        assert status == 200, status
    after = metric(gateway, "upstream_connections_reused_total")
    assert after == before, f"{after - before} requests without an id on kept connections"


def check_pipelined_requests_are_answered_in_order(deployment):
    with socket.create_connection(("127.0.0.1", deployment.gateways[0]["callers"]), 5) as caller:
        caller.settimeout(5)
        for number in range(3):
            caller.sendall(f"GET /read/{number} HTTP/1.1\r\nHost: h\r\nX-Request-Id: p{number}\r\n"
                           f"X-Deadline-Ms: 2000\r\n\r\n".encode())
        received = b""
        while received.count(b"/read/") < 3:
            received += caller.recv(65536)
    positions = [received.index(f"/read/{number}".encode()) for number in range(3)]
    assert positions == sorted(positions), received


def check_new_routes_replace_old_ones_on_all_gateways(deployment):
    deployment.apply(reads_prefix="/moved/")
    wait_until(lambda: all(deployment.call(each, "/moved/x", "c1")[0] == 200
                           for each in deployment.gateways), "all gateways serve the new route")
    assert deployment.call(deployment.gateways[0], "/read/x", "c2")[0] == 404
    deployment.apply()
    wait_until(lambda: all(deployment.call(each, "/read/x", "c3")[0] == 200
                           for each in deployment.gateways),
               "all gateways serve the old route again")


def requests_served_after_wait(deployment, name, wait_s, calls=12):
    """Waits `wait_s` seconds, sends `calls` requests to each gateway and returns how many of them
    the upstream `name` served."""
    time.sleep(wait_s)
    before = deployment.state()["runs"][name]
    for number in range(calls):
        for each in deployment.gateways:
            deployment.call(each, "/read/x", f"d{name}{number}{each['name']}")
    return deployment.state()["runs"][name] - before


def check_draining_and_removed_upstreams_get_no_requests(deployment):
    serving_upstream = deployment.call(deployment.gateways[0], "/read/x",
                                       "l0")[2].split()[0].decode()
    deployment.post_control("change", name=serving_upstream, change="drain")
    assert requests_served_after_wait(deployment, serving_upstream, 1.0) == 0, \
        "a draining upstream got requests"
    serving_upstream = deployment.call(deployment.gateways[0], "/read/x",
                                       "l1")[2].split()[0].decode()
    deployment.post_control("change", name=serving_upstream, change="leave")
    assert requests_served_after_wait(deployment, serving_upstream, 1.0) == 0, \
        "a removed upstream got requests"


def metric(gateway, name):
    body = http_call("GET", f"http://127.0.0.1:{gateway['metrics']}/metrics")[2].decode()
    metrics_by_name = dict(line.rsplit(" ", 1) for line in body.splitlines())
    return int(metrics_by_name[f"burdockstep_{name}"])


def wait_until_usable(deployment, count):
    wait_until(lambda: all(metric(each, "upstreams_usable") == count
                           for each in deployment.gateways),
               f"all gateways know {count} usable upstreams")


def call_all(deployment, calls, prefix):
    """Sends `calls` requests for the same object to each gateway."""
    for number in range(calls):
        for each in deployment.gateways:
            deployment.call(each, "/read/x", f"{prefix}{number}{each['name']}")


def check_upstream_that_says_it_is_leaving_gets_no_requests(deployment):
    """Its registration still says that it is ready."""
    name = deployment.call(deployment.gateways[0], "/read/x", "v0")[2].split()[0].decode()
    deployment.post_control("change", name=name, change="say-leaving")
    # One answer tells the gateway; its peers are told by it.
    assert deployment.call(deployment.gateways[0], "/read/x", "v1")[0] == 200
    time.sleep(1.0)
    before = deployment.state()["arrivals"][name]
    call_all(deployment, 12, "v")
    assert deployment.state()["arrivals"][name] == before, "a leaving upstream got requests"
    usable = metric(deployment.gateways[0], "upstreams_usable")
    for number in (5, 6):
        deployment.post_control("upstream", name=f"u{number}", service="reads", place="p1")
    wait_until_usable(deployment, usable + 2)


def check_upstream_that_asks_for_a_pause_gets_no_requests(deployment):
    name = deployment.call(deployment.gateways[0], "/read/x", "b0")[2].split()[0].decode()
    deployment.post_control("change", name=name, change="pause 2.5")
    arrivals = [deployment.state()["arrivals"][name]]
    for each in deployment.gateways:
        for number in range(13):
            # The request that is turned away is served by another upstream.
            assert deployment.call(each, "/read/x", f"b{number}{each['name']}")[0] == 200
        arrivals.append(deployment.state()["arrivals"][name])
    # Not always the first: an upstream that was just added may be tried before the paused one.
    turned_away = [after - before for before, after in zip(arrivals, arrivals[1:])]
    assert max(turned_away) == 1, f"requests of each gateway to a paused upstream: {turned_away}"
    before = arrivals[-1]
    deployment.post_control("change", name=name, change="heal")
    wait_until(lambda: (call_all(deployment, 2, "bh"),
                        deployment.state()["arrivals"][name] > before)[1],
               "the upstream gets requests again after its pause")


def odd_registrations():
    """Registrations that another program wrote and no upstream can have, by key."""
    def registration(**changes):
        fields = {"address": "127.0.0.1:9", "slots": 3, "service": "reads", "seq": 1, **changes}
        return ('{"address":"%(address)s","info":{"service":"%(service)s","version":"v1",'
                '"zone":"p1","slots":%(slots)s},"status":{"state":"ready","seq":%(seq)s,'
                '"coldLeftMs":0},"born":1}' % fields)
    return {"odd-nested": "[" * 10_000 + "]" * 10_000,
            "odd-nested-object": '{"a":' * 10_000 + "1" + "}" * 10_000,
            "odd-slots": registration(slots="18446744073709551615"),
            "odd-slots-2": registration(slots="4000000000"),
            "odd-slots-3": registration(slots="1e400"),
            "odd-seq": registration(seq="9223372036854775808"),
            "odd-port": registration(address="127.0.0.1:65536"),
            "odd-port-2": registration(address="127.0.0.1:0"),
            "odd-port-3": registration(address="127.0.0.1:-1"),
            "odd-service": registration(service="s" * 201),
            "odd-text": "\x00\x01 no document"}


def check_odd_registrations_are_ignored_and_the_list_is_followed(deployment):
    odd = odd_registrations()
    for key, value in odd.items():
        deployment.post_control("row", table="servers", key=key, value=value)
    # A valid registration with the longest names must reach all gateways too.
    longest = "n" * 200
    usable = metric(deployment.gateways[0], "upstreams_usable")
    deployment.post_control("upstream", name=longest, service="reads", place="p1")
    def log_lines(gateway):
        return gateway["process"].log.read_text(errors="replace").splitlines()
    def reports(gateway, key):
        return [each for each in log_lines(gateway)
                if "can't be parsed" in each and f"upstream={key} " in each + " "]
    wait_until_usable(deployment, usable + 1)
    deployment.post_control("row", table="servers", key="odd-slots", value="{")
    time.sleep(1.0)
    for each in deployment.gateways:
        assert each["process"].is_running(), f"{each['name']} has ended"
        assert deployment.call(each, "/read/x", f"q{each['name']}")[0] == 200
        for key in odd:
            assert len(reports(each, key)) <= 1, (each["name"], key, reports(each, key))
    for key in odd:
        assert any(reports(each, key) for each in deployment.gateways), f"{key} was not reported"
        deployment.post_control("remove", table="servers", key=key)
    deployment.post_control("change", name=longest, change="leave")


def check_lost_write_gets_502_and_shed_write_gets_503_with_retry_after(deployment):
    for name in ("w1", "w2"):
        deployment.post_control("change", name=name, change="lose")
    status = deployment.call(deployment.gateways[0], "/write/z", "once", "POST", b"x")[0]
    assert status == 502, status
    state = deployment.state()
    assert sum(state["most_runs_of_one"][name] for name in ("w1", "w2")) <= 2, state
    for name in ("w1", "w2"):
        deployment.post_control("change", name=name, change="shed")
    status, headers, _ = deployment.call(deployment.gateways[0], "/write/z", "shed", "POST", b"x")
    assert status == 503 and any(each.lower() == "retry-after" for each in headers), headers
    for name in ("w1", "w2"):
        deployment.post_control("change", name=name, change="heal")
    wait_until(lambda: deployment.call(deployment.gateways[0], "/write/z", "again", "POST",
                                       b"x")[0] == 200, "writes are served again")


def check_requests_are_served_during_store_faults(deployment):
    for mode in ("silent", "busy", "slow", "forget"):
        deployment.post_control("store", mode=mode)
        deadline = time.monotonic() + 2.5
        while time.monotonic() < deadline:
            for each in deployment.gateways:
                assert deployment.call(each, "/read/x", f"o{mode}")[0] == 200, mode
            time.sleep(0.1)
        deployment.post_control("store", mode="none")
    deployment.apply(reads_prefix="/after/")
    wait_until(lambda: all(deployment.call(each, "/after/x", "o1")[0] == 200
                           for each in deployment.gateways),
               "all gateways serve a route that was added after the store faults")
    deployment.apply()
    wait_until(lambda: all(deployment.call(each, "/read/x", "o2")[0] == 200
                           for each in deployment.gateways),
               "all gateways serve the old route again")


def store_call_count(gateway):
    return metric(gateway, "store_calls_total")


def check_one_gateway_calls_the_store_at_most_a_third_as_often(deployment):
    """Two entries read the registry on behalf of all; the third one applies their updates."""
    before = [store_call_count(each) for each in deployment.gateways]
    wait_until(lambda: max(store_call_count(each) - previous_count
                           for each, previous_count in zip(deployment.gateways, before)) >= 12,
               "a registry reader calls the store 12 times")
    call_increases = sorted(store_call_count(each) - previous_count
                            for each, previous_count in zip(deployment.gateways, before))
    assert call_increases[0] * 3 <= call_increases[-1], call_increases


def check_invalid_settings_are_ignored_on_reload(deployment):
    gateway = deployment.gateways[0]
    gateway["process"].signal(signal.SIGHUP)
    valid_settings = gateway["settings"].read_text()
    gateway["settings"].write_text("[instance]\n")
    gateway["process"].signal(signal.SIGHUP)
    time.sleep(0.3)
    assert deployment.call(gateway, "/read/x", "h1")[0] == 200
    gateway["settings"].write_text(valid_settings)


def check_look_ups_drop_a_killed_gateway(deployment):
    killed_gateway = deployment.gateways[1]
    address = f"127.0.0.1:{killed_gateway['callers']}"
    assert address in deployment.lookup(deployment.gateways[0])
    killed_gateway["process"].signal(signal.SIGKILL)
    wait_until(lambda: address not in deployment.lookup(deployment.gateways[0]),
               "look-ups no longer return the killed entry")


def check_planned_stop_completes_requests_under_way(deployment):
    gateway = deployment.gateways[0]
    for name in deployment.state()["runs"]:
        deployment.post_control("change", name=name, change="slow")
    statuses = []
    caller = threading.Thread(
        target=lambda: statuses.append(deployment.call(gateway, "/read/last", "s1")[0]))
    late_connection = http.client.HTTPConnection("127.0.0.1", gateway["callers"], timeout=10)
    caller.start()
    time.sleep(0.3)
    gateway["process"].signal(signal.SIGTERM)
    wait_until(lambda: not deployment.ready(gateway),
               "a stopping entry reports that it is not ready")
    # A stopping entry still accepts connections: callers repeat their look-up only after a while.
    late_connection.request("GET", "/read/kept", headers={"Host": "h", "X-Request-Id": "s2",
                                                          "X-Deadline-Ms": "2500"})
    assert late_connection.getresponse().status in (200, 503)
    caller.join()
    assert statuses == [200], statuses
    assert gateway["process"].wait() == 0


def http_answer(connection, path, request_id, method="GET"):
    """Sends a request on a connection and returns the status and the headers of the answer."""
    headers = {"Host": "h", "X-Request-Id": request_id, "Content-Length": "0"}
    connection.request(method, path, headers=headers)
    answer = connection.getresponse()
    answer.read()
    return answer.status, {name.lower(): value for name, value in answer.getheaders()}


def begin_stop(gateway):
    gateway["process"].signal(signal.SIGTERM)
    wait_until(lambda: "stop begun" in gateway["process"].log.read_text(errors="replace"),
               "the stop has begun")


def start_further_gateway(deployment):
    gateway = deployment.start_gateway(len(deployment.gateways))
    wait_until(lambda: deployment.ready(gateway), "the further gateway is ready")
    return gateway


def set_writes(deployment, change):
    """Changes the behaviour of both upstreams of the service of writes."""
    for name in ("w1", "w2"):
        deployment.post_control("change", name=name, change=change)


def write_arrivals(deployment):
    arrivals = deployment.state()["arrivals"]
    return arrivals["w1"] + arrivals["w2"]


def check_stopping_gateway_passes_on_no_write_that_it_may_have_to_cut(deployment):
    """The write comes 0.9 s after SIGTERM and may take until its route's timeout of 3 s; the process
    ends 3.75 s after SIGTERM."""
    gateway = start_further_gateway(deployment)
    set_writes(deployment, "stuck")
    before = write_arrivals(deployment)
    caller = http.client.HTTPConnection("127.0.0.1", gateway["callers"], timeout=10)
    caller.connect()
    begin_stop(gateway)
    time.sleep(0.9)
    try:
        status, headers = http_answer(caller, "/write/late", "late", "POST")
    except (http.client.HTTPException, OSError) as problem:
        raise AssertionError(f"a write was cut at the end of the stop: {problem!r}") from problem
    assert status == 503, status
    assert headers["connection"] == "close" and float(headers["retry-after"]) <= 0.1, headers
    assert write_arrivals(deployment) == before, "the refused write was passed on"
    set_writes(deployment, "heal")
    assert gateway["process"].wait() == 0
    deployment.gateways.remove(gateway)


def check_stopping_gateway_ends_only_after_its_answers_are_sent(deployment):
    """The caller begins to read after the callers' grace period of 1.4 s."""
    gateway = start_further_gateway(deployment)
    set_writes(deployment, "large")
    answered = metric(gateway, "requests_answered_total")
    with socket.create_connection(("127.0.0.1", gateway["callers"]), 5) as caller:
        caller.sendall(b"POST /write/large HTTP/1.1\r\nHost: h\r\nX-Request-Id: large\r\n"
                       b"Content-Length: 0\r\n\r\n")
        wait_until(lambda: metric(gateway, "requests_answered_total") > answered,
                   "the upstream has answered")
        set_writes(deployment, "heal")
        begin_stop(gateway)
        time.sleep(2.0)
        # Not bytes: to copy all that has come for each part takes longer than the stop may.
        received = bytearray()
        try:
            while chunk := caller.recv(1 << 20):
                received += chunk
        except OSError as problem:
            print(f"the connection ended with {problem!r}")
    head, _, body = bytes(received).partition(b"\r\n\r\n")
    length = int(http.client.parse_headers(io.BytesIO(head.partition(b"\r\n")[2]))["content-length"])
    assert len(body) == length, f"the answer was cut: {len(body)} of {length} bytes arrived"
    assert gateway["process"].wait() == 0
    deployment.gateways.remove(gateway)


def check_stopping_gateway_refuses_requests_until_it_ends(deployment):
    """A write under way keeps the entry running beyond the callers' grace period of 1.4 s."""
    gateway = start_further_gateway(deployment)
    set_writes(deployment, "stuck")
    kept = http.client.HTTPConnection("127.0.0.1", gateway["callers"], timeout=10)
    assert http_answer(kept, "/read/x", "kept1")[0] == 200
    statuses = []
    writer = threading.Thread(target=lambda: statuses.append(
        deployment.call(gateway, "/write/x", "under-way", "POST", b"x")[0]))
    before = write_arrivals(deployment)
    writer.start()
    wait_until(lambda: write_arrivals(deployment) == before + 1, "the write is at its upstream")
    begin_stop(gateway)
    time.sleep(1.7)
    new = http.client.HTTPConnection("127.0.0.1", gateway["callers"], timeout=10)
    for name, connection in (("kept", kept), ("new", new)):
        try:
            status, headers = http_answer(connection, "/read/x", f"{name}2")
        except (http.client.HTTPException, OSError) as problem:
            raise AssertionError(f"{name} connection got no answer: {problem!r}") from problem
        assert (status, headers["connection"]) == (503, "close"), (name, status, headers)
    writer.join()
    assert statuses == [504], statuses
    set_writes(deployment, "heal")
    assert gateway["process"].wait() == 0
    deployment.gateways.remove(gateway)


def check_stopping_gateway_logs_the_requests_that_it_cuts(deployment):
    """Without a deadline and with a long timeout, a write may last longer than the stop."""
    gateway = start_further_gateway(deployment)
    set_writes(deployment, "stuck")
    deployment.apply(write_timeout_ms=20000)
    version = deployment.version
    wait_until(lambda: metric(gateway, "configuration_version") == version,
               "the gateway has the new timeout")
    caller = http.client.HTTPConnection("127.0.0.1", gateway["callers"], timeout=10)
    before = write_arrivals(deployment)
    caller.request("POST", "/write/x", headers={"Host": "h", "X-Request-Id": "cut-1",
                                                "Content-Length": "0"})
    wait_until(lambda: write_arrivals(deployment) == before + 1, "the write is at its upstream")
    begin_stop(gateway)
    assert gateway["process"].wait() == 3
    lines = [each for each in gateway["process"].log.read_text(errors="replace").splitlines()
             if "request is ended by the end of the process" in each]
    assert len(lines) == 1 and "request=cut-1 " in lines[0] and "stage=at-upstream" in lines[0], \
        f"the log names the cut request: {lines}"
    set_writes(deployment, "heal")
    deployment.apply()
    deployment.gateways.remove(gateway)


def check_answers_behind_a_cut_request_are_delivered_when_a_gateway_stops(deployment):
    gateway = start_further_gateway(deployment)
    set_writes(deployment, "stuck")
    deployment.apply(write_timeout_ms=20000)
    version = deployment.version
    wait_until(lambda: metric(gateway, "configuration_version") == version,
               "the gateway has the new timeout")
    answered = metric(gateway, "requests_answered_total")
    with socket.create_connection(("127.0.0.1", gateway["callers"]), 10) as caller:
        caller.sendall(b"POST /write/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: head-1\r\n"
                       b"Content-Length: 0\r\n\r\n"
                       b"GET /read/behind HTTP/1.1\r\nHost: h\r\nX-Request-Id: behind-1\r\n\r\n")
        wait_until(lambda: metric(gateway, "requests_answered_total") > answered,
                   "the upstream has answered the second request")
        begin_stop(gateway)
        received = b""
        while chunk := caller.recv(65536):
            received += chunk
    assert received.startswith(b"HTTP/1.1 502 "), f"the first request got: {received[:100]}"
    assert received.endswith(b"/read/behind"), f"the second request got: {received[-100:]}"
    assert gateway["process"].wait() == 3
    set_writes(deployment, "heal")
    deployment.apply()
    deployment.gateways.remove(gateway)


def run_checks(make_deployment, checks):
    """Runs each check on a deployment of its own, also after one has failed."""
    failed = []
    for check in checks:
        try:
            with make_deployment(sys.argv[1]) as deployment:
                check(deployment)
            print(f"ok {check.__name__}", flush=True)
        except AssertionError as error:
            print(f"FAILED {check.__name__}: {error}", flush=True)
            failed.append(check.__name__)
    sys.exit(1 if failed else 0)


def main():
    with GatewayDeployment(sys.argv[1]) as deployment:
        for check in (check_requests_reach_upstreams_of_their_route,
                      check_requests_without_an_id_are_sent_on_new_connections,
                      check_pipelined_requests_are_answered_in_order,
                      check_new_routes_replace_old_ones_on_all_gateways,
                      check_draining_and_removed_upstreams_get_no_requests,
                      check_upstream_that_says_it_is_leaving_gets_no_requests,
                      check_upstream_that_asks_for_a_pause_gets_no_requests,
                      check_odd_registrations_are_ignored_and_the_list_is_followed,
                      check_lost_write_gets_502_and_shed_write_gets_503_with_retry_after,
                      check_requests_are_served_during_store_faults,
                      check_one_gateway_calls_the_store_at_most_a_third_as_often,
                      check_invalid_settings_are_ignored_on_reload,
                      check_stopping_gateway_passes_on_no_write_that_it_may_have_to_cut,
                      check_stopping_gateway_ends_only_after_its_answers_are_sent,
                      check_stopping_gateway_refuses_requests_until_it_ends,
                      check_stopping_gateway_logs_the_requests_that_it_cuts,
                      check_answers_behind_a_cut_request_are_delivered_when_a_gateway_stops,
                      check_look_ups_drop_a_killed_gateway,
                      check_planned_stop_completes_requests_under_way):
            started_at = time.monotonic()
            check(deployment)
            print(f"{check.__name__}: {time.monotonic() - started_at:.1f} s", flush=True)


if __name__ == "__main__":
    main()
