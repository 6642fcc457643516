"""A log of changes, read from where the last message to a neighbour ended."""

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item")


class ChangeLog(Generic[Item]):
    """The newest item of each key, ordered by their last change.

    Changes are numbered, so that a reader keeps only the number of the last change
    that it has received.
    """

    def __init__(self) -> None:
        self.last = 0
        self._entry_by_key: dict[Hashable, tuple[int, Item]] = {}

    def put(self, key: Hashable, item: Item) -> None:
        """Set the newest item of a key and move the key to the end."""
        self._entry_by_key.pop(key, None)
        self.last += 1
        self._entry_by_key[key] = (self.last, item)

    def drop(self, key: Hashable) -> None:
        """Remove a key."""
        self._entry_by_key.pop(key, None)

    def after(self, number: int, limit: int) -> tuple[list[Item], int]:
        """Return the changes after ``number`` and the number to continue from.

        At most ``limit`` changes are returned, oldest first.
        """
        if number >= self.last:
            return [], self.last
        newest_first = []
        for numbered in reversed(self._entry_by_key.values()):
            if numbered[0] <= number:
                break
            newest_first.append(numbered)
        chosen = newest_first[::-1][:limit]
        is_all = len(chosen) == len(newest_first)
        last_returned = self.last if is_all else chosen[-1][0]
        return [item for _, item in chosen], last_returned

    def __iter__(self) -> Iterator[Item]:
        return (item for _, item in self._entry_by_key.values())

    def __len__(self) -> int:
        return len(self._entry_by_key)
