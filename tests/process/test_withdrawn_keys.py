"""Runs three gateways with callers that identify themselves by keys. Checks that a withdrawn key is
useless at gateways that are in touch, frozen, or without the store, and that a new one isn't denied."""
import json
import signal
import threading
import time

from deployment import http as http_call, wait_until
from test_gateway import GatewayDeployment, metric, run_checks

REVOCATION_LIMIT_S = 5
APPLY_LIMIT_S = 3
STORE_DELAY_S = 0.3  # Of each answer of the stand-in while it is slow.


class KeyedDeployment(GatewayDeployment):
    """Callers hold keys of the team north, except on the public route."""

    further_limits = [f"key_revocation_limit_ms = {REVOCATION_LIMIT_S * 1000}"]

    def apply(self, keys=("kept", "taken")):
        self.version += 3

        def rule(prefix, public):
            return {"name": prefix, "kind": "idempotent", "targetLatencyMs": 1000, "priority": 1,
                    "public": public, "match": {"prefix": prefix},
                    "action": {"service": "reads", "timeoutMs": 3000, "maxAttempts": 2,
                               "homeRegions": []}}
        document = {"version": f"r{self.version}",
                    "limits": {"headerBytes": 16384, "maxBodyBytes": 100000,
                               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
                    "listeners": [{"host": "h",
                                   "rules": [rule("/read/", False), rule("/open/", True)]}],
                    "tenants": [{"name": "north", "apiKeys": list(keys)}],
                    "clusters": [{"name": "reads", "healthPath": "/health", "maxConns": 100,
                                  "coldStartS": 0.2, "coldPerS": 100}]}
        self.post_control("row", table="op", key="config", value=json.dumps(document))

    def status(self, gateway, key, path="/read/x"):
        headers = {"Host": "h", "X-Request-Id": f"{time.monotonic_ns()}", "X-Deadline-Ms": "2500"}
        if key is not None:
            headers["X-Key"] = key
        return http_call("GET", f"http://127.0.0.1:{gateway['callers']}{path}", None, headers)[0]

    def statuses(self, key, path="/read/x"):
        return [self.status(each, key, path) for each in self.gateways]

    def runs(self):
        return sum(self.state()["runs"].values())


def check_keys_decide_who_is_served(deployment):
    wait_until(lambda: deployment.statuses("kept") == [200] * 3, "a valid key is served")
    assert deployment.statuses("never") == [401] * 3
    assert deployment.statuses(None) == [401] * 3
    assert deployment.statuses(None, "/open/x") == [200] * 3


def check_a_withdrawn_key_is_denied_and_a_new_one_served(deployment):
    wait_until(lambda: deployment.statuses("taken") == [200] * 3, "the key is served at first")
    deployment.apply(keys=("kept", "added"))
    acknowledged = time.monotonic()
    wait_until(lambda: deployment.statuses("added") == [200] * 3, "the new key is served",
               APPLY_LIMIT_S)
    assert deployment.statuses("taken") == [401] * 3
    print(f"   in force after {time.monotonic() - acknowledged:.2f} s")


def check_proofs_stay_new_while_nothing_is_broken(deployment):
    wait_until(lambda: deployment.statuses("kept") == [200] * 3, "a valid key is served")
    time.sleep(2.5)
    oldest = 0
    refused = 0
    for _ in range(60):
        oldest = max(oldest, *(metric(each, "directives_proof_age_us")
                               for each in deployment.gateways))
        refused += sum(status != 200 for status in deployment.statuses("kept"))
        refused += sum(status != 401 for status in deployment.statuses("never"))
        time.sleep(0.05)
    print(f"   oldest proof {oldest / 1e6:.2f} s")
    assert oldest < 2_000_000, oldest
    assert refused == 0, refused


def check_without_the_store_keys_become_useless_in_time(deployment):
    for mode in ("silent", "busy"):
        wait_until(lambda: deployment.statuses("kept") == [200] * 3, "a valid key is served")
        deployment.post_control("store", mode=mode)
        went_away = time.monotonic()
        wait_until(lambda: deployment.statuses("kept") == [503] * 3,
                   f"a valid key is refused without the store ({mode})", REVOCATION_LIMIT_S)
        print(f"   {mode}: refused after {time.monotonic() - went_away:.2f} s")
        assert deployment.statuses("never") == [503] * 3
        assert deployment.statuses(None, "/open/x") == [200] * 3
        before = deployment.runs()
        deployment.statuses("kept")
        assert deployment.runs() == before, "a request with a key ran"
        deployment.post_control("store", mode="ok")
    wait_until(lambda: deployment.statuses("kept") == [200] * 3, "keys are served again")


def check_a_slow_store_keeps_keys_in_use_and_its_answers_count_from_the_call(deployment):
    wait_until(lambda: deployment.statuses("kept") == [200] * 3, "a valid key is served")
    deployment.post_control("store", mode="slow")
    time.sleep(1.5)
    ages = []
    until = time.monotonic() + 6
    while time.monotonic() < until:
        assert deployment.statuses("kept") == [200] * 3
        ages += [metric(each, "directives_proof_age_us") / 1e6 for each in deployment.gateways]
        time.sleep(0.1)
    deployment.post_control("store", mode="ok")
    print(f"   proofs {min(ages):.2f} to {max(ages):.2f} s old")
    assert min(ages) >= STORE_DELAY_S, "a proof counts from the answer instead of the call"


def check_while_the_newest_document_is_unreadable_keys_become_useless(deployment):
    """It may have taken any key away."""
    wait_until(lambda: deployment.statuses("kept") == [200] * 3, "a valid key is served")
    deployment.post_control("row", table="op", key="config", value="{")
    wait_until(lambda: deployment.statuses("kept") == [503] * 3, "a key is refused",
               REVOCATION_LIMIT_S)
    assert deployment.statuses(None, "/open/x") == [200] * 3
    deployment.apply()
    wait_until(lambda: deployment.statuses("kept") == [200] * 3, "the key is served again",
               APPLY_LIMIT_S)


def check_a_frozen_gateway_runs_no_withdrawn_key(deployment):
    wait_until(lambda: deployment.statuses("taken") == [200] * 3, "the key is served at first")
    frozen = deployment.gateways[1]
    frozen["process"].signal(signal.SIGSTOP)
    deployment.apply(keys=("kept",))
    time.sleep(REVOCATION_LIMIT_S + 0.2)
    before = deployment.runs()
    statuses = []
    callers = [threading.Thread(target=lambda: statuses.append(deployment.status(frozen, "taken")))
               for _ in range(20)]
    for each in callers:
        each.start()
    time.sleep(0.5)
    frozen["process"].signal(signal.SIGCONT)
    for each in callers:
        each.join()
    assert deployment.runs() == before, "a withdrawn key ran"
    assert set(statuses) <= {401, 503}, statuses
    wait_until(lambda: deployment.status(frozen, "kept") == 200, "the other key is served again")
    assert deployment.status(frozen, "taken") == 401


def check_a_gateway_that_starts_without_the_store_denies_no_key(deployment):
    deployment.post_control("store", mode="silent")
    started = deployment.start_gateway(len(deployment.gateways))

    def status():
        try:
            return deployment.status(started, "kept")
        except OSError:
            return None
    until = time.monotonic() + 3
    seen = set()
    while time.monotonic() < until:
        seen.add(status())
        time.sleep(0.05)
    assert seen <= {None, 503}, seen
    deployment.post_control("store", mode="ok")
    wait_until(lambda: status() == 200, "the key is served once the store answers")


def check_a_restored_store_confirms_keys_again(deployment):
    wait_until(lambda: deployment.statuses("kept") == [200] * 3, "a valid key is served")
    deployment.post_control("store", mode="keep-copy")
    deployment.post_control("row", table="op", key="evacuate/p2", value="{}")
    time.sleep(1)
    deployment.post_control("store", mode="restore-copy")
    until = time.monotonic() + 7
    while time.monotonic() < until:
        assert deployment.statuses("kept") == [200] * 3
        time.sleep(0.1)
    deployment.apply(keys=("kept", "added"))
    wait_until(lambda: deployment.statuses("added") == [200] * 3, "the new key is served",
               APPLY_LIMIT_S)
    assert deployment.statuses("taken") == [401] * 3


CHECKS = [check_keys_decide_who_is_served,
          check_a_withdrawn_key_is_denied_and_a_new_one_served,
          check_proofs_stay_new_while_nothing_is_broken,
          check_without_the_store_keys_become_useless_in_time,
          check_a_slow_store_keeps_keys_in_use_and_its_answers_count_from_the_call,
          check_while_the_newest_document_is_unreadable_keys_become_useless,
          check_a_frozen_gateway_runs_no_withdrawn_key,
          check_a_gateway_that_starts_without_the_store_denies_no_key,
          check_a_restored_store_confirms_keys_again]


if __name__ == "__main__":
    run_checks(KeyedDeployment, CHECKS)
