"""Unit tests of parts of the routed interface that use no sockets."""

import asyncio
import contextlib
import json
import logging
import os
import time
from collections.abc import Callable
from dataclasses import fields, replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bamboovale.decisions.engine_choice import EngineCandidate
from bamboovale.decisions.place_work import EngineSnapshot
from bamboovale.decoding import BadRecordError
from bamboovale.fleet.messages import Member, Suspicion
from bamboovale.gateway.endpoints import EndpointChange, EndpointView
from bamboovale.gateway.engines import Engines
from bamboovale.gateway.events import (
    MAX_EVENT_BYTES,
    Event,
    EventBuffer,
    EventsBroken,
)
from bamboovale.gateway.fleet import Fleet
from bamboovale.gateway.journal import BURST_LINES, Journal, NonBlockingHandler
from bamboovale.gateway.messages import EngineLoad, EngineStatus, PlaceRequest
from bamboovale.gateway.model import (
    CallerLimits,
    CallKind,
    EndpointRecord,
    LoadedModel,
    Route,
    RoutingTable,
)
from bamboovale.gateway.ownership import (
    TTL_S,
    Ownership,
    lease_clock,
    partition_of,
)
from bamboovale.platform.configuration import (
    decode_adapter_version,
    decode_routing_table,
)
from bamboovale.platform.endpoints import decode_endpoint, decode_report
from bamboovale.platform.node_file import NodeSettings
from bamboovale.store.eras import StoreEras
from bamboovale.store.follower import TopicFollower
from bamboovale.store.interface import (
    KeyedRecord,
    Membership,
    Part,
    Partition,
    Snapshot,
    StoreError,
)
from bamboovale.store.position import Position
from bamboovale.store.watch import StoreWatch
from tests.gateway_site import configuration, node_document, run


class TestEvents:
    """Splitting of streams into whole events."""

    @given(st.lists(st.integers(1, 7), min_size=1, max_size=40))
    def test_events_do_not_depend_on_chunk_sizes(self, sizes: list[int]) -> None:
        data = b"".join(f"id: {n}\ndata: {n}\n\n".encode() for n in range(1, 6))
        buffer = EventBuffer()
        events = []
        at = 0
        for size in sizes:
            events += buffer.feed(data[at : at + size])
            at += size
        events += buffer.feed(data[at:])
        assert [event.event_id for event in events] == list("12345")
        assert b"".join(event.data for event in events) == data
        assert not buffer.has_partial

    def test_a_repeated_event_breaks_the_stream(self) -> None:
        buffer = EventBuffer()
        buffer.feed(b"id: 1\n\nid: 2\n\n")
        with pytest.raises(EventsBroken):
            buffer.feed(b"id: 2\n\n")

    @pytest.mark.parametrize(
        "spoilt",
        [b"id: 2\n\n", b"id: 0\n\nid: 4\n\n", b"x" * MAX_EVENT_BYTES + b"xx"],
    )
    def test_whole_events_before_a_break_are_returned(self, spoilt: bytes) -> None:
        """Guards against a stream that goes on after events that were dropped."""
        buffer = EventBuffer(resume_after="1")
        events = buffer.feed(b"id: 2\n\nid: 3\n\n" + spoilt)
        assert [event.event_id for event in events] == ["2", "3"]
        assert buffer.last_id == "3"
        for broken in (buffer.raise_if_broken, lambda: buffer.feed(b"id: 9\n\n")):
            with pytest.raises(EventsBroken):
                broken()
        buffer.discard_partial()
        assert [event.event_id for event in buffer.feed(b"id: 4\n\n")] == ["4"]

    @pytest.mark.parametrize(
        ("ids", "is_known"),
        [
            ((1, 2, 3, 0), True),
            ((1, 2, 9, 4), False),
            ((1, 2, 9, 10, 5), False),
            ((5, 10, 15, 4), True),
            ((5, 10, 90, 20), False),
            ((9, 2), False),
            ((1, 0), True),
        ],
    )
    def test_a_break_tells_whether_the_last_id_is_in_step(
        self, ids: tuple[int, ...], is_known: bool
    ) -> None:
        """Guards against going on after an id that may itself be the wrong one."""
        buffer = EventBuffer()
        with pytest.raises(EventsBroken) as broken:
            for number in ids:
                buffer.feed(b"id: %d\n\n" % number)
        assert broken.value.is_position_known == is_known

    @given(st.binary(max_size=60), st.integers(1, 60))
    def test_the_last_id_is_that_of_a_returned_event(
        self, data: bytes, size: int
    ) -> None:
        """Guards against any bytes after which a stream goes on too far, or fails."""
        buffer = EventBuffer(resume_after="0")
        returned = [Event(b"", "0")]
        with contextlib.suppress(EventsBroken):
            for at in range(0, len(data), size):
                returned += buffer.feed(b"id:" + data[at : at + size] + b"\n\n")
        named = [item.event_id for item in returned if item.event_id is not None]
        assert buffer.last_id == named[-1]

    @pytest.mark.parametrize("event_id", ["\u00b2", "9" * 5000, "-1", ""])
    def test_an_id_that_is_no_number_breaks_nothing(self, event_id: str) -> None:
        """Guards against an id on which a stream fails with an unforeseen error."""
        buffer = EventBuffer(resume_after="7")
        data = f"id: {event_id}\n\n".encode("latin-1")
        assert [event.event_id for event in buffer.feed(data)] == [event_id]

    def test_a_resumed_stream_must_continue_after_its_last_event(self) -> None:
        buffer = EventBuffer(resume_after="7")
        with pytest.raises(EventsBroken):
            buffer.feed(b"id: 7\n\n")


