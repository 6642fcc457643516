"""Text tables of a report: outcomes, waits, lateness, reasons and engines."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

from bamboovale.report.lines import EngineLine, Lines, RequestLine
from bamboovale.report.timeline import time_steps

MAX_REASONS = 10
BAR_CELLS = 20
QUANTILES = (0.5, 0.9, 0.99)


def render(lines: Lines, goal_s: float) -> str:
    """Return the report as text; ``goal_s`` bounds the time to the first event."""
    parts = [
        _outcomes(lines.requests),
        _stream_waits(lines.requests, goal_s),
        _lateness(lines.requests),
        _by_second(lines.requests),
        _reasons(lines.requests),
        _engines(lines.engines),
    ]
    if lines.skipped:
        parts.append(f"{lines.skipped} lines were no log lines")
    return "\n\n".join(part for part in parts if part)


def _outcomes(requests: Sequence[RequestLine]) -> str:
    """Return request outcomes and durations by kind."""
    by_kind: dict[str, list[RequestLine]] = defaultdict(list)
    for request in requests:
        by_kind[request.kind].append(request)
    names = sorted({request.outcome for request in requests})
    rows = [["kind", "requests", *names, *_quantile_names("total s")]]
    for kind, group in sorted(by_kind.items()):
        counts = Counter(request.outcome for request in group)
        totals = [r.total_s for r in group if r.outcome == "answered"]
        shares = [str(counts[name]) for name in names]
        rows.append([kind, str(len(group)), *shares, *_quantiles(totals)])
    return _table(rows)


def _stream_waits(requests: Sequence[RequestLine], goal_s: float) -> str:
    """Return quantiles of the time to the first event and its parts."""
    started = [r for r in requests if r.first_s is not None]
    if not started:
        return ""
    rows = [["streams", *_quantile_names("s")]]
    firsts = [r.first_s for r in started if r.first_s is not None]
    rows.append(["to the first event", *_quantiles(firsts)])
    rows.append(["waiting for a place", *_quantiles([r.place_s for r in started])])
    engine_s = [first - r.place_s for first, r in zip(firsts, started, strict=True)]
    rows.append(["at the engine", *_quantiles(engine_s)])
    total = sum(r.kind == "stream" for r in requests)
    in_time = sum(first <= goal_s for first in firsts)
    late = [r for r in started if r.first_s is not None and r.first_s > goal_s]
    by_place = sum(r.place_s > goal_s / 2 for r in late)
    return (
        f"{_table(rows)}\n{in_time} of {total} streams within {goal_s} s,"
        f" {_bar(in_time / max(1, total))}; of {len(late)} late ones {by_place} waited"
        f" over half of it for a place, {sum(r.attempts > 1 for r in late)} were tried"
        " more than once"
    )


def _lateness(requests: Sequence[RequestLine]) -> str:
    """Return the number of late streams and the cause, by route."""
    by_route: dict[str, list[RequestLine]] = defaultdict(list)
    for request in requests:
        if request.kind == "stream" and request.goal_s is not None:
            by_route[request.route].append(request)
    if not by_route:
        return ""
    rows = [["route", "streams", "in time", "late first", "long pause", "unserved"]]
    rows[0] += ["p90 paced s", "p90 pause s"]
    for route, group in sorted(by_route.items()):
        served = [r for r in group if r.outcome == "answered"]
        first = sum(r.is_late_by_first for r in served)
        paused = sum(r.is_late_by_pause for r in served)
        late = sum(r.is_late_by_first or r.is_late_by_pause for r in served)
        counts = (len(group), len(served) - late, first, paused)
        rows.append([route, *map(str, counts), str(len(group) - len(served))])
        rows[-1] += [_quantile([r.paced_s for r in served])]
        rows[-1] += [_quantile([r.pause_s for r in served])]
    return _table(rows)


def _by_second(requests: Sequence[RequestLine]) -> str:
    """Return stream outcomes over time."""
    steps = time_steps(requests)
    if not steps:
        return ""
    rows = [["second", "streams", "in time", "late first", "long pause", "unserved"]]
    rows[0].append("")
    for step in steps:
        late = (step.late_first, step.long_pause)
        counts = (step.streams, step.in_time, *late, step.unserved)
        bar = _bar(step.in_time / max(1, step.streams))
        rows.append([f"{step.start_s:g}", *map(str, counts), bar])
    return _table(rows)


def _quantile(values: Sequence[float], share: float = 0.9) -> str:
    ordered = sorted(values)
    return f"{ordered[int((len(ordered) - 1) * share)]:.3f}" if ordered else "-"


def _reasons(requests: Sequence[RequestLine]) -> str:
    """Return the most frequent reasons of refusals and failures."""
    counts = Counter((r.outcome, r.reason) for r in requests if r.reason)
    if not counts:
        return ""
    rows = [["outcome", "reason", "requests"]]
    rows += [[o, reason, str(n)] for (o, reason), n in counts.most_common(MAX_REASONS)]
    return _table(rows)


def _engines(engines: Sequence[EngineLine]) -> str:
    """Return the mean load of each engine over its log lines."""
    by_engine: dict[str, list[EngineLine]] = defaultdict(list)
    for line in engines:
        by_engine[line.engine].append(line)
    if not by_engine:
        return ""
    rows = [["engine", "lines", "active", "queued", "loading", "slots in use", ""]]
    for engine, group in sorted(by_engine.items()):
        used = _mean(line.pinned / max(1, line.slots) for line in group)
        rows.append(
            [
                engine,
                str(len(group)),
                f"{_mean(line.active for line in group):.1f}",
                f"{_mean(line.queued for line in group):.1f}",
                f"{_mean(line.loading for line in group):.1f}",
                f"{used:.2f}",
                _bar(used),
            ]
        )
    return _table(rows)


def _mean(values: Iterable[float]) -> float:
    listed = list(values)
    return sum(listed) / max(1, len(listed))


def _quantile_names(unit: str) -> list[str]:
    return [f"p{share * 100:g} {unit}" for share in QUANTILES]


def _quantiles(values: Sequence[float]) -> list[str]:
    if not values:
        return ["-"] * len(QUANTILES)
    ordered = sorted(values)
    return [f"{ordered[int((len(ordered) - 1) * share)]:.3f}" for share in QUANTILES]


def _bar(share: float) -> str:
    cells = round(BAR_CELLS * min(1.0, max(0.0, share)))
    return "#" * cells + "." * (BAR_CELLS - cells)


def _table(rows: Sequence[Sequence[str]]) -> str:
    widths = [max(len(row[at]) for row in rows) for at in range(len(rows[0]))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )
