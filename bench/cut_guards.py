"""Guards of answers that stop early."""

from bench.guard import Change, EndpointPromise, Guard

OWN = "tests/test_cut_answers.py"
STORE = "tests/test_cut_store_answers.py"
ROUTED = "tests/test_gateway_cut_answers.py"
RESPONSES_PATH = "bamboovale/http_responses.py"
CONNECTIONS_PATH = "bamboovale/entry/endpoint_connections.py"

CUT_GUARDS = (
    Guard(
        "the end of a connection does not end a line",
        EndpointPromise.CUTS,
        f"{OWN}::TestExchange::test_a_cut_answer_is_lost[fresh-close-length last]",
        (
            Change(
                RESPONSES_PATH,
                '        if not line.endswith(b"\\n") and len(line) != size:',
                "        if False:",
            ),
        ),
    ),
    Guard(
        "an interim answer is not the final one",
        EndpointPromise.CUTS,
        f"{OWN}::TestExchange::"
        "test_an_answer_after_an_interim_one_belongs_to_its_request",
        (
            Change(
                RESPONSES_PATH,
                "        while self.status < FIRST_FINAL_STATUS:",
                "        while False:",
            ),
        ),
    ),
    Guard(
        "orders and lists are read from whole responses",
        EndpointPromise.CUTS,
        f"{OWN}::TestPlatformCalls::"
        "test_a_cut_answer_to_an_order_leaves_its_outcome_open",
        (
            Change(
                RESPONSES_PATH,
                "    ConnectionCls = Connection\n",
                "",
            ),
        ),
    ),
    Guard(
        "a body is read to its end",
        EndpointPromise.CUTS,
        f"{OWN}::TestExchange::test_a_cut_answer_is_lost[kept-close-length first]",
        (
            Change(
                CONNECTIONS_PATH,
                "            for piece in self.response.stream(READ_BYTES):",
                "            for piece in [self.response.read(limit + 1)]:",
            ),
        ),
    ),
    Guard(
        "a body that was aborted is not whole",
        EndpointPromise.CUTS,
        f"{OWN}::TestExchange::test_an_answer_that_is_aborted_is_lost",
        (Change(CONNECTIONS_PATH, "        if self.aborted:", "        if False:"),),
    ),
    Guard(
        "a read of the store without a whole record fails",
        EndpointPromise.CUTS,
        f"{STORE}::TestCutAnswers::"
        "test_of_a_cut_read_without_a_length_whole_records_count",
        (
            Change(
                "bamboovale/platform/store.py",
                '        raise ValueError("no whole record")',
                "        pass",
            ),
        ),
    ),
    Guard(
        "a list that the store's answer lacks is not empty",
        EndpointPromise.CUTS,
        f"{STORE}::TestOddAnswers::test_one_without_a_list_is_a_failure[{{}}-members]",
        (
            Change(
                "bamboovale/platform/store.py",
                '    rows = answer["parts"] if "parts" in answer else answer["owners"]',
                '    rows = answer.get("parts", [])',
            ),
        ),
    ),
    Guard(
        "a stream without a frame is reset where it is broken off",
        EndpointPromise.CUTS,
        f"{ROUTED}::TestCallersWithoutChunks::test_a_cut_stream_is_reset",
        (
            Change(
                "bamboovale/http1/server_connection.py",
                "        if self._is_unframed(headers):",
                "        if False:",
            ),
        ),
    ),
    Guard(
        "an endpoint that closes is reached",
        EndpointPromise.CUTS,
        f"{ROUTED}::TestTrust::test_an_endpoint_that_closes_is_reached[/book/1]",
        (
            Change(
                "bamboovale/http1/connection.py",
                "        self._ended = self.has_received = True",
                "        self._ended = True",
            ),
        ),
    ),
)