def table(*prefixes: str) -> RoutingTable:
    """Return a table of routes on one host."""
    routes = tuple(
        Route(p, "h.example", p, CallKind.SAFE, 1.0, 1.0, 0, {"s": 1.0}, 1)
        for p in prefixes
    )
    return RoutingTable.from_routes(1, routes, (), CallerLimits())


class TestRoutingTable:
    """Route lookup by host and path prefix."""

    def test_the_longest_prefix_wins(self) -> None:
        found = table("/a/", "/a/b/", "/").match("h.example:80", "/a/b/c?x=/d/")
        assert found is not None and found.path_prefix == "/a/b/"

    @pytest.mark.parametrize("target", ["/ab/x", "/a", "a/", ""])
    def test_a_prefix_ends_with_its_slash(self, target: str) -> None:
        assert table("/a/").match("h.example", target) is None

    def test_another_host_has_no_routes(self) -> None:
        assert table("/").match("other.example", "/") is None

    def test_a_route_among_many_is_found(self) -> None:
        many = table(*(f"/r{n}/" for n in range(5000)))
        assert many.match("H.EXAMPLE", "/r4999/x") is not None


ENDPOINT_RECORD = {
    "service": "llm",
    "addr": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "slots": 6,
    "seq": 1,
}
FIELD_NAMES = st.sampled_from([*ENDPOINT_RECORD, "models", "born", "runs", "loading"])


def _json(document: dict[str, Any]) -> bytes:
    return json.dumps(document).encode()


class TestRecords:
    """Decoding of records of the operator and the endpoints."""

    @pytest.mark.parametrize(
        "source",
        [b"", b"[]", b"{}", b'{"version": "x"}', b"\xff", b'{"version":1,"routes":3}'],
    )
    def test_a_malformed_configuration_is_refused(self, source: bytes) -> None:
        with pytest.raises(BadRecordError):
            decode_routing_table(source)

    @given(st.dictionaries(st.sampled_from(["service", "addr", "slots"]), st.text()))
    def test_a_malformed_endpoint_raises_no_other_error(
        self, record: dict[str, str]
    ) -> None:
        try:
            decode_endpoint("e", json.dumps(record).encode())
        except BadRecordError:
            return

    @pytest.mark.parametrize(
        "field, value",
        [
            ("service", 7),
            ("service", ""),
            ("service", None),
            ("addr", "10.0.0.1"),
            ("addr", "10.0.0.1:99999"),
            ("addr", "somewhere:80"),
            ("addr", ["10.0.0.1", 80]),
            ("state", "resting"),
            ("state", None),
            ("slots", "6"),
            ("slots", 6.5),
            ("slots", True),
            ("slots", 0),
            ("zone", 3),
            ("models", {"name": "m"}),
            ("models", [{"name": "m", "adapters": "a1@1"}]),
            ("models", [{"name": "m", "adapters": ["a1@x"]}]),
            ("models", [{"version": 1}]),
            ("born", "1760000000000"),
            ("born", 1.5),
            ("remaining-ms", "soon"),
        ],
    )
    def test_a_field_of_another_type_is_a_bad_record(
        self, field: str, value: Any
    ) -> None:
        """Guards against converting values that another writer put into a record."""
        record = {**ENDPOINT_RECORD, field: value}
        with pytest.raises(BadRecordError, match="endpoint e"):
            decode_endpoint("e", json.dumps(record).encode())

    @pytest.mark.parametrize("field", ["service", "addr", "zone", "state", "slots"])
    def test_a_missing_field_is_a_bad_record(self, field: str) -> None:
        record = {k: v for k, v in ENDPOINT_RECORD.items() if k != field}
        with pytest.raises(BadRecordError, match=field):
            decode_endpoint("e", json.dumps(record).encode())

    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=5),
            lambda inner: st.lists(inner) | st.dictionaries(FIELD_NAMES, inner),
            max_leaves=8,
        )
        | st.dictionaries(FIELD_NAMES, st.text() | st.integers())
    )
    def test_any_document_is_decoded_or_a_bad_record(self, value: Any) -> None:
        source = json.dumps(value).encode()
        for read in (
            lambda: decode_endpoint("e", source),
            lambda: decode_report(source),
        ):
            with contextlib.suppress(BadRecordError):
                read()

    @given(st.binary())
    def test_any_bytes_are_decoded_or_a_bad_record(self, source: bytes) -> None:
        with contextlib.suppress(BadRecordError):
            decode_endpoint("e", source)
        with contextlib.suppress(BadRecordError):
            decode_adapter_version(source)

    def test_the_start_time_of_an_endpoint_is_decoded(self) -> None:
        record = {**ENDPOINT_RECORD, "born": 1_760_000_000_123}
        decoded = decode_endpoint("e", json.dumps(record).encode())
        assert decoded.started_ms == 1_760_000_000_123
        assert decoded.endpoint_id != decode_endpoint("e", _json(ENDPOINT_RECORD))
        assert decode_report(b'{"born": 17, "models": []}').started_ms == 17

    def test_a_split_route_keeps_its_weights(self) -> None:
        document = configuration()
        document["routes"][0]["split"] = [
            {"service": "a", "weight": 90},
            {"service": "b", "weight": 10},
        ]
        decoded = decode_routing_table(json.dumps(document).encode())
        assert decoded.routes[0].weight_by_service == {"a": 90.0, "b": 10.0}


