"""The checked promises, and the violation reported when one is broken."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum

from bench.history import Event, History

# An accepted edit takes effect on every entry VM within this time. A VM cut from the
# log refuses requests rather than serve an older version for longer.
VERSION_BOUND_S = 5.0
# Covers the delay of the VM list and the interval between two polls of it.
LEAVING_BOUND_S = 5.0


class Promise(StrEnum):
    """A property that must hold in every run."""

    RIGHT_VERSION = "every request runs on the adapter and version of its entry"
    NO_EVICTION = "no adapter is evicted under a running request"
    OWN_ANSWER = "each caller receives the whole answer to its own request"
    NOT_RUN = "a request told 'not run' was not run"
    AT_MOST_ONCE = "a non-idempotent request runs at most once"
    LEAVING = "a leaving endpoint receives nothing new after the bound"
    PLANNED_STOP = "a planned stop cuts off nothing in flight"
    EDITS = "no accepted edit is lost, late or reverted"
    ANSWERED = "every request gets a final answer"


@dataclass(frozen=True)
class Bounds:
    """Longest time until a change takes effect on all entry VMs, in seconds."""

    version_s: float = VERSION_BOUND_S
    leaving_s: float = LEAVING_BOUND_S


@dataclass(frozen=True)
class Violation:
    """A broken promise and the events that show it."""

    promise: Promise
    message: str
    events: tuple[Event, ...]

    def __str__(self) -> str:
        """Return the violation and its events, one a line."""
        lines = [f"{self.promise.name}: {self.message}"]
        lines += [f"  {event.at:.3f} {event}" for event in self.events]
        return "\n".join(lines)


Check = Callable[[History, Bounds], Iterator[Violation]]
