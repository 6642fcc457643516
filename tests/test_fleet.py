"""Gossip membership in virtual time with up to 300 VMs."""

import itertools
import random
from collections.abc import Callable
from functools import partial

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from bamboovale.fleet.changes import ChangeLog
from bamboovale.fleet.gossip import (
    MAX_ITEMS,
    MIN_SEND_INTERVAL_S,
    WATCH_RENEWAL_S,
)
from bamboovale.fleet.membership import FORGET_AFTER_S, MAX_MEMBERS, Change, Membership
from bamboovale.fleet.messages import Gossip, Member, SuspectRequest, Suspicion
from bamboovale.fleet.neighbours import BLOCK_S, INTERVAL_S, SUSPICIONS_BEFORE_BLOCK
from bamboovale.fleet.rings import FULL_MESH_MAX_VMS, RINGS, Rings
from bamboovale.fleet.subscriptions import (
    INACTIVE_AFTER_S,
    SUBSCRIPTION_TTL_S,
    Subscriber,
    Subscriptions,
)
from bamboovale.fleet.topic_changes import MAX_ROWS, TopicChanges
from tests import fleet_simulation
from tests.fleet_simulation import SimulatedFleet, SimulatedVM

DETECTION_S = 2.5
SPREAD_S = 1.0
LARGE = 300


HOPS = 5
"""From one VM to the farthest of some sixty."""


def started(count: int, seed: int = 1, most_s: float = 2.0) -> SimulatedFleet:
    """Return a fleet in which all VMs know one another within a time."""
    fleet = SimulatedFleet(seed)
    fleet.start_all(count)
    fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), most_s)
    fleet.run(2.0)
    return fleet


def member(vm_id: str, start: int = 1, revision: int = 1, refuted: int = 0) -> Member:
    """Return the record that a VM publishes."""
    return Member(vm_id, start, revision, vm_id, 1, 2, "a", refuted, serving=True)


def membership(*others: str) -> Membership:
    """Return the view of a VM that knows these others."""
    changes: ChangeLog[Change] = ChangeLog()
    result = Membership(member("me"), changes)
    for vm_id in others:
        result.apply(member(vm_id), 0.0)
    return result


class TestRings:
    """Neighbours of a VM."""

    def test_neighbours_are_few_and_mutual(self) -> None:
        rings = Rings()
        names = [f"vm{number}" for number in range(LARGE)]
        for name in names:
            rings.add(name)
        by_id = {name: rings.neighbours(name) for name in names}
        assert max(len(found) for found in by_id.values()) <= 2 * RINGS
        for name, found in by_id.items():
            assert all(name in by_id[other] for other in found)

    def test_neighbours_do_not_depend_on_the_order_of_joins(self) -> None:
        names = [f"vm{number}" for number in range(40)]
        one, other = Rings(), Rings()
        for name in names:
            one.add(name)
        for name in [*names[::-1], "gone"]:
            other.add(name)
        other.remove("gone")
        assert all(one.neighbours(name) == other.neighbours(name) for name in names)

    def test_a_small_fleet_is_a_full_mesh(self) -> None:
        rings = Rings()
        for number in range(FULL_MESH_MAX_VMS):
            rings.add(f"vm{number}")
        assert len(rings.neighbours("vm0")) == FULL_MESH_MAX_VMS - 1

    def test_an_excluded_vm_is_replaced_by_the_next(self) -> None:
        rings = Rings()
        for number in range(60):
            rings.add(f"vm{number}")
        first = rings.neighbours("vm0")
        others = rings.neighbours("vm0", lambda vm_id: vm_id in first)
        assert others and not others & first


