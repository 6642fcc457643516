"""What the tasks of an engine's owner are given by their VM."""

from collections.abc import Callable
from dataclasses import dataclass

from bamboovale.decisions.mechanisms import Mechanisms
from bamboovale.gateway.engine_client import EngineClient
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.model import EndpointRecord


@dataclass(frozen=True)
class OwnerContext:
    """What an owner's task is given.

    ``fence`` is the fencing number of an engine's orders; ``on_fenced`` is told which
    number the engine refused. ``hold_off_s`` is how long a new owner evicts nothing,
    until it has heard which runs are under way. ``on_restart`` is told when the
    engine says that it started later than its record tells. ``pool_stalled`` tells of
    a service whether reading holds up the streams of many of its engines.
    """

    calls: EngineClient
    journal: Journal
    now: Callable[[], float]
    may_order: Callable[[str], bool]
    fence: Callable[[str], int]
    on_fenced: Callable[[EndpointRecord, int], None]
    on_restart: Callable[[EndpointRecord, int], None]
    hold_off_s: Callable[[], float]
    pool_stalled: Callable[[str], bool]
    mechanisms: Mechanisms
