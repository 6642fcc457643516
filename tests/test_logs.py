"""Log formats."""

import io
import json
import logging

import pytest

from bamboovale.logs import LOGGER_NAME, configure_logs


@pytest.fixture(autouse=True)
def _restored_logger():
    logger = logging.getLogger(LOGGER_NAME)
    before = logger.handlers, logger.level, logger.propagate
    yield
    logger.handlers, logger.propagate = before[0], before[2]
    logger.setLevel(before[1])


class TestJSONFormat:
    """JSON format, one object per line."""

    def test_a_line_carries_its_fields(self) -> None:
        stream = io.StringIO()
        configure_logs("json", "info", stream)
        logger = logging.getLogger("bamboovale.leases")
        logger.info("lease %s", "taken", extra={"fields": {"engine": "runner-1"}})
        logger.debug("not written")
        line = json.loads(stream.getvalue())
        assert line["message"] == "lease taken"
        assert line["engine"] == "runner-1"
        assert line["level"] == "info"
        assert line["time"].endswith("Z")

    def test_an_exception_stays_on_one_line(self) -> None:
        stream = io.StringIO()
        configure_logs("json", "info", stream)
        try:
            raise ValueError("two\nlines")
        except ValueError:
            logging.getLogger("bamboovale.x").exception("failed")
        assert stream.getvalue().count("\n") == 1
        assert "ValueError" in json.loads(stream.getvalue())["exception"]


class TestTextFormat:
    """Plain text format."""

    def test_level_and_logger_are_shown(self) -> None:
        stream = io.StringIO()
        configure_logs("text", "warning", stream)
        logging.getLogger("bamboovale.x").warning("slow")
        logging.getLogger("bamboovale.x").info("not written")
        assert stream.getvalue().strip().endswith("WARNING bamboovale.x: slow")
