"""A VM that stops leaves the group of owners for good."""

import asyncio
from typing import Any

from bamboovale.gateway.ownership import Ownership
from bench.virtual_loop import run_in_virtual_time
from tests.gateway_site import RecordedJournal

ANSWER_S = 0.05


class GroupStore:
    """Counts the joins and leaves of one member; each answer takes a while."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    async def join(self, *args: Any, **options: Any) -> Any:
        self.calls.append("join")
        await asyncio.sleep(ANSWER_S)

    async def leave(self, *args: Any) -> None:
        self.calls.append("leave")
        await asyncio.sleep(ANSWER_S)


def ownership_of(store: GroupStore) -> Ownership:
    ownership = Ownership(
        "vm",
        4,
        store,  # type: ignore[arg-type]
        RecordedJournal("vm"),
        engines_check_fencing=True,
        settle_s=0.0,
        on_change=lambda: None,
        clock=lambda: asyncio.get_running_loop().time(),
    )
    ownership._apply = lambda membership: None  # type: ignore[method-assign]
    return ownership


class TestLeave:
    """Guards against partitions that the store gives to a VM which stops."""

    def test_no_join_follows_a_leave(self) -> None:
        async def test() -> None:
            store = GroupStore()
            ownership = ownership_of(store)
            renewal = asyncio.ensure_future(ownership.renew_forever())
            await asyncio.sleep(0.3)
            await ownership.leave()
            await asyncio.sleep(5.0)
            assert store.calls == ["join", "leave"]
            assert renewal.done()

        run_in_virtual_time(test())

    def test_a_join_in_flight_is_followed_by_another_leave(self) -> None:
        async def test() -> None:
            store = GroupStore()
            ownership = ownership_of(store)
            renewal = asyncio.ensure_future(ownership.renew_forever())
            await asyncio.sleep(ANSWER_S / 2)
            await ownership.leave()
            await renewal
            assert store.calls == ["join", "leave", "leave"]

        run_in_virtual_time(test())
