"""Records of the lease stream and their JSON form on the log."""

import math
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

DEFAULT_TERM_S = 3.0


@dataclass(frozen=True, slots=True)
class Renewal:
    """Extends all leases of one node.

    ``term_s`` is how long the node holds them, and how long a taker waits.
    """

    record_id: str
    node: str
    fencing_by_engine: dict[str, int] = field(default_factory=dict)
    term_s: float = DEFAULT_TERM_S

    def to_json(self) -> dict[str, Any]:
        """Return the value for the log."""
        return {
            "type": "renew",
            "id": self.record_id,
            "node": self.node,
            "fencing_by_engine": self.fencing_by_engine,
            "term_s": self.term_s,
        }


@dataclass(frozen=True, slots=True)
class Take:
    """Makes the node the holder if the engine has no valid record since ``after``."""

    record_id: str
    node: str
    engine: str
    after: int
    term_s: float = DEFAULT_TERM_S

    def to_json(self) -> dict[str, Any]:
        """Return the value for the log."""
        return {
            "type": "take",
            "id": self.record_id,
            "node": self.node,
            "engine": self.engine,
            "after": self.after,
            "term_s": self.term_s,
        }


@dataclass(frozen=True, slots=True)
class Release:
    """Hands an engine over to ``next_node``; if None, any node may take it."""

    record_id: str
    node: str
    engine: str
    fencing: int
    next_node: str | None = None

    def to_json(self) -> dict[str, Any]:
        """Return the value for the log."""
        return {
            "type": "release",
            "id": self.record_id,
            "node": self.node,
            "engine": self.engine,
            "fencing": self.fencing,
            "next": self.next_node,
        }


@dataclass(frozen=True, slots=True)
class Reset:
    """Ends every lease if no renewal, take or release follows offset ``after``.

    Written by a reader that found no state to start from and has read no record that
    could extend a lease for as long as a taker waits.
    """

    record_id: str
    node: str
    after: int

    def to_json(self) -> dict[str, Any]:
        """Return the value for the log."""
        return {
            "type": "reset",
            "id": self.record_id,
            "node": self.node,
            "after": self.after,
        }


@dataclass(frozen=True, slots=True)
class TableSnapshot:
    """The lease table before offset ``at``, for readers that start after a gap.

    ``last`` is the offset of the last renewal, take or release before it.
    """

    record_id: str
    at: int
    last: int
    leases: tuple[tuple[str, str | None, int, int, float], ...]


LeaseRecord = Renewal | Take | Release
Record = LeaseRecord | Reset | TableSnapshot


def parse_record(value: Any) -> Record | None:
    """Parse a value of the stream; return None if it is not a valid record."""
    if not isinstance(value, dict):
        return None
    parse = _PARSER_BY_TYPE.get(value.get("type"))
    if parse is None:
        return None
    parsed = parse(value)
    return parsed.ok_value if isinstance(parsed, Ok) else None


def _parse_renewal(value: dict[str, Any]) -> Result[Renewal, str]:
    fencing_by_engine = value.get("fencing_by_engine")
    if not isinstance(fencing_by_engine, dict):
        return Err("fencing_by_engine must be an object")
    if not all(isinstance(engine, str) for engine in fencing_by_engine):
        return Err("engines must be strings")
    if not all(_is_offset(fencing) for fencing in fencing_by_engine.values()):
        return Err("fencing numbers must be offsets")
    if not _has_strings(value, "id", "node"):
        return Err("id and node must be strings")
    if not _is_term(value.get("term_s")):
        return Err("term_s must be a positive number")
    return Ok(
        Renewal(
            value["id"],
            value["node"],
            dict(fencing_by_engine),
            value["term_s"],
        )
    )


def _parse_take(value: dict[str, Any]) -> Result[Take, str]:
    after = value.get("after")
    if not _is_last_offset(after):
        return Err("after must be an offset or -1")
    if not _has_strings(value, "id", "node", "engine"):
        return Err("id, node and engine must be strings")
    if not _is_term(value.get("term_s")):
        return Err("term_s must be a positive number")
    return Ok(
        Take(
            value["id"],
            value["node"],
            value["engine"],
            value["after"],
            value["term_s"],
        )
    )


def _parse_release(value: dict[str, Any]) -> Result[Release, str]:
    next_node = value.get("next")
    if next_node is not None and not isinstance(next_node, str):
        return Err("next must be a string or null")
    if not _is_offset(value.get("fencing")):
        return Err("fencing must be an offset")
    if not _has_strings(value, "id", "node", "engine"):
        return Err("id, node and engine must be strings")
    return Ok(
        Release(
            record_id=value["id"],
            node=value["node"],
            engine=value["engine"],
            fencing=value["fencing"],
            next_node=next_node,
        )
    )


def _parse_reset(value: dict[str, Any]) -> Result[Reset, str]:
    if not _is_last_offset(value.get("after")):
        return Err("after must be an offset or -1")
    if not _has_strings(value, "id", "node"):
        return Err("id and node must be strings")
    return Ok(Reset(value["id"], value["node"], value["after"]))


def _parse_snapshot(value: dict[str, Any]) -> Result[TableSnapshot, str]:
    rows = value.get("leases")
    if not _is_offset(value.get("at")) or not isinstance(rows, list):
        return Err("at must be an offset and leases a list")
    if not _is_last_offset(value.get("last")):
        return Err("last must be an offset or -1")
    if not _has_strings(value, "id") or not all(_is_row(row) for row in rows):
        return Err("id must be a string and each lease a row")
    return Ok(
        TableSnapshot(
            record_id=value["id"],
            at=value["at"],
            last=value["last"],
            leases=tuple((row[0], row[1], row[2], row[3], row[4]) for row in rows),
        )
    )


_PARSER_BY_TYPE: dict[Any, Any] = {
    "renew": _parse_renewal,
    "take": _parse_take,
    "release": _parse_release,
    "reset": _parse_reset,
    "snapshot": _parse_snapshot,
}


def _has_strings(value: dict[str, Any], *fields: str) -> bool:
    return all(isinstance(value.get(name), str) for name in fields)


def _is_offset(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _is_last_offset(value: Any) -> bool:
    return _is_offset(value) or (value == -1 and isinstance(value, int))


def _is_term(value: Any) -> bool:
    if not isinstance(value, int | float) or isinstance(value, bool):
        return False
    return math.isfinite(value) and value > 0


def _is_row(row: Any) -> bool:
    return (
        isinstance(row, list)
        and len(row) == 5
        and isinstance(row[0], str)
        and (row[1] is None or isinstance(row[1], str))
        and _is_offset(row[2])
        and _is_offset(row[3])
        and _is_term(row[4])
    )