class TestNodeFile:
    """The settings file of the platform."""

    def test_every_finding_is_reported_with_its_place(self) -> None:
        document = node_document(("127.0.0.1", 1), "entry-0")
        document["listen"]["front"] = "nowhere"
        document["bounds"]["grace-s"] = "long"
        del document["ip"]
        findings = NodeSettings.from_document(document).unwrap_err()
        places = {finding.place for finding in findings}
        assert places == {"ip", "listen.front", "bounds.grace-s"}


def status(engine: str, fence: int) -> EngineStatus:
    """Return a status of one engine."""
    return EngineStatus(engine, fence, (), (), (), 0, 8, 0, 0.0, 2, 100, 1 / 20_000)


def member(name: str, revision: int, *owned: tuple[str, int], **fields: Any) -> Member:
    """Return a VM's membership entry."""
    fields = {"serving": True, **fields}
    return Member(name, 1, revision, "127.0.0.1", 1, 2, "a", owned=owned, **fields)


def fleet_of(*members: Member) -> Fleet:
    """Return the fleet of a VM that knows these members."""
    fleet = Fleet(member("me", 1))
    for item in members:
        fleet.membership.apply(item, 0.0)
    return fleet


class TestFleet:
    """Live VMs and owners of engines."""

    def test_an_unreachable_vm_is_not_serving(self) -> None:
        fleet = fleet_of(member("a", 1))
        assert [item.vm_id for item in fleet.serving()] == ["a"]
        fleet.membership.suspect("a", 5.0)
        assert fleet.serving() == []

    def test_a_stopping_vm_is_not_serving(self) -> None:
        fleet = fleet_of(member("a", 1))
        fleet.membership.apply(member("a", 2, serving=False), 0.1)
        assert fleet.serving() == []

    def test_the_owner_with_the_higher_fencing_number_prevails(self) -> None:
        """Guards against a former owner that resumes and publishes its engines."""
        fleet = fleet_of(member("new", 1, ("e", 5)))
        owned = fleet.engine("e")
        assert owned is not None and owned.owner == "new"
        fleet.membership.apply(member("old", 1, ("e", 4)), 1.1)
        fleet.on_statuses("old", [status("e", 4)], 1.2)
        owned = fleet.engine("e")
        assert owned is not None and owned.owner == "new"

    def test_a_dead_owner_with_a_higher_fencing_number_does_not(self) -> None:
        """Guards against a dead owner that hides the VM that took its engine over."""
        fleet = fleet_of(member("dead", 1, ("e", 5)))
        assert fleet.engine("e") is not None
        fleet.membership.suspect("dead", 2.0)
        fleet.membership.apply(member("b", 1, ("e", 4)), 2.1)
        owned = fleet.engine("e")
        assert owned is not None and owned.owner == "b"

    def test_an_engine_that_its_owner_no_longer_lists_is_released(self) -> None:
        fleet = fleet_of(member("a", 1, ("e", 5)))
        assert fleet.engine("e") is not None
        fleet.membership.apply(member("a", 2), 1.1)
        owned = fleet.engine("e")
        assert owned is not None and owned.released
        fleet.membership.apply(member("b", 1, ("e", 4)), 1.2)
        owned = fleet.engine("e")
        assert owned is not None and owned.owner == "b"

    def test_an_owner_may_be_heard_of_before_its_engine_is_read(self) -> None:
        """Guards against an engine without an owner for a VM that read it late."""
        fleet = fleet_of(member("a", 1, ("e", 5), ("f", 5)))
        assert fleet.engine("f") is not None
        fleet.retain_engines({"e"})
        assert fleet.engine("f") is not None
        fleet.membership.apply(member("a", 2, ("e", 5)), 1.1)
        fleet.retain_engines({"e"})
        assert fleet.engine("f") is None

    def test_a_status_may_arrive_before_gossip_of_its_owner(self) -> None:
        """Guards against treating an engine as released before the gossip arrives."""
        fleet = fleet_of(member("a", 1), member("b", 1))
        fleet.on_statuses("a", [status("e", 4)], 1.0)
        fleet.membership.apply(member("b", 2), 1.1)
        owned = fleet.engine("e")
        assert owned is not None and not owned.released and owned.owner == "a"

    def test_the_last_status_is_kept_until_a_new_owner_publishes(self) -> None:
        """Guards against losing what is loaded when an owner stops."""
        fleet = fleet_of(member("a", 1, ("e", 4)))
        fleet.on_statuses("a", [replace(status("e", 4), kept=7)], 1.0)
        fleet.membership.apply(member("b", 1, ("e", 5)), 1.1)
        owned = fleet.engine("e")
        assert owned is not None and owned.owner == "b"
        assert owned.status is not None and owned.status.kept == 7

    def test_every_vm_of_a_large_fleet_designates_the_same_candidates(self) -> None:
        """Guards against more owners, and store calls, than designated."""
        names = [f"vm{number}" for number in range(75)]
        fleets = [Fleet(member(name, 1)) for name in names]
        for fleet in fleets:
            for name in names:
                fleet.membership.apply(member(name, 1), 0.0)
        candidates = {tuple(fleet.owner_candidates()) for fleet in fleets}
        assert len(candidates) == 1
        assert len(candidates.pop()) == 24

    def test_loads_change_only_the_load(self) -> None:
        fleet = fleet_of(member("a", 1, ("e", 5)))
        fleet.on_statuses("a", [status("e", 5)], 1.0)
        fleet.on_loads("a", (EngineLoad("e", 7, 3, 0.5, -2),), 1.1)
        owned = fleet.engine("e")
        assert owned is not None and owned.last_seen == 1.1
        assert owned.status is not None
        assert (owned.status.active, owned.status.open_slots) == (7, -2)
        assert owned.fence == 5

    def test_loads_of_a_former_owner_are_ignored(self) -> None:
        """Guards against choosing engines by the stale load of a former owner."""
        fleet = fleet_of(member("a", 1, ("e", 4)))
        fleet.on_statuses("a", [status("e", 4)], 1.0)
        fleet.membership.apply(member("b", 1, ("e", 5)), 1.1)
        fleet.on_statuses("b", [status("e", 5)], 1.15)
        fleet.on_loads("a", (EngineLoad("e", 0, 0, 0.0, 18),), 1.2)
        owned = fleet.engine("e")
        assert owned is not None and owned.status is not None
        assert owned.status.open_slots == 2

    def test_a_refuted_suspicion_is_ignored(self) -> None:
        """Guards against late suspicions of a VM that is reachable again."""
        fleet = fleet_of(*(member(name, 1) for name in "abc"))
        fleet.membership.apply(member("a", 2, refuted=1), 1.0)
        for observer in "bc":
            fleet.membership.apply_suspicion(Suspicion(observer, "a", 1, 0), 1.1)
        assert fleet.is_live("a")


