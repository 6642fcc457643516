"""Beliefs of a VM about its paths to endpoints, against paths that come and go."""

import itertools

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bamboovale.decisions.endpoint_paths import (
    CUT_AFTER_S,
    FAILURES_NEEDED,
    MAX_TRIAL_PAUSE_S,
    USE_PAUSE_S,
    EndpointPaths,
    PathUse,
)

ENDPOINTS = ("a", "b", "c")
STEP_S = 0.1
"""Every endpoint is wanted by a request once in a step."""
SLACK_S = 2 * STEP_S
HEALED_AFTER_S = MAX_TRIAL_PAUSE_S + USE_PAUSE_S + SLACK_S
CUT_SEEN_AFTER_S = CUT_AFTER_S + SLACK_S


class EndpointPathsMachine(RuleBasedStateMachine):
    """A VM that wants all endpoints, while paths are cut and healed.

    The oracle is which paths are up, and since when each is as it is.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.paths = EndpointPaths(self.now)
        self.up = dict.fromkeys(ENDPOINTS, True)
        self.since = dict.fromkeys(ENDPOINTS, self.now)
        self.lost = dict.fromkeys(ENDPOINTS, 0)
        self.probes = itertools.count()

    @rule(endpoint_id=st.sampled_from(ENDPOINTS))
    def one_path_changes(self, endpoint_id: str) -> None:
        self._set(endpoint_id, not self.up[endpoint_id])

    @rule(up=st.booleans())
    def all_paths_change(self, up: bool) -> None:
        for endpoint_id in ENDPOINTS:
            self._set(endpoint_id, up)

    @rule(endpoint_id=st.sampled_from(ENDPOINTS), times=st.integers(2, 6))
    def one_path_flaps(self, endpoint_id: str, times: int) -> None:
        for _ in range(times):
            self._set(endpoint_id, False)
            self.time_passes(3)
            self._set(endpoint_id, True)
            self.time_passes(45)

    @rule(steps=st.sampled_from([1, 3, 10, 80]))
    def time_passes(self, steps: int) -> None:
        for _ in range(steps):
            self.now += STEP_S
            for endpoint_id in ENDPOINTS:
                self._want(endpoint_id)
            if self.paths.is_reaching_none(self.now):
                self._try(ENDPOINTS[next(self.probes) % len(ENDPOINTS)])
            self._check()

    def _set(self, endpoint_id: str, up: bool) -> None:
        if self.up[endpoint_id] != up:
            self.up[endpoint_id] = up
            self.since[endpoint_id] = self.now
            self.lost[endpoint_id] = 0

    def _want(self, endpoint_id: str) -> None:
        """Send a request as a VM does, here, or by another VM beside a trial."""
        use = self.paths.choose(endpoint_id, self.now)
        if use is PathUse.ANY:
            self._try(endpoint_id)
            if self.up[endpoint_id]:
                self.paths.on_answer(endpoint_id, self.now)
            else:
                self.lost[endpoint_id] += 1
        elif self.paths.take_trial(endpoint_id, self.now):
            self._try(endpoint_id)

    def _try(self, endpoint_id: str) -> None:
        if self.up[endpoint_id]:
            self.paths.on_connected(endpoint_id)
        else:
            self.paths.on_failed(endpoint_id, self.now)

    def _check(self) -> None:
        for endpoint_id in ENDPOINTS:
            lasts_s = self.now - self.since[endpoint_id]
            if self.up[endpoint_id] and lasts_s > HEALED_AFTER_S:
                assert not self.paths.is_in_doubt(endpoint_id)
        lasts_s = self.now - max(self.since.values())
        if not any(self.up.values()) and lasts_s > CUT_SEEN_AFTER_S:
            assert self.paths.is_cut(self.now)
        if all(self.up.values()) and lasts_s > HEALED_AFTER_S:
            assert not self.paths.is_cut(self.now)

    @invariant()
    def few_requests_wait_for_a_path_that_is_down(self) -> None:
        assert max(self.lost.values()) <= FAILURES_NEEDED


TestEndpointPaths = EndpointPathsMachine.TestCase
TestEndpointPaths.settings = settings(max_examples=60, deadline=None)
