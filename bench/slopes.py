"""Read the resource usage of processes and fit lines through readings."""

import os
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIB = 1024


@dataclass(frozen=True)
class Usage:
    """Resources used by a process; ``at`` is monotonic time in seconds."""

    at: float
    cpu_s: float
    resident_bytes: int
    threads: int

    @classmethod
    def of_process(cls, pid: int) -> "Usage":
        """Read the usage of a process from ``/proc``."""
        process = Path("/proc", str(pid))
        fields = process.joinpath("stat").read_text().rpartition(")")[2].split()
        status = process.joinpath("status").read_text()
        value_by_name = dict(
            line.split(":", 1) for line in status.splitlines() if ":" in line
        )
        return cls(
            at=time.monotonic(),
            cpu_s=(int(fields[11]) + int(fields[12])) / TICKS_PER_S,
            resident_bytes=int(value_by_name["VmRSS"].split()[0]) * KIB,
            threads=int(value_by_name["Threads"]),
        )

    def cores_since(self, earlier: "Usage") -> float:
        """Return the mean number of cores used since an earlier reading."""
        return (self.cpu_s - earlier.cpu_s) / (self.at - earlier.at)


@dataclass(frozen=True)
class Line:
    """A line fitted by least squares, with its largest absolute residual."""

    slope: float
    intercept: float
    max_error: float

    @classmethod
    def through(cls, points: Sequence[tuple[float, float]]) -> "Line":
        """Fit a line; at least two points must differ in x."""
        mean_x = sum(x for x, _ in points) / len(points)
        mean_y = sum(y for _, y in points) / len(points)
        x_variation = sum((x - mean_x) ** 2 for x, _ in points)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / x_variation
        intercept = mean_y - slope * mean_x
        errors = [abs(y - intercept - slope * x) for x, y in points]
        return cls(slope, intercept, max(errors))


def print_slope(
    title: str,
    points: Sequence[tuple[float, float]],
    per: str,
    unit: str,
) -> Line:
    """Print the readings and the line through them; return the line."""
    line = Line.through(points)
    readings = ", ".join(f"{x:g}: {y:.4g}" for x, y in points)
    print(
        f"{title}: {line.slope:.4g} {unit} per {per}, from {line.intercept:.4g} {unit}"
    )
    print(f"    readings {{{readings}}}, greatest error {line.max_error:.2g}")
    return line
