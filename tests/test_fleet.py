"""Who lives and how news spreads, in virtual time with up to 300 VMs."""

from collections.abc import Callable

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
from bamboovale.fleet.gossip import MAX_ITEMS, WATCH_RENEWAL_S
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
from tests import fleet_play
from tests.fleet_play import PlayedFleet, PlayedVM

DEATH_S = 2.5
NEWS_S = 1.0
LARGE = 300


def started(count: int, seed: int = 1) -> PlayedFleet:
    """Return a fleet in which all VMs know one another."""
    fleet = PlayedFleet(seed)
    fleet.start_all(count)
    fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), 2.0)
    fleet.run(2.0)
    return fleet


def member(vm_id: str, start: int = 1, revision: int = 1, refuted: int = 0) -> Member:
    """Return what a VM tells of itself."""
    return Member(vm_id, start, revision, vm_id, 1, 2, "a", refuted, serving=True)


def membership(*others: str) -> Membership:
    """Return what a VM believes that has heard of these."""
    changes: ChangeLog[Change] = ChangeLog()
    result = Membership(member("me"), changes)
    for vm_id in others:
        result.apply(member(vm_id), 0.0)
    return result


class TestRings:
    """Whom a VM watches."""

    def test_neighbours_are_few_and_mutual(self) -> None:
        rings = Rings()
        names = [f"vm{number}" for number in range(LARGE)]
        for name in names:
            rings.add(name)
        by_id = {name: rings.neighbours(name) for name in names}
        assert max(len(found) for found in by_id.values()) <= 2 * RINGS
        for name, found in by_id.items():
            assert all(name in by_id[other] for other in found)

    def test_the_order_in_which_vms_came_does_not_matter(self) -> None:
        names = [f"vm{number}" for number in range(40)]
        one, other = Rings(), Rings()
        for name in names:
            one.add(name)
        for name in [*names[::-1], "gone"]:
            other.add(name)
        other.remove("gone")
        assert all(one.neighbours(name) == other.neighbours(name) for name in names)

    def test_a_small_fleet_is_linked_all_to_all(self) -> None:
        rings = Rings()
        for number in range(FULL_MESH_MAX_VMS):
            rings.add(f"vm{number}")
        assert len(rings.neighbours("vm0")) == FULL_MESH_MAX_VMS - 1

    def test_what_is_passed_over_is_replaced_by_the_next(self) -> None:
        rings = Rings()
        for number in range(60):
            rings.add(f"vm{number}")
        first = rings.neighbours("vm0")
        others = rings.neighbours("vm0", lambda vm_id: vm_id in first)
        assert others and not others & first


class TestChangeLog:
    """What a neighbour has not been told."""

    def test_only_the_newest_item_of_a_key_is_told(self) -> None:
        log: ChangeLog[str] = ChangeLog()
        log.put("a", "a1")
        log.put("b", "b1")
        log.put("a", "a2")
        assert log.after(0, 10) == (["b1", "a2"], 3)
        assert log.after(2, 10) == (["a2"], 3)
        assert log.after(3, 10) == ([], 3)

    def test_a_long_list_is_told_in_parts(self) -> None:
        log: ChangeLog[int] = ChangeLog()
        for number in range(10):
            log.put(number, number)
        told: list[int] = []
        number = 0
        while number < log.last:
            items, number = log.after(number, 3)
            assert 0 < len(items) <= 3
            told.extend(items)
        assert told == list(range(10))


class TestTopicChanges:
    """What VMs that do not read a topic are told of it."""

    def test_nothing_is_said_to_have_changed_from_long_ago_on(self) -> None:
        changes = TopicChanges()
        changes.reset(10)
        changes.advance(50, [("a", b"1", 20), ("b", b"1", 30)])
        assert changes.rows_from(25) == (21, [("b", b"1", 30)])
        assert changes.rows_from(31) == (31, [])
        assert not changes.has_rows_from(31)

    def test_what_is_no_longer_kept_is_not_claimed(self) -> None:
        """A VM that was cut off for long is told a part of what changed.

        Taken for all of it, an endpoint that left meanwhile would get work for ever.
        """
        changes = TopicChanges()
        changes.reset(0)
        rows = [(f"k{number}", b"", number) for number in range(MAX_ROWS + 5)]
        changes.advance(MAX_ROWS + 5, rows)
        first, kept = changes.rows_from(0)
        assert first == 5 and len(kept) == MAX_ROWS


