"""What one model request has tried, and the refusals that end it."""

from dataclasses import dataclass, field

from bamboovale.catalogue.entries import AdapterEntry
from bamboovale.entry.caller_request import CallerRequest
from bamboovale.entry.engine_run import RunFailedError
from bamboovale.entry.model_call import ModelCall
from bamboovale.entry.permits import DisconnectSignal
from bamboovale.errors import ErrorCode, Refusal


class CallerDisconnectedError(Exception):
    """The caller hung up: there is nobody to answer."""


class FinalRefusalError(Exception):
    """The request gets this final answer."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


@dataclass
class Attempts:
    """What one request has tried so far.

    ``unloadable`` is what an engine said that cannot load the adapter now;
    ``unanswered`` tells that nobody could speak for some engine in this round.
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
    """Return the refusal of a request that the engine itself rejects."""
    reason = failed.answer[:500].decode(errors="replace")
    return Refusal(
        ErrorCode.BAD_REQUEST,
        f"the engine rejects the request: {reason}",
        not_run=True,
    )


def outcome_unknown(failed: RunFailedError) -> Refusal:
    """Return the refusal of a request that may have run and is not repeated."""
    return Refusal(
        ErrorCode.OUTCOME_UNKNOWN,
        f"the request was sent and its answer is lost ({failed})",
        not_run=False,
    )


def endpoint_error(failed: RunFailedError) -> Refusal:
    """Return the refusal of a request whose repeats are used up."""
    return Refusal(
        ErrorCode.ENDPOINT_ERROR,
        f"the engine's answer is lost ({failed})",
        not_run=False,
        retry_after_s=2.0,
    )