class TestEngineCandidates:
    """The candidates from which an entry VM chooses an engine."""

    def test_a_status_arrives_whole(self) -> None:
        """Guards against a field of the status that is not copied to the candidate."""
        snapshot = EngineSnapshot(
            loaded={("base", "a1"): 2},
            coming={("base", "a2"): 1},
            models=("base",),
            active=3,
            places=8,
            queued=1,
            backlog_s=0.25,
            open_slots=2,
            kept=50,
            s_per_token=1 / 13_000,
            held_up=True,
        )
        published = EngineStatus(
            engine_id="e",
            fence=1,
            loaded=(("base", "a1", 2),),
            coming=(("base", "a2", 1),),
            **{
                item.name: getattr(snapshot, item.name)
                for item in fields(snapshot)
                if item.name not in ("loaded", "coming")
            },
        )
        fleet = fleet_of(member("a", 1, ("e", 1)))
        fleet.on_statuses("a", [published], 1.0)
        engines = Engines("me", fleet, None, lambda: 1.0)  # type: ignore[arg-type]
        record = EndpointRecord("e", "llm", ("10.0.0.1", 1), "a", True, 8)
        assert engines.candidates([record])["e"].snapshot == snapshot

    def test_a_kept_candidate_is_built_anew_with_each_change(self) -> None:
        """Guards against choosing by a load, counts or an owner of the past."""
        fleet = fleet_of(member("a", 1, ("e", 1)))
        record = EndpointRecord("e", "llm", ("10.0.0.1", 1), "a", True, 8)
        engines = Engines("me", fleet, None, lambda: 1.0)  # type: ignore[arg-type]

        def candidate() -> EngineCandidate:
            return engines.candidates([record])["e"]

        assert not candidate().has_status
        fleet.on_statuses("a", [status("e", 1)], 1.0)
        first = candidate()
        assert first.has_status and first is candidate()
        request = PlaceRequest("e", "r.0", "base", "a1", 1, 500, 20, 0, 1.0, 1.0)
        engines.note_sent(first, request)
        assert (candidate().own_tokens, candidate().own_loads) == (500, 1)
        fleet.on_loads("a", (EngineLoad("e", 5, 1, 0.5, -1),), 1.1)
        newer = candidate()
        assert newer.snapshot is not None
        assert (newer.snapshot.active, newer.snapshot.open_slots) == (5, -1)
        assert newer.own_tokens == 0
        fleet.membership.suspect("a", 5.0)
        assert candidate().owner is None