class TestMembership:
    """Who lives, by the words of several observers."""

    def test_an_older_start_never_displaces_a_newer_one(self) -> None:
        """News of a VM's last start comes late, over a slow neighbour."""
        view = membership("a")
        assert view.apply(member("a", start=5), 1.0)
        assert not view.apply(member("a", start=4, revision=99), 1.1)
        known = view.member("a")
        assert known is not None and known.start == 5

    def test_a_vm_whose_time_of_day_was_set_back_is_believed(self) -> None:
        """A VM starts again with a time of day that is earlier than its last start.

        Others would take everything it tells for old, and callers would never be sent
        to it. It hears of its last start and tells of a later one.
        """
        view = membership("a")
        view.apply(member("me", start=1000, revision=7), 1.0)
        assert view.own.start == 1001
        changes: ChangeLog[Change] = ChangeLog()
        other = Membership(member("other"), changes)
        other.apply(member("me", start=1000, revision=7), 0.5)
        assert other.apply(view.own, 1.0)

    def test_the_word_of_one_observer_throws_nobody_out(self) -> None:
        view = membership("a", "b", "c", "d")
        view.apply_suspicion(Suspicion("b", "a", 1, 0), 1.0)
        assert view.is_live("a")
        view.apply_suspicion(Suspicion("c", "a", 1, 0), 1.1)
        assert not view.is_live("a")

    def test_a_word_of_a_vm_that_is_out_does_not_count(self) -> None:
        """A VM is cut off; what it says of the others must not throw them out."""
        view = membership("a", "b", "c", "d")
        for observer in "cd":
            view.apply_suspicion(Suspicion(observer, "b", 1, 0), 1.0)
        assert not view.is_live("b")
        view.apply_suspicion(Suspicion("b", "a", 1, 0), 1.1)
        view.apply_suspicion(Suspicion("c", "a", 1, 0), 1.2)
        assert view.is_live("a")

    def test_a_vm_contradicts_and_is_live_again(self) -> None:
        view = membership("a", "b", "c", "d")
        for observer in "bc":
            view.apply_suspicion(Suspicion(observer, "a", 1, 0), 1.0)
        assert view.apply(member("a", revision=2, refuted=1), 1.5)
        assert view.is_live("a")
        assert not view.apply_suspicion(Suspicion("d", "a", 1, 0), 1.6)

    def test_news_of_a_dead_vm_that_comes_late_does_not_revive_it(self) -> None:
        """A VM tells what it owns and dies; the news arrives after the words."""
        view = membership("a", "b", "c", "d")
        for observer in "bc":
            view.apply_suspicion(Suspicion(observer, "a", 1, 0), 1.0)
        view.apply(member("a", revision=2), 1.5)
        assert not view.is_live("a")

    def test_words_against_us_are_refuted_once(self) -> None:
        view = membership("a", "b")
        assert view.apply_suspicion(Suspicion("a", "me", 1, 0), 1.0)
        assert not view.apply_suspicion(Suspicion("b", "me", 1, 0), 1.0)
        assert view.own.refuted == 1

    def test_what_a_message_can_add_is_bounded(self) -> None:
        """A member claims thousands of others that do not exist."""
        view = membership()
        for number in range(MAX_MEMBERS + 100):
            view.apply(member(f"vm{number}"), 0.0)
            view.on_contact(f"contact{number}", ("10.0.0.1", 1), 0.0)
        assert len(view.live()) + len(view.not_live()) <= MAX_MEMBERS

    def test_a_vm_that_is_out_for_long_is_forgotten(self) -> None:
        view = membership("a", "b", "c")
        for observer in "bc":
            view.apply_suspicion(Suspicion(observer, "a", 1, 0), 1.0)
        view.forget(1.0 + FORGET_AFTER_S)
        assert view.member("a") is None
        assert view.apply(member("a", start=2), 99.0)


