"""When engine holders start, and with which settings of their pool."""

from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import pytest
from result import Err

from bamboovale.actors import Ticker
from bamboovale.catalogue.entries import PoolEntry
from bamboovale.decisions.policy import Policy
from bamboovale.entry.engine_holders import EngineHolders, HolderCallbacks
from bamboovale.environment import Environment
from bamboovale.membership.view import Membership
from bamboovale.models import VM, VMKind
from bamboovale.settings import Settings
from bamboovale.views import Views

ENGINE = VM("g1", VMKind.RUNNER, "127.0.0.1", {"http": 1}, pool="tutor-llm")
POOL = PoolEntry("tutor-llm", "base-7b", load_seconds=0.25)


class UnreachableEngine:
    """An engine that does not answer."""

    def read_state(self, engine: Any) -> Any:
        return Err("no answer")


class Deployment:
    """The engine holders of one VM, with a catalogue that the test edits."""

    def __init__(self) -> None:
        self.views = Views(membership=Membership([ENGINE]))
        self.started: list[str] = []
        self.callbacks = HolderCallbacks(
            load_grants=SimpleNamespace(),
            on_hint=lambda hint: None,
            on_started=self.started.append,
            on_stopped=lambda engine_id: None,
        )
        self.holders = EngineHolders(
            Environment.from_settings(Settings(id="e1")),
            self.views,
            Policy.chosen(),
            UnreachableEngine(),
            Ticker(),
        )

    def set_pools(self, *pools: PoolEntry) -> None:
        by_name = {pool.name: pool for pool in pools}
        self.views.catalogue = SimpleNamespace(pool_by_name=by_name)
        self.holders.on_membership()

    def start_holder(self) -> None:
        self.holders.start("g1", 5, lambda: True, self.callbacks)


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    deployment = Deployment()
    yield deployment
    deployment.holders.stop_all()


class TestPools:
    """A holder starts only with the load time of its pool.

    Guards against holders that start before the first catalogue with a default load
    time, which keeps new adapters away from their engines.
    """

    def test_a_holder_starts_only_when_its_pool_is_known(
        self, deployment: Deployment
    ) -> None:
        deployment.set_pools()
        deployment.start_holder()
        assert deployment.holders.find("g1") is None
        deployment.set_pools(POOL)
        assert deployment.holders.dump()["g1"]["load_wait_s"] == 2 * POOL.load_seconds
        assert deployment.started == ["g1"]

    def test_a_lease_lost_before_the_pool_is_known_starts_no_holder(
        self, deployment: Deployment
    ) -> None:
        deployment.set_pools()
        deployment.start_holder()
        deployment.holders.stop("g1", deployment.callbacks)
        deployment.set_pools(POOL)
        assert deployment.holders.find("g1") is None

    def test_a_holder_is_started_once(self, deployment: Deployment) -> None:
        deployment.set_pools(POOL)
        deployment.start_holder()
        holder = deployment.holders.find("g1")
        deployment.set_pools(POOL)
        assert deployment.holders.find("g1") is holder
