"""Token bucket for rate limits."""

from __future__ import annotations

import dataclasses

from jujubewharf import clock as clocks


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Tokens that are added at a fixed rate, up to a burst size.

    Attributes:
        tokens: Tokens at the last refill. Negative after an overdraft.
        refilled_at_ms: Clock reading of the last refill, in ms.
    """

    tokens: float
    refilled_at_ms: float

    def refill(self, now_ms: float, rate_per_s: float, burst: float) -> None:
        """Adds the tokens gained since the last refill."""
        gained = (now_ms - self.refilled_at_ms) * rate_per_s / clocks.MS_PER_S
        self.tokens = min(burst, self.tokens + gained)
        self.refilled_at_ms = now_ms

    def wait_ms(self, rate_per_s: float, tokens: float = 1.0) -> float:
        """Time in ms until ``tokens`` are available, if none are taken."""
        missing = max(0.0, tokens - self.tokens)
        return missing / rate_per_s * clocks.MS_PER_S