class TestFleetOfHundreds:
    """What news and deaths take, and what they cost one VM."""

    @pytest.mark.parametrize("count", [9, 61, LARGE])
    def test_all_start_at_once(self, count: int) -> None:
        fleet = PlayedFleet()
        fleet.start_all(count)
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), NEWS_S)

    @pytest.mark.parametrize("count", [9, 61, LARGE])
    def test_a_dead_vm_is_out_everywhere(self, count: int) -> None:
        fleet = started(count)
        fleet.kill("vm3")
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), DEATH_S)

    def test_a_newcomer_is_known_everywhere_and_knows_all(self) -> None:
        fleet = started(LARGE)
        fleet.start("new", list(fleet.vm_by_id))
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), NEWS_S)

    def test_a_vm_that_says_that_it_ends_is_out_at_once(self) -> None:
        fleet = started(LARGE)
        leaving = fleet.vm_by_id["vm7"]
        leaving.membership.update_own(left=True)
        leaving.exchange.mark_all_due()
        fleet.send_due(leaving)
        fleet.run(0.01)
        fleet.kill("vm7")
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), NEWS_S)

    @pytest.mark.parametrize("count", [30, LARGE])
    def test_messages_of_one_vm_do_not_grow_with_the_fleet(self, count: int) -> None:
        """Statuses from each to all took half of the processor time of a fleet of 61.

        In a fleet of 300 they would have been some 90,000 messages an interval.
        """
        fleet = started(count)
        before = fleet.sent_by_id.copy()
        fleet.run(10.0)
        sent = max(fleet.sent_by_id[v] - before[v] for v in fleet.vm_by_id) / 10.0
        signs = RINGS / INTERVAL_S + RINGS / WATCH_RENEWAL_S
        assert sent <= 1.2 * signs
        links = max(len(v.exchange.neighbours.by_id) for v in fleet.vm_by_id.values())
        assert links <= 12

    def test_no_message_is_larger_than_its_bound(self) -> None:
        fleet = started(LARGE)
        assert fleet.largest <= MAX_ITEMS + 1

    def test_a_changed_endpoint_is_known_everywhere(self) -> None:
        """An endpoint says that it leaves; one VM reads it in the store."""
        fleet = started(LARGE)
        reader = fleet.vm_by_id["vm1"]
        rows = [("endpoint", b"draining", 3)]
        reader.topic.value_by_key["endpoint"] = b"draining"
        reader.topic.changes.advance(9, rows)
        fleet.run_until(lambda: all(map(_knows_endpoint, _vms(fleet))), NEWS_S)
        fleet.run_until(lambda: all(map(_is_up_to_date, _vms(fleet))), 3.0)

    def test_news_that_a_broken_link_lost_is_told_again(self) -> None:
        """All messages to one VM are lost for half a second, with news under way."""
        fleet = started(61)
        fleet.passes = lambda _, receiver: receiver != "vm9"
        fleet.vm_by_id["vm1"].topic.value_by_key["endpoint"] = b"draining"
        fleet.vm_by_id["vm1"].topic.changes.advance(9, [("endpoint", b"draining", 3)])
        fleet.start("new", list(fleet.vm_by_id))
        fleet.run(0.6)
        fleet.passes = lambda sender, receiver: True
        fleet.run_until(lambda: all(map(_knows_endpoint, _vms(fleet, "new"))), 2.0)
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), 3.0)

    def test_a_request_that_crashes_endpoints_is_known_everywhere(self) -> None:
        fleet = started(61)
        seen: list[SuspectRequest] = []
        for vm in _vms(fleet):
            vm.exchange._on_suspect = seen.append
        fleet.vm_by_id["vm1"].exchange.note_suspect(
            SuspectRequest("request", "endpoint")
        )
        fleet.run(NEWS_S)
        assert len(seen) == 60

    @pytest.mark.parametrize("delay_s", [0.003, 0.3])
    def test_an_outage_of_the_store_shows_everywhere(
        self,
        delay_s: float,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """A few of many VMs read the store; it goes away, with slow links besides.

        The others are told by neighbours when it last answered. If that grew later
        with each step of the news, they would never see the outage, and drop endpoints
        whose records lapsed in it.
        """
        monkeypatch.setattr(fleet_play, "DELAY_S", delay_s)
        fleet = started(61)
        for _ in range(10):
            fleet.vm_by_id["vm1"].exchange.note_store_answer(fleet.now)
            fleet.run(0.5)
        # Each step takes an interval and the delay; there are some five.
        fleet.run(8.0)
        at = [vm.exchange.store_answered_at for vm in _vms(fleet)]
        assert max(at) <= fleet.now - 3.0
        assert min(at) >= fleet.now - 9.0


def _opens_anew(
    silent: set[tuple[str, str]],
    vm_id: str,
) -> Callable[[str], None]:
    """Return what ends the silence between a VM and one that it cuts off."""

    def cut(other: str) -> None:
        silent.discard((vm_id, other))
        silent.discard((other, vm_id))

    return cut


def _vms(fleet: PlayedFleet, *without: str) -> list[PlayedVM]:
    return [vm for vm_id, vm in fleet.vm_by_id.items() if vm_id not in without]


def _knows_endpoint(vm: PlayedVM) -> bool:
    return vm.topic.value_by_key.get("endpoint") == b"draining"


def _is_up_to_date(vm: PlayedVM) -> bool:
    return vm.topic.changes.next_offset == 9


class TestFaults:
    """VMs and links that fail in part."""

    @pytest.mark.parametrize("count", [9, LARGE])
    def test_a_link_cut_one_way_throws_nobody_out(self, count: int) -> None:
        """What one VM sends to one of its neighbours is lost, for a minute.

        That neighbour alone does not hear it. Everybody else goes on sending callers
        to both, all the time.
        """
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

    def test_a_cut_direction_is_not_spoken_of_for_ever(self) -> None:
        """One neighbour does not hear a VM, says so, and the VM contradicts.

        Said again at once, each word and each contradiction would cross every link of
        the fleet, as long as the direction is cut.
        """
        fleet = started(61)
        vm = fleet.vm_by_id["vm5"]
        rings = vm.membership.rings
        observer = next(v for v in fleet.vm_by_id if "vm5" in rings.watched_by(v))
        fleet.passes = lambda a, b: (a, b) != ("vm5", observer)
        fleet.run(60.0)
        rounds = 1 + 60.0 / BLOCK_S
        assert vm.membership.own.refuted <= SUSPICIONS_BEFORE_BLOCK * rounds

    def test_a_vm_that_overslept_blames_nobody(self) -> None:
        """A process is stopped for seconds while its clock goes on, and wakes up.

        Its neighbours' messages lie unread in its sockets when it looks first.
        """
        fleet = started(30)
        vm = fleet.vm_by_id["vm5"]
        vm.frozen_until = fleet.now + 5.0
        fleet.run(4.99)
        vm.inbox.clear()
        fleet.run(0.3)
        assert all(vm.membership.is_live(v) for v in fleet.vm_by_id)
        assert all(v.membership.own.refuted == 0 for v in _vms(fleet, "vm5"))

    def test_a_vm_that_hears_nobody_throws_nobody_out(self) -> None:
        """A VM can send and receives nothing: it says so of each of its neighbours."""
        fleet = started(LARGE)
        fleet.passes = lambda sender, receiver: receiver != "vm5"
        fleet.run(8.0)
        others = _vms(fleet, "vm5")
        for vm in others:
            live = {item.vm_id for item in vm.membership.live()} | {vm.vm_id}
            assert live >= {other.vm_id for other in others}

    @pytest.mark.parametrize("count", [9, 61])
    def test_links_that_go_silent_for_good_throw_nobody_out(self, count: int) -> None:
        """All open connections go silent without a reset; new ones work.

        Nobody hears anybody, though all VMs serve. Each opens its links anew before it
        gives its word against a neighbour.
        """
        fleet = started(count)
        silent = {(a, b) for a in fleet.vm_by_id for b in fleet.vm_by_id}
        fleet.passes = lambda a, b: (a, b) not in silent
        for vm in _vms(fleet):
            vm.exchange.neighbours._abort_link = _opens_anew(silent, vm.vm_id)
        for _ in range(30):
            fleet.run(0.1)
            assert fleet.agree(fleet.vm_by_id)

    def test_a_frozen_vm_is_out_and_comes_back(self) -> None:
        fleet = started(61)
        fleet.vm_by_id["vm5"].frozen_until = fleet.now + 6.0
        fleet.run_until(lambda: fleet.who_lists("vm5") <= 1, DEATH_S)
        fleet.run(6.0)
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), 2.0)

    def test_a_slow_vm_stays(self) -> None:
        """A VM stalls for 0.7 s again and again: late, but it serves."""
        fleet = started(61)
        slow = fleet.vm_by_id["vm5"]
        for _ in range(20):
            slow.frozen_until = fleet.now + 0.7
            fleet.run(1.0)
            assert fleet.agree(fleet.vm_by_id)

    def test_halves_of_a_fleet_find_one_another_again(self) -> None:
        """No message passes between two halves for a while."""
        fleet = started(61)
        side = {vm_id: number % 2 for number, vm_id in enumerate(fleet.vm_by_id)}
        fleet.passes = lambda a, b: side[a] == side[b]
        fleet.run(20.0)
        fleet.passes = lambda sender, receiver: True
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), 10.0)

    def test_most_of_a_fleet_dies_at_once(self) -> None:
        """Four fifths of the VMs lose power at the same moment.

        Most neighbours of a dead VM have died with it: nobody is left to say so twice.
        """
        fleet = started(100)
        for number in range(100):
            if number % 5:
                fleet.kill(f"vm{number}")
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), 20.0)

    def test_the_few_that_are_left_find_one_another(self) -> None:
        """Nineteen of twenty VMs lose power; service is to be back within 15 s."""
        fleet = started(200)
        for number in range(200):
            if number % 20:
                fleet.kill(f"vm{number}")
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), 15.0)

    @pytest.mark.parametrize("count", [9, 61, 195])
    def test_all_come_back_at_once(self, count: int) -> None:
        """All processes are killed and start again, with the addresses in the store."""
        fleet = started(count)
        names = list(fleet.vm_by_id)
        for name in names:
            fleet.kill(name)
        for name in names:
            fleet.start(name, names, 2, fleet_play.START_SPREAD_S)
        sent = sum(fleet.sent_by_id.values())
        fleet.run_until(lambda: fleet.agree(names), NEWS_S)
        assert sum(fleet.sent_by_id.values()) - sent <= 60 * count

    def test_a_tenth_of_a_fleet_is_replaced(self) -> None:
        """A VM goes for good and another comes, every third of a second."""
        fleet = started(195)
        for number in range(20):
            fleet.kill(f"vm{number * 7}")
            fleet.start(f"new{number}", list(fleet.vm_by_id))
            fleet.run(0.5)
        fleet.run_until(lambda: fleet.agree(fleet.vm_by_id), DEATH_S + NEWS_S)

    def test_an_observer_that_lies_throws_nobody_out(self) -> None:
        """One VM says of all others that it does not hear them, again and again."""
        fleet = started(30)
        liar = fleet.vm_by_id["vm0"]
        for _ in range(10):
            for item in liar.membership.live():
                word = Suspicion("vm0", item.vm_id, item.start, item.refuted)
                liar.membership.apply_suspicion(word, fleet.now)
            fleet.run(0.5)
            assert all(fleet.who_lists(v) >= 29 for v in fleet.vm_by_id if v != "vm0")

    def test_a_replayed_message_changes_nothing(self) -> None:
        fleet = started(30)
        vm = fleet.vm_by_id["vm1"]
        old = Gossip(0, 0, -1, 0, -1, members=(member("vm2", 0, 50), member("vm3", 1)))
        version = vm.membership.version
        vm.exchange.on_gossip("vm4", old, fleet.now)
        assert vm.membership.version == version


