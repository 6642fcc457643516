"""What a new owner of an engine knows from the status of the previous one."""

from types import SimpleNamespace
from typing import Any

import pytest

from bamboovale.decisions.mechanisms import ALL_ON
from bamboovale.gateway import engine_assignment
from bamboovale.gateway.engine_assignment import EngineAssignment
from bamboovale.gateway.engine_owner import EngineOwner
from bamboovale.gateway.known_load_times import KnownLoadTimes
from bamboovale.gateway.messages import EngineStatus
from bamboovale.gateway.model import EndpointRecord
from tests.gateway_site import RecordedJournal
from tests.test_gateway_parts import fleet_of, member

RECORD = EndpointRecord("e", "llm", ("10.0.0.1", 1), "a", True, 8)
POOL = SimpleNamespace(slots=8, kv_tokens=1000, adapter_slots=4, model_by_name={})
SERVICE = SimpleNamespace(engines=POOL)
STATUS = EngineStatus(
    "e", 1, (), (), (), 0, 8, 0, 0.0, 2, 9, 5e-5, s_per_output_token=0.01, run_s=0.7
)


@pytest.fixture
def context() -> Any:
    """Return the dependencies of owners that never start."""
    return SimpleNamespace(
        mechanisms=ALL_ON,
        now=lambda: 0.0,
        hold_off_s=lambda: 0.0,
        journal=RecordedJournal("me"),
    )


def assigned_owner(context: Any, *statuses: EngineStatus) -> EngineOwner:
    """Return the owner that a VM starts which has received these statuses."""
    fleet = fleet_of(member("previous", 1, ("e", 1)))
    fleet.on_statuses("previous", statuses, 0.0)
    state = SimpleNamespace(
        fleet=fleet,
        table=SimpleNamespace(service_by_name={"llm": SERVICE}),
        stopping=False,
        now=lambda: 0.0,
        journal=context.journal,
        version_by_adapter={},
        model_engines=lambda: [RECORD],
        endpoints=SimpleNamespace(
            record_by_id={"e": RECORD}, ready=lambda service: [RECORD]
        ),
    )
    engines = SimpleNamespace(owner_by_engine={})
    ownership = SimpleNamespace(holds=lambda engine_id: True, generation=2)
    stalls = SimpleNamespace(is_stalled=lambda service: False)
    times = KnownLoadTimes(state)
    parts: tuple[Any, ...] = (state, engines, ownership, context, stalls, times)
    assert EngineAssignment(*parts).assign()
    return engines.owner_by_engine["e"]


class TestNewOwner:
    """The run speed that a new owner begins with."""

    @pytest.fixture(autouse=True)
    def without_tasks(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Keep owners from starting tasks, for which there is no event loop."""
        monkeypatch.setattr(engine_assignment.EngineOwner, "start", lambda owner: None)

    def test_it_goes_on_with_the_published_speed(self, context: Any) -> None:
        """Guards against slow engines that count as typical after their owner died."""
        snapshot = assigned_owner(context, STATUS).places.snapshot(0.0)
        assert (snapshot.s_per_output_token, snapshot.run_s) == (0.01, 0.7)

    def test_without_a_status_it_learns_from_the_start(self, context: Any) -> None:
        snapshot = assigned_owner(context).places.snapshot(0.0)
        assert (snapshot.s_per_output_token, snapshot.run_s) == (0.0, 0.0)

    def test_it_publishes_what_it_knows(self, context: Any) -> None:
        owner = assigned_owner(context, STATUS)
        owner._orders.fence = lambda: 2  # type: ignore[method-assign]
        assert (owner.status().s_per_output_token, owner.status().run_s) == (0.01, 0.7)
