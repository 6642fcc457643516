"""Decoding of what an endpoint says of itself in the headers of its answers."""

import math

from bamboovale.gateway.model import EndpointSignals
from bamboovale.http1.connection import Headers
from bamboovale.platform import names

MAX_LIMIT_PER_S = 1e6
"""A larger limit cannot be meant: no endpoint takes so many requests."""


def decode_signals(headers: Headers) -> EndpointSignals:
    """Decode an answer's headers; a header without one usable value is no signal."""
    malformed: list[str] = []
    limit_per_s = _decode_number(
        headers, names.SERVER_LIMIT, MAX_LIMIT_PER_S, malformed
    )
    return EndpointSignals(limit_per_s=limit_per_s, malformed=tuple(malformed))


def _decode_number(
    headers: Headers, name: bytes, most: float, malformed: list[str]
) -> float | None:
    """Return a header's value from 0 to ``most``; add the name if it is malformed."""
    values = [value for key, value in headers if key == name]
    if not values:
        return None
    try:
        number = float(values[0]) if len(values) == 1 else math.nan
    except ValueError:
        number = math.nan
    if 0.0 <= number <= most:
        return number
    malformed.append(name.decode())
    return None
