"""Prompts on their way through the prefill engines that are kept here."""

from __future__ import annotations

import dataclasses

from jujubewharf.routing import slot_ledger

_FORGOTTEN_AFTER_MS = 30_000.0
_REPORTS_COUNT_FOR_MS = 5_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Read:
    tokens: int
    since_ms: float


class ReadLedger:
    """The queue of one engine, as the senders told it.

    Reports of a queue lag by more than the queue lasts, so instances that
    judge by them send to the shortest queue of a while ago, all at once.

    Args:
        kept_since_ms: When this instance began to keep the engine; soon
            after that, prompts are under way that nobody told it of.
    """

    def __init__(self, kept_since_ms: float) -> None:
        self._kept_since_ms = kept_since_ms
        self._reads: dict[slot_ledger.Holder, _Read] = {}

    def begin(
        self, holder: slot_ledger.Holder, tokens: int, now_ms: float
    ) -> None:
        """Notes a prompt that is sent now."""
        self._reads[holder] = _Read(tokens, now_ms)

    def end(self, holder: slot_ledger.Holder) -> None:
        """Notes that a prompt was read, or won't be."""
        self._reads.pop(holder, None)

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
