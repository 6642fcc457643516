"""Parsing of entries and edits, and the fold of the catalogue stream."""

from typing import Any

import pytest
from result import Err, Ok

from bamboovale.catalogue.edits import RejectionReason
from bamboovale.catalogue.entries import (
    AdapterEntry,
    Kind,
    Limits,
    PoolEntry,
    parse_entry,
)
from bamboovale.catalogue.fold import Catalogue, CatalogueGapError
from bamboovale.models import WorkClass

POOL = {"kind": "pool", "name": "tutor-llm", "base_model": "base-8b"}
ADAPTER = {
    "kind": "adapter",
    "name": "summaries",
    "version": "1",
    "base_model": "base-8b",
    "pool": "tutor-llm",
    "owner": "agency-1",
}
OTHER_SOURCE = {"source": "elsewhere"}


def change(entry: dict[str, Any], base: int | None = None) -> dict[str, Any]:
    return {
        "action": "set",
        "kind": entry["kind"],
        "name": entry["name"],
        "entry": entry,
        "base_revision": base,
    }


def deletion(kind: str, name: str, base: int | None = None) -> dict[str, Any]:
    return {"action": "delete", "kind": kind, "name": name, "base_revision": base}


def edit(edit_id: str, *changes: dict[str, Any], author: str = "op") -> dict[str, Any]:
    return {
        "type": "edit",
        "edit_id": f"edit-{edit_id}",
        "author": author,
        "made_at": 1.5,
        "changes": list(changes),
    }


def fold(*values: Any) -> Catalogue:
    catalogue = Catalogue.empty()
    for offset, value in enumerate(values):
        catalogue.apply(offset, value)
    return catalogue


class TestEntries:
    """Parsing of entries."""

    def test_defaults(self) -> None:
        entry = parse_entry(ADAPTER).unwrap()
        assert isinstance(entry, AdapterEntry)
        assert entry.adapter == "summaries"
        assert entry.source == "summaries@1"
        assert entry.limits == Limits()
        assert parse_entry(entry.to_json()) == Ok(entry)

    def test_overnight_requests_may_wait_longer(self) -> None:
        entry = parse_entry(ADAPTER | {"class": "overnight"}).unwrap()
        assert isinstance(entry, AdapterEntry)
        assert entry.work_class is WorkClass.OVERNIGHT
        assert entry.limits.max_wait_s == 3600

    def test_all_findings_are_returned_with_their_places(self) -> None:
        data = ADAPTER | {
            "version": 3,
            "pool": "a b",
            "owner": None,
            "class": "soon",
            "limits": {"concurrency": 0, "requests_per_s": True, "burst": 2},
            "colour": "red",
        }
        parsed = parse_entry(data, "entries[0]")
        assert isinstance(parsed, Err)
        assert [finding.place for finding in parsed.err_value] == [
            "entries[0].version",
            "entries[0].class",
            "entries[0].pool",
            "entries[0].owner",
            "entries[0].limits.concurrency",
            "entries[0].limits.requests_per_s",
            "entries[0].limits.burst",
            "entries[0].colour",
        ]

    @pytest.mark.parametrize(
        "data",
        [
            None,
            [],
            {"kind": ["adapter"]},
            ADAPTER | {"name": "x" * 129},
            ADAPTER | {"name": "a@b"},
            ADAPTER | {"limits": []},
            POOL | {"load_seconds": float("nan")},
            POOL | {"load_seconds": 10**400},
            POOL | {"checks_fencing": 1},
        ],
    )
    def test_rejects_invalid_entries(self, data: Any) -> None:
        assert isinstance(parse_entry(data), Err)


