"""What has changed since a neighbour was last told, in the order it changed here."""

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item")


class ChangeLog(Generic[Item]):
    """The newest item of each key; a change moves its key to the end.

    Each change gets the next number, so that a reader needs to keep only the number of
    the last change it was told: nothing is kept for each reader and change.
    """

    def __init__(self) -> None:
        self.last = 0
        self._entry_by_key: dict[Hashable, tuple[int, Item]] = {}

    def put(self, key: Hashable, item: Item) -> None:
        """Note a new item of the key."""
        self._entry_by_key.pop(key, None)
        self.last += 1
        self._entry_by_key[key] = (self.last, item)

    def drop(self, key: Hashable) -> None:
        """Forget the key."""
        self._entry_by_key.pop(key, None)

    def after(self, number: int, most: int) -> tuple[list[Item], int]:
        """Return what changed after a change, and the number to go on from.

        The oldest come first, ``most`` at once.
        """
        if number >= self.last:
            return [], self.last
        newest_first = []
        for numbered in reversed(self._entry_by_key.values()):
            if numbered[0] <= number:
                break
            newest_first.append(numbered)
        chosen = newest_first[::-1][:most]
        is_all = len(chosen) == len(newest_first)
        told = self.last if is_all else chosen[-1][0]
        return [item for _, item in chosen], told

    def __iter__(self) -> Iterator[Item]:
        return (item for _, item in self._entry_by_key.values())

    def __len__(self) -> int:
        return len(self._entry_by_key)
