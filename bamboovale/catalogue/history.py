"""Outcomes of past edits by edit id, and a bounded history of accepted edits."""

from collections import deque
from dataclasses import dataclass
from typing import Any

from bamboovale.catalogue.edits import EditOutcome
from bamboovale.catalogue.entries import Entry, Kind

# A duplicate of an edit whose outcome was dropped is evaluated again: it conflicts
# by its base revisions, or is applied a second time if it has none.
MAX_OUTCOMES = 2048
MAX_HISTORY_EDITS = 512
MAX_HISTORY_CHANGES = 2048
MAX_HISTORY_CHANGES_PER_EDIT = 256


@dataclass(frozen=True, slots=True)
class EntryChange:
    """One entry before and after an edit; None if it did or does not exist."""

    kind: Kind
    name: str
    before: Entry | None
    after: Entry | None

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            "kind": self.kind.value,
            "name": self.name,
            "before": None if self.before is None else self.before.to_json(),
            "after": None if self.after is None else self.after.to_json(),
        }


@dataclass(frozen=True, slots=True)
class HistoryRecord:
    """One accepted edit. ``omitted`` counts changes beyond those listed."""

    revision: int
    edit_id: str
    author: str
    made_at: float
    changes: tuple[EntryChange, ...]
    omitted: int = 0

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            "revision": self.revision,
            "edit_id": self.edit_id,
            "author": self.author,
            "made_at": self.made_at,
            "changes": [change.to_json() for change in self.changes],
            "omitted": self.omitted,
        }


class EditHistory:
    """Outcomes and history, both bounded; the oldest are dropped."""

    def __init__(self) -> None:
        self.outcome_by_edit_id: dict[str, EditOutcome] = {}
        self.history: deque[HistoryRecord] = deque()
        self._change_count = 0

    def remember(self, outcome: EditOutcome) -> None:
        """Store the outcome of an edit."""
        self.outcome_by_edit_id[outcome.edit_id] = outcome
        while len(self.outcome_by_edit_id) > MAX_OUTCOMES:
            del self.outcome_by_edit_id[next(iter(self.outcome_by_edit_id))]

    def add(self, record: HistoryRecord) -> None:
        """Append an accepted edit to the history."""
        self.history.append(record)
        self._change_count += len(record.changes)
        while len(self.history) > MAX_HISTORY_EDITS or (
            self._change_count > MAX_HISTORY_CHANGES and len(self.history) > 1
        ):
            self._change_count -= len(self.history.popleft().changes)