class TestSubscriptions:
    """Who is told of engines."""

    def test_only_those_that_ask_are_told(self) -> None:
        subscriptions = Subscriptions()
        assert subscriptions.renew("a", 0.0)
        assert not subscriptions.renew("a", 2.0)
        assert subscriptions.renew("b", 4.0)
        assert subscriptions.subscribers(SUBSCRIPTION_TTL_S + 3.0) == ["b"]
        assert subscriptions.renew("a", SUBSCRIPTION_TTL_S + 4.0)

    def test_more_listeners_are_told_less_often(self) -> None:
        subscriptions = Subscriptions()
        subscriptions.renew("a", 0.0)
        assert subscriptions.loads_interval_s() == pytest.approx(0.1)
        for number in range(75):
            subscriptions.renew(f"vm{number}", 0.0)
        assert 0.3 < subscriptions.loads_interval_s() < 0.4
        assert 1.0 < subscriptions.status_interval_s() < 2.0

    def test_a_vm_asks_while_it_chooses_engines(self) -> None:
        interest = Subscriber()
        assert not interest.is_active(100.0)
        assert interest.note_request(100.0)
        assert not interest.note_request(101.0)
        assert set(interest.due_renewals({"a", "b"}, 101.0)) == {"a", "b"}
        assert interest.due_renewals({"a", "b"}, 102.0) == []
        assert interest.due_renewals({"a", "b", "c"}, 102.5) == ["c"]
        assert set(interest.due_renewals({"a", "b"}, 103.1)) == {"a", "b"}
        assert not interest.is_active(101.0 + INACTIVE_AFTER_S)


