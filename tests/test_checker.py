"""The checker finds a violation of each promise and accepts correct histories."""

import pytest

from bench.checker import find_violations
from bench.history import (
    AdapterOrder,
    Edit,
    EndpointState,
    EntryFault,
    Event,
    History,
    Outcome,
    PlannedStop,
    Received,
    RunEnded,
    RunStarted,
    Sent,
    ServiceRun,
    StateRead,
    caller_request_id,
)
from bench.violations import Promise

V1 = "summaries@1"
V2 = "summaries@2"


def sent(at: float, request_id: str = "job1t0", **more: object) -> Sent:
    job = request_id.split("t")[0]
    fields = {"entry_vm": "e1", "entry": "summaries", **more}
    return Sent(at, request_id, job, **fields)  # type: ignore[arg-type]


def received(at: float, request_id: str = "job1t0", **more: object) -> Received:
    fields = {"outcome": Outcome.ANSWERED, **more}
    return Received(at, request_id, **fields)  # type: ignore[arg-type]


def started(at: float, request_id: str = "job1t0", lora_name: str = V1) -> RunStarted:
    return RunStarted(at, "g1", "boot", request_id, lora_name)


def ended(at: float, reason: str = "complete") -> RunEnded:
    return RunEnded(at, "g1", "boot", "job1t0", reason)


def unload(at: float) -> AdapterOrder:
    return AdapterOrder(at, "g1", "boot", "unload", V1, fencing=3, done=True)


def edit(at: float, lora_name: str, revision: int, **more: object) -> Edit:
    fields = {"accepted": True, "edit_id": f"edit-{lora_name}", **more}
    return Edit(
        at,
        sent_at=at - 0.1,
        entry="summaries",
        lora_name=lora_name,
        revision=revision,
        **fields,  # type: ignore[arg-type]
    )


def state(at: float, vm: str, revision: int, lora_name: str, **more: bool) -> StateRead:
    return StateRead(at, vm, 0, revision, {"summaries": lora_name}, **more)


def broken(at: float, request_id: str = "job1t0") -> Received:
    return received(at, request_id, outcome=Outcome.BROKEN)


FIRST_EDIT = edit(1.0, V1, 1)
CALL = {"entry": "booking", "idempotent": False}
WHOLE_RUN: list[Event] = [
    FIRST_EDIT,
    sent(10.0),
    started(10.1),
    ended(11.0),
    received(11.1, lora_name=V1),
]

VIOLATING: list[tuple[str, set[Promise], list[Event]]] = [
    (
        "ran on a version that was replaced long before",
        {Promise.RIGHT_VERSION},
        [FIRST_EDIT, edit(3.0, V2, 2), *WHOLE_RUN[1:]],
    ),
    (
        "ran on a version that no edit set",
        {Promise.RIGHT_VERSION},
        WHOLE_RUN[1:],
    ),
    (
        "answer names another version than the one that ran",
        {Promise.RIGHT_VERSION},
        [*WHOLE_RUN[:-1], received(11.1, lora_name=V2)],
    ),
    (
        "unloaded in the middle of a run",
        {Promise.NO_EVICTION},
        [*WHOLE_RUN, unload(10.5)],
    ),
    (
        "the engine evicts the adapter of a run",
        {Promise.NO_EVICTION},
        [*WHOLE_RUN[:3], ended(10.9, reason="evicted"), *WHOLE_RUN[4:]],
    ),
    (
        "answer with tokens of another request",
        {Promise.OWN_ANSWER},
        [*WHOLE_RUN[:-1], received(11.1, lora_name=V1, defect="token 3 is foreign")],
    ),
    (
        "a retry with the same key gets a different answer",
        {Promise.OWN_ANSWER},
        [
            sent(1.0, "job1t0", key="k", **CALL),
            ServiceRun(1.1, "s1", "job1t0", "k"),
            received(1.2, "job1t0", digest="a"),
            sent(2.0, "job1t1", key="k", **CALL),
            received(2.2, "job1t1", digest="b"),
        ],
    ),
    (
        "answered not run after it ran",
        {Promise.NOT_RUN},
        [*WHOLE_RUN[:-1], received(11.1, outcome=Outcome.NOT_RUN)],
    ),
    (
        "a keyed call runs for its first send and for its retry",
        {Promise.AT_MOST_ONCE},
        [
            sent(1.0, "job1t0", key="k", **CALL),
            ServiceRun(1.1, "s1", "job1t0.1", "k"),
            EntryFault(1.2, "e1", "killed", 1.2),
            broken(1.2),
            sent(2.0, "job1t1", key="k", **CALL),
            ServiceRun(2.1, "s2", "job1t1.1", "k"),
            received(2.2, "job1t1"),
        ],
    ),
    (
        "a run starts at an endpoint that has long been leaving",
        {Promise.LEAVING},
        [*WHOLE_RUN, EndpointState(2.0, "g1", leaving=True)],
    ),
    (
        "a stream is cut off by a planned stop",
        {Promise.PLANNED_STOP, Promise.ANSWERED},
        [*WHOLE_RUN[:-1], PlannedStop(10.2, "e1", 12.0, 0), broken(11.1)],
    ),
    (
        "a planned stop ends with an error",
        {Promise.PLANNED_STOP},
        [*WHOLE_RUN, PlannedStop(12.0, "e1", 13.0, 1)],
    ),
    (
        "an accepted edit is lost on one entry VM",
        {Promise.EDITS},
        [FIRST_EDIT, edit(2.0, V2, 2), state(20.0, "e1", 1, V1)],
    ),
    (
        "an accepted edit is reverted",
        {Promise.EDITS},
        [FIRST_EDIT, edit(2.0, V2, 2), state(20.0, "e1", 3, V1)],
    ),
    (
        "the revision of an entry VM goes down",
        {Promise.EDITS},
        [edit(2.0, V2, 2), state(3.0, "e1", 2, V2), state(4.0, "e1", 1, V1)],
    ),
    (
        "two entry VMs hold different states at one revision",
        {Promise.EDITS},
        [state(3.0, "e1", 2, V1), state(3.0, "e2", 2, V2)],
    ),
    (
        "entry VMs end at different revisions",
        {Promise.EDITS},
        [
            state(3.0, "e1", 2, V1, final=True),
            state(3.0, "e2", 3, V1, final=True),
        ],
    ),
    (
        "two racing edits are accepted as one revision",
        {Promise.EDITS},
        [edit(2.0, V1, 2), edit(2.0, V2, 2)],
    ),
    (
        "a request is cut off by an entry VM without a fault",
        {Promise.ANSWERED},
        [FIRST_EDIT, sent(10.0), broken(10.2), sent(11.0, "job1t1"), broken(12.0)],
    ),
    ("a request never ends", {Promise.ANSWERED}, [sent(10.0)]),
]

