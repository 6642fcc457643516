"""What a play is made of: engines, entry VMs, kinds of requests, faults."""

from dataclasses import dataclass

from bamboovale.emulator.engine import EngineFigures


@dataclass(frozen=True)
class Tokens:
    """Lengths drawn from a log-normal distribution, cut at ``most``."""

    mean: float
    spread: float = 0.0
    most: int = 1_000_000


@dataclass(frozen=True)
class RequestKind:
    """One kind of request; ``shared_tokens`` begin every prompt of one adapter."""

    name: str
    per_s: float
    goal_s: float
    pause_s: float
    deadline_s: float
    prompt: Tokens
    output: Tokens
    shared_tokens: int = 0
    late_credit: float = 0.3


@dataclass(frozen=True)
class EngineGroup:
    """Engines that are alike."""

    count: int
    figures: EngineFigures


@dataclass(frozen=True)
class Deployment:
    """Engines and entry VMs; times in seconds.

    ``hop_s`` is one way between two VMs or to an engine, ``load_word_s`` and
    ``status_s`` how often owners tell others how busy and how loaded an engine is.
    ``loads_at_full_speed`` is how many loads the weight store serves at once before
    each takes longer.
    """

    engines: tuple[EngineGroup, ...]
    entry_vms: int = 6
    adapters: int = 3000
    skew: float = 1.2
    hop_s: float = 0.0015
    report_lag_s: float = 0.1
    load_word_s: float = 0.1
    status_s: float = 0.3
    loads_at_full_speed: int = 8


@dataclass(frozen=True)
class Fault:
    """Something that happens from ``at`` on for ``for_s`` seconds.

    ``crowd`` multiplies the arrivals by ``x``, ``slow`` the times of a ``share`` of the
    engines; ``crash`` stops a share, which come back empty; ``shift`` makes other
    adapters popular; ``lost_orders`` leaves a share of the orders without an answer.
    """

    kind: str
    at: float
    for_s: float = 5.0
    x: float = 2.0
    share: float = 0.2


FAULT_KINDS = frozenset({"crowd", "slow", "crash", "shift", "lost_orders"})


@dataclass(frozen=True)
class Scenario:
    """A deployment under a load; callers ask from second 0 to ``seconds``.

    ``clump`` is how many requests come together on average.
    """

    deployment: Deployment
    kinds: tuple[RequestKind, ...]
    seconds: float = 30.0
    clump: float = 1.0
    faults: tuple[Fault, ...] = ()
