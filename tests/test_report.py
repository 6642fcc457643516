"""The request report, rendered from log lines of entry VMs."""

import json
from pathlib import Path
from typing import ClassVar

from typer.testing import CliRunner

from bamboovale.cli.main import app
from bamboovale.report.lines import read_lines
from bamboovale.report.tables import render
from bamboovale.report.timeline import TimeStep, time_steps


def request(**fields: object) -> str:
    """Return the log line of one request, prefixed with a time and VM name."""
    values = {
        "event": "request",
        "vm": "entry-1",
        "at": 12.5,
        "id": "r",
        "outcome": "answered",
        "kind": "stream",
        "total_s": 1.5,
        "asks": [{"engine": "e1", "owner": "entry-2", "s": 0.5, "version": 1}],
        "attempts": [{"endpoint": "e1", "s": 1.0}],
        "first_s": 0.7,
    }
    return " 12.5 entry-1 " + json.dumps(values | fields)


ENGINE = json.dumps(
    {
        "event": "engine",
        "at": 12.0,
        "engine": "e1",
        "active": 20,
        "queued": 3,
        "pinned": 9,
        "slots": 18,
        "loading": 1,
    }
)


class TestLines:
    """Parsing of log lines."""

    def test_waits_for_several_places_add_up(self) -> None:
        asks = [{"engine": "e1", "s": 0.5}, {"engine": "e2", "s": 0.25}]
        [line] = read_lines([request(asks=asks)]).requests
        assert (line.place_s, line.first_s) == (0.75, 0.7)

    def test_unparsable_lines_are_counted(self) -> None:
        texts = ["Traceback", "{broken", "[1]", '{"event": "request"}', request()]
        lines = read_lines(texts)
        assert (len(lines.requests), lines.skipped) == (1, 4)


class TestTimeSteps:
    """Stream outcomes over time."""

    BOUNDS: ClassVar = {"goal_s": 0.8, "pause_allowed_s": 0.3}

    def lines(self) -> list[str]:
        return [
            request(**self.BOUNDS, time=1001.5),
            request(**self.BOUNDS, time=1002.0, pause_s=0.4),
            request(**self.BOUNDS, time=1007.5, first_s=0.9),
            request(**self.BOUNDS, time=1007.5, outcome="refused", first_s=None),
        ]

    def test_lines_of_several_vms_are_aligned_by_wall_clock(self) -> None:
        """Guards against grouping by ``at``, which differs between VMs."""
        texts = self.lines()
        texts[1] = texts[1].replace('"at": 12.5', '"at": 90000.0')
        steps = time_steps(read_lines(texts).requests)
        assert steps == [
            TimeStep(0.0, 2, 1, 0, 1, 0),
            TimeStep(2.0, 0, 0, 0, 0, 0),
            TimeStep(4.0, 0, 0, 0, 0, 0),
            TimeStep(6.0, 2, 0, 1, 0, 1),
        ]

    def test_a_long_log_gets_longer_steps(self) -> None:
        texts = [request(time=1000.0 + 60.0 * minute) for minute in range(61)]
        steps = time_steps(read_lines(texts).requests)
        assert len(steps) <= 41
        assert sum(step.streams for step in steps) == 61

    def test_lines_without_wall_clock_have_no_steps(self) -> None:
        assert time_steps(read_lines([request()]).requests) == []

    def test_the_plot_is_written(self, tmp_path: Path) -> None:
        log, plot = tmp_path / "log", tmp_path / "streams.png"
        log.write_text("\n".join(self.lines()))
        result = CliRunner().invoke(app, ["report", str(log), "--plot", str(plot)])
        assert result.exit_code == 0, result.output
        assert plot.read_bytes().startswith(b"\x89PNG")


class TestReport:
    """The rendered report."""

    def test_late_streams_are_attributed_to_their_wait(self) -> None:
        slow = request(asks=[{"engine": "e1", "s": 1.0}], first_s=1.2)
        text = render(read_lines([request(), request(), slow, ENGINE]), 1.0)
        assert "2 of 3 streams within 1.0 s" in text
        assert "of 1 late ones 1 waited over half of it for a place" in text
        assert text.endswith("0.50          ##########..........")

    def test_late_streams_are_attributed_to_first_event_or_pause(self) -> None:
        """Guards against missing streams that are late only by a pause."""
        bounds = {"route": "draft", "goal_s": 0.8, "pause_allowed_s": 0.3}
        lines = [
            request(**bounds, pause_s=0.1),
            request(**bounds, pause_s=0.4),
            request(**bounds, pause_s=0.4, first_s=0.9),
            request(**bounds, outcome="refused", first_s=None),
        ]
        [row] = [
            line.split()
            for line in render(read_lines(lines), 1.0).splitlines()
            if line.startswith("draft")
        ]
        assert row[1:6] == ["4", "1", "1", "2", "1"]

    def test_reasons_are_sorted_by_frequency(self) -> None:
        refused = request(outcome="refused", reason="no place: late", first_s=None)
        failed = request(outcome="failed", reason="stream cut", first_s=None)
        text = render(read_lines([failed, refused, refused]), 1.0)
        assert text.index("no place: late") < text.index("stream cut")

    def test_an_empty_log_gives_an_empty_table(self) -> None:
        assert render(read_lines([]), 1.0).startswith("kind")


class TestCommand:
    """``bamboovale report``."""

    def test_reads_files(self, tmp_path: Path) -> None:
        log = tmp_path / "entry-1.log"
        log.write_text(request() + "\n" + ENGINE + "\n")
        result = CliRunner().invoke(app, ["report", str(log), "--goal", "0.5"])
        assert result.exit_code == 0
        assert "0 of 1 streams within 0.5 s" in result.output

    def test_a_missing_file_is_an_error(self, tmp_path: Path) -> None:
        result = CliRunner().invoke(app, ["report", str(tmp_path / "none")])
        assert result.exit_code == 2
        assert "No such file" in result.output
