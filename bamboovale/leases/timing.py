"""When a lease is valid, and when it may be taken: pure rules on monotonic times.

A holder counts from before it sent its renewal, a taker from when it read that
renewal. The renewal lay on the log between the two moments, so the holder's time
ends before the taker's does, however late either reads; only a difference in the
speed of their clocks could close that distance, and the margin covers it.
"""

from dataclasses import dataclass

from bamboovale.leases.fold import Lease

# A killed holder's engine should be served again within 5 s: 3 s of term, the margin,
# one step of stagger, an append and the new holder's questions fit in that.
DEFAULT_TERM_S = 3.0
# Three renewals to a term, so that one lost append does not end the lease.
DEFAULT_RENEW_EVERY_S = 1.0
# Quartz drifts by less than 0.01 in 100; the rest is for slewing by time services,
# which goes up to 0.05 in 100, and for the timers of a busy VM.
DEFAULT_CLOCK_ERROR = 0.005
DEFAULT_MARGIN_S = 0.3
# Longer than one append with its read-back, so that the first in rank is usually done
# before the second begins; a race costs one void record, never a second holder.
DEFAULT_RANK_STEP_S = 0.25


@dataclass(frozen=True)
class LeaseTerms:
    """The times of leases, the same on every entry VM; seconds.

    ``clock_error`` is the largest relative error of a monotonic clock's speed.
    """

    term_s: float = DEFAULT_TERM_S
    renew_every_s: float = DEFAULT_RENEW_EVERY_S
    margin_s: float = DEFAULT_MARGIN_S
    clock_error: float = DEFAULT_CLOCK_ERROR
    rank_step_s: float = DEFAULT_RANK_STEP_S

    def valid_until(self, sent_at: float) -> float:
        """Return until when a record sent at that time makes its holder valid.

        It counts only once the holder has read the record back from the log.
        """
        return sent_at + self.term_s

    def may_take_at(self, lease: Lease | None, rank: int, now: float) -> float:
        """Return from when a node may append a take; rank 0 is first in turn.

        ``now`` stands for an engine that never had a lease or was released to
        nobody: no holder can be valid there, only other takers are in the way.
        """
        stagger = rank * self.rank_step_s
        if lease is None:
            return now + stagger
        if lease.holder is None:
            return lease.read_at + stagger
        return lease.read_at + self.wait_s + stagger

    @property
    def wait_s(self) -> float:
        """Return how long a taker waits from reading the holder's last record."""
        # The holder's clock may be slow and the taker's fast, each by the error.
        stretch = (1 + self.clock_error) / (1 - self.clock_error)
        return self.term_s * stretch + self.margin_s
