"""Scenario of a simulation: engines, entry VMs, kinds of requests and faults."""

from dataclasses import dataclass

from bamboovale.emulator.engine import EngineFigures


@dataclass(frozen=True)
class Tokens:
    """Log-normal distribution of token counts, truncated at ``most``.

    ``mean`` is the mean of the distribution, ``spread`` the standard deviation of the
    logarithm; with ``spread`` 0 every count is the mean.
    """

    mean: float
    spread: float = 0.0
    most: int = 1_000_000


@dataclass(frozen=True)
class RequestKind:
    """One kind of request; times in seconds.

    ``per_s`` is the arrival rate. A request is in time if its first event arrives
    within ``goal_s`` and no pause between events exceeds ``pause_s``; a late but
    complete one earns ``late_credit`` instead of 1. ``rank`` orders by urgency, 0
    first. ``shared_tokens`` is the length of
    the prefix that all prompts of an adapter share.
    """

    name: str
    per_s: float
    goal_s: float
    pause_s: float
    deadline_s: float
    prompt: Tokens
    output: Tokens
    shared_tokens: int = 0
    late_credit: float = 0.3
    rank: int = 0


@dataclass(frozen=True)
class EngineGroup:
    """A number of identical engines."""

    count: int
    figures: EngineFigures


@dataclass(frozen=True)
class Deployment:
    """Engines and entry VMs; times in seconds.

    ``hop_s`` is the one-way latency between two VMs or to an engine, ``report_lag_s``
    the delay of an engine's report. ``load_word_s`` is the interval at which owners
    publish how busy an engine is, ``status_s`` the interval of the full status, which
    includes the loaded adapters. ``skew`` is the Zipf exponent of the adapters'
    popularity. ``loads_at_full_speed`` is the number of concurrent loads above which
    the weight store slows them all down. With ``same_statuses`` all entry VMs get an
    engine's status at the same time, so that they decide by the same ones.
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
    same_statuses: bool = False


@dataclass(frozen=True)
class Fault:
    """A fault that starts at second ``at`` and lasts ``for_s`` seconds.

    ``crowd`` multiplies the arrival rate by ``x``. ``slow`` multiplies the step times
    of a ``share`` of the engines by ``x``. ``crash`` stops a ``share`` of the engines,
    which restart without loaded adapters. ``shift`` moves the popularity ranking by
    ``x`` adapters and is permanent. ``lost_orders`` drops the answers to a ``share`` of
    the orders. ``owner_lost`` replaces the owners of a ``share`` of the engines; the
    new ones know what was published. ``new_version`` publishes a new version of the
    adapter of rank ``x``.
    """

    kind: str
    at: float
    for_s: float = 5.0
    x: float = 2.0
    share: float = 0.2


FAULT_KINDS = frozenset(
    {"crowd", "slow", "crash", "shift", "lost_orders", "new_version", "owner_lost"}
)


@dataclass(frozen=True)
class Scenario:
    """A deployment under a load; requests arrive from second 0 to ``seconds``.

    ``clump`` is the mean number of requests that arrive together.
    """

    deployment: Deployment
    kinds: tuple[RequestKind, ...]
    seconds: float = 30.0
    clump: float = 1.0
    faults: tuple[Fault, ...] = ()
