"""How fast one engine reads prompts, learned from its first events.

Load pattern: engines of one pool differ in speed, and some turn slow for a while. A
fixed figure paces the fast ones too much and the slow ones too little: with a speed
fixed at 20,000 tokens a second, engines that read twice as fast served 0.51 of their
worth where they had served 0.69.

A first event comes after a fixed time (the step under way, the way there and back) and
the reading of the prompt. Both move by a bounded step with each prompt that was read
alone, towards a quantile of what was seen. Some prompts tell little: one whose first
parts are cached is read in no time, one that meets a fault takes seconds. A fit by
least squares followed them to 400,000 tokens a second at engines that read 17,000, and
three in ten streams paused too long there; a quantile does not.
"""

from bamboovale.decisions.estimates import MovingAverage

GUESS_S_PER_TOKEN = 1 / 20_000
GUESS_FIXED_S = 0.025
"""Until prompts have been seen; engines of four deployments read 13 to 39 tokens a ms
and take 5 to 15 ms a step."""
GUESS_TOKENS = 1000.0
QUANTILE = 0.6
"""Above the middle: cached prompts are read sooner, and the steps that a prompt is read
in take their time as well. With 0.5 two heavy days served 0.02 and 0.04 less of their
worth."""
RATE = 0.08
"""Of the estimate, for a prompt of usual length. Halved and doubled, 0.86 and 0.83 of
the worth were served in the play of nine engines, 0.88 as it is (four seeds)."""
FIRST_RATE = 0.4
"""The first prompts move it by more; their share falls with their number."""
FIXED_RATE = 0.3
"""Of the rate, for the fixed time, which differs less between engines."""
MOST_WEIGHT = 2.0
"""A prompt of more than twice the usual length counts as twice."""
FASTEST_S_PER_TOKEN = 1 / 100_000
SLOWEST_S_PER_TOKEN = 1 / 1000
FIXED_BOUNDS_S = (0.005, 0.5)


class PrefillSpeed:
    """A quantile line through (tokens, seconds)."""

    def __init__(self) -> None:
        self.s_per_token = GUESS_S_PER_TOKEN
        self.fixed_s = GUESS_FIXED_S
        self._usual_tokens = MovingAverage(GUESS_TOKENS)
        self._seen = 0

    def prefill_s(self, tokens: int) -> float:
        """Return how long a prompt keeps the engine reading."""
        return tokens * self.s_per_token

    def first_event_s(self, tokens: int) -> float:
        """Return from sending a prompt to its first event, at an idle engine."""
        return self.fixed_s + self.prefill_s(tokens)

    def add(self, tokens: int, seconds: float) -> None:
        """Count a prompt that was read alone."""
        if tokens <= 0:
            return
        self._seen += 1
        self._usual_tokens.add(tokens)
        above = seconds > self.first_event_s(tokens)
        towards = QUANTILE if above else QUANTILE - 1.0
        step = towards * max(RATE, FIRST_RATE / self._seen)
        length = tokens / self._usual_tokens.value
        slope = self.s_per_token * (1.0 + step * min(MOST_WEIGHT, length))
        fixed_step = FIXED_RATE * step * min(MOST_WEIGHT, 1.0 / length)
        fixed_s = self.fixed_s * (1.0 + fixed_step)
        self.s_per_token = min(SLOWEST_S_PER_TOKEN, max(FASTEST_S_PER_TOKEN, slope))
        self.fixed_s = min(FIXED_BOUNDS_S[1], max(FIXED_BOUNDS_S[0], fixed_s))
