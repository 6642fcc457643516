"""Whether a record that is missing means a missing endpoint, in virtual time."""

from dataclasses import dataclass, field

from bamboovale.gateway.endpoints import EndpointView
from bamboovale.gateway.model import EndpointRecord
from bamboovale.gateway.store_watch import RENEWAL_S, SILENCE_S, StoreWatch
from tests.gateway_site import RecordedJournal

RECORD = EndpointRecord("e", "app", ("10.0.0.1", 1), "a", True, 8)


@dataclass
class Watcher:
    """One VM's view of one endpoint, on a clock of its own."""

    now: float = 100.0
    journal: RecordedJournal = field(default_factory=lambda: RecordedJournal("me"))

    def __post_init__(self) -> None:
        self.store = StoreWatch(lambda: self.now)
        self.view = EndpointView(self.journal, self.store)
        self.view.on_record("e", RECORD)

    def read_for(self, seconds: float, pause_s: float = 0.5) -> bool:
        """Read the store for a while; tell whether it was settled at the end."""
        end = self.now + seconds
        settled = self.read()
        while self.now < end:
            self.now += pause_s
            settled = self.read()
        return settled

    def read(self) -> bool:
        """Read the store once, as the follower of its topic does."""
        settled = self.store.on_read()
        self.store.on_answer()
        return settled

    def hear_for(self, seconds: float) -> None:
        """Hear of answers to others for a while."""
        end = self.now + seconds
        while self.now < end:
            self.store.on_answer()
            self.now += 0.5
        self.store.on_answer()

    def knows_the_endpoint(self) -> bool:
        """Tell whether the endpoint is still there for this VM."""
        return "e" in self.view.record_by_id


class TestOutageOfTheStore:
    """No VM reaches the store; records lapse and come back."""

    def test_a_record_that_lapsed_is_kept_until_it_can_be_back(self) -> None:
        """Guards against dropping every endpoint at the first read after an outage."""
        vm = Watcher()
        vm.read_for(5.0)
        vm.store.on_read_failed()
        vm.now += 1.5
        vm.read()
        vm.view.on_record("e", None)
        assert vm.knows_the_endpoint()
        assert not vm.read_for(RENEWAL_S - 0.5)
        assert not vm.store.is_settled()
        assert vm.read_for(0.5)

    def test_a_vm_that_has_just_started_gives_no_word(self) -> None:
        """Guards against a newcomer whose first read ends the others' patience."""
        newcomer = Watcher()
        assert not newcomer.read()
        assert newcomer.store.is_settled()

    def test_a_word_from_before_the_failure_does_not_count(self) -> None:
        """Guards against news that was on its way when the outage began."""
        vm = Watcher()
        vm.store.on_settled()
        vm.now += 0.1
        vm.store.on_read_failed()
        vm.view.on_record("e", None)
        assert vm.knows_the_endpoint()

    def test_silence_of_all_others_is_no_word(self) -> None:
        """Guards against an outage that a VM without reads of its own can't see."""
        vm = Watcher()
        vm.store.on_settled()
        vm.now += SILENCE_S + 0.1
        vm.view.on_record("e", None)
        assert vm.knows_the_endpoint()

    def test_a_vm_that_hears_of_answers_alone_waits_as_long(self) -> None:
        """Guards against dropping what lapsed, at a VM that never reads itself."""
        vm = Watcher()
        vm.hear_for(5.0)
        assert vm.store.is_settled()
        vm.now += SILENCE_S + 0.1
        vm.view.on_record("e", None)
        vm.hear_for(RENEWAL_S - 0.5)
        assert not vm.store.is_settled()
        vm.hear_for(0.5)
        assert vm.store.is_settled()

    def test_a_vm_that_starts_with_all_others_takes_a_removal_at_once(self) -> None:
        """Guards against calls to an endpoint that left right after a restart."""
        vm = Watcher()
        vm.store.on_answer()
        vm.view.on_record("e", None)
        assert not vm.knows_the_endpoint()

    def test_a_short_outage_counts_from_its_end(self) -> None:
        """Guards against an outage that is over before its silence shows."""
        vm = Watcher()
        vm.hear_for(5.0)
        vm.store.on_read_failed()
        assert not vm.store.is_settled()
        vm.now += 1.5
        vm.hear_for(RENEWAL_S - 0.5)
        assert not vm.store.is_settled()
        vm.hear_for(0.5)
        assert vm.store.is_settled()


class TestCutOfOneVM:
    """One VM can't reach the store, which serves all others."""

    def test_failures_of_our_own_never_hold_a_removal_for_long(self) -> None:
        """Guards against a time to wait that each failed read begins anew."""
        vm = Watcher()
        for _ in range(10):
            vm.store.on_read_failed()
            vm.now += 0.3
            vm.store.on_settled()
            vm.now += 0.8
        vm.store.on_read_failed()
        vm.view.on_record("e", None)
        assert vm.knows_the_endpoint()
        (line,) = vm.journal.of("endpoint_lapsed")
        assert (line["settled_s_ago"], line["read_failed_s_ago"]) == (0.8, 0.0)
        vm.now += 0.3
        vm.store.on_settled()
        assert not vm.knows_the_endpoint()

    def test_a_removal_that_comes_with_the_word_counts_at_once(self) -> None:
        """Guards against calls to an endpoint that all other VMs know as gone."""
        vm = Watcher()
        vm.store.on_read_failed()
        vm.now += 0.2
        vm.store.on_settled()
        vm.view.on_record("e", None)
        assert not vm.knows_the_endpoint()
