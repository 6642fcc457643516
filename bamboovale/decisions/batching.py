"""Whom to give the next place in an engine's batch.

Load pattern: short interactive requests, long overnight jobs and one customer's
flood meet in one queue. First come, first served makes a parent wait behind a
night's copy and everybody behind the flood; strict priorities never end the night's
work while interactive work keeps coming.

Within a class, items are ordered by a tag fixed on arrival (start-time fair
queueing): the moment of arrival, or later if the customer's earlier items already
fill its share. Between classes interactive work goes first, but every so many
grants one goes to overnight work that waits. Both are bounded, so nobody starves.
"""

from bisect import bisect_right, insort
from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from bamboovale.decisions.work import WorkItem
from bamboovale.models import WorkClass

FEWEST_INTERACTIVE_PER_OVERNIGHT = 3
MOST_INTERACTIVE_PER_OVERNIGHT = 15
"""With all weight on stalls overnight work keeps 1 grant in 16, with none 1 in 4."""
QUEUE_ITEMS = 256
QUEUE_BYTES = 16 * 1024 * 1024
"""16 full batches of 16: more could not start within the longest interactive wait."""


@dataclass(frozen=True, order=True)
class Waiting:
    """A queued item with its place in the order."""

    tag: float
    number: int
    item: WorkItem = field(compare=False)


class QueueOrder(Protocol):
    """Gives an item its tag on arrival; lower goes first."""

    def tag(self, item: WorkItem) -> float:
        """Return the tag that the item would get now."""

    def queued(self, item: WorkItem, tag: float, spacing_s: float, now: float) -> None:
        """Note a queued item; a fair share gets one each ``spacing_s`` seconds."""

    def interactive_first(self) -> int | None:
        """Return the interactive grants per overnight one; None ignores classes."""


class ArrivalOrder:
    """First come, first served."""

    def tag(self, item: WorkItem) -> float:
        """Return the moment of arrival."""
        return item.arrived_at

    def queued(self, item: WorkItem, tag: float, spacing_s: float, now: float) -> None:
        """Remember nothing."""

    def interactive_first(self) -> int | None:
        """Ignore classes."""
        return None


class FairOrder:
    """Equal shares to customers that wait, interactive work first."""

    def __init__(self, stall_weight: float) -> None:
        span = MOST_INTERACTIVE_PER_OVERNIGHT - FEWEST_INTERACTIVE_PER_OVERNIGHT
        more = round(span * stall_weight)
        self._interactive_per_overnight = FEWEST_INTERACTIVE_PER_OVERNIGHT + more
        self._next_tag_by_share: dict[tuple[str, WorkClass], float] = {}

    def tag(self, item: WorkItem) -> float:
        """Return the arrival, or later while the customer's share is used up."""
        share = (item.customer, item.work_class)
        return max(item.arrived_at, self._next_tag_by_share.get(share, 0.0))

    def queued(self, item: WorkItem, tag: float, spacing_s: float, now: float) -> None:
        """Move the customer's next item of the class one share later."""
        self._next_tag_by_share[item.customer, item.work_class] = tag + spacing_s
        if len(self._next_tag_by_share) > QUEUE_ITEMS:
            self._forget(now)

    def interactive_first(self) -> int | None:
        """Return how many interactive grants go before one overnight grant."""
        return self._interactive_per_overnight

    def _forget(self, now: float) -> None:
        for share, tag in list(self._next_tag_by_share.items()):
            if tag <= now:
                del self._next_tag_by_share[share]


