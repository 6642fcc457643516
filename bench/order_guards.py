"""Guards of an engine's room: what its owners believe of slots and order numbers."""

from bench.guard import Change, EndpointPromise, Guard

ORDERS = "tests/test_gateway_orders.py"
ENGINE = f"{ORDERS}::TestSlotsOfAnEngine"
TURNS = "tests/test_order_turns.py::TestChangesOfOwner"
OWNERSHIP_PATH = "bamboovale/gateway/ownership.py"
SLOTS = "tests/test_decisions_engine_places.py::TestSlots"
SLOTS_PATH = "bamboovale/decisions/adapter_slots.py"

ORDER_GUARDS = (
    Guard(
        "an owner that holds an engine again waits its turn",
        EndpointPromise.TURNS,
        f"{TURNS}::test_nobody_returns_within_the_lease_time",
        (
            Change(
                OWNERSHIP_PATH,
                "        if not self._turns.may_order(engine_id, since, orders):",
                "        if False:",
            ),
        ),
    ),
    Guard(
        "a partition that went and came between two renewals is held anew",
        EndpointPromise.TURNS,
        f"{TURNS}::test_nobody_returns_within_the_lease_time",
        (
            Change(
                OWNERSHIP_PATH,
                "        if self._may_have_missed_a_holder(_generation(membership)):",
                "        if False:",
            ),
        ),
    ),
    Guard(
        "an owner that was fenced waits its turn",
        EndpointPromise.TURNS,
        f"{TURNS}::test_an_owner_that_was_fenced_waits_before_it_goes_on",
        (
            Change(
                OWNERSHIP_PATH,
                "            self._turns.on_fenced(engine_id)",
                "            pass",
            ),
        ),
    ),
    Guard(
        "a new version in transit keeps its slot",
        EndpointPromise.ROOM,
        f"{ENGINE}::test_owners_in_turn_never_overfill_an_engine",
        (
            Change(
                "bamboovale/decisions/adapter_slot.py",
                "self.active or self.aborted_at or self.in_transit",
                "self.active or self.aborted_at",
            ),
        ),
    ),
    Guard(
        "a report that shows all orders is the whole truth",
        EndpointPromise.ROOM,
        f"{ENGINE}::test_reports_of_all_ages_never_overfill_an_engine",
        (
            Change(
                SLOTS_PATH,
                "        if report.missing_orders == 0 and is_gone:\n",
                "        if False:\n",
            ),
        ),
    ),
    Guard(
        "a report that misses orders ends no load",
        EndpointPromise.ROOM,
        f"{ENGINE}::test_no_change_of_owner_overfills_an_engine",
        (
            Change(
                SLOTS_PATH, "        if report.missing_orders:\n", "        if False:\n"
            ),
        ),
    ),
    Guard(
        "a report that misses an unload does not undo it",
        EndpointPromise.ROOM,
        f"{SLOTS}::test_an_unload_that_a_report_does_not_show_yet_stays_done",
        (
            Change(
                SLOTS_PATH,
                "        if report.missing_orders is None:\n            predates",
                "        if True:\n            predates",
            ),
        ),
    ),
    Guard(
        "nothing is ordered while an unload waits",
        EndpointPromise.ROOM,
        f"{SLOTS}::test_nothing_is_ordered_while_an_unload_waits_for_a_run",
        (
            Change(
                "bamboovale/decisions/load_orders.py",
                "        if self.is_open or self._slots.engine_is_busy:\n",
                "        if self.is_open:\n",
            ),
        ),
    ),
    Guard(
        "an order expects the number it was decided on",
        EndpointPromise.ROOM,
        f"{ORDERS}::TestDecisionAndNumber",
        (
            Change(
                "bamboovale/gateway/engine_owner.py",
                "self._orders.send(action, expected)",
                "self._orders.send(action, self._orders.accepted_orders())",
            ),
        ),
    ),
    Guard(
        "all tries of an order expect the same number",
        EndpointPromise.ROOM,
        f"{ENGINE}::test_no_change_of_owner_overfills_an_engine",
        (
            Change(
                "bamboovale/gateway/order_sender.py",
                "            is_stale = self._accepted_orders != expected\n",
                "            expected = self._accepted_orders\n"
                "            is_stale = False\n",
            ),
        ),
    ),
)
