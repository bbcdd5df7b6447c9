"""Starts a small deployment of real processes for tests, on ports that the system chooses."""
import contextlib
import json
import os
import pathlib
import resource
import signal
import subprocess
import tempfile
import time
import tomllib
import urllib.error
import urllib.request

TIMEOUT_S = 20
# Fraction of each test's load that is generated. Programs built with sanitizers run some fifteen
# times slower; under the full load they would correctly refuse what exceeds their capacity.
LOAD_FRACTION = float(os.environ.get("BURDOCKSTEP_LOAD_PART", "1"))
DEPLOYMENT_DOCUMENT = """
[deployment]
name = "test"
regions = ["armor", "ille"]
[delays]
to_callers_ms = 0
between_places_ms = 1
between_regions_ms = 3
[[place]]
name = "brest"
region = "armor"
[[place]]
name = "rennes"
region = "ille"
[[link]]
from = "armor"
to = "ille"
megabits_per_second = 280
[[service]]
name = "levels"
class = "short"
idempotent = true
deadline_ms = 4000
shift_cap_percent = 20
shift_interval_ms = 1000
[[service]]
name = "transfers"
class = "short"
idempotent = false
deadline_ms = 4000
shift_cap_percent = 20
shift_interval_ms = 1000
[[service]]
name = "sheets"
class = "long"
idempotent = true
deadline_ms = 30000
shift_cap_percent = 20
shift_interval_ms = 1000
"""
PLACES = [("brest", "armor"), ("rennes", "ille")]


