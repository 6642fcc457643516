"""The calls that ask where to connect and whether an entry VM is ready."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from bamboovale.platform import names

MOST_ADDRESSES = 64
"""What a caller takes of one answer."""


@dataclass(frozen=True)
class DirectoryQuery:
    """A caller's question; its place decides which addresses come first."""

    region: str
    failure_domain: str


def decode_query(target: str) -> DirectoryQuery | None:
    """Read the question; None if the call is another one."""
    parts = urlsplit(target)
    if parts.path != names.RESOLVE_PATH:
        return None
    query = parse_qs(parts.query)
    return DirectoryQuery(
        region=query.get("region", [""])[0],
        failure_domain=query.get("zone", [""])[0],
    )


def encode_addresses(addresses: Iterable[tuple[str, int]], ttl_s: float) -> bytes:
    """Return the answer's body."""
    listed = [f"{host}:{port}" for host, port in addresses]
    return json.dumps({"addrs": listed, "ttl-s": ttl_s}).encode()


def is_readiness_query(target: str) -> bool:
    """Tell whether the call asks for readiness."""
    return urlsplit(target).path == names.READY_PATH
