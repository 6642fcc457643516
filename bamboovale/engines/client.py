"""HTTP client for model engines: loads, evictions and reading their state.

The interface follows the published vLLM server (``load_lora_adapter``,
``unload_lora_adapter``); other engines implement the same :class:`EngineClient`.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from bamboovale.decisions.work import EngineView
from bamboovale.http_client import HttpClient, never_connected

STATE_TIMEOUT_S = 1.0
"""An engine that does not report its state in time counts as unreachable."""

LOAD_TIMEOUT_S = 30.0
"""Includes the time that a slow weight store takes."""

UNLOAD_TIMEOUT_S = 5.0
FENCING_HEADER = "X-Fencing-Token"


class OrderFailure(StrEnum):
    """Why an order did not succeed."""

    REFUSED = "refused"
    FENCED = "fenced"
    NO_SLOT = "no_slot"
    STORE_FAILED = "store_failed"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class EngineAddress:
    """The id and the HTTP address of an engine."""

    id: str
    host: str
    port: int


class EngineClient(Protocol):
    """The operations of an engine that a lease holder needs."""

    def read_state(self, engine: EngineAddress) -> Result[EngineView, str]:
        """Return the engine's current state, or why it could not be read."""
        ...

    def load(
        self,
        engine: EngineAddress,
        lora_name: str,
        source: str,
        fencing: int,
    ) -> Result[None, OrderFailure]:
        """Load an adapter version and wait until it is loaded."""
        ...

    def unload(
        self,
        engine: EngineAddress,
        lora_name: str,
        fencing: int,
    ) -> Result[None, OrderFailure]:
        """Evict an adapter version."""
        ...


class VllmEngineClient:
    """Client of the HTTP interface of a vLLM-style server."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    def read_state(self, engine: EngineAddress) -> Result[EngineView, str]:
        """Return the engine's current state, or why it could not be read."""
        try:
            status, answer = self._http.request_json(
                "GET",
                engine.host,
                engine.port,
                "/state",
                read_timeout_s=STATE_TIMEOUT_S,
            )
        except (HTTPError, OSError) as error:
            return Err(type(error).__name__)
        if status != 200:
            return Err(f"status {status}")
        try:
            return Ok(_parse_state(answer))
        except (KeyError, TypeError, ValueError) as error:
            return Err(f"malformed state: {error}")

    def load(
        self,
        engine: EngineAddress,
        lora_name: str,
        source: str,
        fencing: int,
    ) -> Result[None, OrderFailure]:
        """Load an adapter version and wait until it is loaded."""
        return self._order(
            engine,
            "/v1/load_lora_adapter",
            {"lora_name": lora_name, "lora_path": source},
            fencing,
            LOAD_TIMEOUT_S,
        )

    def unload(
        self,
        engine: EngineAddress,
        lora_name: str,
        fencing: int,
    ) -> Result[None, OrderFailure]:
        """Evict an adapter version."""
        return self._order(
            engine,
            "/v1/unload_lora_adapter",
            {"lora_name": lora_name},
            fencing,
            UNLOAD_TIMEOUT_S,
        )

    def _order(
        self,
        engine: EngineAddress,
        path: str,
        value: dict[str, str],
        fencing: int,
        timeout_s: float,
    ) -> Result[None, OrderFailure]:
        try:
            status, answer = self._http.request_json(
                "POST",
                engine.host,
                engine.port,
                path,
                value=value,
                headers={FENCING_HEADER: str(fencing)},
                read_timeout_s=timeout_s,
            )
        except (HTTPError, OSError) as error:
            if never_connected(error):
                return Err(OrderFailure.UNREACHABLE)
            return Err(OrderFailure.UNKNOWN)
        if status == 200:
            return Ok(None)
        return Err(_order_failure(status, answer))


def _parse_state(answer: dict[str, Any]) -> EngineView:
    return EngineView(
        boot_id=answer["boot_id"],
        base_model=answer["base_model"],
        max_num_seqs=int(answer["max_num_seqs"]),
        max_loras=int(answer["max_loras"]),
        loaded=frozenset(answer["loaded"]),
        running_by_request_id={
            run["request_id"]: run["model"] for run in answer["running"]
        },
        waiting=int(answer.get("waiting", 0)),
    )


def _order_failure(status: int, answer: Any) -> OrderFailure:
    kind = ""
    if isinstance(answer, dict) and isinstance(answer.get("error"), dict):
        kind = answer["error"].get("type", "")
    if kind == "no_slot":
        return OrderFailure.NO_SLOT
    if status == 409:
        return OrderFailure.FENCED
    if status == 503:
        return OrderFailure.STORE_FAILED
    return OrderFailure.REFUSED
