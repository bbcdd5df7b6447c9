"""Gateways that read the registry, those that are told of it, and those that start late must agree
on which upstreams have left, whatever the store writes late or brings back from an older copy."""
import json
import signal
import time

from deployment import wait_until
from test_gateway import (GATEWAY_COUNT, GatewayDeployment, metric, run_checks,
                          wait_until_usable)

KNOWN_BEFORE = 6  # Upstreams of the site stand-in.
FURTHER_GATEWAYS = 3  # Only two of all read the registry.
NAME = "late1"
# Longer than a reader's interval, which is a quarter of the drain limit of 1 s.
SETTLE_S = 1.0
COLD_LEFT_S = 3


def write_heartbeat(deployment, sequence, cold_left_ms=0):
    row = {"address": "127.0.0.1:9", "born": 77,
           "info": {"service": "reads", "version": "v1", "zone": "p1", "slots": 3},
           "status": {"state": "ready", "seq": sequence, "coldLeftMs": cold_left_ms}}
    deployment.post_control("row", table="servers", key=NAME, value=json.dumps(row))


def remove(deployment):
    deployment.post_control("remove", table="servers", key=NAME)


def start_further_gateways(deployment):
    for number in range(FURTHER_GATEWAYS):
        gateway = deployment.start_gateway(GATEWAY_COUNT + number)
        wait_until(lambda: deployment.ready(gateway), "further gateway is ready")


def register_with_heartbeats(deployment, count):
    start_further_gateways(deployment)
    write_heartbeat(deployment, 1)
    wait_until_usable(deployment, KNOWN_BEFORE + 1)
    time.sleep(2)  # By now the readers are chosen.
    for sequence in range(2, count + 1):
        write_heartbeat(deployment, sequence)
        time.sleep(0.3)
    time.sleep(SETTLE_S)


def check_stays_unusable(deployment, duration_s):
    deadline = time.monotonic() + duration_s
    while time.monotonic() < deadline:
        usable = [metric(each, "upstreams_usable") for each in deployment.gateways]
        assert usable == [KNOWN_BEFORE] * len(usable), f"usable upstreams at the gateways: {usable}"
        time.sleep(0.1)


def check_late_heartbeat_does_not_bring_back_an_upstream(deployment):
    """Guards against requests that are sent to an upstream that has left (DRAIN)."""
    register_with_heartbeats(deployment, 6)
    remove(deployment)
    wait_until_usable(deployment, KNOWN_BEFORE)
    write_heartbeat(deployment, 5)
    check_stays_unusable(deployment, 1.5)
    remove(deployment)
    check_stays_unusable(deployment, 1.5)


def check_gateway_that_starts_beside_a_late_heartbeat_is_corrected(deployment):
    """Guards against a gateway that never saw the newest heartbeat and takes a late one for news."""
    register_with_heartbeats(deployment, 6)
    remove(deployment)
    wait_until_usable(deployment, KNOWN_BEFORE)
    write_heartbeat(deployment, 5)
    started = deployment.start_gateway(GATEWAY_COUNT + FURTHER_GATEWAYS)
    wait_until(lambda: deployment.ready(started), "gateway beside a late heartbeat is ready")
    wait_until_usable(deployment, KNOWN_BEFORE)
    check_stays_unusable(deployment, 1.5)


def check_older_copy_does_not_bring_back_an_upstream(deployment):
    """Guards against upstreams that are used again since a restored store still names them."""
    register_with_heartbeats(deployment, 3)
    deployment.post_control("store", mode="keep-copy")
    write_heartbeat(deployment, 4)
    time.sleep(SETTLE_S)
    remove(deployment)
    wait_until_usable(deployment, KNOWN_BEFORE)
    deployment.post_control("store", mode="restore-copy")
    check_stays_unusable(deployment, 2)
    remove(deployment)
    check_stays_unusable(deployment, 1.5)


def check_upstream_that_writes_on_is_used_again(deployment):
    register_with_heartbeats(deployment, 3)
    remove(deployment)
    wait_until_usable(deployment, KNOWN_BEFORE)
    write_heartbeat(deployment, 4)
    wait_until_usable(deployment, KNOWN_BEFORE + 1)


def check_frozen_gateways_agree_when_they_wake(deployment):
    """Guards against a reader that was frozen and tells of an upstream that left meanwhile (DRAIN)."""
    start_further_gateways(deployment)
    time.sleep(2)  # By now the readers are chosen: each gateway is frozen once, so they are too.
    for number, frozen in enumerate(list(deployment.gateways)):
        newest = 10 * (number + 1)
        write_heartbeat(deployment, newest)
        wait_until_usable(deployment, KNOWN_BEFORE + 1)
        frozen["process"].signal(signal.SIGSTOP)
        deployment.gateways.remove(frozen)
        remove(deployment)
        wait_until_usable(deployment, KNOWN_BEFORE)
        write_heartbeat(deployment, newest - 1)
        check_stays_unusable(deployment, SETTLE_S)
        deployment.gateways.append(frozen)
        frozen["process"].signal(signal.SIGCONT)
        wait_until_usable(deployment, KNOWN_BEFORE)
        check_stays_unusable(deployment, SETTLE_S)


def check_upstream_that_is_cold_again_is_cold_at_all_gateways(deployment):
    """Guards against gateways that take an upstream for warm, and overload it (FAILBACK)."""
    start_further_gateways(deployment)
    time.sleep(2)  # By now the readers are chosen.
    for sequence in (1, 2, 3):
        # Written again just before the time before has ended.
        warm_at = time.monotonic() + COLD_LEFT_S
        write_heartbeat(deployment, sequence, cold_left_ms=COLD_LEFT_S * 1000)
        time.sleep(SETTLE_S)
        while time.monotonic() < warm_at - 0.3:
            cold = [metric(each, "upstreams_cold") for each in deployment.gateways]
            assert cold == [1] * len(cold), f"cold upstreams at the gateways: {cold}"
            time.sleep(0.1)


CHECKS = [check_late_heartbeat_does_not_bring_back_an_upstream,
          check_gateway_that_starts_beside_a_late_heartbeat_is_corrected,
          check_older_copy_does_not_bring_back_an_upstream,
          check_upstream_that_writes_on_is_used_again,
          check_frozen_gateways_agree_when_they_wake,
          check_upstream_that_is_cold_again_is_cold_at_all_gateways]


if __name__ == "__main__":
    run_checks(GatewayDeployment, CHECKS)