CORRECT: list[tuple[str, list[Event]]] = [
    ("one whole run", WHOLE_RUN),
    (
        "a version change shortly before the run",
        [*WHOLE_RUN, edit(9.0, V2, 2)],
    ),
    (
        "an edit whose answer was lost took effect",
        [FIRST_EDIT, edit(2.0, V2, -1, accepted=None), state(20.0, "e1", 2, V2)],
    ),
    ("unloaded after the run", [*WHOLE_RUN, unload(11.5)]),
    (
        "a keyed call repeated after its entry VM was killed runs once",
        [
            sent(1.0, "job1t0", key="k", **CALL),
            ServiceRun(1.1, "s1", "job1t0.1", "k"),
            EntryFault(1.2, "e1", "killed", 1.2),
            broken(1.2),
            sent(2.0, "job1t1", key="k", **CALL),
            received(2.2, "job1t1", outcome=Outcome.UNKNOWN),
        ],
    ),
    (
        "not run, then run elsewhere",
        [
            sent(1.0, "job1t0", **CALL),
            received(1.1, "job1t0", outcome=Outcome.NOT_RUN),
            sent(2.0, "job1t1", **CALL),
            ServiceRun(2.1, "s1", "job1t1"),
            received(2.2, "job1t1"),
        ],
    ),
    (
        "an endpoint leaves under a run and gets nothing new",
        [*WHOLE_RUN, EndpointState(10.5, "g1", leaving=True)],
    ),
    (
        "a planned stop lets a stream finish",
        [*WHOLE_RUN, PlannedStop(10.2, "e1", 12.0, 0)],
    ),
]


class TestChecker:
    """``find_violations`` on handwritten histories."""

    @pytest.mark.parametrize(
        ("promises", "events"),
        [
            pytest.param(promises, events, id=name)
            for name, promises, events in VIOLATING
        ],
    )
    def test_finds_the_violation(
        self,
        promises: set[Promise],
        events: list[Event],
    ) -> None:
        violations = find_violations(History(events))
        assert {violation.promise for violation in violations} == promises
        assert all(violation.events for violation in violations)

    @pytest.mark.parametrize(
        "events",
        [pytest.param(events, id=name) for name, events in CORRECT],
    )
    def test_accepts_a_correct_history(self, events: list[Event]) -> None:
        assert find_violations(History(events)) == []

    def test_every_promise_has_a_violating_history(self) -> None:
        assert set().union(*(found for _, found, _ in VIOLATING)) == set(Promise)


class TestRequestIds:
    """Runs are matched to the sends that caused them by request id."""

    def test_suffixes_of_the_entry_vm_are_dropped(self) -> None:
        assert caller_request_id("job12t3.0-e1") == "job12t3"
        assert caller_request_id("probe") == "probe"
