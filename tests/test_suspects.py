"""Tests that a request that crashes endpoints costs a bounded number of them."""

from bamboovale.crashes.subjects import fingerprint
from bamboovale.crashes.suspects import (
    ENDPOINTS_PER_FINGERPRINT,
    CrashNotice,
    Suspects,
)
from bamboovale.errors import ErrorCode


def run_until_settled(guilty: str, innocents: list[str]) -> tuple[int, Suspects]:
    """Run all requests together, then each suspect alone; return the crashes."""
    suspects = Suspects()
    engines = [f"tutor-llm-{number}" for number in range(1, 7)]
    crashes = 1
    for name in [guilty, *innocents]:
        suspects.on_notice(CrashNotice(name, engines[0], "b1", alone=False), 0.0)
    for now in range(1, 30):
        for name in [guilty, *innocents]:
            avoided = suspects.crashed_endpoints(name, now)
            if suspects.refusal(name, now) or not avoided:
                continue
            engine = next(engine for engine in engines if engine not in avoided)
            if name == guilty:
                crashes += 1
                notice = CrashNotice(name, engine, f"b{now}", alone=True)
                suspects.on_notice(notice, now)
            else:
                suspects.on_answered(name, now)
    return crashes, suspects


class TestCrashingRequest:
    """Guards against a retried request that crashes one engine after another."""

    def test_costs_two_endpoints_and_clears_innocents(self) -> None:
        crashes, suspects = run_until_settled("guilty", ["i1", "i2"])
        assert crashes == ENDPOINTS_PER_FINGERPRINT
        refusal = suspects.refusal("guilty", 30.0)
        assert refusal is not None
        assert refusal.code is ErrorCode.REQUEST_CRASHES_ENDPOINTS
        assert refusal.retry_after_s is None
        assert not suspects.crashed_endpoints("i1", 30.0)

    def test_peers_apply_a_notice_once(self) -> None:
        peer = Suspects()
        notice = CrashNotice("guilty", "tutor-llm-2", "b7", alone=True)
        assert peer.on_notice(notice, 0.0)
        assert not peer.on_notice(notice, 1.0)
        assert peer.refusal("guilty", 2.0)

    def test_fingerprint_differs_by_customer_adapter_and_body(self) -> None:
        prints = {
            fingerprint("a", "x@1", b"body"),
            fingerprint("b", "x@1", b"body"),
            fingerprint("a", "x@2", b"body"),
            fingerprint("a", "x@1", b"body!"),
        }
        assert len(prints) == 4
        assert fingerprint("a", "x@1", b"body") in prints
