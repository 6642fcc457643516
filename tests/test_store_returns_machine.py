"""What three VMs hold of a store that returns from older copies, in virtual time."""

import asyncio
import copy

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from bench.store_simulation import LEAVING, READY, ModelVM, SharedStore
from bench.virtual_loop import run_in_virtual_time

VMS = 3
ENDPOINTS = ("a", "b", "c")
GOSSIP_S = 0.1
SETTLED_S = 8.0

Step = tuple[str, int, float]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["start", "leave", "go", "return", "again", "cut"]),
        st.sampled_from([0, 0, 1, 2]),
        st.sampled_from([0.0, 0.05, 0.4, 1.5, 4.0]),
    ),
    min_size=3,
    max_size=25,
)


class Play:
    """Steps of the store, its writers and the links, in any order."""

    def __init__(self) -> None:
        self.store = SharedStore()
        self.copies: list[list[tuple[str, bytes | None]]] = []
        self.starts = 0
        self.id_by_name: dict[str, str] = {}

    def apply(self, step: str, number: int, vms: list[ModelVM]) -> None:
        """Apply one step; endpoints start under new ids, leave, then go.

        The store returns as it was before the last steps.
        """
        self.copies.append(copy.copy(self.store.records))
        name = ENDPOINTS[number]
        known = self.id_by_name.get(name)
        value = None if known is None else self.store.written.get(known)
        if step == "start" and value is None:
            self.starts += 1
            self.id_by_name[name] = f"{name}{self.starts}"
            self.store.append(self.id_by_name[name], READY)
        elif step == "leave" and known is not None and value == READY:
            self.store.append(known, LEAVING)
        elif step == "go" and known is not None and value is not None:
            self.store.append(known, None)
        elif step == "return":
            self.store.return_from(self.copies[-2 - number :][0])
        elif step == "again":
            self.store.write_again()
        elif step == "cut":
            vms[number].link.is_cut = not vms[number].link.is_cut

    async def run(self, steps: list[Step]) -> None:
        """Play the steps; in the end all VMs hold what the store holds."""
        vms = [ModelVM(self.store, reads=number < VMS - 1) for number in range(VMS)]
        tasks = [asyncio.ensure_future(vm.follower.follow()) for vm in vms]
        tasks += [asyncio.ensure_future(vm.view.watch_expired()) for vm in vms]
        tasks.append(asyncio.ensure_future(self._gossip(vms)))
        for step, number, pause_s in steps:
            self.apply(step, number, vms)
            await asyncio.sleep(pause_s)
        for vm in vms:
            vm.link.is_cut = False
        self.store.write_again()
        await asyncio.sleep(SETTLED_S)
        self.store.append("last", READY)
        await asyncio.sleep(SETTLED_S)
        expected = {
            key: value == READY for key, (_, value) in self.store.newest().items()
        }
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result
        for vm in vms:
            held = {k: r.ready for k, r in vm.view.record_by_id.items()}
            assert held == expected

    async def _gossip(self, vms: list[ModelVM]) -> None:
        while True:
            await asyncio.sleep(GOSSIP_S)
            for vm in vms:
                for other in vms:
                    if other is not vm:
                        vm.hear(other)


class TestReturnsOfTheStore:
    """Guards against VMs that miss what is written anew, or believe what was lost."""

    @settings(max_examples=100, deadline=None)
    @example([("start", 0, 0.05), ("return", 0, 0.4), ("return", 0, 0.0)])
    @example([("start", 0, 0.05), ("return", 0, 4.0), ("return", 0, 0.0)])
    @example([("start", 0, 0.05), ("return", 0, 1.5), ("start", 0, 4.0)])
    @example([("start", 0, 0.4), ("leave", 0, 0.4), ("return", 0, 1.5)])
    @example([("start", 0, 4.0), ("go", 0, 0.4), ("return", 0, 1.5), ("cut", 0, 0.0)])
    @given(STEPS)
    def test_all_vms_hold_what_the_store_holds(self, steps: list[Step]) -> None:
        run_in_virtual_time(Play().run(steps))

    @pytest.mark.parametrize("writes", [1, 2, 3, 4])
    def test_a_return_below_at_and_above_the_offset_that_was_read(
        self, writes: int
    ) -> None:
        """Guards against readers that ask by offset alone."""
        written: list[Step] = [("leave", n, 0.0) for n in range(writes - 1)]
        steps: list[Step] = [
            ("start", 0, 0.0),
            ("start", 1, 0.0),
            ("start", 2, 0.4),
            ("return", 1, 0.0),
            ("leave", 0, 0.0),
            *written,
        ]
        run_in_virtual_time(Play().run(steps))

    def test_an_endpoint_that_leaves_between_two_returns_is_known(self) -> None:
        """Guards against a VM that drops a leaving endpoint which is written again."""
        steps: list[Step] = [
            ("start", 0, 0.0),
            ("return", 0, 0.0),
            ("leave", 0, 0.05),
            ("return", 0, 4.0),
            ("return", 0, 0.0),
        ]
        run_in_virtual_time(Play().run(steps))
