"""What a stand-in engine did, for checks after a run."""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class Counts:
    """What an engine did, for checks after a run.

    Attributes:
        prefilled_tokens: Prompt tokens read.
        used_prefill_tokens: Those whose result was used.
        wasted_prefill_tokens: Those whose result died or was released.
        decoded_tokens: Tokens written.
        answers: Answers written to their end, by digest of the prompt.
        dispatches: Answers begun, by attempt id.
        cut_by_orders: Attempts that lost their memory to an order.
    """

    prefilled_tokens: int = 0
    used_prefill_tokens: int = 0
    wasted_prefill_tokens: int = 0
    decoded_tokens: int = 0
    answers: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    dispatches: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    cut_by_orders: int = 0
