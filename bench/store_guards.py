"""Guards of what VMs keep of a store that returns from an older copy."""

from bench.guard import Change, EndpointPromise, Guard

TESTS = "tests/test_gateway_older_copy.py"
REUSED = f"{TESTS}::TestReusedOffsets"
LOST = f"{TESTS}::TestAcknowledgedThenLost"
WRITTEN = f"{TESTS}::TestWrittenByVMs"

STORE_GUARDS = (
    Guard(
        "positions count within an era",
        EndpointPromise.OLDER_COPY,
        f"{REUSED}::test_an_endpoint_that_leaves_at_a_reused_offset_gets_no_calls[1]",
        (
            Change(
                "bamboovale/platform/store.py",
                "        named = head.get(STORE_ERA)",
                "        named: bytes | None = None",
            ),
        ),
    ),
    Guard(
        "a removed endpoint is not believed to be back",
        EndpointPromise.OLDER_COPY,
        f"{LOST}::test_an_endpoint_that_was_removed_stays_so",
        (
            Change(
                "bamboovale/store/removed_records.py",
                "        if key not in self._copy_by_key:\n            return False",
                "        return False",
            ),
        ),
    ),
    Guard(
        "an endpoint that leaves is not believed to be ready",
        EndpointPromise.OLDER_COPY,
        f"{LOST}::test_an_endpoint_that_leaves_stays_so",
        (
            Change(
                "bamboovale/gateway/endpoints.py",
                "            self._leaving.add(record.endpoint_id)",
                "            pass",
            ),
        ),
    ),
    Guard(
        "what the copy lacks is kept until it should be back",
        EndpointPromise.OLDER_COPY,
        f"{LOST}::test_an_endpoint_that_the_copy_lacks_is_used_until_it_is_back",
        (
            Change(
                "bamboovale/gateway/vm_state.py",
                "        self.eras.listen(self.store_watch.on_returned)\n",
                "",
            ),
        ),
    ),
    Guard(
        "addresses are written again",
        EndpointPromise.OLDER_COPY,
        f"{WRITTEN}::test_addresses_are_written_again",
        (
            Change(
                "bamboovale/gateway/vm.py",
                "        self._registration.on_store_returned()\n",
                "",
            ),
        ),
    ),
    Guard(
        "refusals are written again",
        EndpointPromise.OLDER_COPY,
        f"{WRITTEN}::test_refusals_are_written_again",
        (
            Change(
                "bamboovale/gateway/vm.py",
                "        self._crashes.on_store_returned()\n",
                "",
            ),
        ),
    ),
    Guard(
        "fencing numbers rise with the era",
        EndpointPromise.OLDER_COPY,
        f"{WRITTEN}::test_owners_go_on_ordering[4]",
        (
            Change(
                "bamboovale/gateway/ownership.py",
                "membership.era * GENERATIONS_PER_ERA + membership.generation",
                "membership.generation",
            ),
        ),
    ),
)
