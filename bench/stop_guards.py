"""Guards of the planned stop of an entry VM."""

from bench.guard import Change, EndpointPromise, Guard

TESTS = "tests/test_gateway_stops.py"
DRAIN_PATH = "bamboovale/gateway/drain.py"
SEARCH_PATH = "bamboovale/gateway/place_search.py"

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
        ),
    ),
    Guard(
        "requests that are left get an answer",
        EndpointPromise.STOPS,
        f"{TESTS}::TestRequestsLeftAtTheEnd::test_one_that_may_have_run_is_told_so",
        (Change(DRAIN_PATH, "    end_calls()\n", ""),),
    ),
)
