"""Decoding of the customers of a configuration, and of the keys of requests."""

from collections.abc import Mapping
from typing import Any

from bamboovale.decoding import MAX_NUMBER, BadRecordError
from bamboovale.errors import Finding
from bamboovale.gateway.customers import Customer, Customers, Quota, QuotaUnit
from bamboovale.http1.connection import Headers
from bamboovale.platform import names

MAX_KEY_BYTES = 256
MIN_SEARCHED_KEY_BYTES = 8
"""Shorter keys are not searched in other headers, where they occur by chance."""
UNIT_BY_NAME = {"tokens": QuotaUnit.TOKENS, "requests": QuotaUnit.REQUESTS}


def decode_customers(document: Mapping[str, Any]) -> Customers | None:
    """Return the customers of a configuration, None if it has no such section.

    Raises BadRecordError with all findings, which name places but no values.
    """
    items = document.get("tenants")
    if items is None:
        return None
    if not isinstance(items, list):
        raise BadRecordError("configuration: tenants must be a list")
    reader = _CustomerReader()
    for number, item in enumerate(items):
        reader.read(f"tenants.{number}", item)
    if reader.findings:
        texts = "; ".join(
            f"{found.place}: {found.message}" for found in reader.findings
        )
        raise BadRecordError(f"configuration: {texts}")
    return Customers.from_keys(tuple(reader.customers), reader.name_by_key)


class _CustomerReader:
    """Reads customers and collects findings with their place."""

    def __init__(self) -> None:
        self.customers: list[Customer] = []
        self.name_by_key: dict[bytes, str] = {}
        self.findings: list[Finding] = []

    def read(self, path: str, item: Any) -> None:
        if not isinstance(item, dict):
            self._find(path, "must be a table")
            return
        name = item.get("name")
        if not isinstance(name, str) or not _is_header_text(name):
            self._find(f"{path}.name", "printable text is required")
            return
        if any(customer.name == name for customer in self.customers):
            self._find(f"{path}.name", "is used twice")
            return
        priority = item.get("priority")
        if priority is not None and not _is_number(priority):
            self._find(f"{path}.priority", "must be a number")
            return
        self._read_keys(path, name, item.get("api-keys", []))
        self.customers.append(
            Customer(
                name,
                None if priority is None else int(priority),
                self._read_quota(path, item),
            )
        )

    def _read_keys(self, path: str, name: str, keys: Any) -> None:
        if not isinstance(keys, list):
            self._find(f"{path}.api-keys", "must be a list")
            return
        for number, key in enumerate(keys):
            place = f"{path}.api-keys.{number}"
            if not isinstance(key, str) or not _is_header_text(key):
                self._find(place, "printable text is required")
            elif self.name_by_key.setdefault(key.encode("latin-1"), name) != name:
                self._find(place, "belongs to another customer too")

    def _read_quota(self, path: str, item: Mapping[str, Any]) -> Quota | None:
        numbers = {}
        for field in ("rate-per-s", "burst", "raw-tokens"):
            value = item.get(field, 0)
            if not _is_number(value) or value < 0:
                self._find(f"{path}.{field}", "must be a number of 0 or more")
                return None
            numbers[field] = float(value)
        unit = UNIT_BY_NAME.get(str(item.get("unit", "requests")))
        if unit is None:
            self._find(f"{path}.unit", "is unknown")
            return None
        if numbers["rate-per-s"] <= 0:
            return None
        return Quota(
            numbers["rate-per-s"],
            numbers["burst"],
            unit,
            numbers["raw-tokens"] or 1.0,
        )

    def _find(self, path: str, message: str) -> None:
        self.findings.append(Finding(path, message))


def _is_number(value: Any) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and -MAX_NUMBER <= value <= MAX_NUMBER


def _is_header_text(text: str) -> bool:
    return bool(text) and text.isascii() and text.isprintable() and " " not in text


def decode_key(headers: Headers) -> bytes | None:
    """Return the API key of a request; None if it is missing, doubled or malformed."""
    values = [value for name, value in headers if name == names.AUTHORIZATION]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    is_key = 0 < len(key) <= MAX_KEY_BYTES and b" " not in key
    return key if is_key and scheme.lower() == names.KEY_SCHEME else None


def name_customer(headers: Headers, key: bytes | None, customer: str | None) -> Headers:
    """Return headers for an endpoint: with the customer's name and without any key.

    A customer that the caller names itself is dropped.
    """
    own = {names.AUTHORIZATION, names.CUSTOMER}
    searched = key if key and len(key) >= MIN_SEARCHED_KEY_BYTES else None
    kept = [
        (name, value)
        for name, value in headers
        if name not in own and (searched is None or searched not in value)
    ]
    if customer is not None:
        kept.append((names.CUSTOMER, customer.encode("latin-1")))
    return kept
