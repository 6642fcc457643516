"""Records of the claim stream and their JSON form on the log.

One append may contain many records of all three types (group commit) in a value
``{"type": "batch", "records": [...]}``.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

KEY_DIGEST_BYTES = 16
MAX_KEY_CHARACTERS = 512


@dataclass(frozen=True, slots=True)
class Claim:
    """An attempt claims the right to run the request with a customer's key.

    ``attempt_id`` is globally unique; only the node with this ``incarnation`` may send
    the attempt. ``at`` is the writer's wall clock, for display only.
    """

    key: str
    owner: str
    body_hash: str
    node: str
    incarnation: str
    attempt_id: str
    at: float = 0.0

    def to_json(self) -> dict[str, Any]:
        """Return the item for a record on the log."""
        return {
            "key": self.key,
            "owner": self.owner,
            "body_hash": self.body_hash,
            "node": self.node,
            "incarnation": self.incarnation,
            "attempt_id": self.attempt_id,
            "at": self.at,
        }


@dataclass(frozen=True, slots=True)
class Released:
    """The attempt's writer decided, before this record, never to send it."""

    key: str
    owner: str
    attempt_id: str

    def to_json(self) -> dict[str, Any]:
        """Return the item for a record on the log."""
        return {
            "key": self.key,
            "owner": self.owner,
            "attempt_id": self.attempt_id,
        }


@dataclass(frozen=True, slots=True)
class Answered:
    """The attempt was answered with ``status``; its node stores the answer."""

    key: str
    owner: str
    attempt_id: str
    status: int

    def to_json(self) -> dict[str, Any]:
        """Return the item for a record on the log."""
        return {
            "key": self.key,
            "owner": self.owner,
            "attempt_id": self.attempt_id,
            "status": self.status,
        }


ClaimItem = Claim | Released | Answered


def encode_items(items: Iterable[ClaimItem]) -> dict[str, Any]:
    """Return one value for the log that contains all items in order."""
    records: list[dict[str, Any]] = []
    for item in items:
        record_type = _TYPE_BY_CLASS[type(item)]
        if not records or records[-1]["type"] != record_type:
            records.append({"type": record_type, "items": []})
        records[-1]["items"].append(item.to_json())
    return records[0] if len(records) == 1 else {"type": "batch", "records": records}


def parse_items(value: Any) -> Iterator[ClaimItem | None]:
    """Yield the items of a value of the stream, None for each unreadable one."""
    if not isinstance(value, dict):
        yield None
    elif value.get("type") == "batch" and isinstance(value.get("records"), list):
        for record in value["records"]:
            yield from _parse_record(record)
    else:
        yield from _parse_record(value)


def key_digest(owner: str, key: str) -> bytes:
    """Return the digest that identifies a customer's key."""
    text = f"{len(owner)}:{owner}{key}"
    return blake2b(text.encode(), digest_size=KEY_DIGEST_BYTES).digest()


def partition_of(owner: str, key: str, count: int) -> int:
    """Return the index of a customer's key among ``count`` claim streams."""
    return int.from_bytes(key_digest(owner, key)[:8], "big") % count


_TYPE_BY_CLASS = {Claim: "claims", Released: "released", Answered: "answered"}
_FIELDS_BY_TYPE: dict[Any, tuple[type, tuple[str, ...]]] = {
    "claims": (
        Claim,
        ("key", "owner", "body_hash", "node", "incarnation", "attempt_id"),
    ),
    "released": (Released, ("key", "owner", "attempt_id")),
    "answered": (Answered, ("key", "owner", "attempt_id")),
}


def _parse_record(record: Any) -> Iterator[ClaimItem | None]:
    if not isinstance(record, dict) or not isinstance(record.get("items"), list):
        yield None
        return
    known = _FIELDS_BY_TYPE.get(record.get("type"))
    if known is None:
        yield None
        return
    for item in record["items"]:
        yield _parse_item(item, *known)


def _parse_item(
    item: Any,
    item_class: type,
    fields: tuple[str, ...],
) -> ClaimItem | None:
    if not isinstance(item, dict):
        return None
    values = {name: item.get(name) for name in fields}
    if not all(isinstance(value, str) for value in values.values()):
        return None
    if item_class is Claim:
        at = item.get("at", 0.0)
        values["at"] = float(at) if isinstance(at, int | float) else 0.0
    if item_class is Answered:
        if not isinstance(item.get("status"), int):
            return None
        values["status"] = item["status"]
    parsed: ClaimItem = item_class(**values)
    return parsed
