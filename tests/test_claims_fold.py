"""The fold of the claim stream."""

from typing import Any

from bamboovale.claims.fold import ClaimTable, KeyState, Verdict
from bamboovale.claims.records import (
    Answered,
    Claim,
    ClaimItem,
    Released,
    encode_items,
    partition_of,
)


def claim(attempt: str, key: str = "k", body: str = "body", owner: str = "o") -> Claim:
    return Claim(key, owner, body, f"node-{attempt}", "i1", attempt)


def apply(table: ClaimTable, *items: ClaimItem, at: float = 0.0) -> list[Verdict]:
    outcomes = table.apply(table.next_offset, encode_items(items), at)
    return [outcome.verdict for outcome in outcomes]


class TestClaims:
    """Which attempt may send the request of a key."""

    def test_the_first_in_log_order_wins(self) -> None:
        table = ClaimTable()
        assert apply(table, claim("a"), claim("b")) == [Verdict.WON, Verdict.LOST]
        assert table.lookup("o", "k", "body").attempt_id == "a"

    def test_customers_do_not_share_keys(self) -> None:
        table = ClaimTable()
        verdicts = apply(table, claim("a", owner="o"), claim("b", owner="p"))
        assert verdicts == [Verdict.WON, Verdict.WON]

    def test_an_attempt_wins_once(self) -> None:
        # An append whose response was lost is retried, and both copies are read.
        table = ClaimTable()
        assert apply(table, claim("a"), claim("a")) == [Verdict.WON, Verdict.REPEATED]

    def test_a_reused_key_with_another_body_is_reported(self) -> None:
        table = ClaimTable()
        apply(table, claim("a"))
        assert apply(table, claim("b", body="x")) == [Verdict.BODY_DIFFERS]
        assert table.lookup("o", "k", "x").state is KeyState.BODY_DIFFERS

    def test_only_a_release_by_the_winner_frees_the_key(self) -> None:
        table = ClaimTable()
        apply(table, claim("a"), claim("b"), Released("k", "o", "b"))
        assert table.lookup("o", "k", "body").attempt_id == "a"
        apply(table, Released("k", "o", "a"))
        assert apply(table, claim("c", body="x")) == [Verdict.WON]

    def test_a_late_copy_of_a_released_claim_does_not_win(self) -> None:
        # Guards against a key that is blocked for the whole horizon by an attempt
        # which is never sent.
        table = ClaimTable()
        verdicts = apply(table, claim("a"), Released("k", "o", "a"), claim("a"))
        assert verdicts == [Verdict.WON, Verdict.GIVEN_UP]
        assert apply(table, claim("b")) == [Verdict.WON]

    def test_a_claim_appended_after_its_release_does_not_win(self) -> None:
        # The log hangs; the writer gives up, and its later append takes effect first.
        table = ClaimTable()
        verdicts = apply(table, Released("k", "o", "a"), claim("a"), claim("b"))
        assert verdicts == [Verdict.GIVEN_UP, Verdict.WON]

    def test_an_answer_is_kept_and_cannot_be_released(self) -> None:
        table = ClaimTable()
        answered = Answered("k", "o", "a", 201)
        apply(table, claim("a"), answered, Released("k", "o", "a"))
        info = table.lookup("o", "k", "body")
        assert (info.state, info.status) == (KeyState.ANSWERED, 201)

    def test_unreadable_items_are_counted(self) -> None:
        table = ClaimTable()
        values: list[Any] = [None, {"type": "claims", "items": [{"key": 1}]}, {}]
        for offset, value in enumerate(values):
            assert table.apply(offset, value, 0.0) == []
        assert table.unreadable_items == 3

    def test_partitions_are_stable(self) -> None:
        assert partition_of("o", "k", 16) == partition_of("o", "k", 16)
        assert len({partition_of("o", str(key), 4) for key in range(50)}) == 4


class TestHorizon:
    """Limits of the table in time and size."""

    def test_a_key_expires_a_horizon_after_its_last_claim(self) -> None:
        table = ClaimTable(horizon_s=100)
        apply(table, claim("a"), at=0)
        assert apply(table, claim("b"), at=99) == [Verdict.LOST]
        assert apply(table, claim("c"), at=198) == [Verdict.LOST]
        assert apply(table, claim("d"), at=298) == [Verdict.WON]

    def test_no_key_expires_early_if_the_logs_clock_is_set_back(self) -> None:
        table = ClaimTable(horizon_s=100)
        apply(table, claim("a"), at=1000)
        apply(table, claim("b"), at=10)
        assert apply(table, claim("c"), at=1099) == [Verdict.LOST]

    def test_a_full_table_refuses_new_keys_and_drops_none(self) -> None:
        # Guards against a retry that runs again because its key was dropped.
        table = ClaimTable(max_claims=4)
        for owner in "opqr":
            assert apply(table, claim(owner, owner=owner)) == [Verdict.WON]
        assert apply(table, claim("x", owner="s")) == [Verdict.TABLE_FULL]
        assert apply(table, claim("y", owner="o")) == [Verdict.LOST]

    def test_one_customer_cannot_fill_the_table(self) -> None:
        table = ClaimTable(max_claims=4)
        keys = [claim(str(key), key=str(key)) for key in range(3)]
        assert apply(table, *keys)[-1] is Verdict.TABLE_FULL
        assert apply(table, claim("x", owner="p")) == [Verdict.WON]

    def test_after_a_gap_an_unseen_key_is_unknown_for_a_horizon(self) -> None:
        # Guards against sending a request that an expired, unread claim has run.
        table = ClaimTable.after_gap(7, horizon_s=100)
        assert table.lookup("o", "k", "body").state is KeyState.UNKNOWN
        assert apply(table, claim("a"), at=50) == [Verdict.UNKNOWN]
        apply(table, Released("k", "o", "a"), at=60)
        assert apply(table, claim("b"), at=149) == [Verdict.UNKNOWN]
        assert apply(table, claim("c", key="l"), at=150) == [Verdict.WON]
        assert apply(table, claim("d"), at=151) == [Verdict.UNKNOWN]

    def test_a_full_table_after_a_gap_becomes_incomplete_again(self) -> None:
        # After a gap this table still holds l, which other tables refused. It is full
        # for k, which they accept; once it has room, it must not run k.
        table = ClaimTable.after_gap(7, horizon_s=100, max_claims=2)
        apply(table, claim("l", key="l"), at=50)
        apply(table, claim("l2", key="l"), at=140)
        assert apply(table, claim("a"), at=160) == [Verdict.TABLE_FULL]
        assert apply(table, claim("b"), at=245) == [Verdict.UNKNOWN]
        assert apply(table, claim("c", owner="p"), at=260) == [Verdict.WON]
