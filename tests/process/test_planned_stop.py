#!/usr/bin/env python3
"""No request is lost when an entry gets SIGTERM, or when the document drains a part, under load."""
import signal
import sys
import time

from deployment import LOAD_FRACTION, Deployment, binaries_folder_argument, wait_until

DRAIN_TABLE = """
[[drain]]
scope = "{scope}"
name = "{name}"
reason = "test"
"""


LOAD_RATE = 150
LOAD_MIX = {"levels": 60, "transfers": 30, "sheets": 10}
# The place and the region hold all upstreams of half of the callers, so draining one of them shifts
# their load to the other region, by the shift cap of 20 percent, in steps of at least one second
# and five requests.
SHIFT_STEPS = 5
STEP_S = 1.0
REQUESTS_PER_STEP = 5
# The times between requests vary.
ARRIVAL_MARGIN = 1.6


def max_shift_duration_s():
    """Returns the time in which the service with the fewest requests is shifted completely."""
    slowest_rate = LOAD_FRACTION * LOAD_RATE / 2 * min(LOAD_MIX.values()) / 100
    return SHIFT_STEPS * max(STEP_S, ARRIVAL_MARGIN * REQUESTS_PER_STEP / slowest_rate) + 2


def all_calls_answered(rows):
    return all(row["answered"] == row["calls"] for row in rows.values())


with Deployment(binaries_folder_argument(sys.argv), entries=4) as deployment:
    deployment.wait_and_apply_document()

    # An entry stops while callers hold cached look-ups that include it and long calls are running.
    load = deployment.start_load(calls=900, rate=150, numbers=[1, 3])
    time.sleep(1)
    deployment.entries["entry-2"].signal(signal.SIGTERM)
    stop_started_at = time.monotonic()
    code = deployment.entries["entry-2"].wait()
    stop_duration_s = time.monotonic() - stop_started_at
    load_code, rows = deployment.wait_for_load_results(load)
    print(f"entry stopped with code {code} after {stop_duration_s:.2f} s; {rows}")
    assert code == 0, "the entry stopped with requests in flight"
    assert load_code == 0 and all_calls_answered(rows), rows

    # An upstream, a place and a region are drained in turn, each under load.
    text = deployment.deployment_file.read_text()
    for scope, name in [("upstream", "levels-brest-1"), ("place", "brest"), ("region", "armor")]:
        settling_s = 1 if scope == "upstream" else max_shift_duration_s()
        load = deployment.start_load(calls=int(LOAD_RATE * (settling_s + 4)), rate=LOAD_RATE,
                                     numbers=[1, 3], seed=len(name))
        time.sleep(0.5)
        drained_document = deployment.folder / "changed.toml"
        drained_document.write_text(text + DRAIN_TABLE.format(scope=scope, name=name))
        code, output = deployment.apply(drained_document)
        assert code == 0, output
        # By then no new requests are sent to the drained upstreams.
        time.sleep(settling_s)
        before = deployment.upstream_runs()["upstreams"]
        load_code, rows = deployment.wait_for_load_results(load)
        after = deployment.upstream_runs()["upstreams"]
        assert load_code == 0 and all_calls_answered(rows), (scope, rows)
        drained = [each for each in before
                   if each == name or (scope != "upstream" and "-brest-" in each)]
        assert drained
        for each in drained:
            figures = (scope, each, before[each], after[each])
            assert after[each]["arrivals"] == before[each]["arrivals"], figures
            assert after[each]["in_progress"] == 0, figures
            answered = after[each]["answered"] - before[each]["answered"]
            assert answered <= before[each]["in_progress"], figures
        code, output = deployment.apply()
        assert code == 0, output
        wait_until(lambda: len({deployment.status(n)["configuration"] for n in (1, 3, 4)}) == 1,
                   "the same version on all entries")
print("planned stop: passed")
