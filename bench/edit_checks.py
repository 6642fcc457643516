"""Checks that no catalogue edit is lost, late or reverted."""

from collections.abc import Iterator

from bench.history import Edit, History, StateRead
from bench.violations import Bounds, Promise, Violation

NO_VERSION = ""  # the lora name recorded for an entry that was deleted


def check_edits(history: History, bounds: Bounds) -> Iterator[Violation]:
    """Find accepted edits that were lost, late or reverted on some entry VM."""
    edits = list(history.of(Edit))
    accepted = [edit for edit in edits if edit.accepted]
    newest_by_incarnation: dict[tuple[str, int], StateRead] = {}
    first_by_revision: dict[int, StateRead] = {}
    for read in history.of(StateRead):
        incarnation = (read.entry_vm, read.incarnation)
        before = newest_by_incarnation.get(incarnation)
        if before and read.revision < before.revision:
            yield Violation(
                Promise.EDITS,
                f"{read.entry_vm} fell from revision {before.revision}"
                f" to {read.revision}",
                (before, read),
            )
        newest_by_incarnation[incarnation] = read
        first = first_by_revision.setdefault(read.revision, read)
        if first.lora_name_by_entry != read.lora_name_by_entry:
            yield Violation(
                Promise.EDITS,
                f"two entry VMs hold different states at revision {read.revision}",
                (first, read),
            )
        yield from _find_missing_edits(read, accepted, bounds)
        yield from _find_reverted_edits(read, edits)
    yield from _check_same_end_state(history)
    yield from _check_revisions_are_unique(accepted)


def _find_missing_edits(
    read: StateRead,
    accepted: list[Edit],
    bounds: Bounds,
) -> Iterator[Violation]:
    """Find edits accepted longer ago than the bound that a VM has not applied."""
    for edit in accepted:
        if edit.at + bounds.version_s < read.at and read.revision < edit.revision:
            yield Violation(
                Promise.EDITS,
                f"{read.entry_vm} lacks revision {edit.revision},"
                f" accepted {read.at - edit.at:.2f} s before",
                (edit, read),
            )


def _find_reverted_edits(read: StateRead, edits: list[Edit]) -> Iterator[Violation]:
    """Find entries whose version is not the last one accepted for them.

    An edit whose answer was lost may have taken effect at an unknown revision.
    """
    newest_by_entry: dict[str, Edit] = {}
    unknown: set[tuple[str, str]] = set()
    for edit in sorted(edits, key=lambda edit: edit.revision):
        if edit.accepted is None and edit.sent_at < read.at:
            unknown.add((edit.entry, edit.lora_name))
        if edit.accepted and edit.revision <= read.revision:
            newest_by_entry[edit.entry] = edit
    for entry, edit in newest_by_entry.items():
        held = read.lora_name_by_entry.get(entry, NO_VERSION)
        if held != edit.lora_name and (entry, held) not in unknown:
            yield Violation(
                Promise.EDITS,
                f"{read.entry_vm} at revision {read.revision} holds {held or 'nothing'}"
                f" for {entry}, revision {edit.revision} set {edit.lora_name}",
                (edit, read),
            )


def _check_same_end_state(history: History) -> Iterator[Violation]:
    finals = [read for read in history.of(StateRead) if read.final]
    for read in finals[1:]:
        if read.revision != finals[0].revision:
            yield Violation(
                Promise.EDITS,
                f"{finals[0].entry_vm} and {read.entry_vm} end at different revisions",
                (finals[0], read),
            )


def _check_revisions_are_unique(accepted: list[Edit]) -> Iterator[Violation]:
    first_by_revision: dict[int, Edit] = {}
    for edit in accepted:
        first = first_by_revision.setdefault(edit.revision, edit)
        if first.edit_id != edit.edit_id:
            yield Violation(
                Promise.EDITS,
                f"two edits were accepted as revision {edit.revision}",
                (first, edit),
            )