class TestChangeLog:
    """Changes since the last message to a neighbour."""

    def test_only_the_newest_item_of_a_key_is_returned(self) -> None:
        log: ChangeLog[str] = ChangeLog()
        log.put("a", "a1")
        log.put("b", "b1")
        log.put("a", "a2")
        assert log.after(0, 10) == (["b1", "a2"], 3)
        assert log.after(2, 10) == (["a2"], 3)
        assert log.after(3, 10) == ([], 3)

    def test_a_long_list_is_returned_in_parts(self) -> None:
        log: ChangeLog[int] = ChangeLog()
        for number in range(10):
            log.put(number, number)
        returned: list[int] = []
        number = 0
        while number < log.last:
            items, number = log.after(number, 3)
            assert 0 < len(items) <= 3
            returned.extend(items)
        assert returned == list(range(10))


class TestTopicChanges:
    """Recent rows for VMs that do not read the topic."""

    def test_rows_are_complete_from_the_end_of_the_last_older_row(self) -> None:
        changes = TopicChanges()
        changes.reset(10)
        changes.advance(50, [("a", b"1", 20), ("b", b"1", 30)])
        assert changes.rows_from(25) == (21, [("b", b"1", 30)])
        assert changes.rows_from(31) == (31, [])
        assert not changes.has_rows_from(31)

    def test_dropped_rows_are_not_claimed_to_be_complete(self) -> None:
        """Guards against partial rows that a VM which was cut off treats as complete.

        It would send work to an endpoint that left meanwhile.
        """
        changes = TopicChanges()
        changes.reset(0)
        rows = [(f"k{number}", b"", number) for number in range(MAX_ROWS + 5)]
        changes.advance(MAX_ROWS + 5, rows)
        first, kept = changes.rows_from(0)
        assert first == 5 and len(kept) == MAX_ROWS


class TestMembership:
    """The live set, from the suspicions of several observers."""

    def test_an_older_start_never_replaces_a_newer_one(self) -> None:
        """Guards against a record of the previous start that arrives late."""
        view = membership("a")
        assert view.apply(member("a", start=5), 1.0)
        assert not view.apply(member("a", start=4, revision=99), 1.1)
        known = view.member("a")
        assert known is not None and known.start == 5

    def test_a_vm_whose_clock_was_set_back_is_accepted(self) -> None:
        """Guards against a restart with an earlier clock than the previous start.

        Others would ignore the records of the VM as old, and send it no callers.
        """
        view = membership("a")
        view.apply(member("me", start=1000, revision=7), 1.0)
        assert view.own.start == 1001
        changes: ChangeLog[Change] = ChangeLog()
        other = Membership(member("other"), changes)
        other.apply(member("me", start=1000, revision=7), 0.5)
        assert other.apply(view.own, 1.0)

    def test_one_suspicion_removes_no_vm(self) -> None:
        view = membership("a", "b", "c", "d")
        view.apply_suspicion(Suspicion("b", "a", 1, 0), 1.0)
        assert view.is_live("a")
        view.apply_suspicion(Suspicion("c", "a", 1, 0), 1.1)
        assert not view.is_live("a")

    def test_suspicions_of_a_removed_observer_do_not_count(self) -> None:
        """Guards against a partitioned VM whose suspicions remove the others."""
        view = membership("a", "b", "c", "d")
        for observer in "cd":
            view.apply_suspicion(Suspicion(observer, "b", 1, 0), 1.0)
        assert not view.is_live("b")
        view.apply_suspicion(Suspicion("b", "a", 1, 0), 1.1)
        view.apply_suspicion(Suspicion("c", "a", 1, 0), 1.2)
        assert view.is_live("a")

    def test_a_vm_that_refutes_is_live_again(self) -> None:
        view = membership("a", "b", "c", "d")
        for observer in "bc":
            view.apply_suspicion(Suspicion(observer, "a", 1, 0), 1.0)
        assert view.apply(member("a", revision=2, refuted=1), 1.5)
        assert view.is_live("a")
        assert not view.apply_suspicion(Suspicion("d", "a", 1, 0), 1.6)

    def test_a_late_record_does_not_revive_a_dead_vm(self) -> None:
        """Guards against a record that arrives after the suspicions of its VM."""
        view = membership("a", "b", "c", "d")
        for observer in "bc":
            view.apply_suspicion(Suspicion(observer, "a", 1, 0), 1.0)
        view.apply(member("a", revision=2), 1.5)
        assert not view.is_live("a")

    def test_suspicions_of_us_are_refuted_once(self) -> None:
        view = membership("a", "b")
        assert view.apply_suspicion(Suspicion("a", "me", 1, 0), 1.0)
        assert not view.apply_suspicion(Suspicion("b", "me", 1, 0), 1.0)
        assert view.own.refuted == 1

    def test_the_number_of_known_vms_is_bounded(self) -> None:
        """Guards against a member that announces thousands of VMs."""
        view = membership()
        for number in range(MAX_MEMBERS + 100):
            view.apply(member(f"vm{number}"), 0.0)
            view.add_contact(f"contact{number}", ("10.0.0.1", 1), 0.0)
        assert len(view.live()) + len(view.not_live()) <= MAX_MEMBERS

    def test_a_vm_removed_long_ago_is_dropped(self) -> None:
        view = membership("a", "b", "c")
        for observer in "bc":
            view.apply_suspicion(Suspicion(observer, "a", 1, 0), 1.0)
        view.forget(1.0 + FORGET_AFTER_S)
        assert view.member("a") is None
        assert view.apply(member("a", start=2), 99.0)


