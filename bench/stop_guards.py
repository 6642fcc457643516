"""Guards of the planned stop of an entry VM."""

from bench.guard import Change, EndpointPromise, Guard

TESTS = "tests/test_gateway_stops.py"
DRAIN_PATH = "bamboovale/gateway/drain.py"
SEARCH_PATH = "bamboovale/gateway/place_search.py"

STILL_IN_TIME = "lambda: self._now() >= latest_start()"

STOP_GUARDS = (
    Guard(
        "no run begins that the stop would cut",
        EndpointPromise.STOPS,
        f"{TESTS}::TestRequestsTooLate::test_a_stream_that_would_be_cut_is_refused",
        (
            Change(
                SEARCH_PATH,
                "        return progress.final_error(STOPS)\n",
                "        return None\n",
            ),
        ),
    ),
    Guard(
        "no place is waited for that comes too late for the run",
        EndpointPromise.STOPS,
        f"{TESTS}::TestRequestsTooLate"
        "::test_no_place_is_waited_for_until_the_run_would_be_cut",
        (
            Change(
                SEARCH_PATH,
                "max(0.0, latest_start() - now)",
                "math.inf",
            ),
            Change(SEARCH_PATH, STILL_IN_TIME, "lambda: False"),
        ),
    ),
    Guard(
        "a wait that began before the stop ends in time",
        EndpointPromise.STOPS,
        f"{TESTS}::TestRequestsTooLate"
        "::test_one_that_waits_as_the_stop_begins_is_refused_in_time",
        (Change(SEARCH_PATH, STILL_IN_TIME, "lambda: False"),),
    ),
    Guard(
        "what is sent for other VMs is completed",
        EndpointPromise.STOPS,
        f"{TESTS}::TestRequestsOfOtherVMs"
        "::test_a_stream_sent_for_another_vm_is_completed",
        (Change(DRAIN_PATH, " and not relays:", ":"),),
    ),
    Guard(
        "requests that are left get an answer",
        EndpointPromise.STOPS,
        f"{TESTS}::TestRequestsLeftAtTheEnd::test_one_that_may_have_run_is_told_so",
        (Change(DRAIN_PATH, "    end_calls()\n", ""),),
    ),
)
