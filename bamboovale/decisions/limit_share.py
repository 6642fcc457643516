"""A VM's share of an endpoint's limit, where no single VM knows all requests to it.

An equal share for each VM of a large fleet is worth less than one request in the time
that counts, and a first request of each VM is more than the limit allows. So only as
many VMs send as may each send one request more at once, the first in a rendezvous
order: all VMs agree on them without a message, and a VM that is wrongly thought to live
or to be gone shifts the order by one place only.
"""

from collections.abc import Collection

from bamboovale.decisions.rendezvous import first_members

SHARING_S = 1.5
SHARING_LEAST = 3
"""VMs that share a limit: so many, and those that may send in so many seconds. More use
more of the limit, as each has but a part of the demand; each may send one request at
once after an idle time."""


def sharing_count(limit_per_s: float) -> int:
    """Return how many VMs may share a limit."""
    return SHARING_LEAST + int(SHARING_S * limit_per_s)


def share_per_s(
    endpoint_id: str, limit_per_s: float, vm_id: str, vm_ids: Collection[str]
) -> float:
    """Return the requests a second that a VM may send, 0 if others share the limit.

    ``vm_ids`` are the VMs that callers are sent to.
    """
    sharing = first_members(endpoint_id, vm_ids, sharing_count(limit_per_s))
    return limit_per_s / len(sharing) if vm_id in sharing else 0.0
