"""Proofs that a view of the configuration is fresh, in virtual time."""

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboovale.decisions.view_freshness import MARGIN_S, ViewFreshness
from bamboovale.fleet.rings import Rings
from bamboovale.fleet.view_proofs import NO_PROOF, ViewProofs

BOUND_S = 5.0
HEARTBEAT_S = 0.4
READ_S = 1.2
READERS = 3


class TestViewFreshness:
    """The lease on the view of one VM."""

    def test_without_a_bound_every_view_is_fresh(self) -> None:
        assert ViewFreshness().is_fresh(1e9)

    def test_a_view_without_proof_is_not_fresh(self) -> None:
        view = ViewFreshness()
        view.bound_s = BOUND_S
        assert not view.is_fresh(0.0)

    def test_an_older_proof_changes_nothing(self) -> None:
        view = ViewFreshness()
        view.bound_s = BOUND_S
        view.on_proof(10.0, "store")
        view.on_proof(8.0, "peer")
        assert view.is_fresh(10.0 + BOUND_S - MARGIN_S - 0.01)
        assert not view.is_fresh(10.0 + BOUND_S - MARGIN_S)
        assert view.source == "store"


@dataclass
class _VM:
    """One VM of the simulation; its clock has an offset of its own."""

    name: str
    proofs: ViewProofs
    view: ViewFreshness
    offset: float


@dataclass
class _Fleet:
    """VMs that exchange proofs over delayed messages."""

    rng: random.Random
    now: float = 1000.0
    vm_by_name: dict[str, _VM] = field(default_factory=dict)
    in_flight: list[tuple[float, str, str, int, tuple, int]] = field(
        default_factory=list
    )

    def add(self, name: str) -> _VM:
        offset = self.rng.uniform(0, 1e6)
        view = ViewFreshness()
        view.bound_s = BOUND_S
        proofs = ViewProofs(view, lambda: self.now + offset, self.rng)
        self.vm_by_name[name] = vm = _VM(name, proofs, view, offset)
        return vm

    def read_store(self, vm: _VM) -> None:
        vm.view.on_proof(self.now + vm.offset, "store")

    def send(self, sender: str, receiver: str, delay_s: float) -> None:
        proofs = self.vm_by_name[sender].proofs
        echoes = proofs.echoes([receiver])
        stamp = proofs.new_stamp()
        age_ms = proofs.age_ms()
        message = (self.now + delay_s, sender, receiver, stamp, echoes, age_ms)
        self.in_flight.append(message)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        due = [message for message in self.in_flight if message[0] <= self.now]
        self.in_flight = [m for m in self.in_flight if m[0] > self.now]
        for _, sender, receiver, stamp, echoes, age_ms in sorted(due):
            proofs = self.vm_by_name[receiver].proofs
            proofs.on_stamp(sender, stamp)
            proofs.on_echoes(sender, echoes, age_ms)

    def proven_at(self, vm: _VM) -> float:
        """Return the moment that a VM's proof is dated from, in true time."""
        return vm.view.proven_at - vm.offset


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["read", "send"]),
        st.integers(0, 3),
        st.integers(0, 3),
        st.floats(0, 8),
        st.floats(0, 2),
    ),
    max_size=80,
)


class TestProofs:
    """Proofs that pass from VM to VM."""

    @settings(max_examples=200, deadline=None)
    @given(ACTIONS, st.integers(0, 1000))
    def test_no_proof_is_dated_later_than_a_read_of_the_store(
        self, actions: list, seed: int
    ) -> None:
        """Guards against ages that get younger with each delay on their way."""
        fleet = _Fleet(random.Random(seed))
        vms = [fleet.add(f"vm-{number}") for number in range(4)]
        last_read = float("-inf")
        for action, first, second, delay_s, pause_s in actions:
            if action == "read" and first == 0:
                fleet.read_store(vms[0])
                last_read = fleet.now
            elif first != second:
                fleet.send(f"vm-{first}", f"vm-{second}", delay_s)
            fleet.advance(pause_s)
            for vm in vms:
                assert fleet.proven_at(vm) <= last_read + 1e-6

    def test_an_echo_of_another_start_proves_nothing(self) -> None:
        """Guards against an answer to a stamp of the process before this one."""
        fleet = _Fleet(random.Random(1))
        reader, other = fleet.add("vm-0"), fleet.add("vm-1")
        fleet.send("vm-1", "vm-0", 0.0)
        fleet.advance(0.01)
        restarted = fleet.add("vm-1")
        fleet.read_store(reader)
        fleet.send("vm-0", "vm-1", 0.0)
        fleet.advance(0.01)
        assert restarted.proofs.age_ms() == NO_PROOF
        assert other is not restarted

    @pytest.mark.parametrize("size", [9, 86, 300])
    def test_proofs_of_a_few_readers_reach_every_vm_in_time(self, size: int) -> None:
        """Guards against refusals by VMs that are many steps from a reader."""
        rng = random.Random(size)
        fleet = _Fleet(rng)
        rings = Rings()
        names = [f"vm-{number}" for number in range(size)]
        for name in names:
            fleet.add(name)
            rings.add(name)
        watched_by = {name: rings.watched_by(name) for name in names}
        oldest_s = 0.0
        step_s = HEARTBEAT_S / 4
        offset = {name: rng.randrange(4) for name in names}
        for step in range(80):
            for number, name in enumerate(names):
                if number < READERS and step % int(READ_S / step_s) == number:
                    fleet.read_store(fleet.vm_by_name[name])
                if step % 4 == offset[name]:
                    for watched in watched_by[name]:
                        fleet.send(watched, name, rng.uniform(0.001, 0.05))
                if step % 10 == offset[name]:
                    for watched in watched_by[name]:
                        fleet.send(name, watched, rng.uniform(0.001, 0.05))
            fleet.advance(step_s)
            if step > 60:
                ages = [
                    fleet.now - fleet.proven_at(vm) for vm in fleet.vm_by_name.values()
                ]
                oldest_s = max([oldest_s, *ages])
        assert oldest_s < BOUND_S - MARGIN_S
        print(size, oldest_s)
