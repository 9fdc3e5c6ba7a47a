"""A token bucket that tells when it has enough again."""

from __future__ import annotations

import dataclasses

from jujubewharf import clock as clocks


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Tokens that are gained at a rate, up to a bound.

    Attributes:
        tokens: What it held when it was filled last; less than nothing where
            more was taken than it had.
        filled_at_ms: When that was.
    """

    tokens: float
    filled_at_ms: float

    def fill(self, now_ms: float, rate_per_s: float, burst: float) -> None:
        """Adds what was gained since it was filled last."""
        gained = (now_ms - self.filled_at_ms) * rate_per_s / clocks.MS_PER_S
        self.tokens = min(burst, self.tokens + gained)
        self.filled_at_ms = now_ms

    def wait_ms(self, rate_per_s: float, tokens: float = 1.0) -> float:
        """Time until it holds so many tokens, if nobody takes any."""
        missing = max(0.0, tokens - self.tokens)
        return missing / rate_per_s * clocks.MS_PER_S
