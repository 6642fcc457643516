"""Tests in virtual time of whether a missing record means a missing endpoint."""

from dataclasses import dataclass, field

from bamboovale.gateway.endpoints import EndpointView
from bamboovale.gateway.model import EndpointRecord
from bamboovale.store.watch import RENEWAL_S, SILENCE_S, StoreWatch
from tests.gateway_site import RecordedJournal

RECORD = EndpointRecord("e", "app", ("10.0.0.1", 1), "a", True, 8)


@dataclass
class WatchingVM:
    """One VM's view of one endpoint, with a clock of its own."""

    now: float = 100.0
    journal: RecordedJournal = field(default_factory=lambda: RecordedJournal("me"))

    def __post_init__(self) -> None:
        self.store = StoreWatch(lambda: self.now)
        self.view = EndpointView(self.journal, self.store, lambda: self.now)
        self.view.on_record("e", RECORD)

    def read_for(self, seconds: float, pause_s: float = 0.5) -> bool:
        """Read the store for a while; return whether it was settled at the end."""
        end = self.now + seconds
        settled = self.read()
        while self.now < end:
            self.now += pause_s
            settled = self.read()
        return settled

    def read(self) -> bool:
        """Record an answered read, as the follower of the topic does."""
        settled = self.store.on_read()
        self.store.on_answer()
        return settled

    def receive_answers_for(self, seconds: float) -> None:
        """Receive notice of answers to other VMs for a while."""
        end = self.now + seconds
        while self.now < end:
            self.store.on_answer()
            self.now += 0.5
        self.store.on_answer()

    def knows_endpoint(self) -> bool:
        """Return whether the endpoint is still known to this VM."""
        return "e" in self.view.record_by_id


class TestOutageOfTheStore:
    """No VM reaches the store; records expire and are renewed."""

    def test_an_expired_record_is_kept_until_it_can_be_renewed(self) -> None:
        """Guards against dropping every endpoint at the first read after an outage."""
        vm = WatchingVM()
        vm.read_for(5.0)
        vm.store.on_read_failed()
        vm.now += 1.5
        vm.read()
        vm.view.on_record("e", None)
        assert vm.knows_endpoint()
        assert not vm.read_for(RENEWAL_S - 0.5)
        assert not vm.store.is_settled()
        assert vm.read_for(0.5)

    def test_a_vm_that_has_just_started_does_not_report_settled(self) -> None:
        """Guards against a new VM whose first read ends the other VMs' delay."""
        newcomer = WatchingVM()
        assert not newcomer.read()
        assert newcomer.store.is_settled()

    def test_a_report_from_before_the_failure_does_not_count(self) -> None:
        """Guards against a report that was in flight when the outage started."""
        vm = WatchingVM()
        vm.store.on_settled()
        vm.now += 0.1
        vm.store.on_read_failed()
        vm.view.on_record("e", None)
        assert vm.knows_endpoint()

    def test_an_expired_report_does_not_count(self) -> None:
        """Guards against an outage that a VM without own reads does not detect."""
        vm = WatchingVM()
        vm.store.on_settled()
        vm.now += SILENCE_S + 0.1
        vm.view.on_record("e", None)
        assert vm.knows_endpoint()

    def test_a_vm_without_own_reads_waits_as_long(self) -> None:
        """Guards against dropping expired records at a VM that never reads itself."""
        vm = WatchingVM()
        vm.receive_answers_for(5.0)
        assert vm.store.is_settled()
        vm.now += SILENCE_S + 0.1
        vm.view.on_record("e", None)
        vm.receive_answers_for(RENEWAL_S - 0.5)
        assert not vm.store.is_settled()
        vm.receive_answers_for(0.5)
        assert vm.store.is_settled()

    def test_a_vm_that_has_just_started_applies_a_removal_at_once(self) -> None:
        """Guards against calls to an endpoint that left right after a restart."""
        vm = WatchingVM()
        vm.store.on_answer()
        vm.view.on_record("e", None)
        assert not vm.knows_endpoint()

    def test_a_short_outage_counts_from_its_end(self) -> None:
        """Guards against missing an outage shorter than the silence that shows it."""
        vm = WatchingVM()
        vm.receive_answers_for(5.0)
        vm.store.on_read_failed()
        assert not vm.store.is_settled()
        vm.now += 1.5
        vm.receive_answers_for(RENEWAL_S - 0.5)
        assert not vm.store.is_settled()
        vm.receive_answers_for(0.5)
        assert vm.store.is_settled()


class TestCutOfOneVM:
    """One VM cannot reach the store, which serves all others."""

    def test_own_failures_do_not_delay_a_removal_for_long(self) -> None:
        """Guards against a delay that each failed read starts again."""
        vm = WatchingVM()
        for _ in range(10):
            vm.store.on_read_failed()
            vm.now += 0.3
            vm.store.on_settled()
            vm.now += 0.8
        vm.store.on_read_failed()
        vm.view.on_record("e", None)
        assert vm.knows_endpoint()
        (line,) = vm.journal.of("endpoint_lapsed")
        assert (line["settled_s_ago"], line["read_failed_s_ago"]) == (0.8, 0.0)
        vm.now += 0.3
        vm.store.on_settled()
        assert not vm.knows_endpoint()

    def test_a_removal_after_a_report_counts_at_once(self) -> None:
        """Guards against calls to an endpoint that all other VMs know as gone."""
        vm = WatchingVM()
        vm.store.on_read_failed()
        vm.now += 0.2
        vm.store.on_settled()
        vm.view.on_record("e", None)
        assert not vm.knows_endpoint()


class TestReadsUntilSettled:
    """When this VM's reads show others that the store is settled."""

    def test_the_next_read_is_due_when_the_store_settles(self) -> None:
        """Guards against a settled store that is told of only after a long read."""
        vm = WatchingVM()
        assert vm.store.settles_in_s() is None
        vm.read()
        vm.now += 0.5
        assert vm.store.settles_in_s() == RENEWAL_S - 0.5
        vm.now += RENEWAL_S
        assert vm.store.settles_in_s() == 0.0
        assert vm.read()
        assert vm.store.settles_in_s() is None

    def test_a_failed_read_begins_anew(self) -> None:
        vm = WatchingVM()
        vm.read_for(RENEWAL_S + 1.0)
        vm.store.on_read_failed()
        vm.read()
        assert vm.store.settles_in_s() == RENEWAL_S