class FakeStore:
    """A store that answers joins with ``answer``, or fails without one."""

    def __init__(self) -> None:
        self.answer: Membership | None = None
        self.joins = 0
        self.leaves = 0

    async def join(self, *args: Any, **kwargs: Any) -> Membership:
        """Return the membership, or fail."""
        self.joins += 1
        if self.answer is None:
            raise StoreError("down")
        return self.answer

    async def leave(self, group: str, member: str) -> None:
        """Count the call."""
        self.leaves += 1


def ownership(
    store: FakeStore,
    clock: list[float],
    *,
    fenced: bool = True,
    name: str = "me",
    may_own: Callable[[], bool] = lambda: True,
) -> Ownership:
    """Return the ownership of one VM, with one partition."""
    return Ownership(
        name,
        1,
        store,  # type: ignore[arg-type]
        Journal(name, logging.getLogger("none")),
        engines_check_fencing=fenced,
        settle_s=3.0,
        on_change=lambda: None,
        may_own=may_own,
        clock=lambda: clock[0],
    )


HELD = Membership(4, (Partition("engines", 0),))


class TestOwnership:
    """When orders may be sent."""

    def test_a_vm_frozen_past_its_lease_orders_nothing(self) -> None:
        """Guards against orders of a VM that resumes after its lease expired."""

        async def test() -> None:
            clock = [0.0]
            store = FakeStore()
            held = ownership(store, clock, fenced=False)
            store.answer = HELD
            await held._renew()
            clock[0] = 3.1
            await held._renew()
            assert held.may_order("e")
            clock[0] += TTL_S
            assert not held.may_order("e")

        run(test())

    def test_without_fencing_the_last_lease_must_have_expired(self) -> None:
        async def test() -> None:
            clock = [0.0]
            store = FakeStore()
            store.answer = HELD
            held = ownership(store, clock, fenced=False)
            await held._renew()
            assert not held.may_order("e")

        run(test())

    def test_with_fencing_an_owner_goes_on_in_an_outage(self) -> None:
        async def test() -> None:
            clock = [0.0]
            store = FakeStore()
            store.answer = HELD
            held = ownership(store, clock)
            await held._renew()
            store.answer = None
            clock[0] = 60.0
            await held._renew()
            assert held.may_order("e")

        run(test())

    def test_takeovers_never_use_the_same_fencing_number(self) -> None:
        """Guards against two VMs that both take over the same engine."""
        clock = [0.0]
        tokens = set()
        for name in ("a", "b"):
            held = ownership(FakeStore(), clock, name=name)
            held.take_over("e", above=4 << 24)
            tokens.add(held.fence("e"))
        assert len(tokens) == 2
        assert min(tokens) > 4 << 24

    def test_an_answer_of_the_store_ends_a_takeover(self) -> None:
        async def test() -> None:
            clock = [0.0]
            store = FakeStore()
            held = ownership(store, clock)
            held.take_over("e", above=0)
            assert held.may_order("e")
            store.answer = Membership(5, ())
            await held._renew()
            assert not held.holds("e") and not held.may_order("e")

        run(test())

    def test_the_owner_exceeds_a_number_used_in_a_takeover(self) -> None:
        """Guards against an owner whose orders are refused after a takeover."""

        async def test() -> None:
            clock = [0.0]
            store = FakeStore()
            store.answer = HELD
            held = ownership(store, clock)
            await held._renew()
            used = (4 << 24) + (1 << 14) + 77
            held.on_fenced("e", used)
            assert held.fence("e") > used

        run(test())

    def test_a_vm_that_may_own_nothing_leaves_the_group(self) -> None:
        """Guards against engines assigned to VMs that do not renew."""

        async def test() -> None:
            store = FakeStore()
            store.answer = Membership(4, ())
            may_own = [True]
            held = ownership(store, [0.0], may_own=lambda: may_own[0])
            task = asyncio.get_running_loop().create_task(held.renew_forever())
            await asyncio.sleep(0.05)
            may_own[0] = False
            await asyncio.sleep(1.0)
            joins = store.joins
            await asyncio.sleep(0.7)
            task.cancel()
            assert joins >= 1
            assert (store.joins, store.leaves) == (joins, 1)

        run(test())

    def test_every_vm_finds_the_same_partition(self) -> None:
        assert partition_of("i-1", 12) == partition_of("i-1", 12)


