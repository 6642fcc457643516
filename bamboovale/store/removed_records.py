"""Records that were removed, and may be in an older copy of the store again."""

from collections import OrderedDict

MAX_REMOVED = 2048


class RemovedRecords:
    """Tells a record that the store's copy still holds from one that is written again.

    Guards against an endpoint that is gone and gets work again. The oldest removals are
    forgotten first.
    """

    def __init__(self) -> None:
        self._copy_by_key: OrderedDict[str, int | None] = OrderedDict()

    def on_removed(self, key: str) -> None:
        """Remember that a record was removed."""
        self._copy_by_key.pop(key, None)
        self._copy_by_key[key] = None
        if len(self._copy_by_key) > MAX_REMOVED:
            self._copy_by_key.popitem(last=False)

    def is_copy(self, key: str, position: int, *, from_copy: bool) -> bool:
        """Return whether a record is a removed one; one that is not ends the removal.

        ``from_copy`` is whether it was read with all others just after a return.
        """
        if key not in self._copy_by_key:
            return False
        if from_copy:
            self._copy_by_key[key] = position
        elif self._copy_by_key[key] != position:
            del self._copy_by_key[key]
            return False
        return True
