#!/usr/bin/env python3
"""The whole path over loopback: apply, look up, call all services, refuse an invalid document."""
import json
import sys

from deployment import Deployment, binaries_folder_argument, http

with Deployment(binaries_folder_argument(sys.argv)) as deployment:
    # Before the first configuration is applied, look-ups are refused for lack of one.
    status, _, body = http("GET", f"http://{deployment.callers(1)}/v1/lookup/levels")
    assert status == 503 and b"no configuration" in body, body

    deployment.wait_and_apply_document()

    status, _, body = http("GET", f"http://{deployment.callers(2)}/v1/lookup/transfers?region=armor")
    answer = json.loads(body)
    assert status == 200 and answer["entries"], body
    assert answer["lifetime_ms"] == 500
    entry = answer["entries"][0]
    assert entry["region"] == "armor" and len(entry["tickets"]) == 1, entry

    # The same request sent twice with one ticket runs once: the second gets the first one's answer.
    # A different request with that ticket is refused.
    headers = {"burdockstep-ticket": entry["tickets"][0], "x-request-id": "once-a"}
    url = f"http://{entry['address']}/v1/call/transfers/work"
    first = http("POST", url, b"move 3", headers)
    second = http("POST", url, b"move 3", headers)
    assert first[0] == second[0] == 200, (first, second)
    assert first[2] == second[2] and len(first[2]) == 2048
    conflict = http("POST", url, b"move 4", headers)
    assert conflict[0] == 409, conflict
    assert deployment.upstream_runs()["run_more_than_once"] == 0

    # A request with the ticket sent to another entry is forwarded to the entry it belongs to.
    other = f"http://{deployment.callers(2)}/v1/call/transfers/work"
    third = http("POST", other, b"move 3", headers)
    assert third[0] == 200 and third[2] == first[2], third

    # A non-idempotent request without a ticket is not run; the refusal contains a ticket.
    refused = http("POST", url, b"move 5", {"x-request-id": "once-b"})
    assert refused[0] == 503 and refused[1]["burdockstep-outcome"] == "not-run", refused
    again = http("POST", url, b"move 5", {"x-request-id": "once-b", "burdockstep-ticket":
                                          refused[1]["burdockstep-next-ticket"]})
    assert again[0] == 200, again

    code, rows = deployment.wait_for_load_results(deployment.start_load())
    assert code == 0, (code, rows)
    for service, row in rows.items():
        assert row["answered"] == row["calls"], row
    assert set(rows) == {"levels", "transfers", "sheets"}
    runs = deployment.upstream_runs()
    assert runs["run_more_than_once"] == 0, runs
    # An idempotent request runs again only if its caller or an entry has sent it again.
    sent_again = sum(int(rows[each]["sends"]) - int(rows[each]["calls"])
                     for each in ("levels", "sheets"))
    sent_again += sum(deployment.metric(number, name) for number in (1, 2, 3)
                      for name in ("retries_total", "silent_sends_total"))
    assert runs["idempotent_run_more_than_once"] <= sent_again, (runs, sent_again)

    # An idempotent request may run again, which isn't a ticketed request that ran more than once.
    before = deployment.upstream_runs()
    again = f"http://{deployment.callers(1)}/v1/call/levels/work"
    for _ in range(2):
        assert http("GET", again, headers={"x-request-id": "once-c"})[0] == 200
    runs = deployment.upstream_runs()
    assert runs["run_more_than_once"] == 0, runs
    assert runs["idempotent_run_more_than_once"] == before["idempotent_run_more_than_once"] + 1, runs
    # The count does include a request that isn't idempotent and reaches an upstream twice.
    for _ in range(2):
        assert http("POST", f"http://{deployment.upstream_address('transfers')}/work", b"move 6",
                    {"x-request-id": "once-d"})[0] == 200
    assert deployment.upstream_runs()["run_more_than_once"] == 1, deployment.upstream_runs()

    # An invalid document is refused with the valid values and leaves the configuration unchanged.
    bad = deployment.folder / "bad.toml"
    bad.write_text(deployment.deployment_file.read_text().replace('class = "long"',
                                                                  'class = "slow"'))
    code, output = deployment.apply(bad)
    assert code == 3 and "one of short, long" in output, (code, output)
    assert deployment.status(1)["configuration"] == 1

    # The audit trail contains the accepted and the refused apply.
    code, output = deployment.run_operator_tool("audit")
    assert code == 0 and "accepted version 1 by test" in output and "refused" in output, output
    code, output = deployment.run_operator_tool("show")
    assert code == 0 and output.startswith("# version 1\n"), output
    code, output = deployment.run_operator_tool("status", "--json")
    assert code == 0 and json.loads(output)["configuration"] == 1
print("path: passed")
