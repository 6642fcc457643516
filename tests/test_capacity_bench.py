"""Tests of the line fit, process usage and byte counts of the capacity bench."""

import os
import socket
import threading

import pytest

from bench.relay import relay_loop, start_relay
from bench.slopes import Line, Usage


class TestLine:
    """The least-squares fit."""

    def test_a_straight_line_is_fitted_exactly(self) -> None:
        line = Line.through([(1, 5.0), (2, 7.0), (4, 11.0)])
        assert line.slope == pytest.approx(2)
        assert line.intercept == pytest.approx(3)
        assert line.max_error == pytest.approx(0, abs=1e-9)

    def test_the_max_error_is_that_of_the_worst_reading(self) -> None:
        line = Line.through([(0, 0.0), (1, 3.0), (2, 0.0)])
        assert line.slope == pytest.approx(0)
        assert line.max_error == pytest.approx(2)


class TestUsage:
    """Usage read from the kernel, for the test process."""

    def test_work_shows_as_processor_time(self) -> None:
        before = Usage.of_process(os.getpid())
        sum(number * number for number in range(2_000_000))
        after = Usage.of_process(os.getpid())
        assert after.cores_since(before) > 0
        assert after.resident_bytes > 1_000_000
        assert after.threads >= 1


class TestRelay:
    """Byte counts of a relay."""

    def test_both_directions_are_counted(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))

        def answer() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.sendall(connection.recv(100) * 2)

        threading.Thread(target=answer, daemon=True).start()
        host, port = listener.getsockname()
        with relay_loop() as loop:
            relay = start_relay(loop, f"http://{host}:{port}")
            target = relay.url.removeprefix("http://").split(":")
            with socket.create_connection((target[0], int(target[1]))) as caller:
                caller.settimeout(5)
                caller.sendall(b"x" * 10)
                received = b""
                while piece := caller.recv(100):
                    received += piece
            assert received == b"x" * 20
            assert relay.bytes == 30
        listener.close()
