"""Passes what endpoints say of themselves in their answers to those who heed it."""

from bamboovale.gateway.endpoint_limits import EndpointLimits
from bamboovale.gateway.journal import Journal
from bamboovale.gateway.model import AnswerNotice


class SignalReader:
    """Reads the signals of each answer that this VM gets from an endpoint."""

    def __init__(self, journal: Journal, limits: EndpointLimits) -> None:
        self._journal = journal
        self._limits = limits

    def on_answer(self, notice: AnswerNotice) -> None:
        """Apply an answer's signals."""
        signals = notice.signals
        if signals.malformed:
            self._journal.write(
                "bad_signal", endpoint=notice.endpoint_id, headers=signals.malformed
            )
        if signals.leaving:
            self._journal.write("endpoint_leaving", endpoint=notice.endpoint_id)
        if signals.rest_s is not None:
            self._journal.write(
                "endpoint_rests", endpoint=notice.endpoint_id, rest_s=signals.rest_s
            )
        self._limits.on_answer(notice)
