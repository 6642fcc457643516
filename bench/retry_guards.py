"""Guards of the fleet's retry budget, and of VMs without a path to endpoints."""

from bench.guard import Change, EndpointPromise, Guard

FLEET = "tests/test_gateway_retry_budget.py::TestRetriesOfAFleet"
SHARE = "bamboovale/decisions/retry_share.py"

CUT_PATHS = "tests/test_gateway_cut_paths.py"
LOST = f"{CUT_PATHS}::TestEngineOutOfItsOwnersReach"
LOST_ENGINES = "bamboovale/gateway/lost_engines.py"
RELAY = "tests/test_relay.py::TestRelayedRequest"

PATH_GUARDS = (
    Guard(
        "the ends of endpoints that are gone cut no paths",
        EndpointPromise.PATHS,
        "tests/test_crashing_parts.py::TestOutage::"
        "test_plain_endpoints_serve_the_same_request_afterwards",
        (
            Change(
                "bamboovale/gateway/path_watch.py",
                "        if not self._is_known(endpoint_id):",
                "        if False:",
            ),
        ),
    ),
    Guard(
        "another VM sends what this one cannot",
        EndpointPromise.PATHS,
        f"{CUT_PATHS}::TestVMWithoutPaths",
        (
            Change(
                "bamboovale/relay/client.py",
                "            vm_id = self._relays.choose(self._endpoint_id)\n",
                "            vm_id = None\n",
            ),
        ),
    ),
    Guard(
        "an owner that is cut off releases its engines",
        EndpointPromise.PATHS,
        f"{CUT_PATHS}::TestEnginesOfACutOwner",
        (
            Change(
                "bamboovale/gateway/cut_watch.py",
                "            await self._suspend_or_resume()\n",
                "",
            ),
        ),
    ),
    Guard(
        "an engine that its owner alone does not reach is given away",
        EndpointPromise.PATHS,
        f"{LOST}::test_its_adapters_are_still_loaded",
        (
            Change(
                LOST_ENGINES,
                "            if paths.is_out_of_reach(engine_id, now)\n        }",
                "            if False\n        }",
            ),
        ),
    ),
    Guard(
        "an engine that nobody reaches is kept",
        EndpointPromise.PATHS,
        f"{LOST}::test_an_engine_that_is_down_moves_no_lease",
        (
            Change(
                LOST_ENGINES,
                "        return vm_id if is_reached else None\n",
                "        return vm_id\n",
            ),
        ),
    ),
    Guard(
        "enough VMs own engines",
        EndpointPromise.PATHS,
        f"{LOST}::test_two_owners_that_each_lose_an_engine_do_not_both_step_back",
        (
            Change(
                LOST_ENGINES,
                "                or not await self._leaves_enough_owners()\n",
                "",
            ),
            Change(
                LOST_ENGINES,
                "not self._is_asking and not self._given_away",
                "True",
            ),
        ),
    ),
    Guard(
        "a VM that gave engines away owns engines again",
        EndpointPromise.PATHS,
        f"{LOST}::test_its_owner_may_own_engines_again",
        (
            Change(
                LOST_ENGINES,
                "            self._client.try_path(record)\n",
                "            pass\n",
            ),
        ),
    ),
    Guard(
        "callers are led to VMs in touch",
        EndpointPromise.PATHS,
        f"{CUT_PATHS}::TestDirectory",
        (
            Change(
                "bamboovale/gateway/fleet.py",
                "[member for member in serving if not member.cut] or serving",
                "serving",
            ),
        ),
    ),
    Guard(
        "a caller that leaves ends the exchange at the other VM",
        EndpointPromise.PATHS,
        f"{RELAY}::test_a_caller_that_leaves_ends_the_run",
        (
            Change(
                "bamboovale/relay/client.py",
                "            self._relays.links.notify(self.via, "
                "RelayCancel(self._relay_id))\n",
                "",
            ),
        ),
    ),
    Guard(
        "what may have run is not called refused",
        EndpointPromise.PATHS,
        f"{RELAY}::test_what_may_have_run_is_not_refused_when_the_other_vm_dies",
        (
            Change(
                "bamboovale/relay/client.py",
                '            raise IncompleteResponse(f"by {vm_id}: {error}") '
                "from error\n        if not isinstance",
                '            raise NotSent(f"by {vm_id}: {error}") '
                "from error\n        if not isinstance",
            ),
        ),
    ),
)

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
