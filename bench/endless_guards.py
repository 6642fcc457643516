"""Guards against bytes without end, and against events that are spoilt."""

from bench.guard import Change, EndpointPromise, Guard

RECEIVED = "tests/test_http1_received.py"
PARTS = "tests/test_gateway_parts.py::TestEvents"
CONNECTION_PATH = "bamboovale/http1/connection.py"
EVENTS_PATH = "bamboovale/gateway/events.py"

ENDLESS_GUARDS = (
    Guard(
        "an answer in many parts lets others have their turns",
        EndpointPromise.ENDLESS,
        f"{RECEIVED}::TestTurns",
        (
            Change(
                CONNECTION_PATH,
                "            await self.turns.take()",
                "            pass",
            ),
        ),
    ),
    Guard(
        "few parts are taken apart at once",
        EndpointPromise.ENDLESS,
        f"{RECEIVED}::TestTurns",
        (Change(CONNECTION_PATH, "len(parts) < PARTS_A_TURN and ", ""),),
    ),
    Guard(
        "a head has few lines",
        EndpointPromise.ENDLESS,
        f"{RECEIVED}::TestHeads",
        (
            Change(
                "bamboovale/http1/received.py",
                '        if self._data.count(b"\\n", 0, size) > MAX_HEAD_LINES:',
                "        if False:",
            ),
        ),
    ),
    Guard(
        "interim responses are few",
        EndpointPromise.ENDLESS,
        f"{RECEIVED}::TestHeads",
        (
            Change(
                CONNECTION_PATH,
                "        for _ in range(MAX_INTERIM_RESPONSES + 1):",
                "        while True:",
            ),
        ),
    ),
    Guard(
        "a head of many lines waits for its turn",
        EndpointPromise.ENDLESS,
        f"{RECEIVED}::TestRequests",
        (
            Change(
                "bamboovale/http1/server_connection.py",
                "                await self._take_turn(deadline, timeout_reason)\n",
                "",
            ),
        ),
    ),
    Guard(
        "each byte of a stream is searched once",
        EndpointPromise.ENDLESS,
        f"{RECEIVED}::TestEvents",
        (Change(EVENTS_PATH, "(self._pending, self._searched)", "(self._pending)"),),
    ),
    Guard(
        "a body is bounded",
        EndpointPromise.ENDLESS,
        f"{RECEIVED}::TestBodies",
        (
            Change(
                "bamboovale/http1/body.py",
                "            if len(body) > most_bytes:",
                "            if False:",
            ),
        ),
    ),
    Guard(
        "nothing is kept of a body that fails",
        EndpointPromise.ENDLESS,
        f"{RECEIVED}::TestBodies",
        (Change("bamboovale/http1/body.py", "        body.clear()", "        pass"),),
    ),
    Guard(
        "a link with many frames lets others go on",
        EndpointPromise.ENDLESS,
        "tests/test_peer_links.py::TestManyFrames",
        (
            Change(
                "bamboovale/peers/channel.py",
                "        if self._frames % FRAMES_A_TURN == 0:",
                "        if self._frames > 10 * FRAMES_A_TURN:\n"
                "            raise AssertionError\n"
                "        if False:",
            ),
        ),
    ),
    Guard(
        "events before a spoilt one are handed on",
        EndpointPromise.SPOILT,
        f"{PARTS}::test_whole_events_before_a_break_are_returned",
        (
            Change(
                EVENTS_PATH,
                "            if not events:\n                raise\n",
                "            raise\n",
            ),
        ),
    ),
    Guard(
        "a run ends behind the events before a spoilt one",
        EndpointPromise.SPOILT,
        f"{PARTS}::test_whole_events_before_a_break_are_returned",
        (Change(EVENTS_PATH, "            self._broken = error\n", ""),),
    ),
    Guard(
        "no engine goes on after an id that may be wrong",
        EndpointPromise.SPOILT,
        "tests/test_spoilt_streams.py::TestWrongPlace",
        (
            Change(
                "bamboovale/gateway/model_calls.py",
                " and progress.is_position_known",
                "",
            ),
        ),
    ),
    Guard(
        "a reset behind an end is looked for",
        EndpointPromise.CUTS,
        "tests/test_early_answers.py::TestEarlyAnswers",
        (
            Change(
                CONNECTION_PATH,
                "            if self._is_end_told:",
                "            if False:",
            ),
        ),
    ),
)
