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
_FOREIGN_WINDOW = 12
_CAUTION_DEVIATIONS = 1.0


class Holder(NamedTuple):
    """A request of one instance."""

    instance: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """A request for a slot.

    Attributes:
        holder: The request that wants the slot.
        ready_in_ms: Time from the grant until the slot is needed.
        latest_at_ms: Clock reading after which a grant is useless.
        priority: Higher values are served first.
        caution: Weight of the risk that a promised slot is late, from 0 to 1.
        is_ready: Whether the slot is needed at the grant.
    """

    holder: Holder
    ready_in_ms: float
    latest_at_ms: float
    priority: int = 0
    caution: float = 0.5
    is_ready: bool = False

    @property
    def rank(self) -> tuple[bool, int, float, Holder]:
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
    lapses_at_ms: float


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
        self._line: dict[Holder, Wish] = {}
        self._unexplained: collections.deque[int] = collections.deque(
            maxlen=_FOREIGN_WINDOW
        )

    def __repr__(self) -> str:
        return (
            f"SlotLedger({len(self._held)}+{self.foreign} of {self.slots} "
            f"held, {len(self._promised)} promised, {len(self._line)} wait)"
        )

    @property
    def foreign(self) -> int:
        """Number of slots in use that were not granted by this coordinator.

        This is the minimum of the recent differences between reports and the
        ledger. A single difference may result from the lag of the report, but
        not one that appears in all recent reports.
        """
        return min(self._unexplained, default=0)

    @property
    def free(self) -> int:
        """Number of slots without a holder."""
        return self.slots - len(self._held) - self.foreign

    @property
    def _spare(self) -> int:
        return self.free - len(self._promised)

    @property
    def balance(self) -> int:
        """Free slots minus promises and queued requests; may be negative."""
        return self._spare - len(self._line)

    @property
    def line(self) -> list[Wish]:
        """Queued requests, next to be granted first."""
        return sorted(self._line.values(), key=lambda wish: wish.rank)

    def reported(self, slots_total: int, slots_used: int) -> None:
        """Applies a load report of the engine, which may be outdated."""
        if slots_total > 0:
            self.slots = slots_total
        self._unexplained.append(max(0, slots_used - len(self._held)))

    def wish(self, wish: Wish) -> None:
        """Queues a request. If it is ready, its promise is dropped."""
        if wish.is_ready:
            self._promised.pop(wish.holder, None)
        self._line[wish.holder] = wish

    def hold(self, holder: Holder, since_ms: float) -> None:
        """Records a slot that is already held."""
        if holder not in self._held and self._unexplained:
            self._explain_one()
        self._held[holder] = since_ms

    def end(
        self, holder: Holder, now_ms: float, *, was_held: bool = False
    ) -> None:
        """Removes a request's slot, promise and queue entry.

        Args:
            holder: The request.
            now_ms: Clock reading.
            was_held: Whether the request says that it held a slot; counts for
                slots granted by an earlier coordinator.
        """
        self._line.pop(holder, None)
        self._promised.pop(holder, None)
        since_ms = self._held.pop(holder, None)
        if since_ms is not None:
            self._hold_times.add(now_ms - since_ms)
        elif was_held and self.foreign:
            self._explain_one()

    def forget_instance(self, instance: str) -> None:
        """Removes the entries of an instance that has left.

        Slots that it held stay in use at the engine until the sweep frees them.
        Until then they count as foreign by the engine's reports.
        """
        for book in (self._line, self._promised, self._held):
            for holder in [h for h in book if h.instance == instance]:
                del book[holder]

    def grant_next(self, now_ms: float) -> Wish | None:
        """Grants the first queued request that can be granted now."""
        self._lapse(now_ms)
        for wish in self.line:
            if wish.is_ready:
                if self.free <= 0:
                    continue
                self._held[wish.holder] = now_ms
            elif wish.ready_in_ms <= 0 and self._spare >= 1:
                self._held[wish.holder] = now_ms
            elif self._can_promise(wish, now_ms):
                needed_at_ms = now_ms + wish.ready_in_ms
                self._promised[wish.holder] = _Promise(
                    needed_at_ms, needed_at_ms + PROMISE_LASTS_MS
                )
            else:
                return None
            del self._line[wish.holder]
            return wish
        return None

    def take_hopeless(self, now_ms: float) -> list[Wish]:
        """Removes and returns the requests that cannot be granted in time."""
        hopeless = []
        place = 0
        for wish in self.line:
            wait_ms = 0.0 if wish.is_ready else self.wait_ms(place)
            if now_ms + wait_ms > wish.latest_at_ms:
                del self._line[wish.holder]
                hopeless.append(wish)
            else:
                place += 1
        return hopeless

    def wait_ms(self, place: int | None = None) -> float:
        """Returns the expected wait at a position of the queue.

        Args:
            place: Position from 0; ``None`` for a new request at the end.
        """
        if place is None:
            place = len(self._line)
        needed = place + 1 + len(self._promised) - self.free
        if needed <= 0:
            return 0.0
        users = len(self._held) + self.foreign + len(self._promised)
        users = max(1, min(users, self.slots))
        return needed * self._hold_times.mean_ms / users

    def _can_promise(self, wish: Wish, now_ms: float) -> bool:
        if self._spare >= 1:
            return True
        ends, variance = self._ends_within(wish.ready_in_ms, now_ms)
        doubt = _CAUTION_DEVIATIONS * wish.caution * math.sqrt(variance)
        return self._spare + ends - doubt >= 1.0

    def _ends_within(
        self, within_ms: float, now_ms: float
    ) -> tuple[float, float]:
        """Returns mean and variance of the number of holders ending in time."""
        mean = variance = 0.0
        for since_ms in self._held.values():
            chance = self._hold_times.chance_of_end(
                now_ms - since_ms, within_ms
            )
            mean += chance
            variance += chance * (1.0 - chance)
        chance = min(1.0, within_ms / self._hold_times.mean_ms)
        mean += self.foreign * chance
        variance += self.foreign * chance * (1.0 - chance)
        return mean, variance

    def _lapse(self, now_ms: float) -> None:
        """Removes expired promises, for example those of a crashed instance."""
        for holder, promise in list(self._promised.items()):
            if promise.lapses_at_ms < now_ms:
                del self._promised[holder]

    def _explain_one(self) -> None:
        lower = [max(0, count - 1) for count in self._unexplained]
        self._unexplained.extend(lower)
