"""Summarizes a history for the output of the demo and the fuzzer."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from bench.checker import find_violations
from bench.history import AdapterOrder, History, Outcome
from bench.violations import Bounds, Promise, Violation

LOST_PROMISES = frozenset({Promise.ANSWERED, Promise.PLANNED_STOP})
DOUBLED_PROMISES = frozenset({Promise.AT_MOST_ONCE})
SHOWN_VIOLATIONS = 10


@dataclass(frozen=True)
class Verdict:
    """Outcomes of the jobs and the violations found.

    Jobs whose caller hung up are not counted as sent.
    """

    outcomes: Counter[Outcome]
    violations: tuple[Violation, ...]

    @classmethod
    def from_history(cls, history: History, bounds: Bounds | None = None) -> "Verdict":
        """Check a history and count the outcomes of its jobs."""
        outcomes: Counter[Outcome] = Counter()
        for sends in history.sends_by_job.values():
            last = history.received_by_request_id.get(sends[-1].request_id)
            outcomes[last.outcome if last else Outcome.UNREACHED] += 1
        return cls(outcomes, tuple(find_violations(history, bounds)))

    @property
    def sent(self) -> int:
        """Return the number of jobs whose callers waited for the answer."""
        return self.outcomes.total() - self.outcomes[Outcome.HUNG_UP]

    @property
    def unknown(self) -> int:
        """Return the number of jobs whose outcome their callers do not know."""
        return self.outcomes[Outcome.UNKNOWN] + self.outcomes[Outcome.BROKEN]

    def count(self, promises: Iterable[Promise]) -> int:
        """Return how many violations are of these promises."""
        selected = frozenset(promises)
        return sum(violation.promise in selected for violation in self.violations)

    def summarize(self, title: str) -> str:
        """Return a one-line summary of the run."""
        doubled = self.count(DOUBLED_PROMISES)
        lost = self.count(LOST_PROMISES)
        wrong = len(self.violations) - doubled - lost
        return (
            f"{title}: sent={self.sent}"
            f" answered={self.outcomes[Outcome.ANSWERED]}"
            f" not_run={self.outcomes[Outcome.NOT_RUN]}"
            f" unknown={self.unknown}"
            f" wrong={wrong} doubled={doubled} lost={lost}"
        )

    @staticmethod
    def count_stale_orders(history: History) -> int:
        """Count orders of former lease holders that engines executed.

        Engines that ignore fencing numbers execute them. The orders themselves are not
        violations; their effects may be.
        """
        highest_by_boot: dict[tuple[str, str], int] = {}
        stale = 0
        for order in history.of(AdapterOrder):
            boot = (order.endpoint, order.boot_id)
            highest = highest_by_boot.get(boot, -1)
            stale += order.done and order.fencing < highest
            highest_by_boot[boot] = max(highest, order.fencing)
        return stale

    def describe_violations(self) -> str:
        """Return the first violations with the events that show them."""
        shown = [str(violation) for violation in self.violations[:SHOWN_VIOLATIONS]]
        hidden = len(self.violations) - len(shown)
        if hidden:
            shown.append(f"and {hidden} more")
        return "\n".join(shown)
