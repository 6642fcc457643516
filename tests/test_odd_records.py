"""Odd records of other writers, in every topic that a VM reads."""

import asyncio
import json
import logging
import math
from typing import Any

import pytest

from bamboovale.errors import MAX_ERROR_CHARS
from bamboovale.fleet.messages import Gossip
from bamboovale.fleet.topic_changes import TopicChanges
from bamboovale.gateway.journal import BURST_LINES, Journal
from bamboovale.peers import codec
from bamboovale.platform.endpoints import decode_endpoint
from bamboovale.store.interface import KeyedRecord
from bamboovale.store.odd_records import MAX_KEY_CHARS, log_odd_record
from bamboovale.store.position import Position
from bamboovale.store.record_guard import RECORDS_AT_ONCE, RecordGuard
from tests.gateway_site import (
    RecordedJournal,
    RunningVM,
    Site,
    configuration,
    eventually,
    run,
    running_site,
)
from tests.test_gateway_parts import ENDPOINT_RECORD


class TestLogLine:
    """The line of a record that is left out."""

    def test_it_names_the_record_and_is_short_for_one_of_any_size(self) -> None:
        """Guards against records that cannot be found, or fill the log."""
        journal = RecordedJournal("vm")
        record = KeyedRecord("k" * 300, b"x", Position.at(2, 17))
        log_odd_record(journal, "keyed.t", record, ValueError("y" * 200_000))
        [line] = journal.of("bad_record")
        assert (line["topic"], line["offset"]) == ("keyed.t", 17)
        assert line["key"].startswith("kk") and "ValueError" in line["error"]
        assert (
            len(line["key"]) + len(line["error"]) < MAX_ERROR_CHARS + MAX_KEY_CHARS + 9
        )


TOPICS = {
    "keyed.servers": "i-odd",
    "keyed.op": "config",
    "keyed.entries": "entry-odd",
    "keyed.streams": "0.odd",
}
"""Every topic that a VM reads, with a key that it decodes."""


def deep(depth: int) -> bytes:
    """Return a document that is nested too deeply for the decoder."""
    return b"[" * depth + b"]" * depth


def endpoint(**fields: Any) -> bytes:
    """Return an endpoint's record with other fields."""
    return json.dumps({**ENDPOINT_RECORD, **fields}).encode()


ODD = {
    "deep": deep(100_000),
    "no_utf_8": b"\xff\xfe",
    "digits_5000": b"9" * 5000,
    "infinite": b"[1e400, 1e400]",
    "not_a_number": b"NaN",
    "empty": b"",
    "surrogate": b'"\\ud800"',
    "adapter_of_5000_digits": endpoint(
        models=[{"name": "m", "adapters": ["a1@" + "9" * 5000]}]
    ),
    "remaining_infinite": endpoint(**{"remaining-ms": math.inf}),
    "remaining_of_400_digits": endpoint(**{"remaining-ms": 10**400}),
    "address_with_port_infinite": b'["127.0.0.1", 1e400]',
    "starts_of_5000_digits": b'[[["r1"], "llm", "v", null, 1' + b"0" * 400 + b"]]",
}


async def put_raw(site: Site, topic: str, key: str, value: bytes) -> None:
    """Write a record's bytes as they are."""
    site.store._topic(topic).append(key, value)
    async with site.store._changed:
        site.store._changed.notify_all()


async def follows(site: Site, name: str) -> None:
    """Check that every VM sees a new endpoint, a configuration and a new VM."""
    await site.add_service(name)
    known = len(site.services) + len(site.runners)
    version = 2 + len(site.services)
    await site.store.put("keyed.op", "config", configuration(version=version))
    for item in site.vms:
        await eventually(lambda vm=item.vm: len(vm.dump()["endpoints"]) == known)
        await eventually(lambda vm=item.vm: vm.state.table.version == version)
        assert await item.vm._streams.records.read_new()


def knows_peers(item: RunningVM) -> bool:
    """Return whether a VM of three knows the others."""
    return len([up for up in item.vm.dump()["peers"].values() if up]) >= 2


