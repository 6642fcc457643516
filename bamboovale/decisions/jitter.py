"""Adds jitter to retry times.

Guards against refused callers that all retry at the same moment. The jitter is derived
from a key such as the request id, so that decisions stay deterministic.
"""

import hashlib

JITTER_MIN = 0.5
JITTER_WIDTH = 1.0
"""Half to one and a half times the wait, so that the mean is unchanged."""


def hash_fraction(text: str) -> float:
    """Return a number in [0, 1) that depends only on the text."""
    digest = hashlib.blake2b(text.encode(), digest_size=7).digest()
    return int.from_bytes(digest, "big") / float(1 << 56)


def add_jitter(seconds: float, key: str) -> float:
    """Return ``seconds`` changed by up to half, equal for equal keys."""
    return seconds * (JITTER_MIN + JITTER_WIDTH * hash_fraction(key))
