"""Decides where a stream goes on whose caller comes back with the id of an attempt."""

from dataclasses import dataclass
from enum import StrEnum

from result import Err, Ok, Result

from bamboovale.streams.source import StreamSource

ASK_AGAIN_S = 0.5
"""Retry delay while VMs that may know the stream do not answer."""


class RefusalCause(StrEnum):
    """Why a stream is not resumed; a label of the counter and a word of log lines."""

    START_UNKNOWN = "start_unknown"
    """No VM knows who began it, and several versions may have."""
    NOT_KNOWN_IN_TIME = "not_known_in_time"
    """VMs that may know who began it did not answer."""


@dataclass(frozen=True)
class StartRefusal:
    """A stream that is not resumed; it did not run.

    ``retry_after_s`` is None if another attempt would be refused as well: the caller
    should begin anew.
    """

    cause: RefusalCause
    retry_after_s: float | None


class Ground(StrEnum):
    """How it is known where a stream goes on; a word of log lines."""

    TOLD = "told"
    """This VM began it, or was told who did."""
    ASKED = "asked"
    """A VM that was asked knew."""
    RECORDED = "recorded"
    """The store holds who began it."""
    ONLY_VERSION = "only_version"
    """One version alone can have begun it."""


@dataclass(frozen=True)
class Findings:
    """What this VM and those it asked know of a stream's start.

    ``only_version`` is the software version that alone can have begun it, None if
    there may be several. ``all_answered`` is whether none of the VMs that were asked,
    nor the store, failed to answer. ``ground`` is on what the version rests, None if
    none is known; ``history_s`` is how far back all versions are known, in seconds,
    None where that was not looked at. ``versions`` are those that served lately, as far
    as that was looked at.
    """

    source: StreamSource | None = None
    only_version: str | None = None
    all_answered: bool = True
    ground: Ground | None = None
    history_s: float | None = None
    versions: frozenset[str | None] = frozenset()


def decide(findings: Findings) -> Result[StreamSource, StartRefusal]:
    """Return where a stream goes on, or why it is refused."""
    if findings.source is not None:
        return Ok(findings.source)
    if findings.only_version is not None:
        return Ok(StreamSource("", findings.only_version))
    if not findings.all_answered:
        return Err(StartRefusal(RefusalCause.NOT_KNOWN_IN_TIME, ASK_AGAIN_S))
    return Err(StartRefusal(RefusalCause.START_UNKNOWN, None))
