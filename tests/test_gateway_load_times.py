"""Tests of the load times that owners publish, and that new owners start from."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

from bamboovale.decisions.place_work import EngineCapacity
from bamboovale.gateway.engine_owner import EngineOwner
from bamboovale.gateway.known_load_times import KnownLoadTimes, LoadSeconds
from bamboovale.gateway.messages import EngineStatus
from bamboovale.gateway.model import EndpointRecord
from tests.gateway_site import RecordedJournal
from tests.owner_simulation import owner_context

RECORD = EndpointRecord("e0", "llm", ("10.0.0.1", 1), "a", True, 8, started_ms=1)
STATUS = EngineStatus("e0@1", 1, (), (), (), 0, 8, 0, 0.0, 0, 0, 0.0)


def known_load_times(*known: tuple[EndpointRecord, float]) -> KnownLoadTimes:
    """Return the times after a status of each engine, with its load time."""
    owned = {
        record.endpoint_id: SimpleNamespace(status=replace(STATUS, load_s=load_s))
        for record, load_s in known
    }
    state = SimpleNamespace(
        endpoints=SimpleNamespace(ready=lambda service: [r for r, _ in known]),
        fleet=SimpleNamespace(engine=owned.get),
    )
    return KnownLoadTimes(state)  # type: ignore[arg-type]


class TestKnownLoadTimes:
    """The times of an engine, of its earlier start, or of its pool."""

    OTHERS = tuple(
        (replace(RECORD, registered_id=f"e{n}"), n / 10) for n in range(1, 4)
    )

    def test_the_last_status_of_the_engine_goes_first(self) -> None:
        times = known_load_times((RECORD, 1.2), *self.OTHERS)
        times.remember(RECORD, replace(STATUS, load_s=2.0))
        assert times.of(RECORD) == (1.2, 0.0)

    def test_a_later_start_has_the_times_of_the_earlier_one(self) -> None:
        times = known_load_times(*self.OTHERS)
        times.remember(RECORD, replace(STATUS, load_s=2.0, cached_load_s=0.2))
        assert times.of(replace(RECORD, started_ms=2)) == (2.0, 0.2)

    def test_an_unknown_engine_has_the_median_of_its_pool(self) -> None:
        assert known_load_times((RECORD, 0.0), *self.OTHERS).of(RECORD) == (0.2, 0.0)

    def test_nothing_is_known_of_an_unknown_pool(self) -> None:
        assert known_load_times().of(RECORD) == (0.0, 0.0)

    def test_remembered_engines_are_bounded(self) -> None:
        times = known_load_times()
        for number in range(1000):
            record = replace(RECORD, registered_id=f"e{number}")
            times.remember(record, replace(STATUS, load_s=2.0))
        assert times.of(RECORD) == (0.0, 0.0)


class TestNewOwner:
    """A new owner of an engine."""

    def published(self, known: LoadSeconds) -> LoadSeconds:
        """Return what a new owner publishes that starts from these times."""

        async def test() -> LoadSeconds:
            context = owner_context(
                SimpleNamespace(),
                RecordedJournal("owner"),
                load_times=lambda record: known,
            )
            owner = EngineOwner(RECORD, EngineCapacity(8, 100_000, 2), context)
            owner.start()
            status = owner.status()
            owner.stop()
            return status.load_s, status.cached_load_s

        return asyncio.run(test())

    def test_it_starts_from_the_times_of_the_previous_owner(self) -> None:
        """Guards against an early request after each change of an owner."""
        assert self.published((1.2, 0.1)) == (1.2, 0.1)

    def test_it_publishes_nothing_that_it_does_not_know(self) -> None:
        """Guards against a guess that other owners take for a learned time."""
        assert self.published((0.0, 0.0)) == (0.0, 0.0)
