"""Counters of a stand-in engine."""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class Counts:
    """Counters of an engine, for checks after a run.

    Attributes:
        prefilled_tokens: Prompt tokens prefilled.
        used_prefill_tokens: Prefilled tokens whose result was used.
        wasted_prefill_tokens: Prefilled tokens whose result expired, was
            released or was lost in a crash.
        decoded_tokens: Tokens generated.
        answers: Completed answers, by digest of the prompt.
        dispatches: Started answers, by attempt id.
        cut_by_orders: Attempts dropped because of an order.
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