def wait_until(condition, description, timeout_s=TIMEOUT_S):
    """Polls until the condition returns a true value, and returns that value."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"timed out after {timeout_s} s waiting for: {description}")


def http(method, url, body=None, headers=None, timeout_s=10):
    """Sends one HTTP request; returns (status, headers, body), for error statuses too."""
    request = urllib.request.Request(url, body, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


@contextlib.contextmanager
def descriptor_limit(descriptors):
    """Processes that are started inside inherit this limit, if there is one."""
    own_limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors:
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, own_limits[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, own_limits)


class Process:
    """A running program whose output goes to a log file."""

    def __init__(self, arguments, log):
        self.log = log
        with open(log, "ab") as output:
            self.process = subprocess.Popen(arguments, stderr=output, stdout=output)

    def signal(self, number):
        self.process.send_signal(number)

    def wait(self, timeout_s=TIMEOUT_S):
        return self.process.wait(timeout=timeout_s)

    def is_running(self):
        return self.process.poll() is None


class Deployment:
    """Processes of the platform, the upstreams and the entries; stops them when used in `with`."""

    def __init__(self, binaries, entries=3, document=DEPLOYMENT_DOCUMENT, upstreams_per_place=2,
                 slots=3, lookup_lifetime_ms=500, speed=4, entry_settings="",
                 entry_descriptors=None):
        self.binaries = pathlib.Path(binaries)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="burdockstep-test-"))
        self.processes = []
        self.entries = {}
        self.addresses = {}
        self.document = document
        self.entry_count = entries
        self.upstreams_per_place = upstreams_per_place
        self.slots = slots
        self.lookup_lifetime_ms = lookup_lifetime_ms
        self.speed = speed
        # Further lines of the entries' table `instance`, and the limit on their descriptors.
        self.entry_settings = entry_settings
        self.entry_descriptors = entry_descriptors

    def __enter__(self):
        try:
            self.start_platform()
            self.start_upstreams()
            for number in range(1, self.entry_count + 1):
                self.start_entry(number)
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, exception_type, exception, traceback):
        if exception_type is not None:
            for log in sorted(self.folder.glob("*.log")):
                print(f"--- {log.name}\n" + log.read_text(errors="replace")[-1500:])
        self.stop()

    def stop(self):
        for each in self.processes:
            if each.is_running():
                each.signal(signal.SIGCONT)
                each.signal(signal.SIGKILL)
            each.wait()
        for file in self.folder.iterdir():
            file.unlink()
        self.folder.rmdir()

    def start(self, name, arguments):
        program = str(self.binaries / arguments[0])
        process = Process([program, *arguments[1:]], self.folder / f"{name}.log")
        self.processes.append(process)
        return process

    def read_file_when_written(self, name, process):
        path = self.folder / name
        wait_until(lambda: path.exists() or not process.is_running(), f"file {name} to be written")
        assert path.exists(), f"{name}: the process ended before it wrote this file"
        return path.read_text().split()

    def start_platform(self):
        self.platform_process = self.start("platform", [
            "burdockstep-standin", "--role", "platform",
            "--address-file", str(self.folder / "platform")])
        self.platform = self.read_file_when_written("platform", self.platform_process)[0]

    def start_upstreams(self):
        text = self.document
        for service in ("levels", "transfers", "sheets"):
            for place, _ in PLACES:
                addresses = ", ".join(['"127.0.0.1:0"'] * self.upstreams_per_place)
                text += (f'[[upstreams]]\nservice = "{service}"\nplace = "{place}"\n'
                         f"slots = {self.slots}\naddresses = [{addresses}]\n")
        (self.folder / "template.toml").write_text(text)
        self.deployment_file = self.folder / "deployment.toml"
        process = self.start("upstreams", [
            "burdockstep-standin", "--role", "upstreams",
            "--deployment", str(self.folder / "template.toml"),
            "--resolved", str(self.deployment_file), "--speed", str(self.speed),
            "--address-file", str(self.folder / "upstreams")])
        self.upstreams = self.read_file_when_written("upstreams", process)[0]

    def start_entry(self, number, seeds=()):
        """Starts an entry, or restarts it with the same addresses as before."""
        name = f"entry-{number}"
        place, region = PLACES[(number - 1) % len(PLACES)]
        callers, operators, peers = self.addresses.get(name, ["127.0.0.1:0"] * 3)
        seed_list = ", ".join(f'"{each}"' for each in seeds)
        settings = self.folder / f"{name}.toml"
        settings.write_text(
            f"seeds = [{seed_list}]\n"
            f'[instance]\nname = "{name}"\nplace = "{place}"\nregion = "{region}"\n'
            f'callers = "{callers}"\noperators = "{operators}"\npeers = "{peers}"\n'
            f"lookup_lifetime_ms = {self.lookup_lifetime_ms}\n{self.entry_settings}"
            f'[platform]\naddress = "{self.platform}"\n')
        (self.folder / name).unlink(missing_ok=True)
        with descriptor_limit(self.entry_descriptors):
            process = self.start(name, ["burdockstepd", "--settings", str(settings),
                                        "--addresses-file", str(self.folder / name)])
        self.addresses[name] = self.read_file_when_written(name, process)
        self.entries[name] = process
        try:
            self.register(name, place, region)
        except urllib.error.URLError:
            pass  # The platform is down; its instance list stays as it was.
        return process

    def register(self, name, place, region):
        callers, operators, peers = self.addresses[name]
        body = json.dumps({"instance": name, "place": place, "region": region, "callers": callers,
                           "operators": operators, "peers": peers, "leaving": False}).encode()
        http("POST", f"http://{self.platform}/control/instances", body)

    def platform_fault(self, **faults):
        query = "&".join(f"{key}={value}" for key, value in faults.items())
        http("POST", f"http://{self.platform}/control?{query}")

    def upstream_fault(self, name, **faults):
        query = "&".join(f"{key}={value}" for key, value in faults.items())
        status, _, body = http("POST", f"http://{self.upstreams}/control/upstream?name={name}&{query}")
        assert status == 200, body

    def upstream_runs(self):
        return json.loads(http("GET", f"http://{self.upstreams}/control/runs")[2])

    def upstream_address(self, service):
        """Returns the address of the service's first upstream."""
        document = tomllib.loads(self.deployment_file.read_text())
        return next(each["addresses"][0] for each in document["upstreams"]
                    if each["service"] == service)

    def callers(self, number):
        return self.addresses[f"entry-{number}"][0]

    def operators(self, number):
        return self.addresses[f"entry-{number}"][1]

    def peers(self, number):
        return self.addresses[f"entry-{number}"][2]

    def status(self, number):
        return json.loads(http("GET", f"http://{self.operators(number)}/v1/status")[2])

    def metric(self, number, name):
        """Returns the value of an entry's metric."""
        text = http("GET", f"http://{self.operators(number)}/metrics")[2].decode()
        return next(int(line.split()[1]) for line in text.splitlines()
                    if line.startswith(f"burdockstep_{name} "))

    def all_see_each_other_serving(self, numbers):
        """True when each of these entries reports all of them as serving."""
        wanted = {f"entry-{number}" for number in numbers}
        for number in numbers:
            serving = {each["instance"] for each in self.status(number)["entries"]
                       if each["state"] == "serving"}
            if not wanted <= serving:
                return False
        return True

    def run_operator_tool(self, *arguments, daemon=1):
        """Runs the command-line tool `burdockstep`; returns (exit code, output)."""
        completed = subprocess.run([str(self.binaries / "burdockstep"), *arguments,
                               "--daemon", self.operators(daemon)],
                              stdout=subprocess.PIPE, stderr=subprocess.STDOUT, timeout=60,
                              check=False)
        return completed.returncode, completed.stdout.decode()

    def apply(self, path=None, daemon=1, reason="test"):
        return self.run_operator_tool("apply", str(path or self.deployment_file), "--who", "test",
                         "--reason", reason, daemon=daemon)

    def wait_and_apply_document(self):
        """Waits until all entries serve, applies the document, and waits until it is in force."""
        numbers = range(1, self.entry_count + 1)
        wait_until(lambda: self.all_see_each_other_serving(numbers), "all entries to be serving")
        code, output = self.apply()
        assert code == 0, output
        wait_until(lambda: all(self.status(n)["configuration"] == 1 for n in numbers),
                   "version 1 to be in force on all entries")

    def start_load(self, calls=300, rate=200, mix=("levels=60", "transfers=30", "sheets=10"),
                   numbers=None, tries=6, seed=1):
        """Starts the load generator, with calls and rate scaled by LOAD_FRACTION; returns its process."""
        calls, rate = max(int(calls * LOAD_FRACTION), 1), max(int(rate * LOAD_FRACTION), 1)
        arguments = [str(self.binaries / "burdockstep-load"), "--calls", str(calls),
                     "--rate", str(rate), "--csv", "--tries", str(tries), "--seed", str(seed),
                     "--region", "armor", "--region", "ille"]
        for number in numbers or range(1, self.entry_count + 1):
            arguments += ["--instance", self.callers(number)]
        for service_share in mix:
            arguments += ["--mix", service_share]
        return subprocess.Popen(arguments, stdout=subprocess.PIPE, stderr=subprocess.STDOUT)

    @staticmethod
    def wait_for_load_results(process):
        """Waits for the load generator; returns its exit code and one result row per service."""
        output = process.communicate(timeout=120)[0].decode()
        lines = [line.split(",") for line in output.strip().splitlines()]
        rows = {line[0]: dict(zip(lines[0], line)) for line in lines[1:]}
        return process.returncode, rows


def binaries_folder_argument(arguments):
    """Returns the folder of the programs, the only argument that CTest passes to a test."""
    assert len(arguments) == 2, "usage: TEST BINARIES-FOLDER"
    os.environ.pop("http_proxy", None)
    return arguments[1]
