"""Guards of the planned stop of an entry VM."""

from bench.guard import Change, EndpointPromise, Guard

TESTS = "tests/test_gateway_stops.py"
DRAIN_PATH = "bamboovale/gateway/drain.py"
SEARCH_PATH = "bamboovale/gateway/place_search.py"
LISTENER_PATH = "bamboovale/http1/server.py"
SERVER_PATH = "bamboovale/http1/server_connection.py"

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
    Guard(
        "late requests need a promise by the clock",
        EndpointPromise.STOPS,
        f"{TESTS}::TestPromisedRequests"
        "::test_a_stream_that_only_an_estimate_would_end_is_refused",
        (
            Change(
                "bamboovale/decisions/planned_stop.py",
                "        return is_excused or ends_by <= self.ends_at\n",
                "        return True\n",
            ),
        ),
    ),
    Guard(
        "a stop is dated before its signal",
        EndpointPromise.STOPS,
        "tests/test_gateway_stop_clock.py::TestStopOfALateVM"
        "::test_it_ends_by_the_clock_of_the_platform",
        (
            Change(
                "bamboovale/gateway/vm.py",
                "                self._stop_clock.unasked_until,\n",
                "                self.state.now(),\n",
            ),
        ),
    ),
    Guard(
        "no timer that precedes the signal's handler dates the stop",
        EndpointPromise.STOPS,
        "tests/test_gateway_stop_clock.py::TestStopClock"
        "::test_a_suspension_dates_the_signal_no_later",
        (
            Change(
                "bamboovale/gateway/stop_clock.py",
                "LOOP_PASSES = 4\n",
                "LOOP_PASSES = 0\n",
            ),
        ),
    ),
    Guard(
        "complete answers leave a process that exits",
        EndpointPromise.STOPS,
        f"{TESTS}::TestDelivery::test_a_caller_that_reads_slowly_gets_all_of_it",
        (
            Change(
                LISTENER_PATH,
                "connection.hasten(int(min(LAST_SEND_BUFFER_BYTES, share)))",
                "pass",
            ),
        ),
    ),
    Guard(
        "requests behind another are answered",
        EndpointPromise.STOPS,
        f"{TESTS}::TestDelivery::test_a_request_behind_another_is_answered",
        (
            Change(
                SERVER_PATH,
                "        if self.close_after and not self._has_next():\n",
                "        if self.close_after:\n",
            ),
        ),
    ),
    Guard(
        "what connects while the loop is late is answered",
        EndpointPromise.STOPS,
        f"{TESTS}::TestConnectionsAtTheEnd"
        "::test_one_that_the_loop_has_not_accepted_is_answered",
        (Change(DRAIN_PATH, "    await asyncio.sleep(ACCEPT_S)\n", ""),),
    ),
)
