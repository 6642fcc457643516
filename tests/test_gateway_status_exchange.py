"""Publication of engine status: what is sent to subscribers, and when."""

from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from bamboovale.gateway.messages import EngineStatus, EngineStatuses
from bamboovale.gateway.status_exchange import (
    REFRESH_INTERVAL_S,
    EngineStatusExchange,
)

STATUS = EngineStatus(
    engine_id="engine-1",
    fence=1,
    loaded=(("base", "a1", 1),),
    coming=(),
    models=("base",),
    active=0,
    places=12,
    queued=0,
    backlog_s=0.0,
    open_slots=6,
    kept=41,
    s_per_token=0.00005,
)


@dataclass
class StubOwner:
    """An owner whose engine has a given status."""

    current: EngineStatus = STATUS

    def status(self) -> EngineStatus:
        """Return the status."""
        return self.current


@dataclass
class StubParts:
    """What the exchange uses of the VM; it records the messages sent."""

    time: float = 100.0
    owner_by_engine: dict[str, StubOwner] = field(
        default_factory=lambda: {"engine-1": StubOwner(), "engine-2": StubOwner()}
    )
    sent: list[EngineStatuses] = field(default_factory=list)
    own: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        second = self.owner_by_engine["engine-2"]
        second.current = replace(STATUS, engine_id="engine-2")
        self.node = self.fleet = self
        self.name = "vm-1"

    def now(self) -> float:
        """Return the time."""
        return self.time

    def on_statuses(self, vm_id: str, statuses: Any, now: float) -> None:
        """Record what this VM itself applies."""
        self.own += [status.engine_id for status in statuses]

    def notify(self, vm_id: str, message: EngineStatuses) -> None:
        """Record a message."""
        self.sent.append(message)

    def notify_all(self, vm_ids: Any, message: EngineStatuses) -> None:
        """Record a message."""
        self.sent.append(message)

    def engines_in_last(self) -> list[str]:
        """Return the engines in the last message."""
        return [status.engine_id for status in self.sent[-1].statuses]


@pytest.fixture
def parts() -> StubParts:
    """Return the parts of a VM that owns two engines."""
    return StubParts()


@pytest.fixture
def exchange(parts: StubParts) -> EngineStatusExchange:
    """Return an exchange that has published both engines once."""
    made = EngineStatusExchange(parts, parts, parts)  # type: ignore[arg-type]
    made.publish_statuses()
    assert parts.engines_in_last() == ["engine-1", "engine-2"]
    parts.sent.clear()
    return made


class TestPublication:
    """Which statuses an owner sends."""

    def test_what_has_not_changed_is_not_sent_again(
        self, parts: StubParts, exchange: EngineStatusExchange
    ) -> None:
        """Guards against messages that grow with engines though nothing changes."""
        parts.time += 0.3
        busy = replace(STATUS, active=5, backlog_s=0.2, s_per_token=0.0000501)
        parts.owner_by_engine["engine-1"].current = busy
        exchange.publish_statuses()
        assert parts.sent == []
        assert parts.own[-2:] == ["engine-1", "engine-2"]

    def test_small_changes_of_the_run_speed_are_not_sent(
        self, parts: StubParts, exchange: EngineStatusExchange
    ) -> None:
        """Guards against a message with all adapters after nearly every run."""
        owner = parts.owner_by_engine["engine-1"]
        owner.current = replace(STATUS, s_per_output_token=0.005, run_s=0.4)
        exchange.publish_statuses()
        assert parts.engines_in_last() == ["engine-1"]
        parts.sent.clear()
        for factor in (1.1, 0.9, 1.0):
            parts.time += 0.3
            owner.current = replace(
                STATUS, s_per_output_token=0.005 * factor, run_s=0.4 * factor
            )
            exchange.publish_statuses()
        assert parts.sent == []

    @pytest.mark.parametrize("figure", ["s_per_output_token", "run_s"])
    def test_an_engine_that_becomes_slow_is_sent(
        self, parts: StubParts, exchange: EngineStatusExchange, figure: str
    ) -> None:
        owner = parts.owner_by_engine["engine-1"]
        owner.current = replace(STATUS, s_per_output_token=0.005, run_s=0.4)
        exchange.publish_statuses()
        parts.sent.clear()
        owner.current = replace(owner.current, **{figure: 0.8})
        exchange.publish_statuses()
        assert parts.engines_in_last() == ["engine-1"]

    def test_an_engine_with_another_adapter_is_sent(
        self, parts: StubParts, exchange: EngineStatusExchange
    ) -> None:
        parts.time += 0.3
        other = replace(STATUS, loaded=(("base", "a2", 1),))
        parts.owner_by_engine["engine-1"].current = other
        exchange.publish_statuses()
        assert parts.engines_in_last() == ["engine-1"]

    def test_all_are_sent_from_time_to_time(
        self, parts: StubParts, exchange: EngineStatusExchange
    ) -> None:
        """Guards against VMs that go by an old status after a lost message."""
        parts.time += REFRESH_INTERVAL_S
        exchange.publish_statuses()
        assert parts.engines_in_last() == ["engine-1", "engine-2"]
