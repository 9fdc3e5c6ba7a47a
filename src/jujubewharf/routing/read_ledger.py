"""Outstanding prompts of the prefill engines that this instance coordinates."""

from __future__ import annotations

import dataclasses

from jujubewharf.routing import slot_ledger

_EXPIRY_MS = 30_000.0
_REPORT_GRACE_MS = 5_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Prefill:
    tokens: int
    transfer_ms: float
    sent_ms: float


class PrefillLedger:
    """The prefill queue of one engine, as reported by the sending instances.

    Load reports lag by more than the queue lasts. Instances that relied on them
    would all send to the engine whose queue was shortest some time ago.

    KV caches are transferred one after another over one network link. If the
    link is slower than prefill, it limits throughput, and prompts prefilled
    faster than it transfers them accumulate until transfers time out.

    Args:
        coordinator_since_ms: Clock reading at which this instance became the
            coordinator. Prompts sent before then are unknown to it.
    """

    def __init__(self, coordinator_since_ms: float) -> None:
        self._coordinator_since_ms = coordinator_since_ms
        self._link_free_ms = coordinator_since_ms
        self._prefills: dict[slot_ledger.Holder, _Prefill] = {}

    def begin(
        self,
        holder: slot_ledger.Holder,
        tokens: int,
        transfer_ms: float,
        now_ms: float,
    ) -> None:
        """Records a prompt being sent and its expected transfer time."""
        self._prefills[holder] = _Prefill(tokens, transfer_ms, now_ms)

    def end(
        self, holder: slot_ledger.Holder, now_ms: float, *, is_prefilled: bool
    ) -> None:
        """Removes a prompt; if its prefill completed, the transfer starts."""
        prefill = self._prefills.pop(holder, None)
        if prefill is not None and is_prefilled:
            start_ms = max(now_ms, self._link_free_ms)
            self._link_free_ms = start_ms + prefill.transfer_ms

    def link_ms(self, now_ms: float) -> float:
        """Returns the time the link needs for all outstanding transfers."""
        pending_ms = sum(
            prefill.transfer_ms for prefill in self._prefills.values()
        )
        return max(0.0, self._link_free_ms - now_ms) + pending_ms

    def remove_instance(self, instance: str) -> None:
        """Removes the prompts of an instance that has left."""
        for holder in [h for h in self._prefills if h.instance == instance]:
            del self._prefills[holder]

    def queued_tokens(self, reported_tokens: int, now_ms: float) -> int:
        """Returns the outstanding tokens.

        The engine's report counts only for a while after this instance became
        the coordinator.
        """
        expired_ms = now_ms - _EXPIRY_MS
        for holder, prefill in list(self._prefills.items()):
            if prefill.sent_ms < expired_ms:
                del self._prefills[holder]
        outstanding = sum(prefill.tokens for prefill in self._prefills.values())
        if now_ms - self._coordinator_since_ms < _REPORT_GRACE_MS:
            return max(outstanding, reported_tokens)
        return outstanding
