"""Stateful test of the catalogue: one log, several readers, a reference model."""

from dataclasses import dataclass, field
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from bamboovale.catalogue.fold import Catalogue, CatalogueGapError
from bamboovale.catalogue.snapshots import (
    SnapshotAssembler,
    read_snapshot,
    split_snapshot,
    write_snapshot,
)

READERS = 3
NAMES = ("counter", "tutor-llm")
PART_CHARACTERS = 200

readers = st.integers(0, READERS - 1)


@dataclass
class Oracle:
    """Reference model: evaluates the log from its first record on."""

    entry_by_name: dict[str, tuple[int, float]] = field(default_factory=dict)
    outcome_by_edit_id: dict[str, tuple[bool, int]] = field(default_factory=dict)
    revision: int = 0
    # The expected state before each offset.
    states: list[Any] = field(default_factory=lambda: [(0, {})])

    def append(self, offset: int, value: dict[str, Any]) -> None:
        if value["type"] == "edit" and value["edit_id"] not in self.outcome_by_edit_id:
            changes = value["changes"]
            is_good = all(self.allows(change) for change in changes)
            if is_good:
                self.revision = offset + 1
                for change in changes:
                    self.put(change)
            outcome = (is_good, self.revision)
            self.outcome_by_edit_id[value["edit_id"]] = outcome
        self.states.append((self.revision, dict(self.entry_by_name)))

    def allows(self, change: dict[str, Any]) -> bool:
        current = self.entry_by_name.get(change["name"])
        if change["action"] == "delete" and current is None:
            return False
        base = change["base_revision"]
        return base is None or base == (current[0] if current else 0)

    def put(self, change: dict[str, Any]) -> None:
        name = change["name"]
        if change["action"] == "delete":
            del self.entry_by_name[name]
            return
        seconds = change["entry"]["load_seconds"]
        before = self.entry_by_name.get(name)
        if before is None or before[1] != seconds:
            self.entry_by_name[name] = (self.revision, seconds)


class CatalogueMachine(RuleBasedStateMachine):
    """Racing edits, lost responses, snapshots, expiry, restarts, peers' states."""

    @initialize()
    def start(self) -> None:
        self.log: list[dict[str, Any]] = []
        self.first = 0
        self.oracle = Oracle()
        self.readers = [Catalogue.empty() for _ in range(READERS)]
        self.revisions = [0] * READERS
        self.edits: list[dict[str, Any]] = []
        self.snapshot_by_offset: dict[int, str] = {}

    def append(self, value: dict[str, Any]) -> None:
        self.oracle.append(len(self.log), value)
        self.log.append(value)

    @rule(
        reader=readers,
        names=st.lists(st.sampled_from(NAMES), min_size=1, max_size=2, unique=True),
        seconds=st.integers(1, 3),
        action=st.sampled_from(["set", "set", "delete"]),
        conditional=st.booleans(),
        is_current=st.booleans(),
    )
    def edit(
        self,
        reader: int,
        names: list[str],
        seconds: int,
        action: str,
        conditional: bool,
        is_current: bool,
    ) -> None:
        if is_current:
            self.read(reader, len(self.log))
        view = self.readers[reader].view()
        changes = []
        for name in names:
            entry = {
                "kind": "pool",
                "name": name,
                "base_model": "base-8b",
                "load_seconds": float(seconds),
            }
            current = view.pool_by_name.get(name)
            base = current.revision if current else 0
            changes.append(
                {
                    "action": action,
                    "kind": "pool",
                    "name": name,
                    "entry": entry if action == "set" else None,
                    "base_revision": base if conditional else None,
                }
            )
        value = {
            "type": "edit",
            "edit_id": f"edit-{len(self.edits):06d}",
            "author": f"operator-{reader}",
            "made_at": float(len(self.log)),
            "changes": changes,
        }
        self.edits.append(value)
        self.append(value)

    @rule(back=st.integers(1, 4), reader=readers)
    def retry_an_edit_whose_response_was_lost(self, back: int, reader: int) -> None:
        if self.edits:
            value = self.edits[-min(back, len(self.edits))]
            self.append(value | {"made_at": value["made_at"] + 1})
            self.read(reader, len(self.log))

    @rule(value=st.sampled_from([None, 7, {"type": "note"}, {"type": "edit"}]))
    def append_noise(self, value: Any) -> None:
        self.log.append(value)
        self.oracle.states.append(self.oracle.states[-1])

    @rule(reader=readers, count=st.integers(1, 6))
    def read(self, reader: int, count: int) -> None:
        catalogue = self.readers[reader]
        for _ in range(count):
            offset = max(catalogue.next_offset, self.first)
            if offset >= len(self.log):
                return
            try:
                outcome = catalogue.apply(offset, self.log[offset])
            except CatalogueGapError:
                self.recover(reader)
                return
            if outcome is not None:
                expected = self.oracle.outcome_by_edit_id[outcome.edit_id]
                assert (outcome.accepted, outcome.revision) == expected

    def recover(self, reader: int) -> None:
        assembler = SnapshotAssembler(self.first)
        for value in self.log[self.first :]:
            snapshot = assembler.add(value)
            if snapshot is not None:
                assert self.readers[reader].adopt(read_snapshot(snapshot))
                return

    @rule(reader=readers, parts=st.integers(1, 99))
    def write_snapshot_or_a_part_of_it(self, reader: int, parts: int) -> None:
        value = write_snapshot(self.readers[reader])
        for part in split_snapshot(value, PART_CHARACTERS)[:parts]:
            self.append(part)

    @rule(count=st.integers(1, 8))
    def expire(self, count: int) -> None:
        self.first = min(self.first + count, len(self.log))

    @rule(reader=readers)
    def replace_a_vm(self, reader: int) -> None:
        self.readers[reader] = Catalogue.empty()
        self.revisions[reader] = 0
        self.read(reader, 1)
        self.read(reader, len(self.log))

    @rule(reader=readers, other=readers, kept=st.integers(0, 12))
    def expire_after_a_snapshot(self, reader: int, other: int, kept: int) -> None:
        self.read(reader, len(self.log))
        self.write_snapshot_or_a_part_of_it(reader, 99)
        self.first = max(self.first, len(self.log) - kept)
        self.replace_a_vm(other)

    @rule(reader=readers, peer=readers)
    def adopt_a_peers_state(self, reader: int, peer: int) -> None:
        self.readers[reader].adopt(read_snapshot(write_snapshot(self.readers[peer])))

    @invariant()
    def no_revision_goes_down(self) -> None:
        for number, catalogue in enumerate(self.readers):
            assert catalogue.revision >= self.revisions[number]
            self.revisions[number] = catalogue.revision

    @invariant()
    def every_state_is_the_oracles(self) -> None:
        for catalogue in self.readers:
            state = {
                name: (entry.revision, entry.load_seconds)
                for name, entry in catalogue.pool_by_name.items()
            }
            expected = self.oracle.states[catalogue.next_offset]
            assert (catalogue.revision, state) == expected

    @invariant()
    def equal_offsets_mean_equal_states(self) -> None:
        for catalogue in self.readers:
            snapshot_id = write_snapshot(catalogue)["snapshot_id"]
            known = self.snapshot_by_offset.setdefault(
                catalogue.next_offset, snapshot_id
            )
            assert known == snapshot_id


TestCatalogueMachine = CatalogueMachine.TestCase
TestCatalogueMachine.settings = settings(
    max_examples=300,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
)