def collecting_logger() -> tuple[logging.Logger, list[str]]:
    """Return a logger and the list that collects its lines."""
    lines: list[str] = []
    logger = logging.Logger("test")
    handler = logging.Handler()
    handler.emit = lambda record: lines.append(record.getMessage())  # type: ignore
    logger.addHandler(handler)
    return logger, lines


class TestJournal:
    """Rate limit of lines and non-blocking writes."""

    def test_excess_lines_are_dropped_and_counted(self) -> None:
        logger, lines = collecting_logger()
        now = [0.0]
        journal = Journal("me", logger, now=lambda: now[0])
        for _ in range(10_000):
            journal.write("request")
        assert len(lines) == BURST_LINES
        now[0] = 1.0
        journal.write("request")
        assert json.loads(lines[-1])["lines_left_out"] == 10_000 - BURST_LINES

    def test_a_line_has_monotonic_and_wall_clock_time(self) -> None:
        """Guards against lines of several VMs that cannot be put in order."""
        logger, lines = collecting_logger()
        journal = Journal(
            "entry-1", logger, now=lambda: 7.25, time_of_day=lambda: 1000.5
        )
        journal.write("started")
        [line] = [json.loads(text) for text in lines]
        assert (line["at"], line["time"]) == (7.25, 1000.5)

    def test_a_stopped_reader_does_not_block_the_writer(self) -> None:
        """Guards against a log collector that hangs and thereby blocks all requests."""
        reader, writer = os.pipe()
        with os.fdopen(writer, "w") as stream:
            handler = NonBlockingHandler(stream)
            record = logging.LogRecord("x", 20, "", 1, "y" * 1000, None, None)
            for _ in range(1000):
                handler.emit(record)
            assert handler.dropped > 0
        os.close(reader)


def test_loops_are_closed() -> None:
    """The helpers leave no running loop behind."""
    with pytest.raises(RuntimeError):
        asyncio.get_running_loop()


class ScriptedStore:
    """A topic with one more record at each read; counts the reads."""

    def __init__(self) -> None:
        self.reads = 0

    async def newest(self, topic: str) -> Snapshot:
        """Return nothing, at offset 10."""
        return Snapshot((), Position(10))

    async def read(self, topic: str, offset: int, wait_s: float) -> Part:
        """Return one record more at each read."""
        self.reads += 1
        return Part((KeyedRecord("e", b"{}", offset),), Position(offset + 1))


class StuckStore(ScriptedStore):
    """A topic that goes on, of which no answer holds anything."""

    async def read(self, topic: str, offset: int, wait_s: float) -> Part:
        """Return no record, but say that there are more."""
        await asyncio.sleep(0)
        self.reads += 1
        return Part((), Position(offset), is_last=False)


def no_eras() -> StoreEras:
    """Return the era of a store that names none."""
    return StoreEras(Journal("me", logging.getLogger("none")), time.monotonic)


def follower(store: ScriptedStore, seen: list[int], reads: bool) -> TopicFollower:
    """Return a follower that reads itself or waits for rows of peers."""
    return TopicFollower(
        "t",
        store,  # type: ignore[arg-type]
        Journal("me", logging.getLogger("none")),
        no_eras(),
        on_record=lambda record: seen.append(record.position),
        wait_s=lambda: 0.0,
        pause_s=lambda: 0.01,
        may_read=lambda progress_age_s: reads,
    )


def _new_view() -> EndpointView:
    store = StoreWatch(lambda: 0.0)
    store.on_settled()
    return EndpointView(Journal("me", logging.getLogger("none")), store, lambda: 0.0)


class TestEndpointView:
    """Changes of endpoints."""

    def test_a_heartbeat_with_other_adapters_is_no_change(self) -> None:
        """Guards against passing every heartbeat of an engine on to all VMs."""
        view = _new_view()
        changes: list[EndpointChange] = []
        view.listen(changes.append)
        record = EndpointRecord("e", "llm", ("10.0.0.1", 1), "a", True, 8)
        held = (LoadedModel("base", 1, {"a1": 1}),)
        assert view.on_record("e", record)
        assert not view.on_record("e", replace(record, models=held))
        assert view.record_by_id["e"].models == held
        assert view.on_record("e", replace(record, ready=False))
        assert len(changes) == 2