class TestKnownEndpoint:
    """An endpoint whose sound record an odd one replaces."""

    def test_it_gets_no_new_work_until_it_is_sound_again(self) -> None:
        """Guards against an odd record that is taken for a removal."""

        async def test() -> None:
            async with running_site() as site:
                [item] = site.vms
                view = item.vm.state.endpoints
                [known] = [r for r in view.record_by_id.values() if r.service == "llm"]
                sound = json.dumps(site.store.newest("keyed.servers", "runner-0"))
                await put_raw(site, "keyed.servers", "runner-0", ODD["deep"])
                await eventually(lambda: not view.is_ready(known.endpoint_id))
                assert known.endpoint_id in view.record_by_id
                await put_raw(site, "keyed.servers", "runner-0", sound.encode())
                await eventually(lambda: view.is_ready(known.endpoint_id))

        run(test())


class TestOddRecords:
    """One odd record among sound ones, in each topic."""

    @pytest.mark.parametrize("topic", TOPICS)
    def test_a_vm_follows_on_after_each_kind(self, topic: str) -> None:
        """Guards against a VM that is ready and sees no change any more."""

        async def test() -> None:
            async with running_site(vms=2) as site:
                for name, value in ODD.items():
                    await put_raw(site, topic, TOPICS[topic], value)
                    if topic == "keyed.streams":
                        await site.vms[0].vm._streams.records.read_new()
                    await asyncio.sleep(0.1)
                    key = TOPICS[topic] if topic == "keyed.op" else f"odd.{name}"
                    await put_raw(site, topic, key, value)
                await follows(site, "service-new")
                added = await site.add_vm("entry-new")
                await eventually(added.vm.state.serving)
                await eventually(lambda: all(map(knows_peers, site.vms)))
                await follows(site, "service-last")
                failed = [vm.journal.of("task_failed") for vm in site.vms]
                assert not any(failed)

        run(test())


class TestChangesForOtherVMs:
    """Records that a VM passes on to those that do not read."""

    def test_large_records_fit_into_a_message(self) -> None:
        """Guards against records that are sound and too large for other VMs."""
        changes = TopicChanges()
        changes.advance(0, [])
        for offset in range(100):
            changes.advance(offset + 1, [("e", b"x" * 200_000, offset)])
        first, rows = changes.rows_from(0)
        assert first == rows[0][2] > 0 and rows[-1][2] == 99
        codec.encode(Gossip(0, 0, 0, first, 100, rows=tuple(rows)))

    def test_one_that_no_message_holds_is_read_from_the_store(self) -> None:
        changes = TopicChanges()
        changes.advance(0, [])
        changes.advance(1, [("e", b"x" * 5_000_000, 0)])
        changes.advance(2, [("f", b"x", 1)])
        assert changes.rows_from(0) == (1, [("f", b"x", 1)])


class TestVeryMany:
    """A topic with 100,000 odd records, met at a start."""

    COUNT = 100_000

    def test_they_cost_few_lines_and_other_tasks_go_on(self) -> None:
        """Guards against a log line for each, and requests that wait for all."""

        async def test() -> None:
            logger, lines = logging.getLogger("tests.odd"), CountedLines()
            logger.handlers, logger.propagate = [lines], False
            logger.setLevel(logging.INFO)
            journal = Journal("vm", logger, now=lambda: 0.0)
            sound: list[str] = []

            def on_record(record: KeyedRecord) -> None:
                decode_endpoint(record.key, record.value or b"")
                sound.append(record.key)

            guard = RecordGuard("keyed.servers", journal, on_record)
            odd = ODD["adapter_of_5000_digits"]
            records = [KeyedRecord("odd", odd, n) for n in range(self.COUNT)]
            records.append(KeyedRecord("sound", endpoint(), self.COUNT))
            applying = asyncio.create_task(guard.apply_all(records))
            turns = 0
            while not applying.done():
                await asyncio.sleep(0)
                turns += 1
            assert sound == ["sound"]
            assert turns >= self.COUNT / RECORDS_AT_ONCE
            assert lines.count <= BURST_LINES
            assert lines.chars < 1_000 * lines.count

        run(test())


class CountedLines(logging.Handler):
    """Counts log lines and their length."""

    def __init__(self) -> None:
        super().__init__()
        self.count = 0
        self.chars = 0

    def emit(self, record: logging.LogRecord) -> None:
        self.count += 1
        self.chars += len(record.getMessage())
