"""Decoding of what an endpoint says of itself in the headers of its answers."""

import math

from bamboovale.gateway.model import EndpointSignals
from bamboovale.http1.connection import Headers, ResponseHead
from bamboovale.platform import names

MAX_LIMIT_PER_S = 1e6
"""A larger limit cannot be meant: no endpoint takes so many requests."""
MAX_REST_S = 3600.0
"""A longer rest cannot be meant: the endpoint would leave."""
TURNED_AWAY = 503
LEAVING = b"1"
NOT_LEAVING = b"0"


def decode_signals(head: ResponseHead) -> EndpointSignals:
    """Decode an answer's head; a header without one usable value is no signal."""
    malformed: list[str] = []
    is_turned_away = head.status == TURNED_AWAY
    return EndpointSignals(
        limit_per_s=_number(head.headers, names.SERVER_LIMIT, malformed),
        leaving=_is_leaving(head.headers, malformed),
        bears_per_s=_number(head.headers, names.SERVER_BRITTLE, malformed),
        rest_s=decode_retry_after(head.headers, malformed) if is_turned_away else None,
        malformed=tuple(malformed),
    )


def decode_retry_after(headers: Headers, malformed: list[str]) -> float | None:
    """Return the seconds after which to try again; add the name if it is malformed."""
    return _number(headers, names.RETRY_AFTER, malformed, MAX_REST_S)


def _number(
    headers: Headers,
    name: bytes,
    malformed: list[str],
    most: float = MAX_LIMIT_PER_S,
) -> float | None:
    """Return a header's value from 0 to ``most``; add the name if it is malformed."""
    values = _values(headers, name)
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


def _is_leaving(headers: Headers, malformed: list[str]) -> bool:
    values = [value.strip() for value in _values(headers, names.SERVER_LEAVING)]
    if values not in ([], [LEAVING], [NOT_LEAVING]):
        malformed.append(names.SERVER_LEAVING.decode())
    return values == [LEAVING]


def _values(headers: Headers, name: bytes) -> list[bytes]:
    return [value for key, value in headers if key == name]
