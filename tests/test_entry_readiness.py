"""When an entry VM may serve with the catalogue it has."""

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

HEALTHY = ReadinessInputs(
    catalogue_complete=True,
    vm_list_read=True,
    log_silent_s=0.0,
    catalogue_next_offset=10,
    other_entry_vms=2,
    peers=(),
)
LOG_SILENT = replace(HEALTHY, log_silent_s=STALE_AFTER_S + 1)


class TestMayServe:
    """A VM serves during an outage of the log and stops when it is partitioned."""

    def test_a_complete_catalogue_is_required(self) -> None:
        assert may_serve(HEALTHY)
        assert not may_serve(replace(HEALTHY, catalogue_complete=False))
        assert not may_serve(replace(HEALTHY, vm_list_read=False))

    def test_a_log_down_for_all_does_not_stop_service(self) -> None:
        down = PeerReport(log_reachable=False, catalogue_next_offset=10)
        assert may_serve(replace(LOG_SILENT, peers=(down, down)))

    def test_a_vm_without_log_and_peers_stops(self) -> None:
        """Guards against serving a version that was replaced elsewhere."""
        assert not may_serve(LOG_SILENT)

    def test_a_vm_behind_a_peer_stops_until_it_has_caught_up(self) -> None:
        ahead = PeerReport(log_reachable=True, catalogue_next_offset=11)
        behind = replace(LOG_SILENT, peers=(ahead,))
        assert not may_serve(behind)
        assert may_serve(replace(behind, catalogue_next_offset=11))

    def test_a_single_vm_serves_without_peers(self) -> None:
        assert may_serve(replace(LOG_SILENT, other_entry_vms=0))


class TestLogIsDown:
    """Peers distinguish an outage of the log from a partition of this VM."""

    def test_one_peer_that_reaches_the_log_is_enough(self) -> None:
        up = PeerReport(log_reachable=True, catalogue_next_offset=10)
        down = PeerReport(log_reachable=False, catalogue_next_offset=10)
        assert log_is_down(replace(LOG_SILENT, peers=(down, down)))
        assert not log_is_down(replace(LOG_SILENT, peers=(down, up)))

    def test_without_peers_only_this_vm_may_be_affected(self) -> None:
        assert not log_is_down(LOG_SILENT)
        assert log_is_down(replace(LOG_SILENT, other_entry_vms=0))


class TestPause:
    """Readiness from before a pause expires by the clock.

    Guards against a paused VM that serves an old version before its next evaluation.
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
    """A VM that does not serve yet is not listed for callers."""

    def test_it_is_not_usable(self) -> None:
        vms = [VM(vm_id, VMKind.ENTRY, "127.0.0.1") for vm_id in ("e1", "e2")]
        membership = Membership(vms=vms, starting_ids=frozenset({"e2"}))
        assert [vm.id for vm in membership.usable_entry_vms()] == ["e1"]
