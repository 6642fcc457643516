"""What is told of the places of a service: their totals, and endpoints left out."""

from dataclasses import dataclass


@dataclass(frozen=True)
class PlaceTotals:
    """The places of a service at one time.

    ``idle`` are free places at endpoints that take calls, ``left_out`` the endpoints
    that have stopped working.
    """

    endpoints: int
    left_out: int
    slots: int
    used: int
    idle: int
    waiting: int


@dataclass(frozen=True)
class LeftOutChange:
    """An endpoint was left out, or answers again, after so many failures in a row."""

    endpoint_id: str
    is_left_out: bool
    failures: int
    error_share: float
