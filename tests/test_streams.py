"""Which software began a stream: names of attempts, memory, versions, decisions."""

import logging
import math
from dataclasses import replace

import pytest
from result import Err, Ok

from bamboovale.gateway.endpoints import EndpointView
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.model import EndpointRecord
from bamboovale.http1.request import Request
from bamboovale.platform.requests import decode_call
from bamboovale.store.watch import StoreWatch
from bamboovale.streams.decision import Findings, RefusalCause, decide
from bamboovale.streams.route_history import RouteHistory
from bamboovale.streams.source import StreamSource
from bamboovale.streams.starts import MAX_LIFE_S, StreamStart, StreamStarts
from bamboovale.streams.version_history import VersionHistory

OLD = StreamSource("llm", "v1")
NEW = StreamSource("llm", "v2")
WITHIN_S = 20.0


def resumes(*values: bytes) -> str | None:
    """Return the attempt that a request with these headers resumes."""
    headers = [(b"x-request-id", b"r2"), (b"last-event-id", b"3")]
    headers += [(b"resumes", value) for value in values]
    return decode_call(Request("POST", "/", headers, b"", 0.0)).resumes


class TestNamedAttempt:
    """The header by which a caller names the attempt that began its stream."""

    def test_one_id_is_taken(self) -> None:
        assert resumes(b"9c41d07be2a35f68") == "9c41d07be2a35f68"

    @pytest.mark.parametrize(
        "values",
        [(), (b"",), (b"r1", b"r3"), (b"r1,r3",), (b"r 1",), (b"\xff",), (b"r" * 129,)],
    )
    def test_anything_else_names_none(self, values: tuple[bytes, ...]) -> None:
        assert resumes(*values) is None


class TestStarts:
    """What one VM remembers of the starts of streams."""

    def test_a_start_is_known_for_its_time(self) -> None:
        starts = StreamStarts()
        starts.note("r1", StreamStart(OLD, None), 10.0, 100.0)
        assert starts.find("r1", None, 109.9) == OLD
        assert starts.find("r1", None, 110.0) is None

    def test_another_customer_does_not_learn_of_it(self) -> None:
        starts = StreamStarts()
        starts.note("r1", StreamStart(OLD, "agency-1"), 10.0, 100.0)
        assert starts.find("r1", "agency-2", 101.0) is None
        assert starts.find("r1", None, 101.0) is None

    def test_a_later_note_extends_its_time_and_changes_nothing_else(self) -> None:
        """Guards against an attempt's id that somebody uses for a stream of its own."""
        starts = StreamStarts()
        starts.note("r1", StreamStart(OLD, "agency-1"), 10.0, 100.0)
        starts.note("r1", StreamStart(NEW, "agency-2"), 10.0, 105.0)
        assert starts.find("r1", "agency-1", 114.0) == OLD
        assert starts.find("r1", "agency-2", 106.0) is None

    def test_neither_many_nor_long_lives_use_memory_without_bound(self) -> None:
        starts = StreamStarts(capacity=10)
        for number in range(1000):
            starts.note(f"r{number}", StreamStart(OLD, None), math.inf, 100.0)
        assert len(starts) == 10
        assert starts.find("r999", None, 100.0) == OLD
        assert starts.find("r999", None, 100.0 + MAX_LIFE_S) is None

    def test_expired_ones_use_no_memory(self) -> None:
        starts = StreamStarts()
        for number in range(1000):
            starts.note(f"r{number}", StreamStart(OLD, None), 1.0, float(number))
        assert len(starts) == 1


def history(first_start: bool = True) -> VersionHistory:
    """Return the history of a VM that has read one version at second 100."""
    found = VersionHistory(is_first_start=first_start)
    found.on_endpoint("e1", ("llm", "v1"), 100.0)
    found.on_endpoint("e2", ("app", "v9"), 100.0)
    found.on_snapshot(100.0)
    found.on_proof(100.0)
    return found


def only_version(found: VersionHistory, now: float, arrived_at: float) -> str | None:
    """Return the version that alone can have begun a stream of the service."""
    return found.seen(("llm",), WITHIN_S, now).only_version(WITHIN_S, now - arrived_at)


