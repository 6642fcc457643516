"""Who may call the administration."""

import hmac
import ipaddress

from bamboovale.admin.http import Request
from bamboovale.errors import ErrorCode, Refusal


def refuse_access(request: Request, token: str) -> Refusal | None:
    """Return why a caller is not let in, None if it is.

    With a token every caller has to show it, those on loopback too. Without one only
    loopback is let in, so that a VM set up in haste is not open to its network.
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
    """Return whether an IP number is of this machine's loopback."""
    try:
        parsed = ipaddress.ip_address(address)
    except ValueError:
        return False
    mapped = getattr(parsed, "ipv4_mapped", None)
    return (mapped or parsed).is_loopback
