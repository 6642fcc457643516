"""Guards of what a crowd of clients may hold in a process."""

from bench.guard import Change, EndpointPromise, Guard

CROWDS = "tests/test_hostile_clients.py"
BOUNDS = "tests/test_client_bounds.py"
SERVER_PATH = "bamboovale/http1/server.py"

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
        f"{CROWDS}::TestConnections::test_idle[front]",
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
        "a body in short chunks lets others have their turn",
        EndpointPromise.CROWDS,
        f"{CROWDS}::TestBodies::test_in_tiny_chunks",
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