class TestRevisions:
    """Accepted edits, conflicts, and repeated edit ids."""

    def test_the_revision_is_the_offset_plus_one(self) -> None:
        catalogue = fold(edit("00000001", change(POOL), change(ADAPTER)), "noise")
        assert (catalogue.revision, catalogue.next_offset) == (1, 2)
        assert catalogue.adapter_by_name["summaries"].revision == 1

    def test_the_second_of_two_racing_edits_is_a_conflict(self) -> None:
        # Guards against a lost update: both edits are based on revision 1.
        catalogue = fold(edit("00000001", change(POOL), change(ADAPTER)))
        first = catalogue.apply(
            1, edit("00000002", change(ADAPTER | {"version": "2"}, base=1))
        )
        second = catalogue.apply(
            2, edit("00000003", change(ADAPTER | {"version": "3"}, base=1))
        )
        assert first is not None and first.accepted
        assert second is not None and second.reason is RejectionReason.CONFLICT
        assert second.conflicts[0].current_revision == 2
        assert catalogue.adapter_by_name["summaries"].version == "2"

    def test_an_edit_is_atomic(self) -> None:
        catalogue = fold(edit("00000001", change(POOL), change(ADAPTER)))
        other = ADAPTER | {"name": "other"}
        outcome = catalogue.apply(
            1, edit("00000002", change(other), change(ADAPTER, base=0))
        )
        assert outcome is not None and not outcome.accepted
        assert "other" not in catalogue.adapter_by_name

    def test_a_repeated_edit_returns_the_first_outcome(self) -> None:
        # Guards against a retried append that restores an entry which another
        # operator has deleted since.
        first = edit("00000001", change(POOL), change(ADAPTER))
        catalogue = fold(first, edit("00000002", deletion("adapter", "summaries")))
        outcome = catalogue.apply(2, first)
        assert outcome is not None and outcome.accepted and outcome.revision == 1
        assert "summaries" not in catalogue.adapter_by_name
        assert catalogue.revision == 2

    def test_a_reused_edit_id_is_rejected(self) -> None:
        catalogue = fold(edit("00000001", change(POOL)))
        outcome = catalogue.apply(1, edit("00000001", deletion("pool", "tutor-llm")))
        assert outcome is not None
        assert outcome.reason is RejectionReason.EDIT_ID_REUSED

    def test_a_deletion_leaves_a_tombstone_until_the_entry_is_set_again(self) -> None:
        catalogue = fold(edit("00000001", change(POOL)))
        catalogue.apply(1, edit("00000002", deletion("pool", "tutor-llm", base=1)))
        key = (Kind.POOL, "tutor-llm")
        assert catalogue.view().tombstone_by_key[key].author == "op"
        outcome = catalogue.apply(2, edit("00000003", change(POOL, base=0)))
        assert outcome is not None and outcome.accepted
        assert key not in catalogue.view().tombstone_by_key

    def test_history_records_author_and_changes(self) -> None:
        catalogue = fold(edit("00000001", change(POOL), author="ines"))
        wider = POOL | {"load_seconds": 9}
        catalogue.apply(1, edit("00000002", change(wider), author="tom"))
        record = catalogue.view().history[-1]
        assert (record.author, record.revision) == ("tom", 2)
        assert record.changes[0].before == PoolEntry("tutor-llm", "base-8b")
        assert record.changes[0].after == PoolEntry(
            "tutor-llm", "base-8b", load_seconds=9
        )

    def test_a_gap_raises_and_changes_nothing(self) -> None:
        catalogue = fold(edit("00000001", change(POOL)))
        with pytest.raises(CatalogueGapError):
            catalogue.apply(3, edit("00000002", deletion("pool", "tutor-llm")))
        assert catalogue.next_offset == 1

    def test_a_record_read_again_changes_nothing(self) -> None:
        records = [
            edit("00000001", change(POOL)),
            edit("00000002", deletion("pool", "tutor-llm")),
        ]
        catalogue = fold(*records)
        assert catalogue.apply(0, records[0]) is None
        assert (catalogue.next_offset, catalogue.revision) == (2, 2)

    def test_a_view_does_not_change(self) -> None:
        catalogue = fold(edit("00000001", change(POOL)))
        view = catalogue.view()
        catalogue.apply(1, edit("00000002", deletion("pool", "tutor-llm")))
        assert "tutor-llm" in view.pool_by_name
        assert "tutor-llm" not in catalogue.view().pool_by_name

    def test_an_older_state_is_not_adopted(self) -> None:
        # Guards against a lagging peer's state that restores a deleted entry.
        behind = fold(edit("00000001", change(POOL)))
        catalogue = fold(
            edit("00000001", change(POOL)),
            edit("00000002", deletion("pool", "tutor-llm")),
        )
        assert not catalogue.adopt(behind)
        assert catalogue.counters.regressions == 1
        assert behind.adopt(catalogue)
        assert behind.revision == 2


class TestRules:
    """Validation of edits against the current entries."""

    @pytest.mark.parametrize(
        ("changes", "place"),
        [
            ([change(ADAPTER | {"pool": "none"})], "changes[0].entry.pool"),
            ([change(ADAPTER | {"base_model": "x"})], "changes[0].entry.base_model"),
            ([change(POOL | {"base_model": "x"})], "changes[0].entry.base_model"),
            ([deletion("pool", "tutor-llm")], "changes[0]"),
            ([deletion("adapter", "nobody")], "changes[0]"),
            ([change(ADAPTER), change(ADAPTER)], "changes[1]"),
            ([change(ADAPTER | OTHER_SOURCE)], "changes[0].entry.version"),
            (
                [
                    change(
                        ADAPTER | {"name": "b", "adapter": "summaries", "source": "s"}
                    )
                ],
                "changes[0].entry.version",
            ),
        ],
    )
    def test_rejects_invalid_changes(self, changes: list, place: str) -> None:
        catalogue = fold(edit("00000001", change(POOL), change(ADAPTER)))
        outcome = catalogue.apply(1, edit("00000002", *changes))
        assert outcome is not None
        assert outcome.reason is RejectionReason.INVALID
        assert outcome.findings[0].place == place
        assert catalogue.revision == 1

    def test_a_version_cannot_return_with_other_weights(self) -> None:
        # Guards against an engine that still holds the old weights of summaries@1
        # and serves them as the new ones.
        catalogue = fold(
            edit("00000001", change(POOL), change(ADAPTER)),
            edit("00000002", deletion("adapter", "summaries")),
        )
        outcome = catalogue.apply(2, edit("00000003", change(ADAPTER | OTHER_SOURCE)))
        assert outcome is not None
        assert outcome.reason is RejectionReason.INVALID

    def test_a_pool_and_its_adapters_change_base_model_in_one_edit(self) -> None:
        catalogue = fold(edit("00000001", change(POOL), change(ADAPTER)))
        outcome = catalogue.apply(
            1,
            edit(
                "00000002",
                change(POOL | {"base_model": "base-9b"}),
                change(ADAPTER | {"base_model": "base-9b", "version": "2"}),
            ),
        )
        assert outcome is not None and outcome.accepted
