"""Guards of what endpoints ask for in their answers: limits, leaving and rest."""

from bench.guard import Change, EndpointPromise, Guard

LIMITS = "tests/test_gateway_endpoint_limits.py"
LEAVING = "tests/test_gateway_leaving.py::TestLeavingEndpoint"
REST = "tests/test_gateway_rest.py"

SIGNAL_GUARDS = (
    Guard(
        "an engine's owner paces places by the limit",
        EndpointPromise.LIMIT,
        f"{LIMITS}::TestLimitedEngine::"
        "test_an_engine_gets_no_more_than_its_limit_from_all_vms",
        (
            Change(
                "bamboovale/decisions/engine_places.py",
                "        self._limit_pace.set_rate(limit_per_s, now)",
                "        self._limit_pace.set_rate(None, now)",
            ),
        ),
    ),
    Guard(
        "VMs send to a plain endpoint by their shares",
        EndpointPromise.LIMIT,
        f"{LIMITS}::TestLimitedPlainEndpoint::"
        "test_a_plain_endpoint_gets_no_more_than_its_limit_from_all_vms",
        (
            Change(
                "bamboovale/gateway/endpoint_limits.py",
                "        return limited.pace.wait_s(self._now())",
                "        return 0.0",
            ),
        ),
    ),
    Guard(
        "only a few VMs share a low limit",
        EndpointPromise.LIMIT,
        "tests/test_endpoint_signals.py::TestShares::test_together_they_keep_to_it",
        (
            Change(
                "bamboovale/decisions/limit_share.py",
                "    return SHARING_LEAST + int(SHARING_S * limit_per_s)",
                "    return 1_000",
            ),
        ),
    ),
    Guard(
        "an answer to an older request does not end a limit",
        EndpointPromise.LIMIT,
        "tests/test_endpoint_signals.py::TestLimitBelief::"
        "test_an_answer_to_an_older_request_does_not_end_it",
        (
            Change(
                "bamboovale/decisions/endpoint_limit.py",
                "if not ends or sent_at <= self.named_at:",
                "if not ends:",
            ),
        ),
    ),
    Guard(
        "two VMs that see changes at once go by the lower limit",
        EndpointPromise.LIMIT,
        "tests/test_endpoint_limit_machine.py::TestLimitBeliefs::runTest",
        (
            Change(
                "bamboovale/decisions/endpoint_limit.py",
                "if number < self.number or (is_same_time and not is_lower):",
                "if number < self.number or is_same_time:",
            ),
        ),
    ),
    Guard(
        "what an endpoint said goes before its record",
        EndpointPromise.LEAVING,
        f"{LEAVING}::test_a_plain_endpoint_that_leaves_gets_no_calls_of_vms_that_were_told",
        (
            Change(
                "bamboovale/gateway/endpoints.py",
                "        if record.endpoint_id in self._leaving:",
                "        if False:",
            ),
        ),
    ),
    Guard(
        "a VM that starts hears which endpoints leave",
        EndpointPromise.LEAVING,
        f"{LEAVING}::test_one_answer_is_enough_for_all_vms_and_for_one_that_starts_later",
        (
            Change(
                "bamboovale/fleet/gossip.py",
                "introduction = [own, *self._endpoint_news()]",
                "introduction = [own]",
            ),
        ),
    ),
    Guard(
        "a place of an engine that leaves meanwhile is given back",
        EndpointPromise.LEAVING,
        f"{LEAVING}::test_a_place_granted_by_an_engine_that_leaves_meanwhile_is_not_used",
        (
            Change(
                "bamboovale/gateway/place_search.py",
                "                if self._endpoints.is_ready(chosen) and",
                "                if",
            ),
        ),
    ),
    Guard(
        "an engine at rest is passed over",
        EndpointPromise.REST,
        f"{REST}::TestRestingEndpoint::"
        "test_an_engine_at_rest_gets_no_requests_of_vms_that_it_turned_away",
        (
            Change(
                "bamboovale/gateway/place_search.py",
                "            if self._gate.rest_s(engine_id) > 0.0\n            or ",
                "            if ",
            ),
            Change(
                "bamboovale/gateway/place_search.py",
                " and not self._gate.rest_s(chosen):",
                ":",
            ),
        ),
    ),
    Guard(
        "calls wait for a rest or are refused",
        EndpointPromise.REST,
        f"{REST}::TestRestingPool::"
        "test_calls_are_refused_with_the_end_of_the_rest_and_not_repeated",
        (
            Change(
                "bamboovale/gateway/plain_calls.py",
                "        blocked = self._gate.waits_s(listed).keys()",
                "        blocked: set[str] = set()",
            ),
        ),
    ),
    Guard(
        "VMs keep to their part of a brittle endpoint's room",
        EndpointPromise.BRITTLE,
        "tests/test_gateway_brittle.py::TestBrittlePool::"
        "test_they_fall_over_no_more_often_than_allowed",
        (
            Change(
                "bamboovale/gateway/endpoint_signals.py",
                "        self._on_brittle(notice)\n",
                "",
            ),
        ),
    ),
    Guard(
        "the owner of an engine at rest orders nothing",
        EndpointPromise.REST,
        f"{REST}::TestRestingPool::"
        "test_an_owner_orders_nothing_at_an_engine_that_wants_rest",
        (
            Change(
                "bamboovale/gateway/engine_owner.py",
                "        if self._context.rest_s(self.record.endpoint_id) > 0.0:\n"
                "            return False\n",
                "",
            ),
        ),
    ),
)
