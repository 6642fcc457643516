"""Guards of the fleet's retry budget."""

from bench.guard import Change, EndpointPromise, Guard

FLEET = "tests/test_gateway_retry_budget.py::TestRetriesOfAFleet"
SHARE = "bamboovale/decisions/retry_share.py"

RETRY_GUARDS = (
    Guard(
        "a process takes no part of the burst in its first window",
        EndpointPromise.RETRIES,
        f"{FLEET}::test_processes_that_start_in_series_share_one_budget",
        (
            Change(
                SHARE,
                "        if is_new or not self.fleet_size:",
                "        if not self.fleet_size:",
            ),
        ),
    ),
    Guard(
        "VMs that are silent share the burst",
        EndpointPromise.RETRIES,
        f"{FLEET}::test_vms_that_cannot_hear_one_another_share_one_budget",
        (
            Change(
                "bamboovale/gateway/vm_state.py",
                "            self.fleet.membership.may_run_count,",
                "            self.fleet.size,",
            ),
        ),
    ),
    Guard(
        "what was taken in a larger fleet still counts",
        EndpointPromise.RETRIES,
        "tests/test_decisions_retry_share.py::TestRetryShare::"
        "test_what_was_taken_in_a_larger_fleet_still_counts",
        (
            Change(
                SHARE,
                "while self._fleet_sizes and self._fleet_sizes[-1][1] <= fleet_size:",
                "while self._fleet_sizes:",
            ),
        ),
    ),
    Guard(
        "a request that is given up is taken back",
        EndpointPromise.RETRIES,
        "tests/test_http1.py::TestAbandonedRequest::"
        "test_a_request_that_was_given_up_does_not_arrive_later",
        (
            Change(
                "bamboovale/http1/connection.py",
                "            if self._busy:\n",
                "            if False:\n",
            ),
        ),
    ),
)
