"""Tests of the faults, history, server and command shared by all stand-ins."""

import signal
import subprocess
import sys
from collections.abc import Iterator

import pytest
import urllib3

from bamboovale.standins import service
from bamboovale.standins.faults import Faults, UnknownFaultError
from bamboovale.standins.history import History
from bamboovale.standins.server import running
from tests.standin_client import StandInClient, wait_until


@pytest.fixture
def client() -> Iterator[StandInClient]:
    with running(service.create_server("127.0.0.1:0", "m1", latency_ms=0)) as url:
        yield StandInClient(url)


class TestFaults:
    """How often a fault occurs."""

    def test_a_share_is_reproducible_with_its_seed(self) -> None:
        faults = Faults(["lose"])

        def draw() -> list[bool]:
            faults.merge({"lose": {"share": 0.5, "seed": 3}})
            return [faults.occurs("lose") for _ in range(20)]

        first = draw()
        assert draw() == first
        assert 0 < sum(first) < 20

    def test_a_count_runs_out(self) -> None:
        faults = Faults(["lose"])
        faults.merge({"lose": 2})
        assert [faults.occurs("lose") for _ in range(3)] == [True, True, False]

    def test_none_clears_one_fault_and_keeps_the_others(self) -> None:
        faults = Faults(["lose"])
        faults.merge({"lose": True, "slow_ms": 5})
        faults.merge({"lose": None})
        assert faults.to_json() == {"slow_ms": 5}

    def test_an_unknown_name_changes_nothing(self) -> None:
        faults = Faults(["lose"])
        with pytest.raises(UnknownFaultError, match="loose"):
            faults.merge({"lose": True, "loose": True})
        assert faults.to_json() == {}


class TestHistory:
    """The size-limited history."""

    def test_the_index_shows_that_events_were_dropped(self) -> None:
        history = History(kept=3)
        for number in range(5):
            history.record("run", number=number)
        assert [event["index"] for event in history.read()] == [2, 3, 4]
        assert [event["number"] for event in history.read(4)] == [4]
        assert [event["index"] for event in history.read(0, limit=1)] == [2]


class TestServer:
    """Connections under faults."""

    def test_an_unknown_fault_is_refused(self, client: StandInClient) -> None:
        status, _ = client.call("POST", "/faults", {"dwon": True})
        assert status == 400

    def test_down_drops_callers_but_not_control(self, client: StandInClient) -> None:
        client.set_faults(down=True)
        with pytest.raises(urllib3.exceptions.ProtocolError):
            client.call("POST", "/book")
        assert client.events("run") == []
        client.set_faults(down=None)
        assert client.call("POST", "/book")[0] == 200

    def test_cut_drops_one_source_also_in_flight(self, client: StandInClient) -> None:
        cut = StandInClient(client.url, source="127.0.0.12")
        assert cut.call("GET", "/")[0] == 200
        client.set_faults(cut=["127.0.0.12"])
        with pytest.raises(urllib3.exceptions.ProtocolError):
            cut.call("GET", "/")
        assert client.call("GET", "/")[0] == 200

    def test_connections_are_refused_for_the_given_time(
        self, client: StandInClient
    ) -> None:
        client.set_faults(refuse_s=0.3)
        with pytest.raises(urllib3.exceptions.NewConnectionError):
            client.call("GET", "/")

        def serves() -> bool:
            try:
                return client.call("GET", "/")[0] == 200
            except urllib3.exceptions.NewConnectionError:
                return False

        wait_until(serves)

    def test_a_connection_is_reused_for_many_requests(
        self, client: StandInClient
    ) -> None:
        connection = urllib3.HTTPConnectionPool(
            client.url.removeprefix("http://"), maxsize=1, block=True, retries=False
        )
        for _ in range(20):
            assert connection.request("GET", "/").status == 200
        assert connection.num_connections == 1


class TestCommand:
    """The stand-ins as processes."""

    @pytest.mark.parametrize(
        "arguments",
        [
            ["log"],
            ["vms"],
            ["weights"],
            ["service", "--id", "m1"],
            ["engine", "--id", "r1", "--base-model", "base"],
            ["relay", "--target", "127.0.0.1:9"],
        ],
        ids=lambda arguments: arguments[0],
    )
    def test_prints_its_address_and_exits_with_0_on_sigterm(
        self, arguments: list[str]
    ) -> None:
        command = [sys.executable, "-m", "bamboovale", "standin", *arguments]
        process = subprocess.Popen(
            [*command, "--listen", "127.0.0.1:0"],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert process.stdout is not None
        line = process.stdout.readline()
        if arguments[0] == "relay":
            line = process.stdout.readline().replace("control", "listening")
        assert line.startswith("listening on 127.0.0.1:")
        client = StandInClient(f"http://{line.split()[-1]}")
        assert client.call("GET", "/healthz") == (200, {"status": "ok"})
        process.send_signal(signal.SIGTERM)
        assert process.wait(5) == 0
