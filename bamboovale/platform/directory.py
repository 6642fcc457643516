"""Directory queries (which addresses to connect to) and readiness queries."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import SplitResult, parse_qs, urlsplit

from bamboovale.platform import names

MAX_ADDRESSES = 64
"""Addresses that a caller reads from one answer."""


@dataclass(frozen=True)
class DirectoryQuery:
    """A caller's query; its location decides which addresses come first."""

    region: str
    failure_domain: str


def decode_query(target: str) -> DirectoryQuery | None:
    """Decode a directory query; None if the target is another path."""
    parts = _split(target)
    if parts is None or parts.path != names.RESOLVE_PATH:
        return None
    try:
        query = parse_qs(parts.query)
    except ValueError:
        return None
    return DirectoryQuery(
        region=query.get("region", [""])[0],
        failure_domain=query.get("zone", [""])[0],
    )


def encode_addresses(addresses: Iterable[tuple[str, int]], ttl_s: float) -> bytes:
    """Return the body of the answer, with its time to live in seconds."""
    listed = [f"{host}:{port}" for host, port in addresses]
    return json.dumps({"addrs": listed, "ttl-s": ttl_s}).encode()


def is_readiness_query(target: str) -> bool:
    """Return whether the target is the readiness path."""
    parts = _split(target)
    return parts is not None and parts.path == names.READY_PATH


def _split(target: str) -> SplitResult | None:
    """Return the parts of a target, None if it is malformed."""
    try:
        return urlsplit(target)
    except ValueError:
        return None
