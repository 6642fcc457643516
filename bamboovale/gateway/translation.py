"""Interface of the platform that the routed interface depends on."""

from collections.abc import Callable
from typing import Any, Protocol

from bamboovale.gateway.call import CallCodec
from bamboovale.gateway.engine_client import EngineCodec
from bamboovale.gateway.model import EndpointRecord, RoutingTable
from bamboovale.http1.pool import ConnectionPool
from bamboovale.store.eras import StoreEras
from bamboovale.store.interface import MetadataStore


class VersionChange(Protocol):
    """A new version of an adapter, or (``adapter`` None) of a base model."""

    @property
    def model(self) -> str:
        """Return the base model."""

    @property
    def adapter(self) -> str | None:
        """Return the adapter."""

    @property
    def version(self) -> int:
        """Return the version."""


class Translation(CallCodec, EngineCodec, Protocol):
    """Names, formats and calls of the platform."""

    node: Any
    operator_topic: str
    endpoints_topic: str
    registration_topic: str
    streams_topic: str

    def store(
        self,
        pool: ConnectionPool,
        eras: StoreEras,
        on_call: Callable[[str], None],
    ) -> MetadataStore:
        """Return the client of the metadata store."""

    def decode_operator_record(
        self,
        key: str,
        value: bytes,
    ) -> RoutingTable | VersionChange | str | None:
        """Decode an operator record; a string is an error, None an unused record."""

    def decode_table(self, source: bytes) -> RoutingTable | str:
        """Decode a configuration; a string is an error."""

    def decode_endpoint_record(self, key: str, value: bytes) -> EndpointRecord | str:
        """Decode an endpoint's record; a string is an error."""

    def directory_answer(
        self,
        target: str,
        addresses_for: Callable[[str], list[tuple[str, int]]],
        ttl_s: float,
    ) -> bytes | None:
        """Return the body of an answer to a directory query; None: no answer."""

    def is_readiness_query(self, target: str) -> bool:
        """Return whether a request target is that of the readiness check."""
