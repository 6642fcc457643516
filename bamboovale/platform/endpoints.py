"""Endpoints' records in the store, and engines' reports and orders."""

import json
from collections.abc import Mapping
from typing import Any

import h11

from bamboovale.gateway.model import (
    EndpointRecord,
    EngineOrder,
    EngineReport,
    LoadedModel,
    OrderOutcome,
)
from bamboovale.http1.connection import Headers
from bamboovale.platform import names
from bamboovale.platform.configuration import BadRecordError
from bamboovale.platform.node_file import parse_address

OUTCOME_BY_STATUS = {
    200: OrderOutcome.HOLDS,
    202: OrderOutcome.ACCEPTED,
    400: OrderOutcome.REJECTED,
    404: OrderOutcome.REJECTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.GONE,
}


def decode_endpoint(endpoint_id: str, source: bytes) -> EndpointRecord:
    """Read an endpoint's record; raises BadRecordError."""
    try:
        document = json.loads(source)
        address = parse_address(document["addr"])
        if address is None:
            raise BadRecordError(f"endpoint {endpoint_id}: address")
        remaining_ms = document.get("remaining-ms")
        return EndpointRecord(
            endpoint_id=endpoint_id,
            service=str(document["service"]),
            address=address,
            failure_domain=str(document.get("zone", "")),
            ready=document.get("state") == "ready",
            slots=int(document.get("slots", 1)),
            models=_models(document.get("models") or []),
            remaining_s=None if remaining_ms is None else float(remaining_ms) / 1000,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise BadRecordError(f"endpoint {endpoint_id}: {error!r}") from error


def _models(items: list[Mapping[str, Any]]) -> tuple[LoadedModel, ...]:
    return tuple(
        LoadedModel(
            name=str(item["name"]),
            version=int(item.get("version", 1)),
            version_by_adapter=dict(
                _adapter(text) for text in item.get("adapters") or []
            ),
        )
        for item in items
    )


def _adapter(text: str) -> tuple[str, int]:
    """Split NAME@VERSION."""
    name, _, version = text.partition("@")
    return name, int(version or 1)


def decode_report(body: bytes) -> EngineReport:
    """Read an engine's report; raises BadRecordError."""
    try:
        document = json.loads(body)
        return EngineReport(
            models=_models(document.get("models") or []),
            loading=frozenset(_loading(text) for text in document.get("loading") or []),
            busy=bool(document.get("busy", False)),
            orders=int(document.get("seq", 0)),
            queued=int(document.get("queued", 0)),
            active=int(document.get("active", 0)),
            running=frozenset(str(row[0]) for row in document.get("runs") or []),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise BadRecordError(f"report: {error!r}") from error


def _loading(text: str) -> tuple[str, str]:
    """Split MODEL/NAME@VERSION."""
    model, _, rest = text.partition("/")
    return model, _adapter(rest)[0]


def report_request(endpoint_id: str, host: str) -> h11.Request:
    """Return the call for an engine's report."""
    return h11.Request(
        method="GET",
        target=names.REPORT_PATH,
        headers=_engine_headers(endpoint_id, host),
    )


def order_request(
    order: EngineOrder,
    *,
    endpoint_id: str,
    host: str,
    holder: str,
    fence: int,
    expected_orders: int | None,
) -> tuple[h11.Request, bytes]:
    """Return the call that gives an order, and its body."""
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
    headers = _engine_headers(endpoint_id, host)
    headers.append((b"content-type", b"application/json"))
    headers.append((names.CONTENT_LENGTH, str(len(body)).encode()))
    return h11.Request(method="POST", target=names.ORDER_PATH, headers=headers), body


def _engine_headers(endpoint_id: str, host: str) -> Headers:
    return [
        (b"host", host.encode("latin-1")),
        (names.EXPECT_INSTANCE, endpoint_id.encode("latin-1")),
    ]
