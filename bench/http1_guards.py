"""Guards of messages that come too fast, and of answers that come a second time."""

from bench.guard import Change, EndpointPromise, Guard

TESTS = "tests/test_http1_flow_control.py"
NOT_RUN = "tests/test_gateway_not_run.py"
LATE_ANSWERS = f"{NOT_RUN}::TestCopyOfARejection"
SERVER_PATH = "bamboovale/http1/server_connection.py"

HTTP1_GUARDS = (
    Guard(
        "the rest of a body is read",
        EndpointPromise.BODIES,
        f"{TESTS}::TestServer::test_it_reads_on_whenever_it_waits",
        (
            Change(
                SERVER_PATH,
                "            self._flow.on_taken()\n",
                "",
            ),
        ),
    ),
    Guard(
        "a caller that leaves after its body is noticed",
        EndpointPromise.BODIES,
        f"{TESTS}::TestServer::test_a_caller_that_leaves_after_a_large_body_is_noticed",
        (
            Change(
                SERVER_PATH,
                "        self._flow.on_taken(len(self._wire.trailing_data[0]))\n",
                "",
            ),
        ),
    ),
    Guard(
        "the end of a connection in the pool is noticed",
        EndpointPromise.BODIES,
        f"{TESTS}::TestClient::test_a_connection_in_the_pool_notices_its_close",
        (
            Change(
                "bamboovale/http1/connection.py",
                "        self._flow.on_taken(rest)\n",
                "",
            ),
        ),
    ),
    Guard(
        "what nobody takes waits outside",
        EndpointPromise.BODIES,
        TESTS,
        (
            Change(
                "bamboovale/http1/flow_control.py",
                "            self._transport.pause_reading()",
                "            pass",
            ),
        ),
    ),
    Guard(
        "a request is not sent again on the connection that carried it",
        EndpointPromise.ONCE,
        f"{LATE_ANSWERS}::test_a_plain_call_that_runs_is_not_refused",
        (
            Change(
                "bamboovale/http1/pool.py",
                "            if not _has_carried(connection, request_id):",
                "            if True:",
            ),
        ),
    ),
    Guard(
        "an answer without an id may belong to an earlier request",
        EndpointPromise.ONCE,
        f"{LATE_ANSWERS}::test_the_next_call_on_the_connection_gets_its_own_answer",
        (
            Change(
                "bamboovale/gateway/endpoint_client.py",
                "        return not connection.is_reused",
                "        return True",
            ),
        ),
    ),
    Guard(
        "the status of a run does not promise that it did not run",
        EndpointPromise.ONCE,
        f"{NOT_RUN}::TestFailureOfARun",
        (
            Change(
                "bamboovale/gateway/call.py",
                "        if facts.reads_not_run and self.must_run_once:",
                "        if False:",
            ),
        ),
    ),
)
