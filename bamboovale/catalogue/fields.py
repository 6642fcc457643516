"""Validated reading of one JSON object that collects every finding."""

import re
from typing import Any

from bamboovale.errors import Finding

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
MODEL_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,127}")
PRINTABLE = re.compile(r"[!-~]{1,512}")


class FieldReader:
    """Reads fields of ``data`` and records a finding for each invalid one.

    An invalid field reads as its default, so that the operator sees all findings at
    once; the caller discards the object if there are any.
    """

    def __init__(self, data: Any, place: str) -> None:
        self.findings: list[Finding] = []
        self._place = place
        self._unread: dict[Any, Any] = {}
        if isinstance(data, dict):
            self._unread = dict(data)
        else:
            self.findings.append(Finding(place, "must be an object"))

    def place_of(self, field: str) -> str:
        """Return the path of a field of this object."""
        return f"{self._place}.{field}" if self._place else field

    def add(self, field: str, message: str) -> None:
        """Record a finding about a field."""
        self.findings.append(Finding(self.place_of(field), message))

    def pop(self, field: str) -> Any:
        """Remove and return the raw value of a field, None if absent."""
        return self._unread.pop(field, None)

    def text(
        self,
        field: str,
        *,
        pattern: re.Pattern[str] = NAME,
        default: str | None = None,
    ) -> str:
        """Read a string that fully matches the pattern."""
        value = self.pop(field)
        if value is None and default is not None:
            return default
        if value is None:
            self.add(field, "is required")
        elif not isinstance(value, str):
            self.add(field, "must be a string")
        elif not pattern.fullmatch(value):
            self.add(field, f"must match {pattern.pattern}")
        else:
            return value
        return ""

    def choice(self, field: str, choices: tuple[str, ...], default: str) -> str:
        """Read one of a fixed set of strings."""
        value = self.pop(field)
        if value is None:
            return default
        if not isinstance(value, str) or value not in choices:
            self.add(field, f"must be one of {', '.join(choices)}")
            return default
        return value

    def flag(self, field: str, default: bool) -> bool:
        """Read a boolean."""
        value = self.pop(field)
        if value is None:
            return default
        if not isinstance(value, bool):
            self.add(field, "must be true or false")
            return default
        return value

    def integer(self, field: str, *, default: int, low: int, high: int) -> int:
        """Read an integer from ``low`` to ``high``, both included."""
        value = self.pop(field)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int):
            self.add(field, "must be a whole number")
        elif not low <= value <= high:
            self.add(field, f"must be between {low} and {high}")
        else:
            return value
        return default

    def number(self, field: str, *, default: float, low: float, high: float) -> float:
        """Read a finite number from ``low`` to ``high``, both included."""
        value = self.pop(field)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.add(field, "must be a number")
        elif not low <= value <= high:
            self.add(field, f"must be between {low:g} and {high:g}")
        else:
            return float(value)
        return default

    def finish(self) -> list[Finding]:
        """Add a finding for each field that was not read, and return all findings."""
        for field in self._unread:
            self.add(str(field)[:128], "is not a known field")
        return self.findings
