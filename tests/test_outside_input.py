"""Any input from outside: each decoder returns a value or raises its own error."""

import asyncio
import contextlib
import json
import logging
import math
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.strategies import SearchStrategy

from bamboovale.crashes.records import RefusalRecords
from bamboovale.decoding import BadRecordError
from bamboovale.fleet.messages import Gossip
from bamboovale.gateway.journal import Journal
from bamboovale.http1.connection import ResponseHead
from bamboovale.http1.request import BadRequest, Request
from bamboovale.peers import codec
from bamboovale.peers.codec import BadMessageError
from bamboovale.peers.frames import decode_frame
from bamboovale.platform.configuration import (
    decode_adapter_version,
    decode_routing_table,
)
from bamboovale.platform.directory import decode_query, is_readiness_query
from bamboovale.platform.endpoints import (
    decode_endpoint,
    decode_report,
    report_request,
)
from bamboovale.platform.node_file import NodeSettings
from bamboovale.platform.requests import decode_answer, decode_call
from bamboovale.platform.store import (
    StoreClient,
    _Answer,
    _decode_page,
    _keyed_records,
)
from bamboovale.store.eras import StoreEras
from bamboovale.store.interface import KeyedRecord, StoreError
from bamboovale.store.position import Position
from bamboovale.store.registration import decode_address
from bamboovale.store.stall_records import StallRecords
from bamboovale.streams import start_records
from bamboovale.streams.messages import StreamBegan
from tests.gateway_site import HOST, configuration, node_document
from tests.test_gateway_parts import ENDPOINT_RECORD

EMPTY_GOSSIP = Gossip(0, 0, 0, 0, 1)
JOURNAL = Journal("vm", logging.getLogger("none"))


ODD_VALUES = st.sampled_from(
    [
        None,
        True,
        -1,
        0,
        65_536,
        2**63,
        2**64,
        10**400,
        -(10**400),
        10**4299,
        math.nan,
        math.inf,
        -math.inf,
        1e308,
        "",
        "\ud800",
        "a\r\nx: y",
        "\x00",
        "9" * 5000,
        "127.0.0.1:99999",
        "127.0.0.1:²",
        "a@" + "9" * 5000,
        "x" * 100_000,
        [],
        [[]],
        {},
        {"": None},
    ]
)
VALUES = st.recursive(
    ODD_VALUES | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=6,
)


