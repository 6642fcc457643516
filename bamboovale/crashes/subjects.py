"""What may crash endpoints: a whole request, or a part of prompts."""

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

PART_PREFIX = "part:"
MAX_PARTS = 64
"""Parts of one request that count; real prompts have a few."""
MAX_PART_ID = 64
"""Longer ids of parts are replaced by a digest, as they go into keys of records."""


@dataclass(frozen=True)
class CrashRule:
    """How many crashes under one subject have which consequence, and for how long.

    ``to_refuse`` is for a subject without an answer begun, ``to_refuse_known`` for one
    that had begun answers before. From ``for_good`` on there are no more trials.
    ``suspect_s`` is for how long fewer crashes count, ``refuse_s`` for how long a
    subject is refused first, twice as long after each crash more.
    """

    to_refuse: float
    to_refuse_known: float
    for_good: float
    suspect_s: float = 300.0
    refuse_s: float = 300.0


REQUEST_RULE = CrashRule(to_refuse=2, to_refuse_known=3, for_good=6)
PART_RULE = CrashRule(to_refuse=3, to_refuse_known=5, for_good=8)
"""Parts need more, as a sound one is lost with many requests. Each rule leaves a fleet
three trials after the third crash of a request, or the fifth of a part."""
ALONE_RULE = CrashRule(
    to_refuse=math.inf,
    to_refuse_known=math.inf,
    for_good=math.inf,
    suspect_s=600.0,
    refuse_s=6 * 3600.0,
)
"""Where suspects run alone, only a crash alone convicts."""


def fingerprint(customer: str, lora_name: str, body: bytes) -> str:
    """Return a digest that is equal for retries of the same request."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (customer.encode(), lora_name.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def part_subject(part_id: str) -> str:
    """Return the subject of a part of prompts."""
    if len(part_id) > MAX_PART_ID:
        part_id = hashlib.blake2b(part_id.encode(), digest_size=16).hexdigest()
    return f"{PART_PREFIX}{part_id}"


def rule_of(subject: str) -> CrashRule:
    """Return the rule of a subject."""
    return PART_RULE if subject.startswith(PART_PREFIX) else REQUEST_RULE


def subjects_of(fingerprint: str, part_ids: Iterable[str]) -> tuple[str, ...]:
    """Return the subjects of a request: itself, then the parts that it shares."""
    parts = dict.fromkeys(part_subject(part) for part in islice(part_ids, MAX_PARTS))
    return fingerprint, *parts
