"""Restores the store from a copy while gateways run: versions go back and are given out again, and
what was written since the copy is gone until its writers write it again."""
import time

from deployment import wait_until
from test_gateway import (GatewayDeployment, metric, run_checks, store_call_count,
                          wait_until_usable)

# Versions that the store gives out between the copy and its restoration.
LOST_VERSIONS = 12
# Store calls per second of one gateway that exceed everything that a restoration needs.
MAX_CALLS_PER_S = 20


def write_unrelated_rows(deployment, count):
    for number in range(count):
        deployment.post_control("row", table="other", key=f"k{number}", value="x")


def restore(deployment):
    deployment.post_control("store", mode="restore-copy")


def check_directives_after_a_restore_are_in_force_on_all_gateways(deployment):
    deployment.post_control("store", mode="keep-copy")
    write_unrelated_rows(deployment, LOST_VERSIONS)
    deployment.apply(reads_prefix="/lost/")
    wait_until(lambda: all(deployment.call(each, "/lost/x", "s1")[0] == 200
                           for each in deployment.gateways), "all gateways serve the lost route")
    restore(deployment)
    time.sleep(1)
    for each in deployment.gateways:
        assert deployment.call(each, "/lost/x", "s2")[0] == 200, "went back to an older document"
    deployment.apply(reads_prefix="/again/")
    wait_until(lambda: all(deployment.call(each, "/again/x", "s3")[0] == 200
                           for each in deployment.gateways),
               "all gateways serve the route that was set after the restore", timeout_s=3)
    deployment.apply()
    wait_until(lambda: all(deployment.call(each, "/read/x", "s4")[0] == 200
                           for each in deployment.gateways),
               "all gateways serve the next route", timeout_s=3)


def check_restored_history_is_not_read_again_and_again(deployment):
    deployment.post_control("store", mode="keep-copy")
    write_unrelated_rows(deployment, LOST_VERSIONS)
    deployment.apply()
    time.sleep(1)
    restore(deployment)
    time.sleep(1)
    before = [store_call_count(each) for each in deployment.gateways]
    time.sleep(2)
    calls = [store_call_count(each) - count for each, count in zip(deployment.gateways, before)]
    assert max(calls) <= 2 * MAX_CALLS_PER_S, f"store calls of the gateways in 2 s: {calls}"


def check_upstream_that_left_does_not_return_with_the_copy(deployment):
    wait_until_usable(deployment, 6)
    deployment.post_control("store", mode="keep-copy")
    deployment.post_control("change", name="u4", change="leave")
    wait_until_usable(deployment, 5)
    restore(deployment)
    deadline = time.monotonic() + 3
    while time.monotonic() < deadline:
        usable = [metric(each, "upstreams_usable") for each in deployment.gateways]
        assert usable == [5] * len(usable), f"usable upstreams after the restore: {usable}"
        time.sleep(0.1)


def check_lost_record_of_a_gateway_is_written_again(deployment):
    deployment.post_control("store", mode="keep-copy")
    started = deployment.start_gateway(len(deployment.gateways))
    wait_until(lambda: deployment.ready(started), "gateway started after the copy is ready")
    wait_until(lambda: len(deployment.lookup(deployment.gateways[0], "p2")) == 2,
               "a look-up returns both gateways of place p2")
    restore(deployment)
    time.sleep(2)
    assert len(deployment.lookup(deployment.gateways[0], "p2")) == 2, "entry dropped by the restore"
    rows = deployment.state()["entries"]
    assert started["name"] in rows, f"records of entries in the store: {rows}"


def check_lost_evacuation_holds_until_its_writer_has_had_time(deployment):
    wait_until_usable(deployment, 6)
    deployment.post_control("store", mode="keep-copy")
    deployment.post_control("row", table="op", key="evacuate/p2", value="{}")
    wait_until_usable(deployment, 4)
    restore(deployment)
    deadline = time.monotonic() + 3
    while time.monotonic() < deadline:
        usable = [metric(each, "upstreams_usable") for each in deployment.gateways]
        assert usable == [4] * len(usable), f"usable upstreams after the restore: {usable}"
        time.sleep(0.1)
    # Nobody writes it again.
    wait_until_usable(deployment, 6)


CHECKS = [check_directives_after_a_restore_are_in_force_on_all_gateways,
          check_restored_history_is_not_read_again_and_again,
          check_upstream_that_left_does_not_return_with_the_copy,
          check_lost_record_of_a_gateway_is_written_again,
          check_lost_evacuation_holds_until_its_writer_has_had_time]


if __name__ == "__main__":
    run_checks(GatewayDeployment, CHECKS)
