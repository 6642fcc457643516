"""Which requests a VM that stops can still complete.

A VM that stops serves on for a while, as callers still have its address, and cuts what
is left when it exits. Under long runs and full engines, a run that begins in that time
may outlast it: another VM can complete it.

The platform excuses the cut of a run that is still at work, if its request was sent
soon after the VM was told to stop. Later ones need a promise, which only the clock can
give: they are taken on if their own deadline ends them before the exit. Estimates of
run times only spare callers of the earlier ones a cut.
"""

from dataclasses import dataclass

EXCUSED_S = 3.0
"""Time after SIGTERM until which a request is sent whose cut the platform excuses."""
SENT_MARGIN_S = 0.1
"""Bounds by how much the platform's record of a stop may precede its signal, and that
of a request follow its arrival."""
STOP_MARGIN_S = 0.7
"""Time left for the exit before the platform kills the process."""
LEAST_STOP_MARGIN_S = 0.5
"""The least such time, for a VM that does not know exactly when it was told to stop."""
AT_WORK_PART = 5.0 / 6.0
"""Part of the grace time after which the platform excuses cuts of runs at work."""
RUN_MARGIN = 1.25
"""Time that is left for a run, as a multiple of the expected time: engines slow down
while they take over the load of others."""

UNKNOWN_RUN_PART = 2.0 / 3.0
"""Part of the whole stop that is left for a run of unknown length: most end in it, and
callers soon have the address of another VM."""


@dataclass(frozen=True)
class PlannedStop:
    """Times of a stop on the VM's clock, in seconds.

    ``started_at`` is when the VM was told to stop, or earlier, ``ends_at`` when it cuts
    the answers that are not complete.
    """

    started_at: float
    ends_at: float

    @classmethod
    def between(
        cls, earliest_at: float, noticed_at: float, grace_s: float
    ) -> "PlannedStop":
        """Return a stop that the VM was told between two times.

        It counts from the first; it cuts no run before cuts are excused even if it
        counts from the last, as long as the first leaves time for the exit.
        """
        excused_at = noticed_at + AT_WORK_PART * grace_s + SENT_MARGIN_S
        kills_at = earliest_at + grace_s
        ends_at = max(kills_at - STOP_MARGIN_S, excused_at)
        return cls(earliest_at, min(ends_at, kills_at - LEAST_STOP_MARGIN_S))

    def may_take(self, received_at: float, ends_by: float) -> bool:
        """Return whether a request may be taken on that ends by its deadline.

        ``received_at`` is when its last byte was known to be here.
        """
        is_excused = received_at < self.started_at + EXCUSED_S - SENT_MARGIN_S
        return is_excused or ends_by <= self.ends_at

    def latest_start(self, run_s: float) -> float:
        """Return until when a run of ``run_s`` may begin and still be completed.

        The length is 0 if it is unknown.
        """
        if run_s <= 0.0:
            return self.ends_at - UNKNOWN_RUN_PART * (self.ends_at - self.started_at)
        return self.ends_at - RUN_MARGIN * run_s


@dataclass(frozen=True)
class EngineSpeed:
    """Learned speed of an engine in seconds; each time is 0 if unknown.

    ``s_per_token`` is the prefill time of a token, ``s_per_output_token`` the time of
    an output token, ``run_s`` that of a mean run.
    """

    s_per_token: float
    s_per_output_token: float
    run_s: float

    def run_time_s(self, prompt_tokens: int, output_tokens: int) -> float:
        """Return how long a run will take, 0 if that is unknown.

        ``output_tokens`` is 0 if the caller gave no count.
        """
        if not self.s_per_output_token or not output_tokens:
            return self.run_s
        output_s = self.s_per_output_token * output_tokens
        return self.s_per_token * prompt_tokens + output_s
