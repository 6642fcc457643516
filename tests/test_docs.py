"""Pages that list declarations of the code, and links between pages."""

import re
from pathlib import Path

import pytest

from bamboovale.errors import HTTP_STATUS_BY_CODE
from bamboovale.metrics import Metrics

PAGES = [*sorted(Path().glob("*.md")), *sorted(Path("docs").rglob("*.md"))]


class TestCallersPage:
    """``docs/CALLERS.md`` lists every error code with its status."""

    def test_the_codes_match_the_declared_ones(self) -> None:
        page = Path("docs/CALLERS.md").read_text("utf-8")
        rows = re.findall(r"^\| `(\w+)` \| (\d{3}) \|", page, re.MULTILINE)
        listed = {code: int(status) for code, status in rows}
        assert listed == {code.value: status for code, status in _statuses()}


class TestOperationsPage:
    """``docs/OPERATIONS.md`` lists every metric."""

    def test_the_metrics_match_the_declared_ones(self) -> None:
        page = Path("docs/OPERATIONS.md").read_text("utf-8")
        listed = re.findall(r"^\| `(bamboovale_\w+)`", page, re.MULTILINE)
        families = Metrics().registry.collect()
        assert sorted(listed) == sorted(_scraped_name(family) for family in families)


class TestLinks:
    """Links between pages."""

    @pytest.mark.parametrize("page", PAGES, ids=str)
    def test_link_targets_exist(self, page: Path) -> None:
        links = re.findall(r"\]\((?!http)([^)#]+)", page.read_text("utf-8"))
        missing = [link for link in links if not (page.parent / link).exists()]
        assert missing == []


def _statuses() -> list:
    return list(HTTP_STATUS_BY_CODE.items())


def _scraped_name(family) -> str:
    return f"{family.name}_total" if family.type == "counter" else family.name
