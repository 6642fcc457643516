"""When a lease is valid and when it may be taken, on monotonic clocks.

A holder counts the term from before it sent its renewal, a taker from when it read
that renewal, which is later. So the holder's term ends before the taker's wait does;
the margin covers clocks that run at different speeds.
"""

from dataclasses import dataclass, replace

from bamboovale.leases.fold import Lease
from bamboovale.leases.records import DEFAULT_TERM_S

# Three renewals per term, so that one lost append does not end the lease.
DEFAULT_RENEW_EVERY_S = 1.0
# Covers oscillator drift, slewing by time services and timer delays on a busy VM.
DEFAULT_CLOCK_ERROR = 0.005
DEFAULT_MARGIN_S = 0.3
# Longer than one append and its read-back, so that the VM ranked first is usually done
# before the second starts; a race leaves a void record, never a second holder.
DEFAULT_RANK_STEP_S = 0.25
# Upper bound of the term of any VM, hence of any lease in an unread record.
DEFAULT_LONGEST_TERM_S = 60.0
# Bounds the renewals per second of all entry VMs together.
MAX_RENEWALS_PER_S = 20.0


@dataclass(frozen=True)
class LeaseTerms:
    """Durations of one node's leases, in seconds.

    Nodes may differ in the first three: a holder's records contain its term, and
    takers wait for that. ``clock_error`` is the largest relative error of a monotonic
    clock's rate. ``longest_term_s`` bounds the term of any node.
    """

    term_s: float = DEFAULT_TERM_S
    renew_every_s: float = DEFAULT_RENEW_EVERY_S
    margin_s: float = DEFAULT_MARGIN_S
    clock_error: float = DEFAULT_CLOCK_ERROR
    rank_step_s: float = DEFAULT_RANK_STEP_S
    longest_term_s: float = DEFAULT_LONGEST_TERM_S

    def for_fleet(self, entry_vms: int) -> "LeaseTerms":
        """Return terms stretched to keep the fleet within ``MAX_RENEWALS_PER_S``.

        In a large fleet this delays the take-over of a failed holder's engine.
        """
        stretch = max(1.0, entry_vms / MAX_RENEWALS_PER_S / self.renew_every_s)
        term_s = min(self.term_s * stretch, self.longest_term_s)
        return replace(
            self,
            term_s=term_s,
            renew_every_s=self.renew_every_s * term_s / self.term_s,
        )

    def take_allowed_at(self, lease: Lease | None, rank: int, now: float) -> float:
        """Return the time from which a node may append a take; rank 0 is first.

        For an engine that never had a lease the time counts from ``now``.
        """
        stagger = rank * self.rank_step_s
        if lease is None:
            return now + stagger
        if lease.holder is None:
            return lease.read_at + stagger
        return lease.read_at + self.wait_s(lease.term_s) + stagger

    def wait_s(self, term_s: float) -> float:
        """Return how long a taker waits after reading a record with this term."""
        # The holder's clock may be slow and the taker's fast.
        stretch = (1 + self.clock_error) / (1 - self.clock_error)
        return term_s * stretch + self.margin_s