def _view() -> tuple[EndpointView, list[EndpointChange]]:
    view = _new_view()
    changes: list[EndpointChange] = []
    view.listen(changes.append)
    return view, changes


class TestRestarts:
    """Restarts of an endpoint under the same registered id."""

    OLD = EndpointRecord("e", "llm", ("10.0.0.1", 1), "a", True, 8, started_ms=1000)
    NEW = EndpointRecord("e", "llm", ("10.0.0.2", 1), "a", True, 8, started_ms=2000)

    def test_a_new_start_removes_the_previous_one(self) -> None:
        """Guards against applying state of the previous process to the new one."""
        view, changes = _view()
        view.on_record("e", self.OLD)
        assert view.on_record("e", self.NEW)
        assert list(view.record_by_id) == [self.NEW.endpoint_id]
        removed, added = changes[1:]
        assert (removed.endpoint_id, removed.record) == (self.OLD.endpoint_id, None)
        assert (added.record, added.was_ready) == (self.NEW, False)

    def test_a_record_of_an_earlier_start_changes_nothing(self) -> None:
        """Guards against a late write of the previous process."""
        view, _ = _view()
        view.on_record("e", self.NEW)
        assert not view.on_record("e", self.OLD)
        assert not view.on_record("e", replace(self.OLD, started_ms=None))
        assert view.ready("llm") == [self.NEW]

    def test_a_removal_applies_to_the_known_start(self) -> None:
        view, _ = _view()
        view.on_record("e", self.OLD)
        view.on_record("e", self.NEW)
        view.on_record("e", None)
        assert not view.record_by_id

    def test_a_reported_restart_counts_before_the_record(self) -> None:
        view, _ = _view()
        held = (LoadedModel("base", 1, {"a1": 1}),)
        view.on_record("e", replace(self.OLD, models=held))
        view.on_restart(self.OLD, 1500)
        [record] = view.ready("llm")
        assert (record.started_ms, record.models) == (1500, ())
        view.on_record("e", self.NEW)
        assert view.ready("llm") == [self.NEW]

    def test_an_unreadable_record_stops_new_work_until_the_next_valid_one(self) -> None:
        """Guards against new work for an endpoint whose record was overwritten."""
        view, _ = _view()
        other = replace(self.NEW, registered_id="f")
        view.on_record("e", self.OLD)
        view.on_record("f", other)
        assert view.on_unreadable_record("e")
        assert not view.on_unreadable_record("g")
        assert view.ready("llm") == [other]
        assert view.on_record("e", self.OLD)
        assert len(view.ready("llm")) == 2


class TestSharedReads:
    """Reads of the store whose results VMs share."""

    def test_rows_of_peers_replace_reads(self) -> None:
        async def test() -> None:
            store = ScriptedStore()
            seen: list[int] = []
            waiting = follower(store, seen, reads=False)
            task = asyncio.create_task(waiting.follow())
            await asyncio.sleep(0.05)
            waiting.apply_rows(10, 13, (("e", b"{}", 11),))
            waiting.apply_rows(10, 12, (("e", b"{}", 11),))
            task.cancel()
            assert (store.reads, seen) == (0, [11])

        run(test())

    def test_rows_after_a_gap_are_not_applied(self) -> None:
        """Guards against skipping changes in a message that was lost."""

        async def test() -> None:
            seen: list[int] = []
            waiting = follower(ScriptedStore(), seen, reads=False)
            task = asyncio.create_task(waiting.follow())
            await asyncio.sleep(0.05)
            waiting.apply_rows(20, 22, (("e", b"{}", 21),))
            task.cancel()
            assert seen == []

        run(test())

    def test_a_change_received_during_an_own_read_is_passed_on(self) -> None:
        """Guards against a change that neither of two readers passes on."""

        async def test() -> None:
            known: set[int] = set()

            def apply(record: KeyedRecord) -> bool:
                fresh = record.position not in known
                known.add(record.position)
                return fresh

            store = SlowStore()
            reader = TopicFollower(
                "t",
                store,  # type: ignore[arg-type]
                Journal("me", logging.getLogger("none")),
                no_eras(),
                on_record=apply,
                wait_s=lambda: 0.0,
                pause_s=lambda: 0.0,
            )
            task = asyncio.create_task(reader.follow())
            await asyncio.sleep(0.05)
            reader.apply_rows(10, 11, (("e", b"{}", 10),))
            store.go.set()
            await asyncio.sleep(0.05)
            task.cancel()
            _, rows = reader.changes.rows_from(10)
            assert rows[0] == ("e", b"{}", 10)

        run(test())


