"""State of one engine as an instance knows it."""

from __future__ import annotations

import dataclasses

from jujubewharf.configuration import resources
from jujubewharf.routing import breaker as breakers


@dataclasses.dataclass(slots=True)
class EngineState:
    """State of one engine as this instance knows it.

    Attributes:
        breaker: Circuit breaker for calls to the engine.
        reserved_tokens: Memory reserved there by this instance, in tokens.
        prefill_tokens: Prompt tokens of this instance in prefill there.
        full_until_ms: Clock reading until which the last refusal for lack of
            memory applies.
        refused_tokens: Smallest refused amount within that time, in tokens;
            smaller requests may still fit.
        refusals: Number of consecutive refusals for lack of memory.
        prefill_wait_ms: Time that the last prompt was queued before prefill.
        prefill_wait_at_ms: Clock reading at which ``prefill_wait_ms`` was
            recorded.
        prefill_ended_ms: Clock reading at which the last prefill ended.
        unavailable_until_ms: Clock reading until which the engine is expected
            to refuse requests for its registered role.
        role: Last registered role.
    """

    breaker: breakers.Breaker
    reserved_tokens: int = 0
    prefill_tokens: int = 0
    full_until_ms: float = 0.0
    refused_tokens: int = 0
    refusals: int = 0
    prefill_wait_ms: float = 0.0
    prefill_wait_at_ms: float = 0.0
    prefill_ended_ms: float = float("-inf")
    unavailable_until_ms: float = 0.0
    role: resources.Role | None = None