NAMES = [f"vm{number}" for number in range(14)]


class FleetMachine(RuleBasedStateMachine):
    """VMs die, freeze, start again and lose links; what is left agrees afterwards."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = PlayedFleet(7)
        self.cut: set[tuple[str, str]] = set()
        self.start_by_id = dict.fromkeys(NAMES, 1)
        self.fleet.passes = lambda a, b: (a, b) not in self.cut
        for name in NAMES[:11]:
            self.fleet.start(name, NAMES[:11])
        self.fleet.run(2.0)

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name: str) -> None:
        """End a VM."""
        if name in self.fleet.vm_by_id and len(self.fleet.vm_by_id) > 2:
            self.fleet.kill(name)

    @rule(name=st.sampled_from(NAMES))
    def start(self, name: str) -> None:
        """Start a VM, perhaps again."""
        if name not in self.fleet.vm_by_id:
            self.start_by_id[name] += 1
            self.fleet.start(name, NAMES, self.start_by_id[name])

    @rule(name=st.sampled_from(NAMES), seconds=st.floats(0.5, 5.0))
    def freeze(self, name: str, seconds: float) -> None:
        """Stop a VM for a while."""
        vm = self.fleet.vm_by_id.get(name)
        if vm is not None:
            vm.frozen_until = self.fleet.now + seconds

    @rule(one=st.sampled_from(NAMES), other=st.sampled_from(NAMES))
    def cut_one_way(self, one: str, other: str) -> None:
        """Lose what one VM sends to another."""
        self.cut.add((one, other))

    @rule()
    def heal(self) -> None:
        """Let every message pass again."""
        self.cut.clear()

    @rule(seconds=st.floats(0.1, 4.0))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.fleet.run(seconds)

    @precondition(lambda self: bool(self.fleet.vm_by_id))
    @rule()
    def settle(self) -> None:
        """After a quiet time every VM knows just those that live."""
        self.cut.clear()
        self.fleet.run(6.0)
        self.fleet.run_until(lambda: self.fleet.agree(self.fleet.vm_by_id), 25.0)

    @invariant()
    def newest_start_is_never_displaced(self) -> None:
        """No VM takes an older start for a newer one."""
        for vm in self.fleet.vm_by_id.values():
            for item in vm.membership.live():
                assert item.start <= self.start_by_id[item.vm_id]

    @invariant()
    def nobody_is_its_own_neighbour(self) -> None:
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
