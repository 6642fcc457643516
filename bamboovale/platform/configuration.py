"""Decoding of the operator's records: configuration and adapter versions."""

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from bamboovale.decoding import decode, reading, to_int, to_number, to_text
from bamboovale.gateway.model import (
    BaseModel,
    CallerLimits,
    CallKind,
    EnginePool,
    Route,
    RoutingTable,
    Service,
)
from bamboovale.platform.customers import decode_customers

MAX_PATH_CHARS = 64 * 1024
"""Bounds a path prefix: no request can name a longer one."""
ADAPTER_NAME = re.compile(r"a(0|[1-9][0-9]{0,8})")
KIND_BY_NAME = {
    "safe": CallKind.SAFE,
    "unsafe": CallKind.UNSAFE,
    "stream": CallKind.STREAM,
}


@dataclass(frozen=True)
class NumberedAdapters:
    """The names of a model's adapters: a1, a2 and so on up to ``count``; a0 passes."""

    count: int

    def __contains__(self, name: object) -> bool:
        """Return whether the model has an adapter of this name."""
        found = ADAPTER_NAME.fullmatch(name) if isinstance(name, str) else None
        return found is not None and int(found[1]) <= self.count


@dataclass(frozen=True)
class AdapterVersion:
    """The newest version of an adapter, or of the model if ``adapter`` is None."""

    model: str
    adapter: str | None
    version: int


def decode_routing_table(source: bytes) -> RoutingTable:
    """Decode the configuration; raises BadRecordError."""
    with reading("configuration"):
        document = json.loads(source)
        return RoutingTable.from_routes(
            version=to_int(document["version"]),
            routes=tuple(_route(item) for item in document["routes"]),
            services=tuple(_service(item) for item in document["services"]),
            limits=_limits(document.get("limits", {})),
            customers=decode_customers(document),
            source=source,
        )


def _route(item: Mapping[str, Any]) -> Route:
    split = item.get("split") or [{"service": item["service"], "weight": 1}]
    gap_ms = item.get("gap-target-ms")
    kind = KIND_BY_NAME.get(item["type"], CallKind.UNSAFE)
    return Route(
        name=to_text(item["name"]),
        host=to_text(item["host"]),
        path_prefix=to_text(item["path-prefix"], MAX_PATH_CHARS),
        kind=kind,
        timeout_s=to_number(item["timeout-ms"]) / 1000,
        goal_s=to_number(item.get("goal-ms") or item["timeout-ms"]) / 1000,
        priority=to_int(item.get("priority", 0)),
        weight_by_service={
            to_text(part["service"]): to_number(part.get("weight", 1)) for part in split
        },
        max_attempts=max(1, to_int(item.get("max-attempts", 1))),
        # Only streams are resumed; what is unsafe besides must run once.
        resumable=kind is not CallKind.UNSAFE and bool(item.get("resumable", False)),
        public=bool(item.get("public", False)),
        gap_s=None if gap_ms is None else to_number(gap_ms) / 1000,
    )


def _service(item: Mapping[str, Any]) -> Service:
    engine = item.get("engine")
    return Service(
        name=to_text(item["name"]),
        max_connections=to_int(item.get("max-conns", 64)),
        engines=_engine_pool(engine) if engine else None,
    )


def _engine_pool(item: Mapping[str, Any]) -> EnginePool:
    models = [_base_model(model) for model in item.get("models", [])]
    return EnginePool(
        slots=to_int(item["slots"]),
        kv_tokens=to_int(item["kv-capacity"]),
        adapter_slots=to_int(item.get("adapter-slots", 0)),
        weights_mb=to_number(item.get("weights-mb", 0)),
        loads_per_s=to_number(item.get("loads-per-s", 1)),
        model_by_name={model.name: model for model in models},
    )


def _base_model(item: Mapping[str, Any]) -> BaseModel:
    return BaseModel(
        name=to_text(item["name"]),
        weights_mb=to_number(item["weights-mb"]),
        load_s=to_number(item["load-s"]),
        adapters=NumberedAdapters(to_int(item.get("adapters", 0))),
        adapter_mb=to_number(item.get("adapter-mb", 0)),
    )


def _limits(item: Mapping[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        head_bytes=to_int(item.get("max-header-bytes", default.head_bytes)),
        body_bytes=to_int(item.get("max-body-bytes", default.body_bytes)),
        head_timeout_s=to_number(item.get("header-timeout-ms", 3000)) / 1000,
        idle_timeout_s=to_number(item.get("idle-timeout-ms", 15000)) / 1000,
    )


@dataclass(frozen=True)
class _VersionEntry:
    """The record of a new version; without ``adapter`` it is one of the model."""

    model: str
    version: int
    adapter: str | None = None


def decode_adapter_version(source: bytes) -> AdapterVersion:
    """Decode the record of a new version; raises BadRecordError."""
    entry = decode(source, _VersionEntry, "adapter version")
    return AdapterVersion(entry.model, entry.adapter or None, entry.version)
