"""Odd records of other writers, in every topic that a VM reads."""

from bamboovale.store.interface import KeyedRecord
from bamboovale.store.odd_records import MAX_ERROR_CHARS, MAX_KEY_CHARS, log_odd_record
from bamboovale.store.position import Position
from tests.gateway_site import RecordedJournal


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
