"""Prometheus metrics of one entry VM, in a registry of their own.

A separate registry keeps VMs in one test process apart and leaves out the default
collectors. ``docs/OPERATIONS.md`` explains each metric.
"""

from collections.abc import Callable, Mapping, Sequence

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

PREFIX = "bamboovale_"

# From less than the time of one token to the longest admitted wait.
STALL_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)

# From plain calls to overnight jobs.
REQUEST_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 120)
MAX_CUSTOMER_LABELS = 100
OTHER_CUSTOMERS = "(others)"
"""Customers with a label of their own, and the label of all others."""


class Metrics:
    """All counters, gauges and histograms, accessed as attributes."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        self._labelled_customers: set[str] = set()
        self._declare_requests()
        self._declare_permits()
        self._declare_engines()
        self._declare_platform()
        self._declare_peers()
        self._declare_gateway()

    def expose(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def watch_open_read(self, topic: str, open_s: Callable[[], float | None]) -> None:
        """Export the age of a topic's pending read, evaluated at each scrape."""
        gauge = self._gateway_open_read_seconds.labels(topic)
        gauge.set_function(lambda: open_s() or 0.0)

    def watch_view_age(self, age_s: Callable[[], float]) -> None:
        """Export the age of the newest proof, evaluated at each scrape."""
        self._gateway_view_age_seconds.set_function(age_s)

    def count_refusal_of(self, customer: str) -> None:
        """Count a refused request of a customer; later customers share one label."""
        if len(self._labelled_customers) < MAX_CUSTOMER_LABELS:
            self._labelled_customers.add(customer)
        known = customer in self._labelled_customers
        label = customer if known else OTHER_CUSTOMERS
        self._gateway_customer_refusals.labels(label).inc()

    def count_retry(self, cause: str, allowed: bool) -> None:
        """Count a retry at an endpoint that was allowed, or refused by the budget."""
        outcome = "allowed" if allowed else "refused"
        self.gateway_retries.labels(cause, outcome).inc()

    def count_place(self, outcome: str, seconds: float) -> None:
        """Count a request for a place at a plain endpoint, and the time it took."""
        self.gateway_shared_places.labels(outcome).inc()
        self._gateway_shared_place_seconds.labels(outcome).inc(seconds)

    def count_granter_unknown(self, service: str, seconds: float) -> None:
        """Count the time for which no granter of a service was known."""
        self._gateway_granter_unknown_seconds.labels(service).inc(seconds)

    def count_plain_refusal(self, reason: str) -> None:
        """Count a plain call that was refused for want of an endpoint."""
        self._gateway_plain_refusals.labels(reason).inc()

    def set_granted_places(
        self, service: str, count_by_state: Mapping[str, int]
    ) -> None:
        """Export the places of a service that this VM grants; none drops them."""
        for state, count in count_by_state.items():
            self._gateway_granted_places.labels(service, state).set(count)
        if not count_by_state:
            self._gateway_granted_places.remove_by_labels({"service": service})

    def count_resumed(self, outcome: str) -> None:
        """Count a stream that a caller resumed."""
        self._gateway_resumed_streams.labels(outcome).inc()

    def watch_stream_starts(self, count: Callable[[], int]) -> None:
        """Export how many starts of streams are remembered, at each scrape."""
        self._gateway_stream_starts.set_function(count)

    def set_endpoints(
        self, count_by_version: Mapping[tuple[str, str | None], int]
    ) -> None:
        """Export the endpoints by service and software version, if it is known."""
        self._gateway_endpoints.clear()
        for (service, software), count in count_by_version.items():
            labels = (service, "unknown" if software is None else software)
            self._gateway_endpoints.labels(*labels).set(count)

    def _declare_gateway(self) -> None:
        self.gateway_requests = self._counter(
            "gateway_requests",
            "Requests on the routed interface by outcome and kind of route.",
            ["outcome", "kind"],
        )
        self.gateway_request_seconds = self._histogram(
            "gateway_request_seconds",
            "Seconds from a routed request's arrival to the end of its answer.",
            REQUEST_BUCKETS_S,
            ["kind"],
        )
        self.gateway_first_event_seconds = self._histogram(
            "gateway_first_event_seconds",
            "Seconds from a routed request's arrival to its stream's first event.",
            REQUEST_BUCKETS_S,
        )
        self.gateway_connections_opened = self._counter(
            "gateway_connections_opened",
            "New connections to endpoints and to the metadata store.",
            ["target"],
        )
        self.gateway_clients_cut = self._counter(
            "gateway_clients_cut",
            "Clients cut or not let in, by the limit of this process.",
            ["limit"],
        )
        self.gateway_answers_cut = self._counter(
            "gateway_answers_cut",
            "Answers of endpoints and the store that were cut, by the bound exceeded.",
            ["limit"],
        )
        self.gateway_store_calls = self._counter(
            "gateway_store_calls",
            "Calls to the metadata store by name.",
            ["call"],
        )
        self.gateway_store_returns = self._counter(
            "gateway_store_returns",
            "Returns of the metadata store from an older copy.",
        )
        self.gateway_task_failures = self._counter(
            "gateway_task_failures",
            "Errors that ended a background task, which runs again after a pause.",
            ["job"],
        )
        self._gateway_open_read_seconds = Gauge(
            PREFIX + "gateway_store_read_open_seconds",
            "Seconds for which the open read of a topic has had no answer.",
            ["topic"],
            registry=self.registry,
        )
        self._gateway_view_age_seconds = self._gauge(
            "gateway_view_proof_age_seconds",
            "Age of the newest proof that the configuration in force is the newest.",
        )
        self._gateway_customer_refusals = self._counter(
            "gateway_customer_refusals",
            "Requests refused as over the quota of their customer.",
            ["customer"],
        )
        self.gateway_passed_over = self._counter(
            "gateway_passed_over",
            "Endpoints that requests passed over, as they asked for it, by reason.",
            ["reason"],
        )
        self.gateway_shared_places = self._counter(
            "gateway_shared_places",
            "Requests for places at plain endpoints, by outcome.",
            ["outcome"],
        )
        self._gateway_shared_place_seconds = self._counter(
            "gateway_shared_place_seconds",
            "Seconds for which calls waited for the granter, by outcome.",
            ["outcome"],
        )
        self._gateway_granter_unknown_seconds = self._counter(
            "gateway_granter_unknown_seconds",
            "Seconds for which this VM knew no granter of a service that has calls.",
            ["service"],
        )
        self._gateway_granted_places = self._gauge(
            "gateway_granted_places",
            "Places of the services that this VM grants, by state.",
            ["service", "state"],
        )
        self._gateway_plain_refusals = self._counter(
            "gateway_plain_refusals",
            "Plain calls refused for want of an endpoint, by reason.",
            ["reason"],
        )
        self.crash_events = self._counter(
            "crash_events",
            "Crashes of endpoints, and what is suspected of them, by event.",
            ["event"],
        )
        self.gateway_retries = self._counter(
            "gateway_retries",
            "Requests sent to an endpoint again, by cause and the budget's answer.",
            ["cause", "outcome"],
        )
        self._gateway_resumed_streams = self._counter(
            "gateway_resumed_streams",
            "Streams that callers resumed, by what became of them.",
            ["outcome"],
        )
        self._gateway_endpoints = self._gauge(
            "gateway_endpoints",
            "Endpoints by service and software version.",
            ["service", "software"],
        )
        self._gateway_stream_starts = self._gauge(
            "gateway_stream_starts",
            "Streams of which this VM remembers who began them.",
        )
        self.gateway_relayed = self._counter(
            "gateway_relayed",
            "Requests sent to endpoints for other entry VMs, by outcome.",
            ["outcome"],
        )
        self.gateway_engine_calls = self._counter(
            "gateway_engine_calls",
            "Reports read from engines and orders given, by outcome.",
            ["call", "outcome"],
        )

    def _declare_requests(self) -> None:
        self.requests = self._counter(
            "requests",
            "Requests of callers by their outcome: ok or an error code.",
            ["outcome"],
        )
        self.request_seconds = self._histogram(
            "request_seconds",
            "Seconds from a request's arrival to the end of its answer.",
            REQUEST_BUCKETS_S,
            ["kind"],
        )
        self.requests_running = self._gauge(
            "requests_running",
            "Requests of callers in flight.",
        )
        self.attempts = self._counter(
            "attempts",
            "Requests sent to endpoints, repeats included.",
        )
        self.retries = self._counter(
            "retries",
            "Attempts after the first of a request.",
        )
        self.ejections = self._counter(
            "ejections",
            "Endpoints taken out of rotation as outliers.",
        )
        self.suspects = self._counter(
            "suspects",
            "Requests that were running when an endpoint crashed.",
        )
        self.drains = self._counter("drains", "Planned stops begun.")
        self.internal_faults = self._counter(
            "internal_faults",
            "Messages whose handling failed: a fault of the program, see the log.",
        )

    def _declare_permits(self) -> None:
        self.permits_granted = self._counter(
            "permits_granted",
            "Places on engines granted by this lease holder.",
        )
        self.permits_refused = self._counter(
            "permits_refused",
            "Requests for a place refused by this lease holder.",
        )
        self.permits_discarded = self._counter(
            "permits_discarded",
            "Permits that reached this entry VM too late to be used.",
        )
        self.load_stall_seconds = self._histogram(
            "load_stall_seconds",
            "Seconds until the permit of a request whose adapter was not loaded.",
            STALL_BUCKETS_S,
        )

    def _declare_engines(self) -> None:
        self.loads = self._counter("loads", "Adapter versions loaded.")
        self.load_failures = self._counter("load_failures", "Loads that failed.")
        self.evictions = self._counter("evictions", "Adapter versions evicted.")
        self.orders_after_lapse = self._counter(
            "orders_after_lapse",
            "Orders to engines during which the lease lapsed.",
        )
        self.leases_held = self._gauge("leases_held", "Leases held now.")
        self.leases_taken = self._counter("leases_taken", "Leases taken.")
        self.leases_renewed = self._counter("leases_renewed", "Renewals read back.")
        self.leases_lost = self._counter(
            "leases_lost",
            "Leases that lapsed or were taken while held.",
        )

    def _declare_platform(self) -> None:
        self.catalogue_revision = self._gauge(
            "catalogue_revision",
            "Revision of the catalogue in force here.",
        )
        self.catalogue_edits = self._counter(
            "catalogue_edits",
            "Edits sent in here by their outcome.",
            ["outcome"],
        )
        self.claims = self._counter(
            "claims",
            "Idempotency keys claimed here by their outcome.",
            ["outcome"],
        )
        self.log_appends = self._counter(
            "log_appends",
            "Appends to the log service by their outcome.",
            ["stream", "outcome"],
        )
        self.log_reads = self._counter(
            "log_reads",
            "Reads of the log service by their outcome.",
            ["stream", "outcome"],
        )

    def _declare_peers(self) -> None:
        self.peer_messages_in = self._counter(
            "peer_messages_in",
            "Messages from other entry VMs.",
        )
        self.peer_messages_out = self._counter(
            "peer_messages_out",
            "Messages to other entry VMs.",
        )
        self.peer_bytes_in = self._counter(
            "peer_bytes_in",
            "Bytes of messages from other entry VMs.",
        )
        self.peer_bytes_out = self._counter(
            "peer_bytes_out",
            "Bytes of messages to other entry VMs.",
        )
        self.peer_bad_messages = self._counter(
            "peer_bad_messages",
            "Malformed messages; each closes its link.",
        )
        self.peer_messages_dropped = self._counter(
            "peer_messages_dropped",
            "Messages dropped: queue full or link gone.",
        )
        self.peer_links_opened = self._counter(
            "peer_links_opened",
            "Links opened, both ways.",
        )
        self.peer_links_closed = self._counter(
            "peer_links_closed",
            "Links closed, by cause.",
            ["cause"],
        )

    def _counter(self, name: str, text: str, labels: Sequence[str] = ()) -> Counter:
        return Counter(PREFIX + name, text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, labels: Sequence[str] = ()) -> Gauge:
        return Gauge(PREFIX + name, text, labels, registry=self.registry)

    def _histogram(
        self,
        name: str,
        text: str,
        buckets: Sequence[float],
        labels: Sequence[str] = (),
    ) -> Histogram:
        return Histogram(
            PREFIX + name,
            text,
            labels,
            buckets=buckets,
            registry=self.registry,
        )
