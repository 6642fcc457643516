"""Tests of the stand-in of a model engine."""

import json
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import Any

import pytest
import urllib3

from bamboovale.standins import engine, weights
from bamboovale.standins.orders import EngineSettings
from bamboovale.standins.server import running
from bamboovale.standins.tokens import answer_text
from tests.standin_client import StandInClient, wait_until

STEP_MS = 5.0


@contextmanager
def running_engine(**settings: Any) -> Iterator[StandInClient]:
    given = EngineSettings("r1", "base", **({"step_ms": STEP_MS} | settings))
    with running(engine.create_server("127.0.0.1:0", given)) as url:
        yield StandInClient(url)


@pytest.fixture
def client() -> Iterator[StandInClient]:
    with running_engine(max_num_seqs=2, max_loras=2) as loaded:
        assert load(loaded, "a@1") == 200
        yield loaded


def load(client: StandInClient, name: str, token: int = 1) -> int:
    order = {"lora_name": name, "lora_path": name}
    path = "/v1/load_lora_adapter"
    return client.call("POST", path, order, X_Fencing_Token=str(token))[0]


def unload(client: StandInClient, name: str, token: int = 1) -> int:
    path = "/v1/unload_lora_adapter"
    order = {"lora_name": name}
    return client.call("POST", path, order, X_Fencing_Token=str(token))[0]


def complete(
    client: StandInClient,
    request_id: str = "q1",
    model: str = "a@1",
    prompt: str = "hello",
    max_tokens: int = 4,
    **fields: Any,
) -> tuple[int, Any]:
    body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, **fields}
    return client.call("POST", "/v1/completions", body, X_Request_Id=request_id)


def start_stream(
    client: StandInClient,
    request_id: str = "q1",
    max_tokens: int = 2000,
) -> urllib3.BaseHTTPResponse:
    body = {"model": "a@1", "prompt": "p", "max_tokens": max_tokens, "stream": True}
    answer = client.open("/v1/completions", body, X_Request_Id=request_id)
    assert answer.status == 200
    return answer


def text_of(stream: str) -> str:
    lines = [line.removeprefix("data: ") for line in stream.split("\n\n") if line]
    assert lines[-1] == "[DONE]"
    return "".join(json.loads(line)["choices"][0]["text"] for line in lines[:-1])


class TestAnswers:
    """Unary answers and streams."""

    def test_text_is_determined_by_the_request(self, client: StandInClient) -> None:
        status, answer = complete(client, max_tokens=7)
        assert (status, answer["id"], answer["model"]) == (200, "q1", "a@1")
        assert answer["choices"][0]["text"] == answer_text("a@1", "hello", 7)
        assert answer["usage"]["completion_tokens"] == 7

    def test_a_stream_has_the_same_tokens(self, client: StandInClient) -> None:
        _, stream = complete(client, max_tokens=7, stream=True)
        assert text_of(stream) == answer_text("a@1", "hello", 7)

    def test_chat_messages_are_joined_into_one_prompt(
        self, client: StandInClient
    ) -> None:
        messages = [{"role": "user", "content": "hello"}]
        body = {"model": "a@1", "messages": messages, "max_tokens": 3}
        _, answer = client.call("POST", "/v1/chat/completions", body)
        expected = answer_text("a@1", "user: hello", 3)
        assert answer["choices"][0]["message"]["content"] == expected

    def test_request_for_an_unloaded_adapter_is_not_run(
        self, client: StandInClient
    ) -> None:
        status, answer = complete(client, model="a@2")
        assert (status, answer["error"]["type"]) == (404, "model_not_found")
        assert client.events("run_start") == []

    def test_repeated_request_id_is_another_attempt(
        self, client: StandInClient
    ) -> None:
        complete(client)
        complete(client)
        attempts = [event["attempt"] for event in client.events("run_start")]
        assert attempts == [1, 2]

    @pytest.mark.parametrize(
        "body",
        [{}, {"model": "a@1"}, {"model": "a@1", "prompt": [1]}, [], "x"],
    )
    def test_invalid_bodies_are_refused(self, client: StandInClient, body: Any) -> None:
        assert client.call("POST", "/v1/completions", body)[0] == 400


