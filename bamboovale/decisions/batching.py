"""Orders the requests that wait for a place in an engine's batch.

Guards against long overnight jobs or the flood of one customer that delay all other
requests, and against interactive work that starves overnight work.

Within a class, items are ordered by a tag that is fixed on arrival (start-time fair
queueing): the time of arrival, or later if the customer's earlier items already use up
its share. Between classes interactive items go first, but overnight items that wait get
every n-th grant.
"""

from bisect import bisect_right, insort
from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from bamboovale.decisions.work import WorkItem
from bamboovale.models import WorkClass

MIN_INTERACTIVE_PER_OVERNIGHT = 3
MAX_INTERACTIVE_PER_OVERNIGHT = 15
"""Interactive grants before an overnight one, by the weight of load stalls: with all
weight on stalls overnight work keeps 1 grant in 16, with none 1 in 4."""
QUEUE_ITEMS = 256
QUEUE_BYTES = 16 * 1024 * 1024
"""More requests could not start within the longest interactive wait."""


@dataclass(frozen=True, order=True)
class QueueEntry:
    """A queued item and its position in the order."""

    tag: float
    number: int
    item: WorkItem = field(compare=False)


class QueueOrder(Protocol):
    """Assigns a tag to an item on arrival; lower tags go first."""

    def tag(self, item: WorkItem) -> float:
        """Return the tag that the item would get if it were queued now."""

    def on_queued(
        self, item: WorkItem, tag: float, spacing_s: float, now: float
    ) -> None:
        """Record a queued item; a fair share gets one each ``spacing_s`` seconds."""

    def interactive_per_overnight(self) -> int | None:
        """Return the interactive grants per overnight one; None ignores classes."""


class ArrivalOrder:
    """First come, first served."""

    def tag(self, item: WorkItem) -> float:
        """Return the time of arrival."""
        return item.arrived_at

    def on_queued(
        self, item: WorkItem, tag: float, spacing_s: float, now: float
    ) -> None:
        """Do nothing: the order depends on arrival alone."""

    def interactive_per_overnight(self) -> int | None:
        """Return None: classes are ignored."""
        return None


