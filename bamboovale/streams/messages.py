"""Messages between entry VMs about the starts of streams."""

from dataclasses import dataclass

from bamboovale.peers.codec import message


@message("stream_began")
@dataclass(frozen=True)
class StreamBegan:
    """The first event of a stream came from this service and software version.

    ``attempts`` are the ids by which its caller may name it, ``life_s`` is for how long
    it may come back, in seconds. ``customer`` is None for callers without a key.
    """

    attempts: tuple[str, ...]
    service: str
    software_version: str
    life_s: float
    customer: str | None = None


@message("stream_query")
@dataclass(frozen=True)
class StreamQuery:
    """Asks who began a stream; the reply is a ``StreamReply``.

    ``services`` are those that its route leads to, ``within_s`` is how long ago it may
    have begun, in seconds.
    """

    attempt_id: str
    services: tuple[str, ...]
    within_s: float
    customer: str | None = None


@message("stream_reply")
@dataclass(frozen=True)
class StreamReply:
    """What a VM knows of a stream's start; ``software_version`` is None if nothing.

    ``versions`` are those that may have begun it, as far as the VM knows; it knows all
    that served between ``since_s`` and ``until_s`` ago.
    """

    attempt_id: str
    service: str = ""
    software_version: str | None = None
    versions: tuple[str | None, ...] = ()
    since_s: float = 0.0
    until_s: float = 0.0