class WaitQueue:
    """Items that wait for a place, by adapter and class, bounded in count and bytes."""

    def __init__(
        self,
        *,
        order: QueueOrder,
        items_limit: int = QUEUE_ITEMS,
        bytes_limit: int = QUEUE_BYTES,
    ) -> None:
        self._order = order
        self._items_limit = items_limit
        self._bytes_limit = bytes_limit
        self._waiting_by_id: dict[str, Waiting] = {}
        self._lists_by_lora: dict[str, dict[WorkClass, list[Waiting]]] = {}
        self._items_by_class: Counter[WorkClass] = Counter()
        self._exclusive_ids: dict[str, None] = {}
        self._bytes = 0
        self._numbers = 0
        self._interactive_in_row = 0

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def __iter__(self) -> Iterator[WorkItem]:
        return (waiting.item for waiting in self._waiting_by_id.values())

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting_by_id

    @property
    def size_bytes(self) -> int:
        """Return the bytes of all bodies that wait."""
        return self._bytes

    @property
    def lora_names(self) -> Iterable[str]:
        """Return the adapters that are waited for."""
        return self._lists_by_lora.keys()

    def count(self, work_class: WorkClass) -> int:
        """Return the items of one class."""
        return self._items_by_class[work_class]

    def has_room(self, item: WorkItem) -> bool:
        """Say whether count and bytes allow one more item."""
        fits = self._bytes + item.size_bytes <= self._bytes_limit
        return len(self) < self._items_limit and fits

    def add(self, item: WorkItem, spacing_s: float, now: float) -> None:
        """Put an item in its place."""
        self._numbers += 1
        tag = self._order.tag(item)
        self._order.queued(item, tag, spacing_s, now)
        waiting = Waiting(tag, self._numbers, item)
        by_class = self._lists_by_lora.setdefault(item.target.lora_name, {})
        insort(by_class.setdefault(item.work_class, []), waiting)
        self._waiting_by_id[item.request_id] = waiting
        self._items_by_class[item.work_class] += 1
        if item.exclusive:
            self._exclusive_ids[item.request_id] = None
        self._bytes += item.size_bytes

    def ahead_of(
        self,
        item: WorkItem,
        lora_names: Collection[str],
    ) -> tuple[int, float]:
        """Return how many items would go first, and the tag the item would get.

        Items that wait for other adapters than the given ones hold up nobody.
        """
        tag = self._order.tag(item)
        ahead = 0
        for lora_name in lora_names:
            for work_class, entries in self._lists_by_lora.get(lora_name, {}).items():
                ahead += self._count_ahead(entries, work_class, item, tag)
        return ahead, tag

    def _count_ahead(
        self,
        entries: list[Waiting],
        work_class: WorkClass,
        item: WorkItem,
        tag: float,
    ) -> int:
        by_class = self._order.interactive_first() is not None
        if by_class and work_class is not item.work_class:
            return len(entries) if work_class is WorkClass.INTERACTIVE else 0
        return bisect_right(entries, tag, key=lambda waiting: waiting.tag)

    def adapters_waited_for(self, lora_names: Iterable[str]) -> int:
        """Return how many of the given adapters are waited for."""
        return sum(name in self._lists_by_lora for name in lora_names)

    def last_behind(self, item: WorkItem) -> WorkItem | None:
        """Return the last item that the given one goes before, if there is one."""
        tag = self._order.tag(item)
        behind = [
            waiting
            for waiting in self._waiting_by_id.values()
            if waiting.item.work_class is item.work_class and waiting.tag > tag
        ]
        return max(behind).item if behind else None

    def remove(self, request_id: str) -> WorkItem | None:
        """Take an item out; None if it does not wait."""
        waiting = self._waiting_by_id.pop(request_id, None)
        if waiting is None:
            return None
        item = waiting.item
        self._exclusive_ids.pop(request_id, None)
        by_class = self._lists_by_lora[item.target.lora_name]
        by_class[item.work_class].remove(waiting)
        if not by_class[item.work_class]:
            del by_class[item.work_class]
        if not by_class:
            del self._lists_by_lora[item.target.lora_name]
        self._items_by_class[item.work_class] -= 1
        self._bytes -= item.size_bytes
        return item

    def waiting_for(self, lora_name: str) -> list[WorkItem]:
        """Return the items that wait for an adapter, in order within each class."""
        by_class = self._lists_by_lora.get(lora_name, {})
        return [entry.item for entries in by_class.values() for entry in entries]

    def has_interactive(self, lora_name: str) -> bool:
        """Say whether interactive work waits for an adapter."""
        by_class = self._lists_by_lora.get(lora_name, {})
        return WorkClass.INTERACTIVE in by_class

    def next_item(self, lora_names: Iterable[str]) -> WorkItem | None:
        """Return the item to be served next among adapters that are loaded."""
        first_by_class: dict[WorkClass, Waiting] = {}
        for lora_name in lora_names:
            by_class = self._lists_by_lora.get(lora_name, {})
            for work_class, entries in by_class.items():
                best = first_by_class.get(work_class)
                if best is None or entries[0] < best:
                    first_by_class[work_class] = entries[0]
        if not first_by_class:
            return None
        return self._between_classes(first_by_class).item

    def next_exclusive(self, lora_names: Iterable[str]) -> WorkItem | None:
        """Return a crash suspect that could run now; all others wait until it has."""
        if not self._exclusive_ids:
            return None
        loaded = set(lora_names)
        for request_id in self._exclusive_ids:
            item = self._waiting_by_id[request_id].item
            if item.target.lora_name in loaded:
                return item
        return None

    def granted(self, item: WorkItem, overnight_waits: bool) -> None:
        """Count a grant for the turn of the classes."""
        if item.work_class is WorkClass.OVERNIGHT or not overnight_waits:
            self._interactive_in_row = 0
        else:
            self._interactive_in_row += 1

    def _between_classes(self, first_by_class: dict[WorkClass, Waiting]) -> Waiting:
        turns = self._order.interactive_first()
        interactive = first_by_class.get(WorkClass.INTERACTIVE)
        overnight = first_by_class.get(WorkClass.OVERNIGHT)
        if turns is None or interactive is None or overnight is None:
            return min(first_by_class.values())
        return overnight if self._interactive_in_row >= turns else interactive
