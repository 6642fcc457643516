"""Access control of the administration API."""

import hmac
import ipaddress

from bamboovale.admin.http import Request
from bamboovale.errors import ErrorCode, Refusal


def refuse_access(request: Request, token: str) -> Refusal | None:
    """Return the refusal of a request without access, None if it has access.

    With a token, all callers must send it, also on loopback. Without a token only
    loopback has access, so that a VM without configuration is not open to its network.
    """
    if not token:
        if is_loopback(request.peer):
            return None
        return Refusal(
            ErrorCode.UNAUTHORIZED,
            "no token is set up; only loopback is let in",
            not_run=True,
        )
    scheme, _, given = request.header("Authorization").partition(" ")
    matches = hmac.compare_digest(given.strip().encode(), token.encode())
    if scheme.lower() == "bearer" and matches:
        return None
    return Refusal(
        ErrorCode.UNAUTHORIZED,
        "a valid bearer token is needed",
        not_run=True,
    )


def is_loopback(address: str) -> bool:
    """Return whether an IP address is a loopback address."""
    try:
        parsed = ipaddress.ip_address(address)
    except ValueError:
        return False
    mapped = getattr(parsed, "ipv4_mapped", None)
    return (mapped or parsed).is_loopback
