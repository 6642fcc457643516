"""Dependencies that a VM passes to the owners of its engines."""

from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.decisions.mechanisms import Mechanisms
from bamboovale.gateway.engine_client import EngineClient
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.model import EndpointRecord


@dataclass(frozen=True)
class OwnerContext:
    """Dependencies of an engine's owner.

    ``may_order`` is called with an engine and how many orders it has accepted,
    ``on_order`` with that number after an order, None if not known.
    ``fence`` returns the fencing number for orders to an engine; ``on_fenced`` is
    called with a number that the engine refused. ``hold_off_s`` is how long a new owner
    evicts nothing, until the runs in flight are known. ``on_restart`` is called when a
    report shows a later start than the engine's record. ``pool_stalled`` returns
    whether prompt processing stalls the streams of many engines of a service.
    ``limit_per_s`` returns the limit that an engine names, in requests a second,
    ``rest_s`` for how many seconds it wants nothing from this VM. ``load_times``
    returns the time of a load from the weight store and from the engine's cache, as
    far as other owners learned them, 0 if unknown.
    """

    client: EngineClient
    journal: Journal
    now: Callable[[], float]
    may_order: Callable[[str, int | None], bool]
    on_order: Callable[[str, int | None], None]
    fence: Callable[[str], int]
    on_fenced: Callable[[EndpointRecord, int], None]
    on_restart: Callable[[EndpointRecord, int], None]
    hold_off_s: Callable[[], float]
    pool_stalled: Callable[[str], bool]
    limit_per_s: Callable[[str], float | None]
    rest_s: Callable[[str], float]
    load_times: Callable[[EndpointRecord], tuple[float, float]]
    mechanisms: Mechanisms
