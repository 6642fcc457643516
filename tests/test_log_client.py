"""The log client against the stand-in for the log service."""

from bamboovale.http_client import HttpClient
from bamboovale.log_service.log_client import MAX_RECORDS_PER_READ, LogClient
from bamboovale.standins import log
from bamboovale.standins.server import running


class TestRead:
    """Reading a stream."""

    def test_a_full_batch_is_not_the_end_of_the_stream(self) -> None:
        # Guards against a starting VM that serves a partly read catalogue.
        with running(log.create_server("127.0.0.1:0", appends_per_s=10_000)) as url:
            client = LogClient(url, HttpClient("127.0.0.1"))
            for number in range(MAX_RECORDS_PER_READ + 1):
                client.append("catalogue", number).unwrap()
            batch = client.read("catalogue", 0, wait_s=0.0).unwrap()
            assert len(batch.records) == MAX_RECORDS_PER_READ
            assert batch.end == MAX_RECORDS_PER_READ + 1
            rest = client.read("catalogue", MAX_RECORDS_PER_READ, wait_s=0.0).unwrap()
            assert (len(rest.records), rest.end) == (1, batch.end)
