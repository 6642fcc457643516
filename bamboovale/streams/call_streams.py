"""Streams of callers: where one that is resumed goes on, and who began it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

from result import Err

from bamboovale.gateway.call import Call, CallRefused
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.ownership import lease_clock
from bamboovale.gateway.vm_state import VMState
from bamboovale.metrics import Metrics
from bamboovale.store.interface import MetadataStore
from bamboovale.streams.decision import StartRefusal, decide
from bamboovale.streams.exchange import Links, ResumedStream, StartExchange
from bamboovale.streams.source import StreamSource
from bamboovale.streams.start_records import StartRecords


class ResumeOutcome(StrEnum):
    """What became of a stream that had begun before; a label of the counter."""

    WENT_ON = "went_on"
    START_UNKNOWN = "start_unknown"
    NOT_KNOWN_IN_TIME = "not_known_in_time"
    NO_ENDPOINT = "no_endpoint"
    """No endpoint of its software version is left."""
    NOT_RUN = "not_run"
    """Endpoints are left, and none ran it in time."""


@dataclass(frozen=True)
class CallStreams:
    """Looks up and records the starts of callers' streams."""

    exchange: StartExchange
    records: StartRecords
    journal: Journal
    now: Callable[[], float]
    count: Callable[[ResumeOutcome], None]
    config_version: Callable[[], int | None]

    @classmethod
    def from_parts(
        cls,
        state: VMState,
        links: Links,
        metrics: Metrics,
        prove: Callable[[], Awaitable[bool]],
        store: MetadataStore,
        topic: str,
    ) -> "CallStreams":
        """Return the streams of a VM that is being built.

        ``prove`` reads the endpoints' records and the configuration up to now,
        ``topic`` is that of the records of streams.
        """
        records = StartRecords(
            state.node.name,
            topic,
            store,
            state.journal,
            state.fleet.stream_holders,
            on_read=lambda began: exchange.remember(began),
            is_single=lambda service, version: state.versions.is_single(
                service, version, lease_clock()
            ),
            now=state.now,
        )
        state.endpoints.listen(lambda change: records.on_versions())
        exchange = StartExchange(
            state.node.name,
            links,
            state.fleet.stream_holders,
            state.versions,
            prove,
            records,
            state.now,
            lease_clock,
        )
        versions = state.versions.endpoints_by_version
        state.endpoints.listen(lambda change: metrics.set_endpoints(versions))
        metrics.watch_stream_starts(lambda: len(exchange.starts))
        return cls(
            exchange,
            records,
            state.journal,
            state.now,
            metrics.count_resumed,
            lambda: state.table.version if state.table else None,
        )

    async def source_of(self, call: Call) -> StreamSource | None:
        """Return where a stream that a caller resumes goes on, None for a new one.

        Raises CallRefused if that cannot be known.
        """
        if not call.is_resumption:
            return None
        attempt_id = call.facts.resumes
        asked_at = self.now()
        findings = await self.exchange.find(
            ResumedStream(
                attempt_id,
                call.customer_name,
                tuple(call.route.weight_by_service),
                call.route.timeout_s,
            )
        )
        found = decide(findings)
        refusal = found.err_value if isinstance(found, Err) else None
        source = None if isinstance(found, Err) else found.ok_value
        self.journal.write(
            "stream_resumed",
            id=call.facts.request_id,
            resumes=attempt_id,
            resume_after=call.facts.resume_after,
            service=source.service if source else None,
            software=source.software_version if source else None,
            refused=refusal.cause if refusal else None,
            ground=findings.ground,
            history_s=findings.history_s,
            versions=sorted(str(version) for version in findings.versions),
            config=self.config_version(),
            s=round(self.now() - asked_at, 4),
        )
        if refusal is not None:
            self._refuse(refusal)
        return source

    def on_first_event(self, call: Call, source: StreamSource) -> None:
        """Record who began a stream, or went on with one, and tell other VMs."""
        if not call.route.resumable:
            return
        own_id = call.facts.request_id
        attempts: tuple[str, ...] = (own_id,)
        if call.is_resumption:
            self.count(ResumeOutcome.WENT_ON)
            if call.facts.resumes is not None:
                attempts = (call.facts.resumes, own_id)
        left_s = call.left_s(self.now())
        self.exchange.on_first_event(attempts, source, call.customer_name, left_s)

    def on_not_run(self, *, no_endpoint: bool) -> None:
        """Count a stream that was resumed, and brought no event."""
        self.count(ResumeOutcome.NO_ENDPOINT if no_endpoint else ResumeOutcome.NOT_RUN)

    def _refuse(self, refusal: StartRefusal) -> None:
        self.count(ResumeOutcome(refusal.cause))
        reason = f"the stream cannot go on: {refusal.cause}"
        raise CallRefused(reason, refusal.retry_after_s)
