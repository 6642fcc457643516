"""``python -m bench.shared_place_ways``: ways to share few places among many VMs.

Prints tables for ``docs/design/shared-places.md``: each way at three sizes of fleet,
and local choice against the granter on days with a fault.
"""

from dataclasses import replace

from bench.shared_place_simulation import Day, Outcome, Span, Way, play

FLEETS = (6, 89, 300)
LOADS = (0.6, 0.9, 1.7)
SHORT = Day(work_s=0.0225, goal_s=0.16, deadline_s=0.663, seconds=2.0)
LONG = Day(seconds=3.0)
FAULTS = {
    "one endpoint slow for 0.6 s": replace(LONG, slow=Span(1.0, 1.6)),
    "all slow for 0.6 s": replace(LONG, slow=Span(1.0, 1.6), all_slow=True),
    "one rejects for 0.5 s": replace(LONG, rejecting=Span(1.0, 1.5)),
    "granter killed": replace(LONG, killed_at=1.0),
    "halves cut": replace(LONG, cut=Span(1.0, 4.0)),
    "two granters": replace(LONG, two_granters=Span(1.0, 3.0)),
    "messages 2 s late": replace(LONG, delayed=Span(1.0, 3.0)),
    "one endpoint": replace(LONG, endpoints=1),
    "all slow throughout": replace(LONG, slow=Span(0.0), all_slow=True),
}


def _row(*cells: object) -> str:
    return f"| {' | '.join(str(cell) for cell in cells)} |"


def _shares(outcome: Outcome) -> list[str]:
    counts = (outcome.in_time, outcome.late, outcome.refused, outcome.failed)
    shares = [f"{outcome.share(count):.3f}" for count in counts]
    arrivals = f"{outcome.share(outcome.arrivals):.2f}"
    refusal_ms = f"{1000 * outcome.refusal_s(0.95):.0f}"
    return [*shares, arrivals, str(outcome.rejections), refusal_ms]


def main() -> None:
    """Print the tables."""
    for name, day in (("calls of 22.5 ms", SHORT), ("calls of 68.6 ms", LONG)):
        for vms in FLEETS:
            for load in LOADS:
                for way in Way:
                    played = play(replace(day, vms=vms, load=load, way=way))
                    print(_row(name, vms, load, way.value, *_shares(played)))
    for name, day in FAULTS.items():
        for load in LOADS:
            for way in (Way.LOCAL, Way.GRANTER):
                played = play(replace(day, load=load, way=way))
                print(_row(name, load, way.value, *_shares(played)))
    for vms in FLEETS:
        played = play(replace(LONG, vms=vms, load=0.9))
        for kind, count in played.sent_by_kind.items():
            size = played.bytes_by_kind[kind] / count
            print(_row(vms, kind, f"{count / played.callers:.2f}", f"{size:.0f}"))


if __name__ == "__main__":
    main()
