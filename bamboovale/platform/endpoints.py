"""Endpoint records of the store, and reports and orders of engines."""

import ipaddress
import json
from dataclasses import dataclass
from typing import Any

import h11

from bamboovale.decoding import (
    BadRecordError,
    decode,
    reading,
    set_wire_names,
)
from bamboovale.errors import shorten
from bamboovale.gateway.model import (
    EndpointRecord,
    EngineOrder,
    EngineReport,
    LoadedModel,
    OrderOutcome,
)
from bamboovale.http1.connection import Headers
from bamboovale.platform import names
from bamboovale.platform.node_file import parse_address

MAX_VERSION_DIGITS = 15
"""Longer versions are no numbers that other VMs can be told."""
READY = "ready"
STATES = frozenset({READY, "draining"})

OUTCOME_BY_STATUS = {
    200: OrderOutcome.HOLDS,
    202: OrderOutcome.ACCEPTED,
    400: OrderOutcome.REJECTED,
    404: OrderOutcome.REJECTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.GONE,
}


@dataclass(frozen=True)
class _ModelEntry:
    """A loaded base model; ``adapters`` are written NAME@VERSION."""

    name: str
    version: int = 1
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True)
class _EndpointEntry:
    """An endpoint's record; ``version`` is that of its software.

    ``remaining_ms`` is set when it leaves at short notice.
    """

    service: str
    addr: str
    zone: str
    state: str
    slots: int
    version: str = ""
    models: tuple[_ModelEntry, ...] = ()
    remaining_ms: float | None = None
    born: int | None = None


@dataclass(frozen=True)
class _ReportEntry:
    """An engine's report; a row of ``runs`` starts with the request id.

    ``seq`` counts the orders that the engine has accepted.
    """

    models: tuple[_ModelEntry, ...] = ()
    loading: tuple[str, ...] = ()
    busy: bool = False
    seq: int = 0
    queued: int = 0
    active: int = 0
    runs: tuple[list[Any], ...] = ()
    born: int | None = None


set_wire_names(_EndpointEntry, remaining_ms="remaining-ms")


def decode_endpoint(registered_id: str, source: bytes) -> EndpointRecord:
    """Decode an endpoint's record; raises BadRecordError."""
    what = f"endpoint {registered_id}"
    if not _is_header_word(registered_id):
        raise BadRecordError(f"{what}: not an id that a header can hold")
    entry = decode(source, _EndpointEntry, what)
    address = _decode_address(entry.addr)
    if address is None:
        raise BadRecordError(f"{what}: not an IPv4 address with a port @ $.addr")
    if entry.state not in STATES:
        raise BadRecordError(f"{what}: unknown state @ $.state")
    if not entry.service or entry.slots < 1:
        raise BadRecordError(f"{what}: service is empty or slots is below 1")
    remaining_ms = entry.remaining_ms
    return EndpointRecord(
        registered_id=registered_id,
        service=entry.service,
        address=address,
        failure_domain=entry.zone,
        ready=entry.state == READY,
        slots=entry.slots,
        models=_models(entry.models, what),
        remaining_s=None if remaining_ms is None else remaining_ms / 1000,
        started_ms=entry.born,
        software_version=entry.version,
    )


def _is_header_word(text: str) -> bool:
    return text.isascii() and text.isprintable() and bool(text) and " " not in text


def _decode_address(text: str) -> tuple[str, int] | None:
    """Return host and port of IPV4:PORT, None if it is malformed."""
    try:
        address = parse_address(text)
        if address is None or not 0 < address[1] < 65536:
            return None
        ipaddress.IPv4Address(address[0])
    except ValueError:
        return None
    return address


def _models(entries: tuple[_ModelEntry, ...], what: str) -> tuple[LoadedModel, ...]:
    return tuple(
        LoadedModel(
            name=entry.name,
            version=entry.version,
            version_by_adapter=dict(_adapter(text, what) for text in entry.adapters),
        )
        for entry in entries
    )


def _adapter(text: str, what: str) -> tuple[str, int]:
    """Split NAME@VERSION; the version is 1 if it is missing."""
    name, _, version = text.partition("@")
    is_version = version.isdecimal() and len(version) <= MAX_VERSION_DIGITS
    if not name or (version and not is_version):
        raise BadRecordError(f"{what}: malformed adapter {shorten(text, 60)!r}")
    return name, int(version or 1)


def decode_report(body: bytes) -> EngineReport:
    """Decode an engine's report; raises BadRecordError."""
    entry = decode(body, _ReportEntry, "report")
    with reading("report"):
        return EngineReport(
            models=_models(entry.models, "report"),
            loading=frozenset(_loading(text) for text in entry.loading),
            busy=entry.busy,
            orders=entry.seq,
            queued=entry.queued,
            active=entry.active,
            running=frozenset(str(row[0]) for row in entry.runs if row),
            started_ms=entry.born,
        )


def _loading(text: str) -> tuple[str, str]:
    """Return model and adapter name of MODEL/NAME@VERSION."""
    model, _, rest = text.partition("/")
    return model, _adapter(rest, "report")[0]


def report_request(registered_id: str, host: str) -> h11.Request:
    """Return the HTTP request for an engine's report."""
    return h11.Request(
        method="GET",
        target=names.REPORT_PATH,
        headers=_engine_headers(registered_id, host),
    )


def order_request(
    order: EngineOrder,
    *,
    registered_id: str,
    host: str,
    holder: str,
    fence: int,
    expected_orders: int | None,
) -> tuple[h11.Request, bytes]:
    """Return the HTTP request that gives an order, and its body."""
    document: dict[str, Any] = {
        "op": "load" if order.load else "unload",
        "model": order.model,
        "holder": holder,
        "fence": fence,
    }
    if order.adapter is not None:
        document["adapter"] = order.adapter
    if order.version is not None:
        document["version"] = order.version
    if expected_orders is not None:
        document["expect"] = expected_orders
    body = json.dumps(document).encode()
    headers = _engine_headers(registered_id, host)
    headers.append((b"content-type", b"application/json"))
    headers.append((names.CONTENT_LENGTH, str(len(body)).encode()))
    return h11.Request(method="POST", target=names.ORDER_PATH, headers=headers), body


def _engine_headers(registered_id: str, host: str) -> Headers:
    return [
        (b"host", host.encode("latin-1")),
        (names.EXPECT_INSTANCE, registered_id.encode("latin-1")),
    ]