def places(document: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all values within a document."""
    found = [path]
    if isinstance(document, dict):
        for key, value in document.items():
            found += places(value, (*path, key))
    elif isinstance(document, list):
        for number, value in enumerate(document):
            found += places(value, (*path, number))
    return found


def put(document: Any, path: tuple[Any, ...], value: Any) -> Any:
    """Return a document with another value in one place."""
    if not path:
        return value
    changed = dict(document) if isinstance(document, dict) else list(document)
    changed[path[0]] = put(document[path[0]], path[1:], value)
    return changed


def odd(document: Any) -> SearchStrategy[Any]:
    """Return documents that are sound but for some of their values."""
    one = st.tuples(st.sampled_from(places(document)), VALUES).map(
        lambda drawn: put(document, *drawn)
    )
    return one | VALUES


def source(document: Any) -> bytes:
    """Return JSON, as another writer may encode it; too long numbers are left out."""
    try:
        return json.dumps(document).encode()
    except ValueError:
        return b"9" * 5000


SOURCES = st.binary(max_size=40) | st.sampled_from(
    [
        b"[" * 100_000,
        b'{"a":' * 100_000,
        b"9" * 5000,
        b"[1e400]",
        b'"\\ud800"',
        b"\xff",
        b"",
    ]
)
ENDPOINT = {
    **ENDPOINT_RECORD,
    "version": "z0",
    "born": 1_760_000_000_123,
    "remaining-ms": 1500.0,
    "models": [{"name": "m", "version": 2, "adapters": ["a1@3"]}],
}
REPORT = {
    "models": ENDPOINT["models"],
    "loading": ["m/a2@1"],
    "busy": False,
    "seq": 2,
    "queued": 1,
    "active": 1,
    "runs": [["r1", 10, 2, 0]],
    "born": 1_760_000_000_123,
}
VERSION = {"model": "m", "adapter": "a1", "version": 2}
CUSTOMERS = [
    {
        "name": "agency-1",
        "priority": 1,
        "api-keys": ["key-1"],
        "rate-per-s": 3.0,
        "burst": 2,
        "raw-tokens": 1,
        "unit": "tokens",
    }
]
CONFIGURATION = {**configuration(), "tenants": CUSTOMERS}
REFUSED = {"crashes": 2, "trials": 1, "was_sound": False, "at": 1.0}
STARTS = [[["r1"], "llm", "v1", None, 12.0]]
PAGE = {"items": [{"key": "k", "value": "e30=", "offset": 1}], "more": True, "end": 2}
HEADERS = (
    b"server-limit",
    b"server-leaving",
    b"server-brittle",
    b"retry-after",
    b"x-request-id",
    b"x-weight-versions",
    b"x-deadline-ms",
    b"x-token-count",
    b"x-length-hint",
    b"x-model",
    b"x-prompt-prefix",
    b"last-event-id",
    b"resumes",
    b"authorization",
)
HEADER_VALUES = st.binary(max_size=20) | st.sampled_from(
    [b"9" * 5000, b"1e400", b"nan", b"-1", b"\xb2", b"1_0", b"a:" + b"9" * 5000]
)
HEADER_LISTS = st.lists(st.tuples(st.sampled_from(HEADERS), HEADER_VALUES), max_size=6)


def fuzzed(*strategies: SearchStrategy[Any]) -> Callable[[Any], Any]:
    """Run a test with many inputs, some of which take long on a busy machine."""
    return lambda test: settings(deadline=None)(given(*strategies)(test))


def gossip(key: Any, value: bytes) -> Gossip:
    """Return what other VMs are told of a record."""
    return replace(EMPTY_GOSSIP, rows=((key, value, 1),))


def decodes(decode: Callable[[], Any], *errors: type[Exception]) -> Any:
    """Decode, or return None for an error of the decoder's own."""
    with contextlib.suppress(*errors):
        return decode()
    return None


class TestRecords:
    """Records of the store, whoever wrote them."""

    @fuzzed(odd(ENDPOINT).map(source) | SOURCES, st.text(max_size=9))
    def test_endpoints(self, value: bytes, key: str) -> None:
        for name in ("e", key):
            record = decodes(
                lambda name=name: decode_endpoint(name, value), BadRecordError
            )
            if record is not None:
                report_request(record.registered_id, "host")
                codec.encode(gossip(name, value))
                json.dumps(str(record)).encode()

    @fuzzed(odd(REPORT).map(source) | SOURCES)
    def test_reports(self, value: bytes) -> None:
        decodes(lambda: decode_report(value), BadRecordError)

    def test_a_report_with_any_request_id_is_read(self) -> None:
        """Guards against a caller whose id hides an engine from its owner."""
        ids = {"\x85", "x" * 2000}
        report = {**REPORT, "runs": [[name, 1, 0, 0] for name in ids]}
        assert decode_report(source(report)).running == ids

    @fuzzed(odd(VERSION).map(source) | SOURCES)
    def test_versions(self, value: bytes) -> None:
        decodes(lambda: decode_adapter_version(value), BadRecordError)

    @fuzzed(odd(CONFIGURATION).map(source) | SOURCES)
    def test_configurations(self, value: bytes) -> None:
        table = decodes(lambda: decode_routing_table(value), BadRecordError)
        for route in table.routes if table else ():
            assert math.isfinite(route.timeout_s + route.goal_s + (route.gap_s or 0))
            route.host.encode()

    def test_a_configuration_with_large_values_is_in_force(self) -> None:
        """Guards against new VMs that refuse what the others serve by."""
        document = configuration()
        [route, *_] = document["routes"]
        route |= {"timeout-ms": 1e16, "path-prefix": "/" + 1_200 * "a" + "/"}
        table = decode_routing_table(json.dumps(document).encode())
        assert table.match(HOST, route["path-prefix"] + "x") is not None

    @fuzzed(odd(["127.0.0.1", 7000]).map(source) | SOURCES)
    def test_addresses_of_vms(self, value: bytes) -> None:
        address = decodes(lambda: decode_address(value), BadRecordError)
        assert address is None or 0 < address[1] < 65_536

    @fuzzed(odd({"held_up": True}).map(source) | SOURCES)
    def test_stalled_pools(self, value: bytes) -> None:
        records = StallRecords("vm", "t", None, JOURNAL, lambda service: None)  # type: ignore[arg-type]
        assert records.apply(KeyedRecord("pool:llm", value, 1))

    @fuzzed(odd(REFUSED).map(source) | SOURCES)
    def test_refused_requests(self, value: bytes) -> None:
        records = RefusalRecords("t", None, JOURNAL, lambda refused: None)  # type: ignore[arg-type]
        assert records.apply(KeyedRecord("crash:x", value, 1))

    @fuzzed(odd(STARTS).map(source) | SOURCES)
    def test_starts_of_streams(self, value: bytes) -> None:
        starts = decodes(lambda: start_records.decode(value), BadRecordError)
        for began in starts or ():
            decodes(partial(codec.encode, began), BadMessageError)
            assert math.isfinite(began.life_s)

    def test_a_start_with_any_request_id_is_read(self) -> None:
        """Guards against a caller whose id hides the starts written beside its own."""
        began = StreamBegan(("\x85", "x" * 2000), "llm", "v1", 12.0)
        assert start_records.decode(start_records.encode([began])) == [began]

    @fuzzed(odd(PAGE).map(source) | SOURCES)
    def test_pages_of_the_store(self, value: bytes) -> None:
        page = decodes(lambda: _decode_page(_Answer(value, 0)), StoreError)
        for record in page.records if page else ():
            record.key.encode()

    def test_a_key_with_a_lone_surrogate_is_read_over_pages(self) -> None:
        """Guards against an odd key that ends the reading of a list."""
        page = {**PAGE, "items": [{**PAGE["items"][0], "key": "\ud800"}]}
        store = StoreClient(lambda: ("127.0.0.1", 80), None, StoreEras(JOURNAL, float))  # type: ignore[arg-type]
        answers = [source(page), source({**PAGE, "more": False})]
        targets: list[str] = []

        async def exchange(method: str, target: str, body: bytes) -> Any:
            targets.append(target)
            return ResponseHead(200, []), answers.pop(0)

        store._exchange = exchange  # type: ignore[method-assign]
        snapshot = asyncio.run(store.newest("keyed.servers"))
        assert [record.key for record in snapshot.records] == ["?", "k"]
        assert targets[1].endswith("&after=%ED%A0%80")

    @fuzzed(st.binary(max_size=60))
    def test_reads_of_the_store(self, value: bytes) -> None:
        decodes(lambda: _keyed_records(value, Position(0)), ValueError)


class TestSettings:
    """The settings file, which anybody may write while a VM runs."""

    @fuzzed(odd(node_document(("127.0.0.1", 80), "entry-0", "127.0.0.2")))
    def test_documents(self, document: Any) -> None:
        if isinstance(document, dict):
            NodeSettings.from_document(document)

    @pytest.mark.parametrize(
        "text", [b"a = " + b"9" * 5000, b"a = " + b"[" * 100_000, b"\xff", b"a = nan"]
    )
    def test_files(self, text: bytes, tmp_path: Any) -> None:
        path = tmp_path / "node.toml"
        path.write_bytes(text)
        assert NodeSettings.from_file(path).is_err()


class TestHeads:
    """Heads of endpoints' answers and of callers' requests."""

    @fuzzed(st.integers(100, 599), HEADER_LISTS)
    def test_answers(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        decode_answer(ResponseHead(status, headers))

    @fuzzed(HEADER_LISTS)
    def test_requests(self, headers: list[tuple[bytes, bytes]]) -> None:
        request = Request("POST", "/chat/1", [(b"host", b"h"), *headers], b"", 0.0)
        decodes(lambda: decode_call(request), BadRequest)

    @fuzzed(st.text(max_size=9) | st.sampled_from(["http://[", "//[x", "/api/\ud800"]))
    def test_targets(self, target: str) -> None:
        decode_query(target)
        is_readiness_query(target)

    @fuzzed(st.text(max_size=9) | st.sampled_from(["[:", "h:x", ":[::"]))
    def test_hosts(self, host: str) -> None:
        table = decode_routing_table(source(configuration()))
        assert host == HOST or table.match(host, "/chat/1") is None


class TestMessages:
    """Messages between VMs, in frames of CBOR."""

    @fuzzed(
        st.sampled_from(sorted(codec._class_by_tag)),
        st.dictionaries(st.text(max_size=3), VALUES, max_size=3),
        st.data(),
    )
    def test_messages(self, tag: str, extra: dict[str, Any], data: Any) -> None:
        names = list(codec._class_by_tag[tag].__dataclass_fields__)
        fields = {name: data.draw(VALUES) for name in names}
        for members in (fields, {**fields, **extra}):
            decodes(
                lambda members=members: codec.unpack({"type": tag, **members}),
                BadMessageError,
            )

    @fuzzed(st.binary(max_size=60) | VALUES.map(lambda value: as_cbor(value)))
    def test_frames(self, data: bytes) -> None:
        decodes(lambda: decode_frame(data), BadMessageError)

    def test_a_number_too_large_for_its_field_is_a_bad_message(self) -> None:
        began = {"type": "stream_began", "attempts": ["r1"], "service": "llm"}
        message = {**began, "software_version": "v1", "life_s": 10**400}
        with pytest.raises(BadMessageError):
            codec.unpack(message)

    @pytest.mark.parametrize("frame", [[3, 0, 10**5000], [10**5000, 0, None]])
    def test_numbers_of_any_size_are_a_bad_message(self, frame: Any) -> None:
        with pytest.raises(BadMessageError):
            decode_frame(cbor2.dumps(frame))

    @pytest.mark.parametrize("text", ["\ud800", 10**400])
    def test_what_cannot_be_encoded_is_a_bad_message(self, text: Any) -> None:
        with pytest.raises(BadMessageError):
            codec.encode(gossip(text, b""))


def as_cbor(value: Any) -> bytes:
    """Return a frame with a value as its message."""
    try:
        return cbor2.dumps([2, 0, value])
    except Exception:
        return b"\x83\x02\x00"
