"""Data model of the routed interface: routes, services, endpoints and requests."""

from collections.abc import Container, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from urllib.parse import urlsplit

from bamboovale.gateway.customers import Customers
from bamboovale.http1.connection import Headers


class CallKind(Enum):
    """Whether a call may be retried: ``SAFE`` always, the others run at most once."""

    SAFE = auto()
    UNSAFE = auto()
    STREAM = auto()


@dataclass(frozen=True)
class Route:
    """One route; times in seconds, ``weight_by_service`` splits its traffic.

    ``goal_s`` is the time within which an answer has its full value. ``priority`` 0 is
    the most urgent. ``gap_s`` is the longest acceptable pause between events of a
    stream. A stream that is ``resumable`` may be continued by another engine. A
    ``public`` route needs no key.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    timeout_s: float
    goal_s: float
    priority: int
    weight_by_service: Mapping[str, float]
    max_attempts: int
    resumable: bool = False
    public: bool = False
    gap_s: float | None = None


@dataclass(frozen=True)
class BaseModel:
    """A base model: weights in MB, load time in seconds, names of its adapters."""

    name: str
    weights_mb: float
    load_s: float
    adapters: Container[str]
    adapter_mb: float


@dataclass(frozen=True)
class EnginePool:
    """Properties of all engines of a service; ``loads_per_s`` is their total.

    ``slots`` is the batch size, ``kv_tokens`` the KV cache's capacity in tokens.
    """

    slots: int
    kv_tokens: int
    adapter_slots: int
    weights_mb: float
    loads_per_s: float
    model_by_name: Mapping[str, BaseModel]


@dataclass(frozen=True)
class Service:
    """A plain service, or a pool of engines if ``engines`` is set."""

    name: str
    max_connections: int
    engines: EnginePool | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Limits of callers' requests, in bytes and seconds."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class RoutingTable:
    """One version of the whole configuration; immutable.

    Without ``customers`` requests need no key. ``source`` contains their keys.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: Mapping[str, Service]
    limits: CallerLimits
    source: bytes = field(default=b"", repr=False)
    customers: Customers | None = None
    _route_by_prefix_by_host: Mapping[str, Mapping[str, Route]] = field(
        default_factory=dict,
        repr=False,
    )

    @classmethod
    def from_routes(
        cls,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        limits: CallerLimits,
        source: bytes = b"",
        customers: Customers | None = None,
    ) -> "RoutingTable":
        """Return a table whose routes are indexed by host and path prefix."""
        index: dict[str, dict[str, Route]] = {}
        for route in routes:
            index.setdefault(route.host.lower(), {})[route.path_prefix] = route
        by_name = {service.name: service for service in services}
        return cls(version, routes, by_name, limits, source, customers, index)

    def services_by_path(self) -> dict[tuple[str, str], frozenset[str]]:
        """Return the services of each route by its host and path prefix."""
        return {
            (host, prefix): frozenset(route.weight_by_service)
            for host, route_by_prefix in self._route_by_prefix_by_host.items()
            for prefix, route in route_by_prefix.items()
        }

    def match(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        by_prefix = self._route_by_prefix_by_host.get(_bare_host(host))
        if by_prefix is None:
            return None
        path = target.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


def _bare_host(host: str) -> str:
    """Return the host name without port, in lower case."""
    if ":" not in host:
        return host.lower()
    try:
        return urlsplit(f"//{host}").hostname or ""
    except ValueError:
        return ""


@dataclass(frozen=True)
class LoadedModel:
    """A base model loaded at an engine, with the versions of its adapters by name."""

    name: str
    version: int
    version_by_adapter: Mapping[str, int]


@dataclass(frozen=True)
class EndpointRecord:
    """One start of an endpoint, as it registered itself.

    ``registered_id`` may be used again by a later start. ``started_ms`` is the start
    time in Unix milliseconds, None if the endpoint does not report it.
    ``software_version`` is that of the endpoint's software, None for a start that has
    not registered yet. State of an endpoint is kept by ``endpoint_id``, which no two
    starts share, so that state of an earlier start is not applied to a later one.
    """

    registered_id: str
    service: str
    address: tuple[str, int]
    failure_domain: str
    ready: bool
    slots: int
    models: tuple[LoadedModel, ...] = ()
    remaining_s: float | None = None
    started_ms: int | None = None
    software_version: str | None = ""
    endpoint_id: str = field(init=False)

    def __post_init__(self) -> None:
        start = "" if self.started_ms is None else f"@{self.started_ms}"
        object.__setattr__(self, "endpoint_id", f"{self.registered_id}{start}")

    def is_same_start(self, other: "EndpointRecord") -> bool:
        """Return whether both are of one start, whose software stays the same."""
        versions = {self.software_version, other.software_version} - {None}
        return self.endpoint_id == other.endpoint_id and len(versions) <= 1

    def is_start_before(self, other: "EndpointRecord") -> bool:
        """Return whether this start of the endpoint is earlier than the other."""
        return (self.started_ms or 0) < (other.started_ms or 0)


@dataclass(frozen=True)
class EngineReport:
    """An engine's own report, some 100 ms old; ``orders`` counts accepted orders.

    ``loading`` are adapters being loaded as (model, adapter); ``running`` the ids of
    running requests. ``started_ms`` is the start time of the engine that reports.
    """

    models: tuple[LoadedModel, ...]
    loading: frozenset[tuple[str, str]]
    busy: bool
    orders: int
    queued: int
    active: int
    running: frozenset[str] = frozenset()
    started_ms: int | None = None


@dataclass(frozen=True)
class EngineOrder:
    """An order to load or unload a model, or an adapter of a loaded model."""

    load: bool
    model: str
    adapter: str | None = None
    version: int | None = None


class OrderOutcome(Enum):
    """Outcome of an order; after ``UNKNOWN`` it may still be carried out."""

    ACCEPTED = auto()
    HOLDS = auto()
    CONFLICT = auto()
    FENCED = auto()
    GONE = auto()
    REJECTED = auto()
    UNKNOWN = auto()


@dataclass(frozen=True)
class ModelWork:
    """The work that a request means for an engine.

    ``prompt_tokens`` and ``output_tokens`` are its upper bounds; ``prompt_parts`` are
    (id, tokens) in order, shared with other requests but for the last.
    """

    model: str
    adapter: str | None
    prompt_tokens: int
    output_tokens: int
    prompt_parts: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True)
