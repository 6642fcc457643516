"""The event loop of an entry VM on the routed interface."""

import asyncio
import sys

import pytest

from bamboovale import event_loop


async def loop_module() -> str:
    return type(asyncio.get_running_loop()).__module__


class TestLoop:
    """uvloop where it is installed, asyncio's own loop elsewhere."""

    def test_it_is_uvloop_where_installed(self) -> None:
        pytest.importorskip("uvloop")
        assert event_loop.run(loop_module()).startswith("uvloop")

    def test_it_is_the_own_loop_of_asyncio_elsewhere(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a binary that needs the native package."""
        monkeypatch.setitem(sys.modules, "uvloop", None)
        assert event_loop.run(loop_module()).startswith("asyncio")
