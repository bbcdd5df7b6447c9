#!/usr/bin/env python3
"""The platform is down when all daemons start: they refuse calls with a reason until it is back."""
import sys

from deployment import Deployment, binaries_folder_argument, http, wait_until

with Deployment(binaries_folder_argument(sys.argv), entries=0) as deployment:
    deployment.platform_fault(refuse=1)
    numbers = [1, 2, 3, 4]
    for number in numbers:
        deployment.start_entry(number, seeds=[deployment.peers(n) for n in range(1, number)])
    for number in numbers:
        status = deployment.status(number)
        assert status["platform_reachable"] is False and status["configuration"] == 0, status
    code, _, body = http("GET", f"http://{deployment.callers(1)}/v1/lookup/levels")
    assert code == 503 and b"no configuration yet" in body, body
    code, headers, _ = http("GET", f"http://{deployment.callers(1)}/v1/call/levels/work")
    assert code == 503 and headers["burdockstep-outcome"] == "not-run", headers
    assert headers["burdockstep-reason"] == "no-configuration", headers
    code, output = deployment.apply()
    assert code == 3 and "can't be reached" in output, (code, output)

    deployment.platform_fault(refuse=0)
    for number in numbers:
        deployment.register(f"entry-{number}", *[("brest", "armor"), ("rennes", "ille")][(number - 1) % 2])
    deployment.entry_count = len(numbers)
    deployment.wait_and_apply_document()
    code, rows = deployment.wait_for_load_results(deployment.start_load(calls=100, rate=100))
    assert code == 0 and all(row["answered"] == row["calls"] for row in rows.values()), rows

    # The store returns a stale head row: no instance goes back to the older version, not even one
    # that restarts and learns of the newer version from its peers.
    assert deployment.apply(reason="second")[0] == 0
    wait_until(lambda: all(deployment.status(n)["configuration"] == 2 for n in numbers),
               "version 2 on all instances")
    deployment.platform_fault(stale_reads=1)
    deployment.entries["entry-2"].signal(9)
    deployment.entries["entry-2"].wait()
    deployment.start_entry(2, seeds=[deployment.peers(1)])
    versions_seen = []
    wait_until(lambda: (versions_seen.append(deployment.status(2)["configuration"])
                        or versions_seen[-1] == 2),
               "version 2 on the restarted instance")
    assert 1 not in versions_seen, versions_seen
    assert all(deployment.status(n)["configuration"] == 2 for n in numbers)
print("outage at start: passed")