class TestAnswersWithoutProgress:
    """A topic that says it goes on, but answers no record."""

    def test_reads_keep_their_pause(self) -> None:
        """Guards against a loop of reads that uses up the store's limit."""

        async def test() -> None:
            store = StuckStore()
            task = asyncio.create_task(follower(store, [], reads=True).follow())
            await asyncio.sleep(0.2)
            task.cancel()
            assert 2 <= store.reads <= 25

        run(test())


class TestReadsAfterAReturn:
    """Reads of the newest records after the store has returned from a copy."""

    def test_a_request_that_wants_a_proof_meanwhile_blocks_nothing(self) -> None:
        """Guards against a loop that never waits while a read is put off."""

        async def test() -> None:
            reader = follower(ScriptedStore(), [], reads=False)
            task = asyncio.create_task(reader.follow())
            await asyncio.sleep(0.3)
            started_at = time.monotonic()
            reader.read_anew(0.4)
            proof = asyncio.create_task(reader.prove())
            await asyncio.sleep(0.02)
            assert time.monotonic() - started_at < 0.2
            assert await proof
            task.cancel()

        run(test())


class SlowStore(ScriptedStore):
    """A topic whose reads wait for ``go``."""

    def __init__(self) -> None:
        super().__init__()
        self.go = asyncio.Event()

    async def read(self, topic: str, offset: int, wait_s: float) -> Part:
        """Wait, then return one record more."""
        await self.go.wait()
        await asyncio.sleep(0.01)
        return await super().read(topic, offset, wait_s)


class TestStoppedReads:
    """An open read that is ended in favour of a new one."""

    def test_a_read_that_is_ending_may_be_stopped_again(self) -> None:
        """Guards against an error for the second of two callers who want a proof."""

        class WaitingStore:
            """Answers no read."""

            reads = 0

            async def newest(self, topic: str) -> Snapshot:
                return Snapshot((), Position(0))

            async def read(self, topic: str, offset: int, wait_s: float) -> Any:
                self.reads += 1
                await asyncio.sleep(3600)

        async def test() -> None:
            store = WaitingStore()
            reader = TopicFollower(
                "topic",
                store,  # type: ignore[arg-type]
                Journal("vm"),
                no_eras(),
                on_record=lambda record: None,
                wait_s=lambda: 10.0,
                pause_s=lambda: 0.0,
            )
            following = asyncio.create_task(reader.follow())
            await asyncio.sleep(0.05)
            for _ in range(4):
                reader.stop_read()
                await asyncio.sleep(0)
            await asyncio.sleep(0.05)
            assert store.reads >= 2
            following.cancel()

        run(test())


class TestProofsOfReads:
    """What an answered read of a topic proves."""

    def proofs_of(self, store: Any) -> list[float]:
        """Return the moments that the reads of a second prove, by their age."""
        proven: list[float] = []

        async def test() -> None:
            follower = TopicFollower(
                "topic",
                store,
                Journal("vm"),
                no_eras(),
                on_record=lambda record: None,
                wait_s=lambda: 0.1,
                pause_s=lambda: 0.0,
                on_proof=lambda at: proven.append(lease_clock() - at),
            )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(follower.follow(), 1.0)

        run(test())
        return proven

    def test_a_late_answer_proves_the_moment_of_its_read(self) -> None:
        """Guards against an answer that a cut held back and that looks new."""

        class HeldBackStore:
            """Answers with a record 0.3 s after each read."""

            async def newest(self, topic: str) -> Snapshot:
                return Snapshot((), Position(0))

            async def read(self, topic: str, offset: int, wait_s: float) -> Any:
                await asyncio.sleep(0.3)
                record = KeyedRecord("key", b"value", offset)
                return Part((record,), Position(offset + 1))

        ages = self.proofs_of(HeldBackStore())
        assert len(ages) >= 3
        assert min(ages[1:]) >= 0.29

    def test_a_part_of_the_records_proves_nothing(self) -> None:
        """Guards against keys and versions judged by a view that is known as old."""

        class LongTopic:
            """Has ever more records than an answer holds."""

            async def newest(self, topic: str) -> Snapshot:
                return Snapshot((), Position(0))

            async def read(self, topic: str, offset: int, wait_s: float) -> Any:
                await asyncio.sleep(0.02)
                record = KeyedRecord("key", b"value", offset)
                return Part((record,), Position(offset + 1), is_last=False)

        assert len(self.proofs_of(LongTopic())) == 1

    def test_an_answer_without_records_proves_the_end_of_its_wait(self) -> None:
        class EmptyStore:
            """Answers without records after the wait."""

            async def newest(self, topic: str) -> Snapshot:
                return Snapshot((), Position(0))

            async def read(self, topic: str, offset: int, wait_s: float) -> Any:
                await asyncio.sleep(wait_s + 0.01)
                return Part((), Position(offset))

        ages = self.proofs_of(EmptyStore())
        assert max(ages[1:]) < 0.1
