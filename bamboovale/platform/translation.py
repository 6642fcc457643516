"""The platform's formats behind the gateway's ``Translation`` interface."""

from collections.abc import Callable

import h11

from bamboovale.decoding import BadRecordError
from bamboovale.gateway.model import (
    AnswerFacts,
    CallFacts,
    EndpointRecord,
    EndpointSignals,
    EngineOrder,
    EngineReport,
    OrderOutcome,
    RoutingTable,
)
from bamboovale.http1.connection import Headers, ResponseHead
from bamboovale.http1.pool import ConnectionPool
from bamboovale.http1.request import Request
from bamboovale.platform import directory, endpoints, names, requests, signals
from bamboovale.platform.configuration import (
    AdapterVersion,
    decode_adapter_version,
    decode_routing_table,
)
from bamboovale.platform.node_file import NodeSettings
from bamboovale.platform.store import StoreClient
from bamboovale.store.eras import StoreEras
from bamboovale.store.interface import MetadataStore


class PlatformTranslation:
    """``gateway.translation.Translation`` for the users' platform."""

    operator_topic = names.OPERATOR_TOPIC
    endpoints_topic = names.SERVERS_TOPIC
    registration_topic = names.ENTRIES_TOPIC
    streams_topic = names.STREAMS_TOPIC

    def __init__(self, node: NodeSettings) -> None:
        self.node = node

    def store(
        self,
        pool: ConnectionPool,
        eras: StoreEras,
        on_call: Callable[[str], None],
    ) -> MetadataStore:
        """Return the client of the metadata store."""
        return StoreClient(lambda: self.node.store, pool, eras, on_call)

    def decode_operator_record(
        self,
        key: str,
        value: bytes,
    ) -> RoutingTable | AdapterVersion | str | None:
        """Decode an operator's record; a str describes an error, None another key."""
        if key == names.CONFIG_KEY:
            return self.decode_table(value)
        if not key.startswith(names.VERSION_PREFIX):
            return None
        try:
            return decode_adapter_version(value)
        except BadRecordError as error:
            return str(error)

    def decode_table(self, source: bytes) -> RoutingTable | str:
        """Decode a configuration; a str describes an error."""
        try:
            return decode_routing_table(source)
        except BadRecordError as error:
            return str(error)

    def decode_endpoint_record(self, key: str, value: bytes) -> EndpointRecord | str:
        """Decode an endpoint's record; a str describes an error."""
        try:
            return endpoints.decode_endpoint(key, value)
        except BadRecordError as error:
            return str(error)

    def decode_call(self, request: Request) -> CallFacts:
        """Decode a caller's headers; raises BadRequest."""
        return requests.decode_call(request)

    def name_customer(self, facts: CallFacts, customer: str | None) -> CallFacts:
        """Return the facts of a call that is forwarded without its key."""
        return requests.name_customer(facts, customer)

    def encode_call(
        self,
        request: Request,
        facts: CallFacts,
        *,
        registered_id: str,
        left_s: float,
        version: int | None = None,
        urgency: int | None = None,
        resume_after: str | None = None,
    ) -> h11.Request:
        """Return the request for an endpoint."""
        return requests.encode_call(
            request,
            facts,
            registered_id=registered_id,
            left_s=left_s,
            version=version,
            urgency=urgency,
            resume_after=resume_after,
        )

    def decode_answer(self, head: ResponseHead) -> AnswerFacts:
        """Decode the head of an endpoint's answer."""
        return requests.decode_answer(head)

    def encode_refusal(
        self,
        retry_after_s: float | None,
        request_id: str | None,
        *,
        needs_key: bool = False,
    ) -> Headers:
        """Return the headers of a refusal that the entry VM itself sends."""
        return requests.encode_refusal(retry_after_s, request_id, needs_key=needs_key)

    def report_request(self, registered_id: str, host: str) -> h11.Request:
        """Return the HTTP request for an engine's report."""
        return endpoints.report_request(registered_id, host)

    def decode_report(self, body: bytes) -> EngineReport:
        """Decode an engine's report; raises BadRecordError."""
        return endpoints.decode_report(body)

    def order_request(
        self,
        order: EngineOrder,
        *,
        registered_id: str,
        host: str,
        holder: str,
        fence: int,
        expected_orders: int | None,
    ) -> tuple[h11.Request, bytes]:
        """Return the HTTP request that gives an order, and its body."""
        return endpoints.order_request(
            order,
            registered_id=registered_id,
            host=host,
            holder=holder,
            fence=fence,
            expected_orders=expected_orders,
        )

    def decode_signals(self, head: ResponseHead) -> EndpointSignals:
        """Decode what an endpoint says of itself in an answer to a report or order."""
        return signals.decode_signals(head)

    def order_outcome(self, status: int) -> OrderOutcome:
        """Return the outcome that the status of an order's answer stands for."""
        return endpoints.OUTCOME_BY_STATUS.get(status, OrderOutcome.UNKNOWN)

    def directory_answer(
        self,
        target: str,
        addresses_for: Callable[[str], list[tuple[str, int]]],
        ttl_s: float,
    ) -> bytes | None:
        """Return the answer to a directory query, None if there is none to give."""
        query = directory.decode_query(target)
        if query is None:
            return None
        addresses = addresses_for(query.failure_domain)
        if not addresses:
            return None
        return directory.encode_addresses(addresses[: directory.MAX_ADDRESSES], ttl_s)

    def is_readiness_query(self, target: str) -> bool:
        """Return whether a target is the readiness path."""
        return directory.is_readiness_query(target)
