"""An answer of a stand-in that stops after some bytes of its head or body."""

from typing import Any

from bamboovale.http1.responder import Responder
from bamboovale.http1.sockets import reset_on_close

END_OF_HEAD = b"\r\n\r\n"


class CutTransport:
    """Passes on the first bytes that are written, then closes or resets.

    ``is_cut`` is whether more was to be written, ``heads`` counts the whole heads that
    were written by then, ``whole`` is the transport below.
    """

    def __init__(self, transport: Any, most_bytes: int, *, resets: bool) -> None:
        self.is_cut = False
        self.heads = 0
        self.whole = transport
        self._left = most_bytes
        self._resets = resets

    def write(self, data: bytes) -> None:
        """Write what is left of the bytes; end the connection after the last one."""
        if self.is_cut:
            return
        self.whole.write(data[: self._left])
        self.heads += data[: self._left].count(END_OF_HEAD)
        self.is_cut = len(data) > self._left
        self._left -= len(data)
        if self.is_cut:
            if self._resets:
                reset_on_close(self.whole.get_extra_info("socket"))
            self.whole.close()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.whole, name)


def cut_answer(
    responder: Responder, most_bytes: int | None, *, resets: bool
) -> CutTransport | None:
    """Have a request's connection end within its answer; None leaves it whole."""
    connection = responder._connection
    if isinstance(connection._transport, CutTransport):
        connection._transport = connection._transport.whole
    if most_bytes is None:
        return None
    cut = CutTransport(connection._transport, most_bytes, resets=resets)
    connection._transport = cut
    return cut
