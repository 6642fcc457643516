"""Callers that resume streams, and the software versions that ran them."""

import asyncio
from dataclasses import dataclass, field

from bench.routed import CallerAnswer, call, request_id
from tests.gateway_site import Site

RESUMABLE_PATH = "/long/1"
DEADLINE_MS = 4000
RESUMES = "Resumes"
LAST_EVENT_ID = "Last-Event-Id"


def last_event_id(body: bytes) -> str | None:
    """Return the id of the last whole event of a body, None if there is none."""
    events = body.split(b"\n\n")[:-1]
    if not events:
        return None
    return events[-1].split(b"\n")[0].removeprefix(b"id: ").decode()


@dataclass
class StreamTries:
    """One stream over its caller's attempts; ``ids`` are those of the attempts."""

    adapter: str
    ids: list[str] = field(default_factory=list)
    answers: list[CallerAnswer] = field(default_factory=list)

    @property
    def last_event_id(self) -> str | None:
        """Return the id of the last event received, None before the first."""
        for answer in reversed(self.answers):
            found = last_event_id(answer.body)
            if found is not None:
                return found
        return None

    @property
    def began_as(self) -> str | None:
        """Return the attempt that brought the first event."""
        for attempt, answer in zip(self.ids, self.answers, strict=True):
            if last_event_id(answer.body) is not None:
                return attempt
        return None

    @property
    def is_complete(self) -> bool:
        """Return whether the last attempt ended as a whole stream."""
        last = self.answers[-1]
        return last.status == 200 and last.whole

    async def attempt(self, address: tuple[str, int], **headers: str) -> CallerAnswer:
        """Send the next attempt; one after the first event resumes the stream."""
        if self.began_as is not None:
            resumed = {RESUMES: self.began_as, LAST_EVENT_ID: self.last_event_id}
            headers = {**resumed, **headers}
        self.ids.append(request_id())
        answer = await call(
            address,
            RESUMABLE_PATH,
            adapter=self.adapter,
            attempt=self.ids[-1],
            deadline_ms=DEADLINE_MS,
            headers=headers,
        )
        self.answers.append(answer)
        return answer

    def versions(self, site: Site) -> set[str]:
        """Return the software versions of the engines whose events came."""
        versions = set()
        for attempt, answer in zip(self.ids, self.answers, strict=True):
            if last_event_id(answer.body) is None:
                continue
            for runner in site.runners:
                versions |= {
                    run.software
                    for run in runner.runs
                    if run.request_id == attempt and run.events
                }
        return versions


def begin_streams(
    address: tuple[str, int], count: int
) -> tuple[list[StreamTries], "asyncio.Future[list[CallerAnswer]]"]:
    """Begin streams for different adapters; the future is of their first answers."""
    streams = [StreamTries(f"a{number}") for number in range(1, count + 1)]
    answers = asyncio.gather(*(stream.attempt(address) for stream in streams))
    return streams, answers