class FairOrder:
    """Equal shares for customers with queued work, interactive work first."""

    def __init__(self, stall_weight: float) -> None:
        span = MAX_INTERACTIVE_PER_OVERNIGHT - MIN_INTERACTIVE_PER_OVERNIGHT
        more = round(span * stall_weight)
        self._interactive_per_overnight = MIN_INTERACTIVE_PER_OVERNIGHT + more
        self._next_tag_by_share: dict[tuple[str, WorkClass], float] = {}

    def tag(self, item: WorkItem) -> float:
        """Return the arrival, or a later time if the customer has used its share."""
        share = (item.customer, item.work_class)
        return max(item.arrived_at, self._next_tag_by_share.get(share, 0.0))

    def on_queued(
        self, item: WorkItem, tag: float, spacing_s: float, now: float
    ) -> None:
        """Move the tag of the customer's next item in the class by one share."""
        self._next_tag_by_share[item.customer, item.work_class] = tag + spacing_s
        if len(self._next_tag_by_share) > QUEUE_ITEMS:
            self._remove_past_tags(now)

    def interactive_per_overnight(self) -> int | None:
        """Return the interactive grants before an overnight one."""
        return self._interactive_per_overnight

    def _remove_past_tags(self, now: float) -> None:
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
        self._entry_by_id: dict[str, QueueEntry] = {}
        self._entries_by_lora: dict[str, dict[WorkClass, list[QueueEntry]]] = {}
        self._items_by_class: Counter[WorkClass] = Counter()
        self._exclusive_ids: dict[str, None] = {}
        self._bytes = 0
        self._last_number = 0
        self._interactive_in_row = 0

    def __len__(self) -> int:
        return len(self._entry_by_id)

    def __iter__(self) -> Iterator[WorkItem]:
        return (entry.item for entry in self._entry_by_id.values())

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entry_by_id

    @property
    def size_bytes(self) -> int:
        """Return the bytes of all queued bodies."""
        return self._bytes

    @property
    def lora_names(self) -> Iterable[str]:
        """Return the adapters of queued items."""
        return self._entries_by_lora.keys()

    def count(self, work_class: WorkClass) -> int:
        """Return the number of queued items of one class."""
        return self._items_by_class[work_class]

    def has_room(self, item: WorkItem) -> bool:
        """Return whether count and bytes allow one more item."""
        fits = self._bytes + item.size_bytes <= self._bytes_limit
        return len(self) < self._items_limit and fits

    def add(self, item: WorkItem, spacing_s: float, now: float) -> None:
        """Queue an item."""
        self._last_number += 1
        tag = self._order.tag(item)
        self._order.on_queued(item, tag, spacing_s, now)
        entry = QueueEntry(tag, self._last_number, item)
        by_class = self._entries_by_lora.setdefault(item.target.lora_name, {})
        insort(by_class.setdefault(item.work_class, []), entry)
        self._entry_by_id[item.request_id] = entry
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

        Only items that wait for the given adapters count.
        """
        tag = self._order.tag(item)
        ahead = 0
        for lora_name in lora_names:
            for work_class, entries in self._entries_by_lora.get(lora_name, {}).items():
                ahead += self._count_ahead(entries, work_class, item, tag)
        return ahead, tag

    def _count_ahead(
        self,
        entries: list[QueueEntry],
        work_class: WorkClass,
        item: WorkItem,
        tag: float,
    ) -> int:
        by_class = self._order.interactive_per_overnight() is not None
        if by_class and work_class is not item.work_class:
            return len(entries) if work_class is WorkClass.INTERACTIVE else 0
        return bisect_right(entries, tag, key=lambda entry: entry.tag)

    def count_waited_adapters(self, lora_names: Iterable[str]) -> int:
        """Return how many of the given adapters have queued items."""
        return sum(name in self._entries_by_lora for name in lora_names)

    def last_behind(self, item: WorkItem) -> WorkItem | None:
        """Return the last item of the class behind the given one, if any."""
        tag = self._order.tag(item)
        behind = [
            entry
            for entry in self._entry_by_id.values()
            if entry.item.work_class is item.work_class and entry.tag > tag
        ]
        return max(behind).item if behind else None

    def remove(self, request_id: str) -> WorkItem | None:
        """Remove and return an item; None if it is not queued."""
        entry = self._entry_by_id.pop(request_id, None)
        if entry is None:
            return None
        item = entry.item
        self._exclusive_ids.pop(request_id, None)
        by_class = self._entries_by_lora[item.target.lora_name]
        by_class[item.work_class].remove(entry)
        if not by_class[item.work_class]:
            del by_class[item.work_class]
        if not by_class:
            del self._entries_by_lora[item.target.lora_name]
        self._items_by_class[item.work_class] -= 1
        self._bytes -= item.size_bytes
        return item

    def waiting_for(self, lora_name: str) -> list[WorkItem]:
        """Return the items queued for an adapter, in order within each class."""
        by_class = self._entries_by_lora.get(lora_name, {})
        return [entry.item for entries in by_class.values() for entry in entries]

    def has_interactive(self, lora_name: str) -> bool:
        """Return whether interactive items wait for an adapter."""
        by_class = self._entries_by_lora.get(lora_name, {})
        return WorkClass.INTERACTIVE in by_class

    def next_item(self, lora_names: Iterable[str]) -> WorkItem | None:
        """Return the next item to grant among loaded adapters."""
        first_by_class: dict[WorkClass, QueueEntry] = {}
        for lora_name in lora_names:
            by_class = self._entries_by_lora.get(lora_name, {})
            for work_class, entries in by_class.items():
                best = first_by_class.get(work_class)
                if best is None or entries[0] < best:
                    first_by_class[work_class] = entries[0]
        if not first_by_class:
            return None
        return self._choose_class(first_by_class).item

    def next_exclusive(self, lora_names: Iterable[str]) -> WorkItem | None:
        """Return a crash suspect whose adapter is loaded, if one waits."""
        if not self._exclusive_ids:
            return None
        loaded = set(lora_names)
        for request_id in self._exclusive_ids:
            item = self._entry_by_id[request_id].item
            if item.target.lora_name in loaded:
                return item
        return None

    def on_granted(self, item: WorkItem, overnight_waits: bool) -> None:
        """Count a grant for the ratio between the classes."""
        if item.work_class is WorkClass.OVERNIGHT or not overnight_waits:
            self._interactive_in_row = 0
        else:
            self._interactive_in_row += 1

    def _choose_class(self, first_by_class: dict[WorkClass, QueueEntry]) -> QueueEntry:
        interactive_grants = self._order.interactive_per_overnight()
        interactive = first_by_class.get(WorkClass.INTERACTIVE)
        overnight = first_by_class.get(WorkClass.OVERNIGHT)
        if interactive_grants is None or interactive is None or overnight is None:
            return min(first_by_class.values())
        return (
            overnight if self._interactive_in_row >= interactive_grants else interactive
        )