class CallFacts:
    """A caller's request, decoded; ``deadline_s`` is how long the caller will wait.

    ``forward`` are the headers to forward unchanged. ``resume_after`` is the id of the
    last event of a stream that the caller received, ``resumes`` the id of the attempt
    that brought it the first one, None if it names none. ``tokens`` are those of the
    prompt and the longest answer, None if the caller gives no count. ``key`` is the
    caller's API key, None if it has no valid one.
    """

    request_id: str
    host: str
    deadline_s: float | None
    work: ModelWork | None
    forward: Headers = field(repr=False)
    resume_after: str | None = None
    resumes: str | None = None
    tokens: int | None = None
    key: bytes | None = field(default=None, repr=False)


@dataclass(frozen=True)
class EndpointSignals:
    """What an endpoint says of itself in an answer, beside the answer's status.

    ``limit_per_s`` is how many requests a second it takes from all VMs together, None
    if it names no limit. ``leaving`` is whether it will stop serving soon. ``rest_s``
    is how long it wants no requests from this VM, in seconds, None if it does not say.
    ``bears_per_s`` is how many requests a second it may have to turn away before it
    falls over, None if it is not brittle.
    ``malformed`` are the headers without a usable value.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    rest_s: float | None = None
    bears_per_s: float | None = None
    malformed: tuple[str, ...] = ()


@dataclass(frozen=True)
class AnswerNotice:
    """What an endpoint said in an answer; ``sent_at`` is when its request was sent.

    ``tells_all`` is whether a signal that the answer lacks has ended: an endpoint says
    so only where it runs a caller's request. ``via`` is the VM that sent the request,
    None if this one did.
    """

    endpoint_id: str
    signals: EndpointSignals
    sent_at: float
    tells_all: bool = False
    via: str | None = None


@dataclass(frozen=True)
class AnswerFacts:
    """The head of an endpoint's answer, decoded.

    ``not_run`` is the endpoint's guarantee that it did not run the request;
    ``reads_not_run`` is whether its status tells a caller so. ``signed`` is whether the
    answer carries the endpoint's signature.
    """

    status: int
    request_id: str | None
    signed: bool
    not_run: bool
    reads_not_run: bool
    wrong_endpoint: bool
    retry_after_s: float | None
    headers: Headers
    signals: EndpointSignals = EndpointSignals()

    @property
    def is_event_stream(self) -> bool:
        """Return whether the body is a stream of server-sent events."""
        return any(
            name == b"content-type" and value.startswith(b"text/event-stream")
            for name, value in self.headers
        )
