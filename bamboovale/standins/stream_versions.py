"""Checks of streams over their callers' attempts, by the software in their events."""

import re
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

MAX_MIXED = 2
"""Streams that may hold events of two versions."""
MIN_RESUMED = 12
"""Resumed streams from which their share counts."""
LEAST_PART = 0.5
"""Least part of the share of new streams that begin."""
SOFTWARE = re.compile(rb"^: ([^\n]*)$", re.MULTILINE)


def software_line(version: str) -> str:
    """Return the line of an event that names the software which wrote it."""
    return f": {version}\n"


@dataclass(frozen=True)
class StreamAttempt:
    """One attempt of a caller for a stream, and the bytes that came.

    ``resumes`` is the attempt that began the stream, None for a new one. ``counts`` is
    whether its VM was in touch and, for one that is resumed, two engines of its
    software served.
    """

    attempt_id: str
    resumes: str | None
    body: bytes
    counts: bool = True

    @property
    def versions(self) -> set[str]:
        """Return the software versions whose events came."""
        return {found.decode() for found in SOFTWARE.findall(self.body)}


def versions_by_stream(attempts: Iterable[StreamAttempt]) -> dict[str, set[str]]:
    """Return the software versions of each stream by the attempt that began it."""
    found: dict[str, set[str]] = {}
    for attempt in attempts:
        stream = attempt.resumes or attempt.attempt_id
        found.setdefault(stream, set()).update(attempt.versions)
    return found


def stream_violations(attempts: Sequence[StreamAttempt]) -> Iterator[str]:
    """Yield what breaks the rules on streams that go on, over all attempts."""
    mixed = sorted(
        stream
        for stream, versions in versions_by_stream(attempts).items()
        if len(versions) > 1
    )
    if len(mixed) > MAX_MIXED:
        yield f"{len(mixed)} streams hold events of two versions: {mixed[:5]}"
    counted = [attempt for attempt in attempts if attempt.counts]
    resumed = [attempt for attempt in counted if attempt.resumes is not None]
    new = [attempt for attempt in counted if attempt.resumes is None]
    if len(resumed) < MIN_RESUMED or not new:
        return
    went_on, began = _share(resumed), _share(new)
    if went_on < LEAST_PART * began:
        yield (
            f"{went_on:.2f} of {len(resumed)} resumed streams went on, "
            f"{began:.2f} of {len(new)} new ones began"
        )


def _share(attempts: Sequence[StreamAttempt]) -> float:
    """Return the share of attempts that brought an event."""
    return sum(bool(attempt.versions) for attempt in attempts) / len(attempts)
