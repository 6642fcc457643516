"""When a lease is valid, and when it may be taken: pure rules on monotonic times.

A holder counts from before it sent its renewal, a taker from when it read that
renewal. The renewal lay on the log between the two moments, so the holder's time
ends before the taker's does, however late either reads; only a difference in the
speed of their clocks could close that distance, and the margin covers it.
"""

from dataclasses import dataclass, replace

from bamboovale.leases.fold import Lease
from bamboovale.leases.records import DEFAULT_TERM_S

# Three renewals to a term, so that one lost append does not end the lease.
DEFAULT_RENEW_EVERY_S = 1.0
# Quartz drifts by less than 0.01 in 100; the rest is for slewing by time services,
# which goes up to 0.05 in 100, and for the timers of a busy VM.
DEFAULT_CLOCK_ERROR = 0.005
DEFAULT_MARGIN_S = 0.3
# Longer than one append with its read-back, so that the first in rank is usually done
# before the second begins; a race costs one void record, never a second holder.
DEFAULT_RANK_STEP_S = 0.25
# No VM of a fleet names a longer term, so nothing unknown can hold for longer.
DEFAULT_LONGEST_TERM_S = 60.0
# Renewals of all entry VMs together: a twentieth of the log's several hundred appends
# a second, and 4 KB a second to read at 200 bytes each.
RENEWALS_PER_S = 20.0


@dataclass(frozen=True)
class LeaseTerms:
    """The times of one node's leases; seconds.

    Nodes may differ in the first three, since a holder's records name its term and
    takers wait for that. ``clock_error`` is the largest relative error of a monotonic
    clock's speed. ``longest_term_s`` bounds the term of any node.
    """

    term_s: float = DEFAULT_TERM_S
    renew_every_s: float = DEFAULT_RENEW_EVERY_S
    margin_s: float = DEFAULT_MARGIN_S
    clock_error: float = DEFAULT_CLOCK_ERROR
    rank_step_s: float = DEFAULT_RANK_STEP_S
    longest_term_s: float = DEFAULT_LONGEST_TERM_S

    def for_fleet(self, entry_vms: int) -> "LeaseTerms":
        """Return terms whose renewals by so many entry VMs the log can carry.

        Up to 16 VMs at 0.8 s nothing changes. At 380 a renewal every 19 s: a dead
        holder's engine is idle for a minute, on 18 failures a day.
        """
        stretch = max(1.0, entry_vms / RENEWALS_PER_S / self.renew_every_s)
        term_s = min(self.term_s * stretch, self.longest_term_s)
        return replace(
            self,
            term_s=term_s,
            renew_every_s=self.renew_every_s * term_s / self.term_s,
        )

    def take_allowed_at(self, lease: Lease | None, rank: int, now: float) -> float:
        """Return from when a node may append a take; rank 0 is first in turn.

        ``now`` stands for an engine that never had a lease or was released to
        nobody: no holder can be valid there, only other takers are in the way.
        """
        stagger = rank * self.rank_step_s
        if lease is None:
            return now + stagger
        if lease.holder is None:
            return lease.read_at + stagger
        return lease.read_at + self.wait_s(lease.term_s) + stagger

    def wait_s(self, term_s: float) -> float:
        """Return how long a taker waits from reading a record that named this term."""
        # The holder's clock may be slow and the taker's fast, each by the error.
        stretch = (1 + self.clock_error) / (1 - self.clock_error)
        return term_s * stretch + self.margin_s
