"""State of a model request across its attempts, and the refusals that end it."""

from dataclasses import dataclass, field

from bamboovale.catalogue.entries import AdapterEntry
from bamboovale.entry.caller_request import CallerRequest
from bamboovale.entry.engine_run import RunFailedError
from bamboovale.entry.model_call import ModelCall
from bamboovale.entry.permits import DisconnectSignal
from bamboovale.errors import ErrorCode, Refusal


class CallerDisconnectedError(Exception):
    """The caller disconnected: the request needs no answer."""


class FinalRefusalError(Exception):
    """Ends the request with ``refusal`` as its answer."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


@dataclass
class Attempts:
    """State of one request across its attempts.

    ``excluded`` are the engines that are not tried again in this round.
    ``load_refusal`` is the refusal of an engine that cannot load the adapter now.
    ``holder_missing`` is set if some engine's lease holder did not answer in this
    round. ``unstarted_runs`` counts permits whose run did not start. ``exclusive``
    requests an engine without other runs, since the request is a crash suspect.
    """

    request: CallerRequest
    call: ModelCall
    entry: AdapterEntry
    idempotent: bool
    disconnect: DisconnectSignal
    latest_start: float
    fingerprint: str
    excluded: set[str] = field(default_factory=set)
    refusals: int = 0
    load_refusal: Refusal | None = None
    holder_missing: bool = False
    unstarted_runs: int = 0
    runs: int = 0
    exclusive: bool = False


def rejection(failed: RunFailedError) -> Refusal:
    """Return the refusal of a request that the engine rejected with a 4xx status."""
    reason = failed.answer[:500].decode(errors="replace")
    return Refusal(
        ErrorCode.BAD_REQUEST,
        f"the engine rejects the request: {reason}",
        not_run=True,
    )


def outcome_unknown(failed: RunFailedError) -> Refusal:
    """Return the refusal of a request that may have run and must not be retried."""
    return Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        f"the request was sent and its answer is lost ({failed})",
        not_run=False,
    )


def endpoint_error(failed: RunFailedError) -> Refusal:
    """Return the refusal of a request that has no retries left."""
    return Refusal(
        ErrorCode.ENDPOINT_ERROR,
        f"the engine's answer is lost ({failed})",
        not_run=False,
        retry_after_s=2.0,
    )
