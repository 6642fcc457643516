"""Converts the records of the stand-ins into events of one history."""

from collections.abc import Iterable, Iterator
from dataclasses import replace
from typing import Any

from bench.cluster import Cluster
from bench.history import (
    AdapterOrder,
    Event,
    History,
    LogRecord,
    RunEnded,
    RunStarted,
    Sent,
    ServiceRun,
)

Recorded = dict[str, Any]


def collect_history(cluster: Cluster) -> History:
    """Return the history of a cluster's run so far."""
    id_by_address = cluster.entry_id_by_callers_address
    events = [
        _set_entry_id(event, id_by_address) for event in cluster.recorder.events()
    ]
    for standin in cluster.standin_by_id.values():
        recorded = standin.read_history()
        if standin.kind == "engine":
            events += read_engine(standin.id, recorded)
        elif standin.kind == "service":
            events += read_service(standin.id, recorded)
        elif standin.kind == "log":
            events += read_log(recorded)
    return History(events)


def _set_entry_id(event: Event, id_by_address: dict[str, str]) -> Event:
    """Replace the address of a send by the id of its entry VM."""
    if not isinstance(event, Sent):
        return event
    return replace(event, entry_vm=id_by_address.get(event.entry_vm, event.entry_vm))


def read_engine(endpoint: str, recorded: Iterable[Recorded]) -> Iterator[Event]:
    """Yield the runs and orders of an engine.

    An engine that resumes a run after its stream broke records another start under the
    same id. Such starts are marked ``again``, because both belong to one run.
    """
    boot_id = ""
    resumed: set[str] = set()
    for event in recorded:
        at = event["time"]
        kind = event["event"]
        if kind == "boot":
            boot_id = event["boot_id"]
        elif kind == "run_resume":
            resumed.add(event["request_id"])
        elif kind == "run_start":
            request_id = event["request_id"]
            again = request_id in resumed
            resumed.discard(request_id)
            yield RunStarted(at, endpoint, boot_id, request_id, event["model"], again)
        elif kind == "run_end":
            yield RunEnded(at, endpoint, boot_id, event["request_id"], event["outcome"])
        elif kind in ("load", "unload"):
            yield _read_order(endpoint, boot_id, event, done=True)
        elif kind == "order_refused":
            yield _read_order(endpoint, boot_id, event, done=False)


def _read_order(
    endpoint: str,
    boot_id: str,
    event: Recorded,
    *,
    done: bool,
) -> AdapterOrder:
    order = event["event"]
    if not done:
        order = "unload" if "unload" in event["order"] else "load"
    return AdapterOrder(
        event["time"],
        endpoint=endpoint,
        boot_id=boot_id,
        order=order,
        lora_name=event["model"],
        fencing=int(event.get("token") or -1),
        done=done,
    )


def read_service(endpoint: str, recorded: Iterable[Recorded]) -> Iterator[Event]:
    """Yield the runs of a plain service."""
    for event in recorded:
        if event["event"] == "run":
            yield ServiceRun(
                event["time"],
                endpoint=endpoint,
                request_id=event["request_id"] or "",
                key=event["key"] or "",
            )


def read_log(recorded: Iterable[Recorded]) -> Iterator[Event]:
    """Yield the records that were appended."""
    for event in recorded:
        if event["event"] == "append":
            yield LogRecord(event["time"], event["stream"], event["offset"])