class TestVMsThatMayRun:
    """The number of VMs among which a bound of the fleet is divided."""

    @pytest.mark.parametrize("count", [6, 61])
    def test_vms_that_fall_silent_still_count(self, count: int) -> None:
        """Guards against halves of a fleet that each take the whole of a bound."""
        fleet = SimulatedFleet()
        fleet.start_all(count)
        fleet.run(10.0)
        half = {f"vm{number}" for number in range(count // 2)}
        fleet.passes = lambda sender, receiver: (sender in half) == (receiver in half)
        fleet.run(20.0)
        for vm in fleet.vm_by_id.values():
            assert vm.membership.may_run_count() == count
            assert len(vm.membership.live()) < count - 1

    def test_a_vm_that_hears_nobody_counts_the_registered_ones(self) -> None:
        fleet = SimulatedFleet()
        fleet.passes = lambda sender, receiver: False
        fleet.start_all(6)
        fleet.run(10.0)
        counts = [v.membership.may_run_count() for v in fleet.vm_by_id.values()]
        assert counts == [6] * 6

    def test_a_vm_that_left_does_not_count(self) -> None:
        fleet = SimulatedFleet()
        first, *others = fleet.start_all(6)
        fleet.run(10.0)
        first.membership.update_own(serving=False, left=True)
        fleet.run(1.0)
        assert [v.membership.may_run_count() for v in others] == [5] * 5


class TestFleetOfHundreds:
    """Time until all VMs agree, and the cost in messages."""

    @pytest.mark.parametrize("count", [9, 61, LARGE])
    def test_all_start_at_once(self, count: int) -> None:
        fleet = SimulatedFleet()
        fleet.start_all(count)
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), SPREAD_S)

    @pytest.mark.parametrize("count", [9, 61, LARGE])
    def test_a_dead_vm_is_removed_everywhere(self, count: int) -> None:
        fleet = started(count)
        fleet.kill("vm3")
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), DETECTION_S)

    def test_a_joining_vm_is_known_everywhere_and_knows_all(self) -> None:
        fleet = started(LARGE)
        fleet.start("new", list(fleet.vm_by_id))
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), SPREAD_S)

    def test_a_vm_that_leaves_is_removed_without_suspicion(self) -> None:
        fleet = started(LARGE)
        leaving = fleet.vm_by_id["vm7"]
        leaving.membership.update_own(left=True)
        leaving.exchange.mark_all_due()
        fleet.send_due(leaving)
        fleet.run(0.01)
        fleet.kill("vm7")
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), SPREAD_S)

    @pytest.mark.parametrize("count", [30, LARGE])
    def test_messages_of_one_vm_do_not_grow_with_the_fleet(self, count: int) -> None:
        """Guards against all-to-all messages, quadratic in the size of the fleet."""
        fleet = started(count)
        before = fleet.sent_by_id.copy()
        fleet.run(10.0)
        sent = max(fleet.sent_by_id[v] - before[v] for v in fleet.vm_by_id) / 10.0
        heartbeats = RINGS / INTERVAL_S + RINGS / WATCH_RENEWAL_S
        assert sent <= 1.2 * heartbeats
        links = max(len(v.exchange.neighbours.by_id) for v in fleet.vm_by_id.values())
        assert links <= 12

    def test_the_items_of_a_message_are_bounded(self) -> None:
        fleet = started(LARGE)
        assert fleet.largest <= MAX_ITEMS + 1

    def test_a_changed_endpoint_is_known_everywhere(self) -> None:
        """One VM reads a change of an endpoint in the store."""
        fleet = started(LARGE)
        reader = fleet.vm_by_id["vm1"]
        rows = [("endpoint", b"draining", 3)]
        reader.topic.value_by_key["endpoint"] = b"draining"
        reader.topic.changes.advance(9, rows)
        fleet.run_until(lambda: all(map(_knows_endpoint, _vms(fleet))), SPREAD_S)
        fleet.run_until(lambda: all(map(_is_up_to_date, _vms(fleet))), 3.0)

    @pytest.mark.parametrize("seed", [1, 425, 963, 1306])
    def test_updates_lost_with_a_broken_link_are_sent_again(self, seed: int) -> None:
        """All messages to one VM are lost for half a second."""
        fleet = started(61, seed)
        fleet.passes = lambda _, receiver: receiver != "vm9"
        fleet.vm_by_id["vm1"].topic.value_by_key["endpoint"] = b"draining"
        fleet.vm_by_id["vm1"].topic.changes.advance(9, [("endpoint", b"draining", 3)])
        fleet.start("new", list(fleet.vm_by_id))
        fleet.run(0.6)
        fleet.passes = lambda sender, receiver: True
        fleet.run_until(lambda: all(map(_knows_endpoint, _vms(fleet, "new"))), 2.0)
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), 3.0)

    def test_a_suspect_request_is_known_everywhere(self) -> None:
        fleet = started(61)
        seen: list[SuspectRequest] = []
        for vm in _vms(fleet):
            vm.exchange._on_crash_news = seen.append
        fleet.vm_by_id["vm1"].exchange.note_crash(SuspectRequest("request", "endpoint"))
        fleet.run(SPREAD_S)
        assert len(seen) == 60

    @pytest.mark.parametrize("delay_s", [0.003, 0.3])
    def test_a_store_outage_is_visible_everywhere(
        self,
        delay_s: float,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Guards against a store answer that each hop makes look more recent.

        VMs that do not read the store would not detect its outage, and drop endpoints
        whose records expire in it.
        """
        monkeypatch.setattr(fleet_simulation, "DELAY_S", delay_s)
        fleet = started(61, most_s=2.0 + HOPS * delay_s)
        for _ in range(10):
            fleet.vm_by_id["vm1"].exchange.note_store_answer(fleet.now)
            fleet.run(0.5)
        # Each hop takes an interval and the delay.
        fleet.run(8.0)
        at = [vm.exchange.store_answered_at for vm in _vms(fleet)]
        assert max(at) <= fleet.now - 3.0
        assert min(at) >= fleet.now - 9.0


def _revision(vm: SimulatedVM, of: str) -> int:
    known = vm.membership.member(of)
    return 0 if known is None else known.revision


class TestFullViews:
    """A full view that is pulled from a neighbour with another one."""

    def test_a_pull_waits_for_a_message_sent_just_before(self) -> None:
        """Guards against a pull that is not sent, and the next one backs off."""
        vm = SimulatedFleet().start("me", ["other"])
        assert vm.exchange.due(0.0)
        vm.exchange.on_gossip("other", Gossip(1, 0, -1, 0, 0), 0.05)
        vm.exchange.due(0.05)
        sent = vm.exchange.due(MIN_SEND_INTERVAL_S)
        assert [gossip.wants_all for _, gossip in sent] == [True]

    def test_it_is_sent_to_a_neighbour_that_is_introduced_with_others(self) -> None:
        """Guards against an answer without the changes that another VM knows."""
        vm = SimulatedFleet().start("me", ["pulling", "other"])
        vm.membership.apply(member("third"), 0.0)
        vm.exchange.due(0.0)
        for neighbour in vm.exchange.neighbours.by_id.values():
            neighbour.introduced = False
        pull = Gossip(vm.membership.digest, 0, -1, 0, 0, wants_all=True)
        vm.exchange.on_gossip("pulling", pull, 0.05)
        told = _members_told(vm.exchange.due(MIN_SEND_INTERVAL_S), "pulling")
        assert told == {"me", "third"}


def _members_told(messages: list[tuple[list[str], Gossip]], receiver: str) -> set[str]:
    return {
        item.vm_id
        for receivers, gossip in messages
        if receiver in receivers
        for item in gossip.members
    }


def _reopens_links(
    silent: set[tuple[str, str]],
    vm_id: str,
) -> Callable[[str], None]:
    """Return a callback that ends the silence between a VM and another."""

    def abort(other: str) -> None:
        silent.discard((vm_id, other))
        silent.discard((other, vm_id))

    return abort


def _vms(fleet: SimulatedFleet, *without: str) -> list[SimulatedVM]:
    return [vm for vm_id, vm in fleet.vm_by_id.items() if vm_id not in without]


def _knows_endpoint(vm: SimulatedVM) -> bool:
    return vm.topic.value_by_key.get("endpoint") == b"draining"


def _is_up_to_date(vm: SimulatedVM) -> bool:
    return vm.topic.changes.next_offset == 9


class TestDisturbedStart:
    """Two VMs start while links and processes fail for up to two seconds each."""

    @pytest.mark.parametrize("seed", [37, 68, 341, 1079, 4014, 5016])
    def test_each_knows_the_last_record_of_the_other(self, seed: int) -> None:
        """Guards against VMs that exchange nothing for good after such a start."""
        fleet = SimulatedFleet(seed)
        fleet.start_all(2)
        _disturb(fleet, random.Random(seed))
        fleet.run(9.0)
        fleet.run_until(lambda: _knows_last_records(fleet), 5.0)


def _disturb(fleet: SimulatedFleet, rng: random.Random) -> None:
    """Lose messages, freeze VMs and change their records at random times."""
    vms = _vms(fleet)
    lost = {}
    for pair in itertools.permutations(fleet.vm_by_id, 2):
        starts = [rng.uniform(0.0, 6.0) for _ in range(rng.randrange(3))]
        lost[pair] = [(at, at + rng.uniform(0.0, 2.0)) for at in starts]
    fleet.passes = lambda *pair: not any(a <= fleet.now < b for a, b in lost[pair])
    for _ in range(rng.randrange(4)):
        fleet.freeze(rng.choice(vms), rng.uniform(0.0, 6.0), rng.uniform(0.0, 2.5))
    for _ in range(4):
        membership = rng.choice(vms).membership
        fleet.at(rng.uniform(0.0, 9.0), partial(_change_record, membership))


def _change_record(membership: Membership) -> None:
    membership.update_own(busy=not membership.own.busy)


def _knows_last_records(fleet: SimulatedFleet) -> bool:
    own = [vm.membership.own for vm in _vms(fleet)]
    return all(
        vm.membership.member(m.vm_id) in (None, m) for vm in _vms(fleet) for m in own
    ) and fleet.agree(fleet.vm_by_id)


class TestFaults:
    """Partial failures of VMs and links."""

    @pytest.mark.parametrize("cut_s", [1.0, 2.0, 5.0])
    @pytest.mark.parametrize("count", [2, 3, 9, 61])
    def test_vms_that_all_suspected_one_another_exchange_updates(
        self, count: int, cut_s: float
    ) -> None:
        """Guards against VMs that are live for one another and no neighbours."""
        fleet = started(count)
        fleet.passes = lambda sender, receiver: False
        fleet.run(cut_s)
        fleet.passes = lambda sender, receiver: True
        fleet.run(10.0)
        assert fleet.agree(fleet.vm_by_id)
        first = fleet.vm_by_id["vm0"]
        first.membership.update_own(busy=True)
        first.exchange.mark_all_due()
        fleet.send_due(first)
        revision = first.membership.own.revision
        others = _vms(fleet, "vm0")
        fleet.run_until(
            lambda: {_revision(vm, "vm0") for vm in others} == {revision}, SPREAD_S
        )

    @pytest.mark.parametrize("count", [9, LARGE])
    def test_a_link_that_fails_one_way_removes_no_vm(self, count: int) -> None:
        """Messages from one VM to one of its neighbours are lost for a minute."""
        fleet = started(count)
        vm_id = "vm5"
        rings = fleet.vm_by_id[vm_id].membership.rings
        observer = sorted(rings.neighbours(vm_id))[0]
        fleet.passes = lambda a, b: (a, b) != (vm_id, observer)
        for _ in range(60):
            fleet.run(1.0)
            for vm in _vms(fleet, vm_id, observer):
                live = {item.vm_id for item in vm.membership.live()}
                assert len(live) == count - 1

    def test_a_link_that_fails_one_way_causes_few_suspicions(self) -> None:
        """Guards against suspicion and refutation in a loop across the whole fleet."""
        fleet = started(61)
        vm = fleet.vm_by_id["vm5"]
        rings = vm.membership.rings
        observer = next(v for v in fleet.vm_by_id if "vm5" in rings.watched_by(v))
        fleet.passes = lambda a, b: (a, b) != ("vm5", observer)
        fleet.run(60.0)
        rounds = 1 + 60.0 / BLOCK_S
        assert vm.membership.own.refuted <= SUSPICIONS_BEFORE_BLOCK * rounds

    def test_a_vm_that_was_stopped_suspects_no_vm(self) -> None:
        """A process resumes after seconds, with unread messages in its sockets."""
        fleet = started(30)
        vm = fleet.vm_by_id["vm5"]
        vm.frozen_until = fleet.now + 5.0
        fleet.run(4.99)
        vm.inbox.clear()
        fleet.run(0.3)
        assert all(vm.membership.is_live(v) for v in fleet.vm_by_id)
        assert all(v.membership.own.refuted == 0 for v in _vms(fleet, "vm5"))

    def test_a_vm_that_receives_nothing_removes_no_vm(self) -> None:
        """A VM that can only send suspects each of its neighbours."""
        fleet = started(LARGE)
        fleet.passes = lambda sender, receiver: receiver != "vm5"
        fleet.run(8.0)
        others = _vms(fleet, "vm5")
        for vm in others:
            live = {item.vm_id for item in vm.membership.live()} | {vm.vm_id}
            assert live >= {other.vm_id for other in others}

    @pytest.mark.parametrize("count", [9, 61])
    def test_links_that_go_silent_for_good_remove_no_vm(self, count: int) -> None:
        """All open connections go silent without a reset; new ones work.

        Each VM reopens its links before it suspects a neighbour.
        """
        fleet = started(count)
        silent = {(a, b) for a in fleet.vm_by_id for b in fleet.vm_by_id}
        fleet.passes = lambda a, b: (a, b) not in silent
        for vm in _vms(fleet):
            vm.exchange.neighbours._abort_link = _reopens_links(silent, vm.vm_id)
        for _ in range(30):
            fleet.run(0.1)
            assert fleet.agree(fleet.vm_by_id)

    def test_a_frozen_vm_is_removed_and_returns(self) -> None:
        fleet = started(61)
        fleet.vm_by_id["vm5"].frozen_until = fleet.now + 6.0
        fleet.run_until(lambda: fleet.count_views_with_live("vm5") <= 1, DETECTION_S)
        fleet.run(6.0)
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), 2.0)

    def test_a_slow_vm_stays(self) -> None:
        """A VM stalls for 0.7 s repeatedly, but serves."""
        fleet = started(61)
        slow = fleet.vm_by_id["vm5"]
        for _ in range(20):
            slow.frozen_until = fleet.now + 0.7
            fleet.run(1.0)
            assert fleet.agree(fleet.vm_by_id)

    def test_a_partitioned_fleet_rejoins(self) -> None:
        """No message passes between the halves of a fleet for 20 s."""
        fleet = started(61)
        side = {vm_id: number % 2 for number, vm_id in enumerate(fleet.vm_by_id)}
        fleet.passes = lambda a, b: side[a] == side[b]
        fleet.run(20.0)
        fleet.passes = lambda sender, receiver: True
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), 10.0)

    def test_most_of_a_fleet_dies_at_once(self) -> None:
        """Four fifths of the VMs fail at once, most observers of each among them."""
        fleet = started(100)
        for number in range(100):
            if number % 5:
                fleet.kill(f"vm{number}")
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), 20.0)

    def test_the_few_that_are_left_agree(self) -> None:
        """Nineteen of twenty VMs fail at once; the others agree within 15 s."""
        fleet = started(200)
        for number in range(200):
            if number % 20:
                fleet.kill(f"vm{number}")
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), 15.0)

    @pytest.mark.parametrize("count", [9, 61, 195])
    def test_all_come_back_at_once(self, count: int) -> None:
        """All processes restart at once, with their addresses in the store."""
        fleet = started(count)
        names = list(fleet.vm_by_id)
        for name in names:
            fleet.kill(name)
        for name in names:
            fleet.start(name, names, 2, fleet_simulation.START_SPREAD_S)
        sent = sum(fleet.sent_by_id.values())
        fleet.run_until(lambda: fleet.agree(names), SPREAD_S)
        assert sum(fleet.sent_by_id.values()) - sent <= 60 * count

    def test_a_tenth_of_a_fleet_is_replaced(self) -> None:
        """Every half second a VM fails and a new one starts."""
        fleet = started(195)
        for number in range(20):
            fleet.kill(f"vm{number * 7}")
            fleet.start(f"new{number}", list(fleet.vm_by_id))
            fleet.run(0.5)
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), DETECTION_S + SPREAD_S)

    def test_a_lying_observer_removes_no_vm(self) -> None:
        """One VM suspects all others repeatedly."""
        fleet = started(30)
        liar = fleet.vm_by_id["vm0"]
        for _ in range(10):
            for item in liar.membership.live():
                suspicion = Suspicion("vm0", item.vm_id, item.start, item.refuted)
                liar.membership.apply_suspicion(suspicion, fleet.now)
            fleet.run(0.5)
            assert all(
                fleet.count_views_with_live(v) >= 29
                for v in fleet.vm_by_id
                if v != "vm0"
            )

    def test_a_replayed_message_changes_nothing(self) -> None:
        fleet = started(30)
        vm = fleet.vm_by_id["vm1"]
        old = Gossip(0, 0, -1, 0, -1, members=(member("vm2", 0, 50), member("vm3", 1)))
        version = vm.membership.version
        vm.exchange.on_gossip("vm4", old, fleet.now)
        assert vm.membership.version == version


class TestSubscriptions:
    """Subscriptions to engine statuses."""

    def test_only_renewed_subscriptions_stay(self) -> None:
        subscriptions = Subscriptions()
        assert subscriptions.renew("a", 0.0)
        assert not subscriptions.renew("a", 2.0)
        assert subscriptions.renew("b", 4.0)
        assert subscriptions.subscribers(SUBSCRIPTION_TTL_S + 3.0) == ["b"]
        assert subscriptions.renew("a", SUBSCRIPTION_TTL_S + 4.0)

    def test_more_subscribers_lengthen_the_intervals(self) -> None:
        subscriptions = Subscriptions()
        subscriptions.renew("a", 0.0)
        assert subscriptions.loads_interval_s() == pytest.approx(0.1)
        for number in range(75):
            subscriptions.renew(f"vm{number}", 0.0)
        assert 0.3 < subscriptions.loads_interval_s() < 0.4
        assert 1.0 < subscriptions.status_interval_s() < 2.0

    def test_a_vm_renews_while_it_has_requests(self) -> None:
        subscriber = Subscriber()
        assert not subscriber.is_active(100.0)
        assert subscriber.note_request(100.0)
        assert not subscriber.note_request(101.0)
        assert set(subscriber.due_renewals({"a", "b"}, 101.0)) == {"a", "b"}
        assert subscriber.due_renewals({"a", "b"}, 102.0) == []
        assert subscriber.due_renewals({"a", "b", "c"}, 102.5) == ["c"]
        assert set(subscriber.due_renewals({"a", "b"}, 103.1)) == {"a", "b"}
        assert not subscriber.is_active(101.0 + INACTIVE_AFTER_S)


NAMES = [f"vm{number}" for number in range(14)]


class FleetMachine(RuleBasedStateMachine):
    """VMs fail, freeze, restart and lose links; the live ones agree afterwards."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = SimulatedFleet(7)
        self.cut_links: set[tuple[str, str]] = set()
        self.start_by_id = dict.fromkeys(NAMES, 1)
        self.fleet.passes = lambda a, b: (a, b) not in self.cut_links
        for name in NAMES[:11]:
            self.fleet.start(name, NAMES[:11])
        self.fleet.run(2.0)

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name: str) -> None:
        """Kill a VM."""
        if name in self.fleet.vm_by_id and len(self.fleet.vm_by_id) > 2:
            self.fleet.kill(name)

    @rule(name=st.sampled_from(NAMES))
    def start(self, name: str) -> None:
        """Start or restart a VM."""
        if name not in self.fleet.vm_by_id:
            self.start_by_id[name] += 1
            self.fleet.start(name, NAMES, self.start_by_id[name])

    @rule(name=st.sampled_from(NAMES), seconds=st.floats(0.5, 5.0))
    def freeze(self, name: str, seconds: float) -> None:
        """Freeze a VM for a while."""
        vm = self.fleet.vm_by_id.get(name)
        if vm is not None:
            vm.frozen_until = self.fleet.now + seconds

    @rule(one=st.sampled_from(NAMES), other=st.sampled_from(NAMES))
    def cut_one_way(self, one: str, other: str) -> None:
        """Drop messages from one VM to another."""
        self.cut_links.add((one, other))

    @rule()
    def heal(self) -> None:
        """Let every message pass again."""
        self.cut_links.clear()

    @rule(seconds=st.floats(0.1, 4.0))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.fleet.run(seconds)

    @precondition(lambda self: bool(self.fleet.vm_by_id))
    @rule()
    def settle(self) -> None:
        """Check that all VMs agree on the live set after a time without faults."""
        self.cut_links.clear()
        self.fleet.run(6.0)
        self.fleet.run_until(lambda: self.fleet.agree(self.fleet.vm_by_id), 25.0)

    @invariant()
    def newest_start_is_never_replaced(self) -> None:
        """Check that no VM knows a start that has not happened."""
        for vm in self.fleet.vm_by_id.values():
            for item in vm.membership.live():
                assert item.start <= self.start_by_id[item.vm_id]

    @invariant()
    def no_vm_is_its_own_neighbour(self) -> None:
        """No VM exchanges messages with itself."""
        for vm in self.fleet.vm_by_id.values():
            assert vm.vm_id not in vm.exchange.neighbours.by_id


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(
    max_examples=25,
    stateful_step_count=20,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
