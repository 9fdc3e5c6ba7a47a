"""What a request needs of a decode engine."""

from __future__ import annotations

import dataclasses

from jujubewharf.engine_speeds import urgency as urgencies


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Memory and speed that a request needs.

    Attributes:
        tokens: Memory to reserve, in tokens.
        free_tokens: Memory that must stay free in addition, in tokens.
        ttl_ms: Lifetime of the reservation, in milliseconds.
        urgency: How urgent the request is.
    """

    tokens: int
    free_tokens: int
    ttl_ms: float
    urgency: urgencies.Urgency = urgencies.UNKNOWN

    @property
    def total_tokens(self) -> int:
        """Memory that must be free before the reservation, in tokens."""
        return self.tokens + self.free_tokens
