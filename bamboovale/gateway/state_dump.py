"""State of one entry VM as JSON for operators."""

from collections.abc import Iterable
from typing import Any

from bamboovale.decisions.view_freshness import ViewFreshness
from bamboovale.fleet.gossip import GossipProtocol
from bamboovale.gateway.engines import Engines
from bamboovale.gateway.journal import finite_age_s
from bamboovale.gateway.ownership import lease_clock
from bamboovale.gateway.quota_exchange import QuotaExchange
from bamboovale.gateway.vm_state import VMState
from bamboovale.store.eras import StoreEras
from bamboovale.store.follower import TopicFollower
from bamboovale.store.position import Position


def dump_fleet(state: VMState, gossip: GossipProtocol) -> dict[str, Any]:
    """Return this VM's identity, the live VMs and its neighbours; ages in seconds."""
    now = state.now()
    membership = state.fleet.membership
    peers = dict.fromkeys(membership.not_live(), False)
    peers.update((member.vm_id, True) for member in membership.live())
    return {
        "vm": state.node.name,
        "incarnation": state.incarnation,
        "serving": state.serving(),
        "stopping": state.stopping,
        "config_version": state.table.version if state.table else None,
        "peers": peers,
        "neighbours": {
            vm_id: {
                "heard_s_ago": finite_age_s(now - neighbour.last_seen_at),
                "watched": neighbour.watched,
            }
            for vm_id, neighbour in gossip.neighbours.by_id.items()
        },
        "unheard": {
            vm_id: membership.suspecting_observers(vm_id)
            for vm_id in membership.suspected_ids()
        },
        "named": {
            domain: [member.vm_id for member in members]
            for domain, members in state.fleet.advertised_by_domain().items()
        },
        "store_answered_s_ago": finite_age_s(now - gossip.store_answered_at),
        "store_settled": state.store_watch.is_settled(),
        "endpoints_offset": _offset(gossip.endpoints_offset),
    }


def dump_reads(followers: Iterable[TopicFollower]) -> dict[str, Any]:
    """Return by topic the offset reached and the age of the open read, in seconds."""
    return {
        follower.topic: {
            "offset": _offset(follower.changes.next_offset),
            "reachable": follower.reachable,
            "open_s": _rounded(follower.open_read_s()),
            "answered_s_ago": _rounded(follower.answered_s_ago()),
        }
        for follower in followers
    }


def _offset(position: int | None) -> int | None:
    return None if position is None else Position(position).offset


def dump_era(eras: StoreEras) -> dict[str, Any]:
    """Return the store's era, and when it last returned from an older copy."""
    return {
        "era": eras.current,
        "returns": eras.returns,
        "returned_s_ago": finite_age_s(eras.returned_s_ago()),
    }


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 2)


def dump_view(view: ViewFreshness) -> dict[str, Any]:
    """Return the age of the newest proof of the configuration, in seconds."""
    return {
        "proven_s_ago": finite_age_s(view.age_s(lease_clock())),
        "proven_by": view.source,
        "bound_s": view.bound_s,
        "fresh": view.is_fresh(lease_clock()),
    }


def dump_rests(state: VMState) -> dict[str, float]:
    """Return by endpoint for how long it wants nothing from this VM, in seconds."""
    left_by_id = state.rests.left_by_id(state.now())
    return {endpoint_id: round(left_s, 2) for endpoint_id, left_s in left_by_id.items()}


def dump_quotas(quotas: QuotaExchange, now: float) -> dict[str, Any]:
    """Return this VM's shares of quotas, and the accounts that it keeps."""
    return {
        "shares": quotas.meter.shares(now),
        "accounts": quotas.left_by_customer(),
        "fleet_size": quotas.meter.fleet_size,
    }


def dump_engines(state: VMState, engines: Engines) -> dict[str, Any]:
    """Return the endpoints, the engines' owners and the status of owned engines."""
    record_by_id = state.endpoints.record_by_id
    return {
        "endpoints": {
            endpoint_id: {"service": record.service, "ready": record.ready}
            for endpoint_id, record in record_by_id.items()
        },
        "lapsed_endpoints": sorted(state.endpoints.expired_ids()),
        "leaving_endpoints": sorted(state.endpoints.leaving_ids()),
        "owner_by_engine": {
            engine_id: engines.owner_name(engine_id) for engine_id in record_by_id
        },
        "status_s_ago": {
            engine_id: round(state.now() - owned.last_seen, 2)
            for engine_id in record_by_id
            if (owned := state.fleet.engine(engine_id)) is not None
            and owned.status is not None
        },
        "run_s_by_engine": {
            engine_id: round(owned.status.run_s, 3)
            for engine_id in record_by_id
            if (owned := state.fleet.engine(engine_id)) is not None
            and owned.status is not None
        },
        "owned_engines": [owner.status() for owner in engines.owner_by_engine.values()],
    }
