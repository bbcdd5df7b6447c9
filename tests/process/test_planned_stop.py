#!/usr/bin/env python3
"""No request is lost when an entry gets SIGTERM, or when the document drains a part, under load."""
import signal
import sys
import time

from deployment import Deployment, binaries_folder_argument, wait_until

DRAIN_TABLE = """
[[drain]]
scope = "{scope}"
name = "{name}"
reason = "test"
"""


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
        # A drained region's load moves in five steps of one second, as the shift cap is 20 percent.
        shift_duration_s = 1 if scope == "upstream" else 8
        load = deployment.start_load(calls=150 * (shift_duration_s + 4), rate=150, numbers=[1, 3],
                                     seed=len(name))
        time.sleep(0.5)
        drained_document = deployment.folder / "changed.toml"
        drained_document.write_text(text + DRAIN_TABLE.format(scope=scope, name=name))
        code, output = deployment.apply(drained_document)
        assert code == 0, output
        # By then no new requests are sent to the drained upstreams.
        time.sleep(shift_duration_s)
        before = deployment.upstream_runs()["upstreams"]
        load_code, rows = deployment.wait_for_load_results(load)
        after = deployment.upstream_runs()["upstreams"]
        assert load_code == 0 and all_calls_answered(rows), (scope, rows)
        drained = [each for each in before
                   if each == name or (scope != "upstream" and "-brest-" in each)]
        assert drained
        for each in drained:
            assert after[each]["busy"] == 0, (scope, each)
            assert after[each]["answered"] - before[each]["answered"] <= before[each]["busy"], each
        code, output = deployment.apply()
        assert code == 0, output
        wait_until(lambda: len({deployment.status(n)["configuration"] for n in (1, 3, 4)}) == 1,
                   "the same version on all entries")
print("planned stop: passed")
