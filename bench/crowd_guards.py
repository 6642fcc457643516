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
                "        if self._transport.is_closing():  # it has made room",
                "        if False:  # it has made room",
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
