"""Guards of what a crowd of clients may hold in a process."""

from bench.guard import Change, EndpointPromise, Guard

CROWDS = "tests/test_hostile_clients.py"
BOUNDS = "tests/test_client_bounds.py"
RELAYS = "tests/test_relay.py::TestMemory::test_it_counts_and_its_end_is_told"
LISTENER_PATH = "bamboovale/http1/server.py"
SERVER_PATH = "bamboovale/http1/server_connection.py"

CROWD_GUARDS = (
    Guard(
        "the largest holders go when all hold too much",
        EndpointPromise.CROWDS,
        f"{CROWDS}::TestBodies::test_inside_the_limit_without_an_end[front]",
        (
            Change(
                "bamboovale/http1/memory.py",
                "        if self._most_bytes > self.limit_bytes:",
                "        if False:",
            ),
        ),
    ),
    Guard(
        "a port has as many connections as its share allows",
        EndpointPromise.CROWDS,
        f"{BOUNDS}::TestConnections::"
        "test_several_that_come_at_once_make_room_for_each[preferred]",
        (
            Change(
                "bamboovale/http1/connection_limit.py",
                "        if len(others) < self.most:",
                "        if True:",
            ),
        ),
    ),
    Guard(
        "few connections wait that have not proved that a VM opened them",
        EndpointPromise.CROWDS,
        f"{CROWDS}::TestConnections::test_idle[peers]",
        (
            Change(
                "bamboovale/peers/newcomers.py",
                "        if len(self._connections) >= self._most:",
                "        if False:",
            ),
        ),
    ),
    Guard(
        "a connection that is being closed makes room only once",
        EndpointPromise.CROWDS,
        f"{BOUNDS}::TestConnections::"
        "test_several_that_come_at_once_make_room_for_each[asyncio]",
        (
            Change(
                SERVER_PATH,
                "        if self._is_dropped or not self.waits_for_client():",
                "        if not self.waits_for_client():",
            ),
        ),
    ),
    Guard(
        "connections to endpoints are bounded",
        EndpointPromise.CROWDS,
        f"{BOUNDS}::TestEndpointConnections::"
        "test_an_idle_one_makes_room_and_a_busy_one_does_not",
        (Change("bamboovale/http1/pool.py", "        self._make_room()\n", ""),),
    ),
    Guard(
        "connections share what the kernel takes over at a stop",
        EndpointPromise.CROWDS,
        f"{BOUNDS}::TestStop::test_they_share_what_the_kernel_takes_over",
        (
            Change(
                LISTENER_PATH,
                "int(min(LAST_SEND_BUFFER_BYTES, share))",
                "LAST_SEND_BUFFER_BYTES",
            ),
        ),
    ),
    Guard(
        "exchanges for other VMs count in the memory of the process",
        EndpointPromise.CROWDS,
        RELAYS,
        (
            Change(
                "bamboovale/relay/server.py",
                "        self._memory.add(relay)\n",
                "",
            ),
        ),
    ),
    Guard(
        "a VM is told that its exchange was ended for memory",
        EndpointPromise.CROWDS,
        RELAYS,
        (
            Change(
                "bamboovale/relay/server.py",
                "            self._tell_failed(relay)\n",
                "            pass\n",
            ),
        ),
    ),
    Guard(
        "a body in short chunks lets others have their turn",
        EndpointPromise.CROWDS,
        f"{BOUNDS}::TestTurns::test_a_body_in_short_chunks_does_not_hold_others_up",
        (
            Change(
                SERVER_PATH,
                "            if short_chunks >= SHORT_CHUNKS_A_TURN:",
                "            if False:",
            ),
        ),
    ),
    Guard(
        "requests that wait for their own client make room",
        EndpointPromise.CROWDS,
        f"{BOUNDS}::TestConnections::"
        "test_requests_behind_answers_that_are_not_read_make_room",
        (
            Change(
                SERVER_PATH,
                "        must_read = self._writable is not None or",
                "        must_read = False and",
            ),
        ),
    ),
    Guard(
        "long ids are kept as digests",
        EndpointPromise.CROWDS,
        f"{BOUNDS}::TestNames::test_a_connection_remembers_short_ids",
        (
            Change(
                "bamboovale/request_ids.py",
                "    if len(request_id) <= MAX_KEPT_CHARS:",
                "    if True:",
            ),
        ),
    ),
    Guard(
        "streams that nobody can name are not remembered",
        EndpointPromise.CROWDS,
        f"{BOUNDS}::TestNames::test_a_stream_that_nobody_can_name_is_not_remembered",
        (
            Change(
                "bamboovale/streams/exchange.py",
                " if len(item) <= MAX_KEPT_CHARS)",
                ")",
            ),
        ),
    ),
    Guard(
        "of a prompt a few parts are kept",
        EndpointPromise.CROWDS,
        f"{BOUNDS}::TestNames::test_many_parts_of_a_prompt",
        (
            Change(
                "bamboovale/platform/requests.py",
                "        if len(parts) < MAX_PROMPT_PARTS:",
                "        if True:",
            ),
        ),
    ),
    Guard(
        "adapters that callers make up are not found",
        EndpointPromise.CROWDS,
        "tests/test_gateway.py::TestAdapters::"
        "test_an_unknown_adapter_is_not_found[other]",
        (
            Change(
                "bamboovale/gateway/request_handler.py",
                " or not self._has_adapter(model, work.adapter):",
                ":",
            ),
        ),
    ),
    Guard(
        "nothing is kept of clients that leave",
        EndpointPromise.CROWDS,
        f"{BOUNDS}::TestClientsThatLeave::test_nothing_of_them_is_kept[begun]",
        (
            Change(
                SERVER_PATH,
                "            self._task = None\n",
                "",
            ),
        ),
    ),
    Guard(
        "what a cut connection received is let go of at once",
        EndpointPromise.CROWDS,
        f"{CROWDS}::TestLargeCrowds::test_requests_behind_answers_that_are_not_read",
        (
            Change(
                SERVER_PATH,
                "        self._wire = self._new_wire()\n        self._notify()",
                "        self._notify()",
            ),
        ),
    ),
    Guard(
        "long heads wait until cut ones are let go of",
        EndpointPromise.CROWDS,
        f"{CROWDS}::TestLargeCrowds::test_heads_of_many_short_lines",
        (
            Change(
                SERVER_PATH,
                "            if not self._server.memory.releasing:",
                "            if True:",
            ),
        ),
    ),
    Guard(
        "the kernel holds little for each of many",
        EndpointPromise.CROWDS,
        f"{CROWDS}::TestLargeCrowds::test_bodies_without_an_end",
        (
            Change(
                LISTENER_PATH,
                "        return int(max(LEAST_RECEIVE_BYTES, wanted))",
                "        return SOCKET_BUFFER_BYTES",
            ),
        ),
    ),
    Guard(
        "a link opens with few bytes",
        EndpointPromise.CROWDS,
        f"{CROWDS}::TestLargeCrowds::test_handshakes_with_long_heads",
        (
            Change(
                "bamboovale/peers/newcomers.py",
                "            if self._opening_bytes > MAX_OPENING_BYTES:",
                "            if False:",
            ),
        ),
    ),
    Guard(
        "one of many that need parsing goes on in a pass",
        EndpointPromise.CROWDS,
        f"{BOUNDS}::TestTurns::test_one_of_many_goes_on_in_a_pass",
        (
            Change(
                "bamboovale/http1/turns.py",
                "                break\n",
                "",
            ),
        ),
    ),
    Guard(
        "what endpoints send is told as it comes",
        EndpointPromise.CROWDS,
        f"{BOUNDS}::TestEndpointAnswers::test_it_is_told_as_it_comes",
        (
            Change(
                "bamboovale/http1/pool.py",
                "        connection.on_received = self._on_received\n",
                "",
            ),
        ),
    ),
    Guard(
        "a cut answer without a length is reset",
        EndpointPromise.CUTS,
        f"{BOUNDS}::TestMemory::test_a_cut_answer_does_not_look_whole[1.0]",
        (
            Change(
                SERVER_PATH,
                "self._wire.their_http_version == HTTP_1_0 and not is_cut",
                "self._wire.their_http_version == HTTP_1_0",
            ),
        ),
    ),
)
