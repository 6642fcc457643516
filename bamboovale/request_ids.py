"""Ids of requests, which callers choose, as they are kept after their requests."""

import hashlib

MAX_KEPT_CHARS = 128
DIGEST_BYTES = 16


def kept_id(request_id: str) -> str:
    """Return an id as it is kept: a long one as its digest.

    Guards against ids that take more memory than anything else that is kept of
    requests; a head may be all id.
    """
    if len(request_id) <= MAX_KEPT_CHARS:
        return request_id
    return hashlib.blake2b(request_id.encode(), digest_size=DIGEST_BYTES).hexdigest()
