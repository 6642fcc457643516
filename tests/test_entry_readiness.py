"""When an entry VM may vouch for what it knows."""

from dataclasses import replace

from bamboovale.entry.readiness import (
    STALE_AFTER_S,
    PeerReport,
    ReadinessInputs,
    log_is_down,
    may_serve,
)
from bamboovale.membership.view import Membership
from bamboovale.models import VM, VMKind
from bamboovale.views import Views

SOUND = ReadinessInputs(
    catalogue_complete=True,
    vm_list_read=True,
    log_silent_s=0.0,
    catalogue_next_offset=10,
    other_entry_vms=2,
    peers=(),
)
SILENT = replace(SOUND, log_silent_s=STALE_AFTER_S + 1)


class TestMayServe:
    """Serving goes on in an outage and stops for a VM that is alone."""

    def test_a_whole_catalogue_is_needed(self) -> None:
        assert may_serve(SOUND)
        assert not may_serve(replace(SOUND, catalogue_complete=False))
        assert not may_serve(replace(SOUND, vm_list_read=False))

    def test_a_log_down_for_all_does_not_stop_service(self) -> None:
        down = PeerReport(log_reachable=False, catalogue_next_offset=10)
        assert may_serve(replace(SILENT, peers=(down, down)))

    def test_a_vm_cut_off_from_log_and_peers_stops(self) -> None:
        """It would answer with a version that was replaced elsewhere."""
        assert not may_serve(SILENT)

    def test_a_vm_behind_a_peer_stops_until_it_has_caught_up(self) -> None:
        ahead = PeerReport(log_reachable=True, catalogue_next_offset=11)
        behind = replace(SILENT, peers=(ahead,))
        assert not may_serve(behind)
        assert may_serve(replace(behind, catalogue_next_offset=11))

    def test_a_single_vm_has_nobody_to_ask(self) -> None:
        assert may_serve(replace(SILENT, other_entry_vms=0))


class TestLogIsDown:
    """Only peers tell an outage of the log from a cut of one's own."""

    def test_one_peer_that_reaches_the_log_is_enough(self) -> None:
        up = PeerReport(log_reachable=True, catalogue_next_offset=10)
        down = PeerReport(log_reachable=False, catalogue_next_offset=10)
        assert log_is_down(replace(SILENT, peers=(down, down)))
        assert not log_is_down(replace(SILENT, peers=(down, up)))

    def test_without_peers_the_silence_may_be_ours(self) -> None:
        assert not log_is_down(SILENT)
        assert log_is_down(replace(SILENT, other_entry_vms=0))


class TestPause:
    """A judgement from before a pause does not outlive it.

    A VM is frozen and cut off. Elsewhere version 2 is accepted. The VM wakes up with
    requests in its sockets and answered five of eight with version 1, before its task
    came round to judging that it knows nothing for sure any more.
    """

    def test_serving_ends_by_the_clock(self) -> None:
        clock = [10.0]
        views = Views(serving_until=11.5, log_down_until=11.5, now=lambda: clock[0])
        assert views.serving
        assert views.log_down_for_all
        clock[0] = 17.0
        assert not views.serving
        assert not views.log_down_for_all


class TestStartingVM:
    """Callers are not sent to a VM that does not serve yet."""

    def test_it_is_not_usable(self) -> None:
        vms = [VM(vm_id, VMKind.ENTRY, "127.0.0.1") for vm_id in ("e1", "e2")]
        membership = Membership(vms=vms, starting_ids=frozenset({"e2"}))
        assert [vm.id for vm in membership.usable_entry_vms()] == ["e1"]
