"""Tests of the platform's stand-ins: log, VM list and weight store."""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from bamboovale.standins import log, vms, weights
from bamboovale.standins.server import running
from tests.standin_client import StandInClient, wait_until

RECORDS = "/streams/catalogue/records"


class TestLog:
    """Streams, offsets, the append rate and lost answers of the log."""

    @pytest.fixture
    def client(self) -> Iterator[StandInClient]:
        with running(log.create_server("127.0.0.1:0")) as url:
            yield StandInClient(url)

    def append(self, client: StandInClient, value: object) -> int:
        status, answer = client.call("POST", RECORDS, {"value": value})
        assert status == 200
        return answer["offset"]

    def test_records_are_read_in_order(self, client: StandInClient) -> None:
        values = [{"name": "é"}, [1, 2], None]
        assert [self.append(client, value) for value in values] == [0, 1, 2]
        _, answer = client.call("GET", f"{RECORDS}?from=1&limit=1")
        assert [record["value"] for record in answer["records"]] == [[1, 2]]
        assert (answer["first"], answer["next"], answer["end"]) == (0, 2, 3)

    def test_long_poll_ends_with_the_next_append(self, client: StandInClient) -> None:
        with ThreadPoolExecutor(1) as pool:
            read = pool.submit(client.call, "GET", f"{RECORDS}?from=0&wait_ms=5000")
            time.sleep(0.05)
            started = time.monotonic()
            self.append(client, 7)
            _, answer = read.result(5)
        assert time.monotonic() - started < 1
        assert [record["value"] for record in answer["records"]] == [7]

    def test_expired_records_leave_a_gap(self, client: StandInClient) -> None:
        for number in range(5):
            self.append(client, number)
        client.set_faults(retention_records=2)
        _, answer = client.call("GET", f"{RECORDS}?from=0")
        assert answer["first"] == 3
        assert [record["offset"] for record in answer["records"]] == [3, 4]
        client.set_faults(retention_s=0)
        _, answer = client.call("GET", f"{RECORDS}?from=0")
        assert (answer["first"], answer["next"], answer["records"]) == (5, 5, [])

    def test_an_append_with_a_lost_answer_is_stored(
        self, client: StandInClient
    ) -> None:
        client.set_faults(lose_answers=1)
        with pytest.raises(urllib3.exceptions.ProtocolError):
            self.append(client, "lost")
        _, answer = client.call("GET", RECORDS)
        assert [record["value"] for record in answer["records"]] == ["lost"]
        assert [event["answer_lost"] for event in client.events("append")] == [True]

    def test_refuses_above_its_rate(self, client: StandInClient) -> None:
        client.set_faults(appends_per_s=5)
        statuses = [
            client.call("POST", RECORDS, {"value": number})[0] for number in range(20)
        ]
        assert 5 <= statuses.count(200) <= 7
        assert set(statuses) == {200, 503}
        _, answer = client.call("GET", RECORDS)
        assert len(answer["records"]) == statuses.count(200)

    @pytest.mark.parametrize(
        ("body", "status"),
        [({"val": 1}, 400), ([1], 400), ({"value": "x" * (1 << 20)}, 413)],
    )
    def test_invalid_bodies_are_refused(
        self, client: StandInClient, body: object, status: int
    ) -> None:
        assert client.call("POST", RECORDS, body)[0] == status


class TestVMList:
    """Rows, the lag and the frozen list."""

    @pytest.fixture
    def client(self) -> Iterator[StandInClient]:
        with running(vms.create_server("127.0.0.1:0", lag_s=0.2)) as url:
            yield StandInClient(url)

    def states(self, client: StandInClient) -> dict[str, str]:
        _, shown = client.call("GET", "/vms")
        return {row["id"]: row["state"] for row in shown["vms"]}

    def put(self, client: StandInClient, state: str = "live") -> None:
        row = {"kind": "runner", "address": "127.0.0.1", "state": state}
        assert client.call("PUT", "/vms/r1", row)[0] == 200

    def test_changes_are_visible_after_the_lag(self, client: StandInClient) -> None:
        self.put(client)
        assert self.states(client) == {}
        wait_until(lambda: self.states(client) == {"r1": "live"})
        client.call("DELETE", "/vms/r1")
        assert self.states(client) == {"r1": "live"}
        wait_until(lambda: self.states(client) == {})

    def test_a_stale_list_stays_frozen(self, client: StandInClient) -> None:
        client.set_faults(lag_s=0)
        self.put(client)
        client.set_faults(stale=True)
        self.put(client, "leaving")
        assert self.states(client) == {"r1": "live"}
        client.set_faults(stale=None)
        assert self.states(client) == {"r1": "leaving"}

    def test_an_unknown_state_is_refused(self, client: StandInClient) -> None:
        row = {"kind": "runner", "address": "127.0.0.1", "state": "gone"}
        assert client.call("PUT", "/vms/r1", row)[0] == 400


class TestWeightStore:
    """The load rate and the shared bandwidth."""

    @pytest.fixture
    def client(self) -> Iterator[StandInClient]:
        with running(weights.create_server("127.0.0.1:0", load_seconds=0.2)) as url:
            yield StandInClient(url)

    def load_seconds(self, client: StandInClient, at_once: int) -> list[float]:
        def load(number: int) -> float:
            status, answer = client.call("GET", f"/weights/a-{number}")
            assert status == 200
            return answer["seconds"]

        with ThreadPoolExecutor(at_once) as pool:
            return list(pool.map(load, range(at_once)))

    def test_two_at_once_run_at_full_speed(self, client: StandInClient) -> None:
        assert max(self.load_seconds(client, at_once=2)) < 0.35

    def test_four_at_once_take_twice_as_long(self, client: StandInClient) -> None:
        assert min(self.load_seconds(client, at_once=4)) > 0.3

    def test_refuses_above_its_rate(self, client: StandInClient) -> None:
        client.set_faults(loads_per_s=2, load_seconds=0)
        statuses = [client.call("GET", "/weights/a")[0] for _ in range(6)]
        assert statuses[:2] == [200, 200]
        assert 429 in statuses

    def test_only_the_named_loads_fail(self, client: StandInClient) -> None:
        client.set_faults(fail=["a/1"], load_seconds=0)
        assert client.call("GET", "/weights/a%2F1")[0] == 503
        assert client.call("GET", "/weights/b%2F1")[0] == 200
