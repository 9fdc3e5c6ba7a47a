"""Prefill results held by a stand-in engine until sent or expired."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
from typing import TYPE_CHECKING

from jujubewharf.standins import prefill_ledger

if TYPE_CHECKING:
    from jujubewharf import clock as clocks
    from jujubewharf.standins import engine_counts


@dataclasses.dataclass(slots=True)
class PrefillResult:
    """The KV cache of one prompt.

    Attributes:
        attempt_id: Attempt that the result belongs to.
        kv_bytes: Size of the KV cache.
        expires_at_ms: Clock time of expiry; delayed by running transfers.
        prompt_tokens: Length of the prompt.
        transfers: Number of running transfers.
    """

    attempt_id: str
    kv_bytes: int
    expires_at_ms: float
    prompt_tokens: int
    transfers: int = 0


class PrefillResults:
    """Prefill results by attempt.

    Args:
        clock: Clock of the simulation.
        counts: Counters of used and wasted tokens.
        ledger: PrefillLedger that records the fate of each result.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        counts: engine_counts.Counts,
        ledger: prefill_ledger.PrefillLedger,
    ) -> None:
        self._clock = clock
        self._counts = counts
        self._ledger = ledger
        self._results: dict[str, PrefillResult] = {}

    def get(self, attempt_id: str) -> PrefillResult | None:
        """Returns the result of an attempt, if still held."""
        return self._results.get(attempt_id)

    def add(self, result: PrefillResult) -> None:
        """Holds a result until it expires."""
        self._results[result.attempt_id] = result
        asyncio.create_task(self._expire(result))

    @contextlib.contextmanager
    def transfer_of(self, result: PrefillResult) -> Iterator[None]:
        """Prevents the expiry of a result within the block."""
        result.transfers += 1
        try:
            yield
        finally:
            result.transfers -= 1
            self._expire_if_due(result)

    def mark_sent(self, result: PrefillResult) -> None:
        """Removes a result as used, if still held."""
        if self._results.pop(result.attempt_id, None) is not None:
            self._counts.used_prefill_tokens += result.prompt_tokens
            self._ledger.settle(result.attempt_id, prefill_ledger.Fate.SENT)

    def release(self, attempt_id: str) -> None:
        """Removes the result of a released attempt as wasted."""
        result = self._results.pop(attempt_id, None)
        if result is not None:
            self._mark_wasted(result, prefill_ledger.Fate.RELEASED)

    def drop_all(self) -> None:
        """Removes all results as wasted after a crash."""
        for result in self._results.values():
            self._mark_wasted(result, prefill_ledger.Fate.ENGINE_DIED)
        self._results.clear()

    def _mark_wasted(
        self, result: PrefillResult, fate: prefill_ledger.Fate
    ) -> None:
        self._counts.wasted_prefill_tokens += result.prompt_tokens
        self._ledger.settle(result.attempt_id, fate)

    async def _expire(self, result: PrefillResult) -> None:
        await self._clock.sleep_until_ms(result.expires_at_ms)
        self._expire_if_due(result)

    def _expire_if_due(self, result: PrefillResult) -> None:
        """Removes a result that is past its expiry and not being sent."""
        is_due = self._clock.now_ms() >= result.expires_at_ms
        is_held = self._results.get(result.attempt_id) is result
        if is_held and is_due and not result.transfers:
            del self._results[result.attempt_id]
            self._mark_wasted(result, prefill_ledger.Fate.EXPIRED)
