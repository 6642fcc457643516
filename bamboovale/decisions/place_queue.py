"""The requests that wait for a place at one engine, in the order of their goals.

Under overload, first come, first served makes every request late by the same wait.
Requests that can still meet their goal go first; those that are late already get the
remaining places. A less urgent rank delays a request by a bounded time, so that none
waits for ever.
"""

from collections.abc import Callable, Iterable, Iterator

from bamboovale.decisions.adapter_slots import AdapterSlots
from bamboovale.decisions.mechanisms import Mechanism, Mechanisms
from bamboovale.decisions.place_work import AdapterKey, QueuedRequest
from bamboovale.decisions.prompt_pacing import PromptPacing

FIRST_TOKEN_S = 0.1
"""Time from the start of a run to its first event, without the prefill."""
RANK_DELAY_S = 0.3
"""Time by which a request of the next rank may be due earlier and still comes later."""


class PlaceQueue:
    """The queue of one engine; times are seconds on its owner's clock."""

    def __init__(
        self, slots: AdapterSlots, pacing: PromptPacing, mechanisms: Mechanisms
    ) -> None:
        self._slots = slots
        self._pacing = pacing
        self._by_goal = mechanisms.has(Mechanism.GOAL_ORDER)
        by_rank = mechanisms.has(Mechanism.RANK_ORDER)
        self._rank_delay_s = RANK_DELAY_S if by_rank else 0.0
        self._requests: list[QueuedRequest] = []
        self._paced_since: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self._requests)

    @property
    def requests(self) -> list[QueuedRequest]:
        """Return the requests in the order of the last ``sort``."""
        return self._requests

    def add(self, request: QueuedRequest) -> None:
        """Add a request at the end."""
        self._requests.append(request)

    def remove(self, is_removed: Callable[[QueuedRequest], bool]) -> None:
        """Remove the requests for which the predicate holds."""
        self._requests = [item for item in self._requests if not is_removed(item)]

    def keep(self, requests: Iterable[QueuedRequest]) -> None:
        """Keep only these requests, in their order."""
        self._requests = list(requests)
        if len(self._paced_since) > len(self._requests):
            waiting = {request.ask_id for request in self._requests}
            for ask_id in self._paced_since.keys() - waiting:
                del self._paced_since[ask_id]

    def sort(self, now: float) -> None:
        """Sort the requests by whether they can meet their goal, by goal and rank."""
        if self._by_goal:
            self._requests.sort(key=lambda request: self._position(request, now))

    def _position(self, request: QueuedRequest, now: float) -> tuple[bool, float]:
        is_loaded = self._slots.is_loaded(request.key)
        start_s = 0.0 if is_loaded else self._slots.times.expected_s()
        prefill_s = self._pacing.prefill_s(request.prompt_tokens)
        late = now + start_s + prefill_s + FIRST_TOKEN_S > request.goal_at
        due_at = request.latest_start if late else request.goal_at
        return late, due_at + self._rank_delay_s * request.rank

    def keys(self) -> set[AdapterKey | None]:
        """Return the adapters that are waited for."""
        return {request.key for request in self._requests}

    # Waits that are due to pacing alone.

    def note_paced(self, request: QueuedRequest, now: float) -> None:
        """Record that only pacing keeps a request waiting."""
        self._paced_since.setdefault(request.ask_id, now)

    def end_pacing(self, request: QueuedRequest, now: float) -> float:
        """Return for how long only pacing kept a request waiting that starts now."""
        return now - self._paced_since.pop(request.ask_id, now)
