"""The VM list and the status of peers."""

import logging
import urllib.request
from collections.abc import Iterator
from typing import Any

import pykka
import pytest
from result import Ok

from bamboovale.actors import Tick
from bamboovale.environment import Environment
from bamboovale.http_client import HttpClient
from bamboovale.log_service.follower import LogHealth
from bamboovale.membership.actor import (
    FANOUT,
    LARGE_FLEET_FANOUT,
    MembershipActor,
    MembershipCallbacks,
    StatusReceived,
    VMListRead,
)
from bamboovale.membership.vm_list import VMListClient
from bamboovale.metrics import Metrics
from bamboovale.models import VM, VMKind
from bamboovale.peers.messages import StatusNotice
from bamboovale.settings import Settings
from bamboovale.standins.server import running
from bamboovale.standins.vms import create_server
from bamboovale.views import Views


class Fleet:
    """One membership actor in a fleet of ``entry_vms`` entry VMs."""

    def __init__(self, entry_vms: int) -> None:
        self.now = 100.0
        self.sent_to: list[str] = []
        self.views = Views(now=lambda: self.now)
        environment = Environment(
            Settings(id="e0", failure_domain="muc-a"),
            Metrics(),
            logging.getLogger("test"),
            now=lambda: self.now,
        )
        self.actor = MembershipActor.start(
            environment,
            self.views,
            LogHealth(lambda: self.now),
            MembershipCallbacks(
                send=lambda vm_id, notice: self.sent_to.append(vm_id),
                on_change=lambda: None,
                on_peer_unreachable=lambda vm_id: None,
                on_peer_ahead=lambda vm_id, offset: None,
                on_hint=lambda hint: None,
                on_interval=lambda: None,
            ),
        )
        vms = tuple(
            VM(f"e{number}", VMKind.ENTRY, "127.0.0.1") for number in range(entry_vms)
        )
        self.actor.ask(VMListRead(vms))

    def receive_status(self, vm_id: str, **more: Any) -> None:
        notice = StatusNotice("i1", False, True, True, 0, 0, ())
        self.actor.ask(StatusReceived(vm_id, notice))

    def tick(self, seconds: float) -> None:
        self.now += seconds
        self.actor.ask(Tick())

    def usable(self) -> set[str]:
        return {vm.id for vm in self.views.membership.usable_entry_vms()}


@pytest.fixture(autouse=True)
def stop_actors() -> Iterator[None]:
    yield
    pykka.ActorRegistry.stop_all()


class TestSmallFleet:
    """Every peer gets every status; a peer that sends none is not used."""

    def test_a_peer_is_used_while_it_sends_its_status(self) -> None:
        fleet = Fleet(3)
        fleet.tick(0.1)
        assert fleet.usable() == {"e0"}
        fleet.receive_status("e1")
        assert fleet.usable() == {"e0", "e1"}
        fleet.tick(10.0)
        assert fleet.usable() == {"e0"}

    def test_every_peer_gets_the_status(self) -> None:
        fleet = Fleet(FANOUT)
        fleet.tick(1.0)
        assert len(set(fleet.sent_to)) == FANOUT - 1


class TestLargeFleet:
    """A few peers get the status in each interval; the VM list says who is live.

    Guards against a VM that has just started, has seen few peers, and ranks itself
    first for every engine.
    """

    def test_a_peer_never_seen_is_used(self) -> None:
        fleet = Fleet(40)
        fleet.tick(0.1)
        assert len(fleet.usable()) == 40

    def test_a_peer_that_stopped_sending_is_not_used(self) -> None:
        fleet = Fleet(40)
        fleet.receive_status("e7")
        fleet.tick(300.0)
        assert fleet.usable() == {f"e{number}" for number in range(40)} - {"e7"}

    def test_a_few_peers_get_the_status_round_robin(self) -> None:
        fleet = Fleet(40)
        fleet.tick(1.0)
        assert len(fleet.sent_to) == LARGE_FLEET_FANOUT
        fleet.tick(1.0)
        assert len(set(fleet.sent_to)) == 2 * LARGE_FLEET_FANOUT


class TestVMListClient:
    """Conditional reads of the VM list."""

    def test_an_unchanged_list_is_not_sent_again(self) -> None:
        row = b'{"kind": "entry", "address": "127.0.0.1"}'
        with running(create_server("127.0.0.1:0", lag_s=0.0)) as url:
            put(f"{url}/vms/e1", row)
            client = VMListClient(url, HttpClient("127.0.0.1"))
            first = client.read()
            again = client.read()
            put(f"{url}/vms/e2", row)
            changed = client.read()
        assert isinstance(first, Ok) and isinstance(again, Ok)
        assert again.ok_value is first.ok_value
        assert isinstance(changed, Ok)
        assert [vm.id for vm in changed.ok_value] == ["e1", "e2"]


def put(url: str, body: bytes) -> None:
    request = urllib.request.Request(url, body, method="PUT")
    with urllib.request.urlopen(request, timeout=5) as response:
        response.read()
