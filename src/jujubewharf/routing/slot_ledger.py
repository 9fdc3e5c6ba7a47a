"""Decode slots of one engine: holders, promises and the wait queue.

The coordinator serves one queue for all instances; otherwise instances with
outdated views would overload the same engine. A slot may be promised before it
is free, if enough holders are expected to end before prefill completes.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import NamedTuple

from jujubewharf.routing import hold_times

PROMISE_LASTS_MS = 5_000
_REPORT_WINDOW = 12
_SAFETY_DEVIATIONS = 1.0


class Holder(NamedTuple):
    """A request of one instance."""

    instance: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request for a slot.

    Attributes:
        holder: The request that wants the slot.
        ready_in_ms: Time from the grant until the slot is needed.
        latest_at_ms: Clock reading after which a grant is useless.
        priority: Higher values are served first.
        waste_weight: Weight of wasted prefill, from 0 to 1; a higher weight
            adds more margin for late slots.
        is_ready: Whether the slot is needed at the grant.
    """

    holder: Holder
    ready_in_ms: float
    latest_at_ms: float
    priority: int = 0
    waste_weight: float = 0.5
    is_ready: bool = False

    @property
    def sort_key(self) -> tuple[bool, int, float, Holder]:
        """Sort key: completed prefills first, then priority, then deadline."""
        return (
            not self.is_ready,
            -self.priority,
            self.latest_at_ms,
            self.holder,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Promise:
    needed_at_ms: float
    expires_at_ms: float


class SlotLedger:
    """Slot accounting of one engine.

    Args:
        slots: Number of slots of the engine.
        hold_times: Hold times observed on all engines of the service.
    """

    def __init__(self, slots: int, hold_times: hold_times.HoldTimes) -> None:
        self.slots = slots
        self._hold_times = hold_times
        self._held: dict[Holder, float] = {}
        self._promised: dict[Holder, _Promise] = {}
        self._queue: dict[Holder, SlotRequest] = {}
        self._foreign_samples: collections.deque[int] = collections.deque(
            maxlen=_REPORT_WINDOW
        )

    def __repr__(self) -> str:
        return (
            f"SlotLedger({len(self._held)}+{self.foreign} of {self.slots} "
            f"held, {len(self._promised)} promised, {len(self._queue)} wait)"
        )

    @property
    def foreign(self) -> int:
        """Number of slots in use that were not granted by this coordinator.

        This is the minimum of the recent differences between reports and the
        ledger. A single difference may result from the lag of the report, but
        not one that appears in all recent reports.
        """
        return min(self._foreign_samples, default=0)

    @property
    def free(self) -> int:
        """Number of slots without a holder."""
        return self.slots - len(self._held) - self.foreign

    @property
    def _available(self) -> int:
        return self.free - len(self._promised)

    @property
    def net_free(self) -> int:
        """Free slots minus promises and queued requests; may be negative."""
        return self._available - len(self._queue)

    @property
    def wait_queue(self) -> list[SlotRequest]:
        """Queued requests, next to be granted first."""
        return sorted(
            self._queue.values(), key=lambda request: request.sort_key
        )

    def apply_report(self, slots_total: int, slots_used: int) -> None:
        """Applies a load report of the engine, which may be outdated."""
        if slots_total > 0:
            self.slots = slots_total
        self._foreign_samples.append(max(0, slots_used - len(self._held)))

    def enqueue(self, request: SlotRequest) -> None:
        """Queues a request. If it is ready, its promise is dropped."""
        if request.is_ready:
            self._promised.pop(request.holder, None)
        self._queue[request.holder] = request

    def record_held(self, holder: Holder, since_ms: float) -> None:
        """Records a slot that is already held."""
        if holder not in self._held and self._foreign_samples:
            self._attribute_one()
        self._held[holder] = since_ms

    def release(
        self, holder: Holder, now_ms: float, *, was_held: bool = False
    ) -> None:
        """Removes a request's slot, promise and queue entry.

        Args:
            holder: The request.
            now_ms: Clock reading.
            was_held: Whether the request says that it held a slot; counts for
                slots granted by an earlier coordinator.
        """
        self._queue.pop(holder, None)
        self._promised.pop(holder, None)
        since_ms = self._held.pop(holder, None)
        if since_ms is not None:
            self._hold_times.add(now_ms - since_ms)
        elif was_held and self.foreign:
            self._attribute_one()

    def remove_instance(self, instance: str) -> None:
        """Removes the entries of an instance that has left.

        Slots that it held stay in use at the engine until the sweep frees them.
        Until then they count as foreign by the engine's reports.
        """
        for entries in (self._queue, self._promised, self._held):
            for holder in [h for h in entries if h.instance == instance]:
                del entries[holder]

    def grant_next(self, now_ms: float) -> SlotRequest | None:
        """Grants the first queued request that can be granted now."""
        self._expire_promises(now_ms)
        for request in self.wait_queue:
            if request.is_ready:
                if self.free <= 0:
                    continue
                self._held[request.holder] = now_ms
            elif request.ready_in_ms <= 0 and self._available >= 1:
                self._held[request.holder] = now_ms
            elif self._can_promise(request, now_ms):
                needed_at_ms = now_ms + request.ready_in_ms
                self._promised[request.holder] = _Promise(
                    needed_at_ms, needed_at_ms + PROMISE_LASTS_MS
                )
            else:
                return None
            del self._queue[request.holder]
            return request
        return None

    def reject_late(self, now_ms: float) -> list[SlotRequest]:
        """Removes and returns the requests that cannot be granted in time."""
        rejected = []
        position = 0
        for request in self.wait_queue:
            wait_ms = 0.0 if request.is_ready else self.wait_ms(position)
            if now_ms + wait_ms > request.latest_at_ms:
                del self._queue[request.holder]
                rejected.append(request)
            else:
                position += 1
        return rejected

    def wait_ms(self, position: int | None = None) -> float:
        """Returns the expected wait at a position of the queue.

        Args:
            position: Position from 0; ``None`` for a new request at the end.
        """
        if position is None:
            position = len(self._queue)
        needed = position + 1 + len(self._promised) - self.free
        if needed <= 0:
            return 0.0
        users = len(self._held) + self.foreign + len(self._promised)
        users = max(1, min(users, self.slots))
        return needed * self._hold_times.mean_ms / users

    def _can_promise(self, request: SlotRequest, now_ms: float) -> bool:
        if self._available >= 1:
            return True
        expected_ends, variance = self._expected_ends(
            request.ready_in_ms, now_ms
        )
        safety = _SAFETY_DEVIATIONS * request.waste_weight * math.sqrt(variance)
        return self._available + expected_ends - safety >= 1.0

    def _expected_ends(
        self, within_ms: float, now_ms: float
    ) -> tuple[float, float]:
        """Returns mean and variance of the number of holders ending in time."""
        mean = variance = 0.0
        for since_ms in self._held.values():
            probability = self._hold_times.end_probability(
                now_ms - since_ms, within_ms
            )
            mean += probability
            variance += probability * (1.0 - probability)
        probability = min(1.0, within_ms / self._hold_times.mean_ms)
        mean += self.foreign * probability
        variance += self.foreign * probability * (1.0 - probability)
        return mean, variance

    def _expire_promises(self, now_ms: float) -> None:
        """Removes expired promises, for example those of a crashed instance."""
        for holder, promise in list(self._promised.items()):
            if promise.expires_at_ms < now_ms:
                del self._promised[holder]

    def _attribute_one(self) -> None:
        reduced = [max(0, count - 1) for count in self._foreign_samples]
        self._foreign_samples.extend(reduced)
