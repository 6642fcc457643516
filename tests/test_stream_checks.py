"""The checks of streams over their callers' attempts."""

from bamboovale.standins.stream_versions import (
    StreamAttempt,
    software_line,
    stream_violations,
)
from bench.soak_callers import Attempt, Kind
from bench.soak_site import Life
from bench.soak_spans import FaultSpan
from bench.soak_streams import SoftwareSpan, stream_attempts


def body(*versions: str) -> bytes:
    """Return a stream whose events come from these software versions."""
    events = (f"id: 1\n{software_line(version)}data: a\n\n" for version in versions)
    return "".join(events).encode()


def new(name: str, *versions: str, counts: bool = True) -> StreamAttempt:
    """Return an attempt for a new stream."""
    return StreamAttempt(name, None, body(*versions), counts)


def resumed(name: str, stream: str, *versions: str) -> StreamAttempt:
    """Return an attempt that resumes a stream."""
    return StreamAttempt(name, stream, body(*versions))


class TestMixedStreams:
    """More than two streams with events of two versions."""

    def test_within_one_answer(self) -> None:
        streams = [new(f"s{number}", "v1", "v2") for number in range(3)]
        assert list(stream_violations(streams[:2])) == []
        assert len(list(stream_violations(streams))) == 1

    def test_over_a_callers_attempts(self) -> None:
        attempts = []
        for number in range(3):
            attempts.append(new(f"s{number}", "v1"))
            attempts.append(resumed(f"t{number}", f"s{number}", "v2"))
        assert list(stream_violations(attempts[:4])) == []
        assert len(list(stream_violations(attempts))) == 1

    def test_streams_of_one_version_each_are_no_fault(self) -> None:
        attempts = [new(f"s{number}", f"v{number}") for number in range(9)]
        assert list(stream_violations(attempts)) == []


class TestStreamsThatEnd:
    """Streams that are resumed and do not go on, though new ones begin."""

    def test_less_than_half_of_the_share_of_new_ones(self) -> None:
        began = [new(f"s{number}", "v1") for number in range(20)]
        went_on = [resumed(f"t{n}", f"s{n}", "v1") for n in range(5)]
        refused = [resumed(f"t{n}", f"s{n}") for n in range(5, 12)]
        assert len(list(stream_violations(began + went_on + refused))) == 1
        assert list(stream_violations(began + went_on + refused[:6])) == []

    def test_what_does_not_count_is_left_out(self) -> None:
        began = [new(f"s{number}", "v1", counts=False) for number in range(20)]
        refused = [resumed(f"t{number}", f"s{number}") for number in range(12)]
        assert list(stream_violations(began + refused)) == []


class TestWhatCounts:
    """Which attempts of a soak count."""

    def counts(self, **changes: object) -> list[bool]:
        """Return whether a stream's two attempts count."""
        first = Attempt("s", Kind.LONG, "vm", "a1", 10.0, 11.0, 200, False, body("v1"))
        second = Attempt("t", Kind.LONG, "vm", "a1", 11.0, 12.0, 503, True, resumes="s")
        engines = [SoftwareSpan(name, "v1", 0.0) for name in ("e1", "e2")]
        fields = {"faults": [], "lives": [], "software": engines, **changes}
        found = stream_attempts([first, second], **fields)  # type: ignore[arg-type]
        return [attempt.counts for attempt in found]

    def test_vms_in_touch_and_two_engines(self) -> None:
        assert self.counts() == [True, True]

    def test_not_with_one_engine_left(self) -> None:
        engines = [SoftwareSpan("e1", "v1", 0.0), SoftwareSpan("e2", "v1", 0.0, 11.5)]
        assert self.counts(software=engines) == [True, False]

    def test_not_at_a_vm_with_a_fault_lately(self) -> None:
        assert self.counts(faults=[FaultSpan("paused", "vm", 7.5, 7.8)]) == [
            False,
            True,
        ]

    def test_not_at_a_vm_that_started_lately(self) -> None:
        assert self.counts(lives=[Life("vm", 9.0, True)]) == [False, False]