class TestBatching:
    """Runs share the batch; further ones wait in priority order."""

    def test_runs_step_together(self, client: StandInClient) -> None:
        started = time.monotonic()
        with ThreadPoolExecutor(2) as pool:
            list(pool.map(lambda n: complete(client, f"q{n}", max_tokens=60), range(2)))
        assert time.monotonic() - started < 1.7 * 60 * STEP_MS / 1000

    def test_a_lower_priority_value_starts_first(self, client: StandInClient) -> None:
        streams = [start_stream(client, f"busy{n}", 100) for n in range(2)]
        with ThreadPoolExecutor(2) as pool:
            pool.submit(complete, client, "late", priority=5)
            wait_until(lambda: client.call("GET", "/state")[1]["waiting"] == 1)
            pool.submit(complete, client, "soon", priority=1)
        assert len(streams) == 2
        order = [event["request_id"] for event in client.events("run_start")]
        assert order.index("soon") < order.index("late")

    def test_a_cached_prefix_takes_fewer_steps(self) -> None:
        prompt = "x" * 4 * 512 * 20
        with running_engine(prefix_cache_blocks=2000) as client:
            for _ in range(2):
                complete(client, model="base", prompt=prompt, max_tokens=1)
            client.set_faults(late_events=0)
            _, events = client.call("GET", "/cache_events?from=0")
            starts = client.events("run_start")
        first, second = (event["steps_to_first_token"] for event in starts)
        assert first == 20
        assert second < first / 2
        assert [event["event"] for event in events["events"]] == ["stored"]


class TestCancel:
    """A disconnect cancels the run; a resume continues it."""

    def test_a_closed_stream_is_cancelled(self, client: StandInClient) -> None:
        start_stream(client).close()
        wait_until(lambda: client.events("run_end"))
        assert client.events("run_end")[0]["outcome"] == "cancelled"

    def test_a_closed_unary_call_is_cancelled(self, client: StandInClient) -> None:
        with pytest.raises(urllib3.exceptions.ReadTimeoutError):
            body = {"model": "a@1", "prompt": "p", "max_tokens": 5000}
            client.call("POST", "/v1/completions", body, timeout=0.1)
        wait_until(lambda: client.events("run_end"))
        assert client.events("run_end")[0]["outcome"] == "cancelled"

    def test_abort(self, client: StandInClient) -> None:
        stream = start_stream(client)
        _, answer = client.call("POST", "/abort", {"request_id": "q1"})
        assert answer == {"aborted": True}
        with pytest.raises(urllib3.exceptions.ProtocolError):
            stream.read()
        assert client.call("POST", "/resume", {"request_id": "q1"})[0] == 404

    def test_a_broken_stream_is_resumed_at_its_offset(
        self, client: StandInClient
    ) -> None:
        start_stream(client, max_tokens=100).close()
        wait_until(lambda: client.events("run_end"))
        order = {"request_id": "q1", "offset": 3}
        _, stream = client.call("POST", "/resume", order)
        expected = answer_text("a@1", "p", 100)
        assert text_of(stream) == expected[3 * 7 :]
        assert len(client.events("run_resume")) == 1


