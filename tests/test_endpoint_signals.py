"""Tests of what endpoints say of themselves in their answers."""

import pytest

from bamboovale.decisions.endpoint_limit import LimitBelief
from bamboovale.gateway.model import EndpointSignals
from bamboovale.platform.signals import decode_signals

LIMIT = b"server-limit"


class TestDecoding:
    """Headers of answers as typed signals."""

    @pytest.mark.parametrize(
        ("value", "limit_per_s"),
        [(b"4", 4.0), (b"4.25", 4.25), (b"0.5", 0.5), (b" 12 ", 12.0), (b"0", 0.0)],
    )
    def test_a_limit_is_read(self, value: bytes, limit_per_s: float) -> None:
        assert decode_signals([(LIMIT, value)]) == EndpointSignals(limit_per_s)

    @pytest.mark.parametrize(
        "value", [b"", b"four", b"-1", b"inf", b"nan", b"1e9", b"4, 5"]
    )
    def test_a_bad_limit_is_no_signal(self, value: bytes) -> None:
        signals = decode_signals([(LIMIT, value)])
        assert signals == EndpointSignals(malformed=("server-limit",))

    def test_a_limit_named_twice_is_no_signal(self) -> None:
        signals = decode_signals([(LIMIT, b"4"), (LIMIT, b"4")])
        assert signals == EndpointSignals(malformed=("server-limit",))

    def test_no_header_is_no_signal(self) -> None:
        assert decode_signals([(b"server", b"x")]) == EndpointSignals()


class TestLimitBelief:
    """What answers to requests that overtake one another tell of a limit."""

    def test_a_limit_begins_changes_and_ends(self) -> None:
        belief = LimitBelief()
        assert belief.on_answer(4.0, 1.0, 1.1, ends=True)
        assert belief.on_answer(8.0, 2.0, 2.1, ends=True)
        assert belief.limit_per_s == 8.0
        assert belief.on_answer(None, 3.0, 3.1, ends=True)
        assert belief.limit_per_s is None

    def test_an_answer_to_an_older_request_does_not_end_it(self) -> None:
        """Guards against lifting a limit by an answer that was made before it."""
        belief = LimitBelief()
        belief.on_answer(4.0, 1.0, 1.5, ends=True)
        assert not belief.on_answer(None, 1.2, 1.6, ends=True)
        assert belief.limit_per_s == 4.0

    def test_a_report_without_a_limit_does_not_end_it(self) -> None:
        belief = LimitBelief()
        belief.on_answer(4.0, 1.0, 1.1, ends=True)
        assert not belief.on_answer(None, 2.0, 2.1, ends=False)
        assert belief.limit_per_s == 4.0

    def test_a_small_change_applies_and_is_not_news(self) -> None:
        belief = LimitBelief()
        belief.on_answer(4.0, 1.0, 1.1, ends=True)
        assert not belief.on_answer(4.2, 2.0, 2.1, ends=True)
        assert belief.limit_per_s == 4.2
