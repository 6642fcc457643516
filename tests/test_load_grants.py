"""The scheduler of load grants and the VMs that it gives them to."""

import logging
from collections.abc import Iterator
from typing import Any

import pykka
import pytest

from bamboovale.actors import Tick
from bamboovale.engines.load_grants import (
    LoadGrantActor,
    LoadRequestReceived,
    SchedulerLeaseChanged,
)
from bamboovale.environment import Environment
from bamboovale.membership.view import Membership
from bamboovale.metrics import Metrics
from bamboovale.models import VM, VMKind
from bamboovale.peers.messages import LoadGrantRequest
from bamboovale.settings import Settings
from bamboovale.views import Views

AT_ONCE = Settings(id="e1", failure_domain="muc-a").weight_full_speed
VMS = [VM(name, VMKind.ENTRY, "127.0.0.1") for name in ("e1", "e2", "e3")]


class Scheduler:
    """The scheduler on e1, and the grants that it sent, by VM."""

    def __init__(self) -> None:
        self.now = 10.0
        self.sent: list[tuple[str, str]] = []
        self.views = Views()
        self.views.membership = Membership(VMS)
        environment = Environment(
            Settings(id="e1", failure_domain="muc-a"),
            Metrics(),
            logging.getLogger("test"),
            now=lambda: self.now,
        )
        self.actor = LoadGrantActor.start(
            environment=environment,
            views=self.views,
            send=lambda vm_id, grant: self.sent.append((vm_id, grant.engine_id)),
            deliver_here=lambda grant: self.sent.append(("e1", grant.engine_id)),
        )
        self.actor.ask(SchedulerLeaseChanged(1, lambda: True))

    def request(self, vm_id: str, engine_id: str, lora_name: str) -> None:
        request = LoadGrantRequest(engine_id, lora_name, 1.0)
        self.actor.ask(LoadRequestReceived(vm_id, request))


@pytest.fixture
def scheduler() -> Iterator[Any]:
    yield Scheduler()
    pykka.ActorRegistry.stop_all()


class TestVMsThatAreGone:
    """All grants are at one VM, and another one waits."""

    @pytest.mark.parametrize("is_listed", [True, False])
    def test_their_grants_go_to_others(
        self, scheduler: Scheduler, is_listed: bool
    ) -> None:
        """Guards against loads that wait until the grants of a killed VM expire."""
        for number in range(AT_ONCE):
            scheduler.request("e2", "g1", f"a{number}@1")
        scheduler.request("e3", "g2", "b@1")
        assert scheduler.sent == [("e2", "g1")] * AT_ONCE
        vms = VMS if is_listed else [VMS[0], VMS[2]]
        unreachable = frozenset({"e2"} if is_listed else ())
        scheduler.views.membership = Membership(vms, unreachable_ids=unreachable)
        scheduler.now += 1.0
        scheduler.actor.ask(Tick())
        assert scheduler.sent == [("e2", "g1")] * AT_ONCE + [("e3", "g2")]

    def test_the_grants_of_others_last(self, scheduler: Scheduler) -> None:
        """Guards against more loads at once than the weight store serves."""
        for number in range(AT_ONCE):
            scheduler.request("e2", "g1", f"a{number}@1")
        scheduler.request("e3", "g2", "b@1")
        scheduler.now += 1.0
        scheduler.actor.ask(Tick())
        assert scheduler.sent == [("e2", "g1")] * AT_ONCE
