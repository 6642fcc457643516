"""The log client against the stand-in of the log."""

from bamboovale.http_client import HttpClient
from bamboovale.log_service.log_client import MAX_RECORDS_PER_READ, LogClient
from bamboovale.standins import log
from bamboovale.standins.server import running


class TestRead:
    """What a read tells of the stream."""

    def test_a_full_batch_does_not_look_like_the_end(self) -> None:
        # A VM starts on a stream that is longer than one answer. It takes the first
        # five hundred edits for all and serves half a catalogue, the older half.
        with running(log.create_server("127.0.0.1:0", appends_per_s=10_000)) as url:
            client = LogClient(url, HttpClient("127.0.0.1"))
            for number in range(MAX_RECORDS_PER_READ + 1):
                client.append("catalogue", number).unwrap()
            batch = client.read("catalogue", 0, wait_s=0.0).unwrap()
            assert len(batch.records) == MAX_RECORDS_PER_READ
            assert batch.end == MAX_RECORDS_PER_READ + 1
            rest = client.read("catalogue", MAX_RECORDS_PER_READ, wait_s=0.0).unwrap()
            assert (len(rest.records), rest.end) == (1, batch.end)
