"""Streaming compression of JSON rows into text, used for snapshots of tables.

Rows are processed one at a time, so that no second copy of a table is held in memory.
"""

import base64
import json
import zlib
from collections.abc import Iterable, Iterator
from hashlib import blake2b
from typing import Any

# Guards against exhausting memory on a corrupt or malicious snapshot.
MAX_ROWS_BYTES = 256 * 1024 * 1024
READ_BYTES = 64 * 1024
CHECKSUM_BYTES = 16


class RowsInvalidError(Exception):
    """The text is corrupt or truncated."""


def pack_rows(rows: Iterable[Any]) -> str:
    """Return the rows as base64 text; equal rows give equal texts."""
    compressor = zlib.compressobj()
    chunks = []
    for row in rows:
        line = json.dumps(row, separators=(",", ":")) + "\n"
        chunks.append(compressor.compress(line.encode()))
    chunks.append(compressor.flush())
    return base64.b64encode(b"".join(chunks)).decode()


def unpack_rows(text: str) -> Iterator[Any]:
    """Yield the rows of a text; raises RowsInvalidError."""
    try:
        for line in _lines(base64.b64decode(text, validate=True)):
            yield json.loads(line)
    except (ValueError, zlib.error) as error:
        raise RowsInvalidError(str(error)) from error


def checksum(text: str) -> str:
    """Return a short digest of a text."""
    return blake2b(text.encode(), digest_size=CHECKSUM_BYTES).hexdigest()


def _lines(data: bytes) -> Iterator[bytes]:
    decompressor = zlib.decompressobj()
    total = 0
    rest = b""
    for start in range(0, len(data), READ_BYTES):
        chunk = decompressor.decompress(data[start : start + READ_BYTES])
        total += len(chunk)
        if total > MAX_ROWS_BYTES:
            raise RowsInvalidError("too large")
        *lines, rest = (rest + chunk).split(b"\n")
        yield from lines
    if rest or not decompressor.eof:
        raise RowsInvalidError("cut short")
