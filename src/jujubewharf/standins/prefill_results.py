"""Prefill results that a stand-in engine holds, until sent or expired."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
from typing import TYPE_CHECKING

from jujubewharf.standins import readings

if TYPE_CHECKING:
    from jujubewharf import clock as clocks
    from jujubewharf.standins import engine_counts


@dataclasses.dataclass(slots=True)
class PrefillResult:
    """The KV cache of one prompt.

    Attributes:
        attempt_id: Whose prompt it is.
        kv_bytes: Size.
        expires_at_ms: When it dies, unless it is being sent.
        prompt_tokens: Length of the prompt.
        transfers: Number of transfers that run.
    """

    attempt_id: str
    kv_bytes: int
    expires_at_ms: float
    prompt_tokens: int
    transfers: int = 0


class PrefillResults:
    """Results by attempt, with what became of them.

    Args:
        clock: Time.
        counts: Where used and wasted tokens are counted.
        ledger: Where the fate of each is noted.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        counts: engine_counts.Counts,
        ledger: readings.Ledger,
    ) -> None:
        self._clock = clock
        self._counts = counts
        self._ledger = ledger
        self._results: dict[str, PrefillResult] = {}

    def get(self, attempt_id: str) -> PrefillResult | None:
        """The result of an attempt, if it still lives."""
        return self._results.get(attempt_id)

    def add(self, result: PrefillResult) -> None:
        """Holds a result until it expires."""
        self._results[result.attempt_id] = result
        asyncio.create_task(self._expire(result))

    @contextlib.contextmanager
    def transfer_of(self, result: PrefillResult) -> Iterator[None]:
        """Keeps a result alive for the block."""
        result.transfers += 1
        try:
            yield
        finally:
            result.transfers -= 1
            self._expire_if_due(result)

    def note_sent(self, result: PrefillResult) -> None:
        """Drops a result as used, unless it expired meanwhile."""
        if self._results.pop(result.attempt_id, None) is not None:
            self._counts.used_prefill_tokens += result.prompt_tokens
            self._ledger.settle(result.attempt_id, readings.Fate.SENT)

    def release(self, attempt_id: str) -> None:
        """Drops the result of an attempt that does not need it any more."""
        result = self._results.pop(attempt_id, None)
        if result is not None:
            self._waste(result, readings.Fate.RELEASED)

    def lose_all(self) -> None:
        """Drops all, as a crash does."""
        for result in self._results.values():
            self._waste(result, readings.Fate.ENGINE_DIED)
        self._results.clear()

    def _waste(self, result: PrefillResult, fate: readings.Fate) -> None:
        self._counts.wasted_prefill_tokens += result.prompt_tokens
        self._ledger.settle(result.attempt_id, fate)

    async def _expire(self, result: PrefillResult) -> None:
        await self._clock.sleep_until_ms(result.expires_at_ms)
        self._expire_if_due(result)

    def _expire_if_due(self, result: PrefillResult) -> None:
        """Forgets a result that is due, but not under a running transfer."""
        is_due = self._clock.now_ms() >= result.expires_at_ms
        is_kept = self._results.get(result.attempt_id) is result
        if is_kept and is_due and not result.transfers:
            del self._results[result.attempt_id]
            self._waste(result, readings.Fate.EXPIRED)
