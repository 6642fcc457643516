"""Spread over time what would otherwise come back at one moment.

Load pattern: many callers are refused in the same second. Told the same
``Retry-After`` they return together and the burst repeats, each time as sharp.
The jitter comes from the request's id, so that a decision stays a function of its
input.
"""

import hashlib

SPREAD_LOW = 0.5
SPREAD_WIDTH = 1.0
"""Half to one and a half times the wait: the mean stays true, the width is one wait."""


def hash_fraction(text: str) -> float:
    """Return a number in [0, 1) that depends on the text alone."""
    digest = hashlib.blake2b(text.encode(), digest_size=7).digest()
    return int.from_bytes(digest, "big") / float(1 << 56)


def add_jitter(seconds: float, key: str) -> float:
    """Return ``seconds`` moved by up to half of itself, the same for the same key."""
    return seconds * (SPREAD_LOW + SPREAD_WIDTH * hash_fraction(key))