class TestOrders:
    """Loads, unloads, slots and fencing tokens."""

    def test_slots_are_bounded(self, client: StandInClient) -> None:
        assert load(client, "b@1") == 200
        assert load(client, "c@1") == 409
        assert unload(client, "a@1") == 200
        assert load(client, "c@1") == 200
        assert client.call("GET", "/state")[1]["loaded"] == ["b@1", "c@1"]

    def test_unload_evicts_an_active_run(self, client: StandInClient) -> None:
        stream = start_stream(client)
        assert unload(client, "a@1") == 200
        with pytest.raises(urllib3.exceptions.ProtocolError):
            stream.read()
        assert client.events("run_end")[0]["outcome"] == "evicted"

    def test_stale_fencing_tokens_are_refused(self) -> None:
        with running_engine(check_fencing=True) as client:
            assert load(client, "a@1", token=7) == 200
            assert unload(client, "a@1", token=6) == 409
            assert load(client, "b@1", token=6) == 409
            assert len(client.events("order_refused")) == 2
            assert unload(client, "a@1", token=7) == 200

    def test_weights_are_fetched_from_the_store(self) -> None:
        store = weights.create_server("127.0.0.1:0", load_seconds=0.1)
        with running(store) as url, running_engine(weights=url) as client:
            started = time.monotonic()
            assert load(client, "a@1") == 200
            assert time.monotonic() - started >= 0.1
            StandInClient(url).set_faults(fail=["b@1"])
            assert load(client, "b@1") == 503
            assert client.call("GET", "/state")[1]["loaded"] == ["a@1"]

    def test_a_load_failure_occurs_the_given_number_of_times(
        self, client: StandInClient
    ) -> None:
        client.set_faults(fail_loads=1)
        assert [load(client, "b@1"), load(client, "b@1")] == [503, 200]


class TestCrash:
    """A crash discards all runs, adapters and caches."""

    def test_a_marked_prompt_crashes_the_engine(self, client: StandInClient) -> None:
        client.set_faults(restart_s=0.2)
        boot_id = client.call("GET", "/state")[1]["boot_id"]
        stream = start_stream(client, "innocent")
        with pytest.raises(urllib3.exceptions.ProtocolError):
            complete(client, "poison", prompt="a <<crash>> b")
        with pytest.raises(urllib3.exceptions.ProtocolError):
            stream.read()
        with pytest.raises(urllib3.exceptions.NewConnectionError):
            client.call("GET", "/state")
        time.sleep(0.4)
        _, state = client.call("GET", "/state")
        assert state["boot_id"] != boot_id
        assert state["loaded"] == []
        assert state["running"] == []
        ends = {event["request_id"]: event for event in client.events("run_end")}
        assert {end["outcome"] for end in ends.values()} == {"crashed"}
        assert set(ends) == {"innocent", "poison"}

    def test_the_request_that_sets_the_crash_fault_is_answered(
        self, client: StandInClient
    ) -> None:
        client.set_faults(crash=True, restart_s=0.1)
        time.sleep(0.3)
        assert len(client.events("crash")) == 1
        assert load(client, "a@1") == 200


class TestAnswerFaults:
    """Faulty answers of runs that completed."""

    def test_a_run_completes_although_its_answer_is_dropped(
        self, client: StandInClient
    ) -> None:
        client.set_faults(drop_answers=1)
        with pytest.raises(urllib3.exceptions.ProtocolError):
            complete(client)
        assert client.events("run_end")[0]["outcome"] == "complete"
        assert complete(client)[0] == 200

    def test_a_truncated_stream_has_no_end_mark(self, client: StandInClient) -> None:
        client.set_faults(truncate_answers=True)
        _, stream = complete(client, max_tokens=10, stream=True)
        assert "[DONE]" not in stream

    def test_a_wrong_answer_names_another_request(self, client: StandInClient) -> None:
        client.set_faults(wrong_answers=1)
        _, answer = complete(client)
        assert answer["id"] != "q1"
        assert answer["choices"][0]["text"] != answer_text("a@1", "hello", 4)


class TestReports:
    """The exact state and the delayed load report."""

    def test_the_load_report_is_delayed(self, client: StandInClient) -> None:
        client.set_faults(load_lag_s=0.5)
        stream = start_stream(client)
        assert client.call("GET", "/state")[1]["running"] == [
            {"request_id": "q1", "model": "a@1"}
        ]
        assert client.call("GET", "/load")[1]["running"] == 0
        wait_until(lambda: client.call("GET", "/load")[1]["running"] == 1)
        stream.close()