class TestVersionHistory:
    """Which versions may have begun a stream that nobody knows."""

    def test_one_version_alone(self) -> None:
        assert only_version(history(), 100.0, 99.9) == "v1"

    def test_not_if_records_are_older_than_the_callers_return(self) -> None:
        """Guards against a VM that is cut off and has not heard of a new version."""
        assert only_version(history(), 101.0, 100.5) is None

    def test_not_while_one_that_ended_may_have_begun_it(self) -> None:
        found = history()
        found.on_endpoint("e1", ("llm", "v2"), 110.0)
        found.on_proof(129.0)
        assert only_version(found, 129.0, 128.9) is None
        found.on_proof(131.0)
        assert only_version(found, 131.0, 130.9) == "v2"

    def test_not_soon_after_a_start_without_knowledge_of_before(self) -> None:
        found = history(first_start=False)
        found.on_proof(110.0)
        assert only_version(found, 110.0, 109.9) is None
        found.on_proof(120.0)
        assert only_version(found, 120.0, 119.9) == "v1"

    def test_another_vm_knows_what_was_before(self) -> None:
        old, young = history(), history(first_start=False)
        for found in (old, young):
            found.on_proof(101.0)
        own = young.seen(("llm",), WITHIN_S, 101.0)
        joined = own.join(old.seen(("llm",), WITHIN_S, 101.0))
        assert joined.only_version(WITHIN_S, 0.1) == "v1"

    def test_not_if_versions_may_have_come_between_the_two(self) -> None:
        old = history()
        young = VersionHistory()
        young.on_endpoint("e1", ("llm", "v1"), 105.0)
        young.on_snapshot(105.0)
        young.on_proof(105.0)
        own = young.seen(("llm",), WITHIN_S, 105.0)
        joined = own.join(old.seen(("llm",), WITHIN_S, 105.0))
        assert joined.only_version(WITHIN_S, 0.1) is None

    def test_endpoints_are_counted_by_version(self) -> None:
        found = history()
        found.on_endpoint("e3", ("llm", "v1"), 101.0)
        found.on_endpoint("e1", None, 102.0)
        found.on_endpoint("e2", None, 102.0)
        assert found.endpoints_by_version == {("llm", "v1"): 1}

    def test_a_lost_history_is_not_complete(self) -> None:
        found = history()
        found.on_snapshot(105.0)
        found.on_proof(105.0)
        assert only_version(found, 105.0, 104.9) is None


class TestRouteHistory:
    """Services that a stream of a route may have begun at."""

    def test_what_a_route_exchanged_lately_counts_for_its_services_alone(self) -> None:
        routes = RouteHistory()
        old, new, both = frozenset({"llm"}), frozenset({"llm-2"}), {"llm", "llm-2"}
        chat, book = ("shop", "/chat/"), ("shop", "/book/")
        routes.on_routes({chat: old, book: frozenset({"app"})}, 100.0)
        assert routes.with_changed(old, WITHIN_S, 101.0) == old
        routes.on_routes({chat: new, book: frozenset({"app"})}, 110.0)
        for services in (old, new):
            assert routes.with_changed(services, WITHIN_S, 111.0) == both
        assert routes.with_changed(("app",), WITHIN_S, 111.0) == {"app"}
        assert routes.with_changed(new, WITHIN_S, 111.0 + WITHIN_S) == new

    def test_a_longer_prefix_that_comes_or_goes_exchanges_services(self) -> None:
        """Guards against a part of a route that is taken for another one."""
        old, new, both = frozenset({"llm"}), frozenset({"llm-2"}), {"llm", "llm-2"}
        whole, part = ("shop", "/chat/"), ("shop", "/chat/short/")
        routes = RouteHistory()
        routes.on_routes({whole: old}, 100.0)
        routes.on_routes({whole: old, part: new}, 110.0)
        assert routes.with_changed(new, WITHIN_S, 111.0) == both
        later = 110.0 + 2 * WITHIN_S
        assert routes.with_changed(new, WITHIN_S, later) == new
        routes.on_routes({whole: old}, later)
        assert routes.with_changed(old, WITHIN_S, later + 1.0) == both


class TestDecision:
    """Where a stream goes on, or why it is refused."""

    def test_what_began_it_goes_before_what_serves(self) -> None:
        assert decide(Findings(OLD, "v2")) == Ok(OLD)

    def test_the_only_version(self) -> None:
        assert decide(Findings(only_version="v2")) == Ok(StreamSource("", "v2"))

    def test_refused_for_good_where_all_answered(self) -> None:
        refusal = decide(Findings())
        assert isinstance(refusal, Err)
        assert refusal.err_value.cause is RefusalCause.START_UNKNOWN
        assert refusal.err_value.retry_after_s is None

    def test_refused_for_a_while_where_some_did_not_answer(self) -> None:
        refusal = decide(Findings(all_answered=False))
        assert isinstance(refusal, Err)
        assert refusal.err_value.cause is RefusalCause.NOT_KNOWN_IN_TIME
        assert refusal.err_value.retry_after_s is not None


class TestService:
    """The service at which a stream goes on where its route has changed."""

    def test_the_one_that_began_it_while_the_route_leads_there(self) -> None:
        assert OLD.service_among(("app", "llm"), "app") == "llm"
        assert OLD.service_among(("app",), "app") == "app"


class TestUnknownSoftware:
    """An engine whose restart is known by a report alone."""

    def test_no_stream_goes_on_there(self) -> None:
        """Guards against software that a restarted engine had before."""
        store = StoreWatch(lambda: 0.0)
        journal = Journal("me", logging.getLogger("none"))
        view = EndpointView(journal, store, lambda: 0.0)
        record = EndpointRecord("e", "llm", ("127.0.0.1", 1), "a", True, 8)
        record = replace(record, started_ms=1, software_version="v1")
        view.on_record("e", record)
        view.on_restart(record, 2)
        restarted = view.record_by_id["e@2"]
        assert not OLD.may_go_on_at(restarted)
        assert not StreamSource("llm", None).may_go_on_at(restarted)
        view.on_record("e", replace(record, started_ms=2, software_version="v2"))
        assert NEW.may_go_on_at(view.record_by_id["e@2"])

    def test_what_it_may_have_begun_is_not_certain(self) -> None:
        found = history()
        found.on_endpoint("e3", ("llm", None), 101.0)
        found.on_proof(102.0)
        assert only_version(found, 102.0, 101.9) is None
