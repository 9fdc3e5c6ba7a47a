"""Prompts on their way through the prefill engines that are kept here."""

from __future__ import annotations

import dataclasses

from jujubewharf.routing import slot_ledger

_FORGOTTEN_AFTER_MS = 30_000.0
_REPORTS_COUNT_FOR_MS = 5_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Read:
    tokens: int
    transfer_ms: float
    since_ms: float


class ReadLedger:
    """The queue of one engine, as the senders told it.

    Reports of a queue lag by more than the queue lasts, so instances that
    judge by them send to the shortest queue of a while ago, all at once.

    The results leave over one link, one after another. A link slower than
    the engine reads is what bounds the pool, and prompts read faster than
    it carries them pile up until transfers time out.

    Args:
        kept_since_ms: When this instance began to keep the engine; soon
            after that, prompts are under way that nobody told it of.
    """

    def __init__(self, kept_since_ms: float) -> None:
        self._kept_since_ms = kept_since_ms
        self._link_free_ms = kept_since_ms
        self._reads: dict[slot_ledger.Holder, _Read] = {}

    def begin(
        self,
        holder: slot_ledger.Holder,
        tokens: int,
        transfer_ms: float,
        now_ms: float,
    ) -> None:
        """Notes a prompt that is sent now, and what its transfer takes."""
        self._reads[holder] = _Read(tokens, transfer_ms, now_ms)

    def end(
        self, holder: slot_ledger.Holder, now_ms: float, *, is_read: bool
    ) -> None:
        """Notes that a prompt was read and its transfer begins, or neither."""
        read = self._reads.pop(holder, None)
        if read is not None and is_read:
            start_ms = max(now_ms, self._link_free_ms)
            self._link_free_ms = start_ms + read.transfer_ms

    def link_ms(self, now_ms: float) -> float:
        """Time the link needs for all that is under way."""
        coming_ms = sum(read.transfer_ms for read in self._reads.values())
        return max(0.0, self._link_free_ms - now_ms) + coming_ms

    def forget_instance(self, instance: str) -> None:
        """Drops the prompts of an instance that is gone."""
        for holder in [h for h in self._reads if h.instance == instance]:
            del self._reads[holder]

    def queued_tokens(self, reported_tokens: int, now_ms: float) -> int:
        """Tokens under way; the engine's report counts only at first."""
        oldest_ms = now_ms - _FORGOTTEN_AFTER_MS
        for holder, read in list(self._reads.items()):
            if read.since_ms < oldest_ms:
                del self._reads[holder]
        told = sum(read.tokens for read in self._reads.values())
        if now_ms - self._kept_since_ms < _REPORTS_COUNT_FOR_MS:
            return max(told, reported_tokens)
        return told
