"""One engine's decode slots: who holds, who was promised, who waits.

A keeper serves one line for all instances, so their lagging views don't make
them pile on the same engine. A promise is given before its slot is free, when
enough holders are expected to end by the time the prompt was read.
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
    """A request of some instance."""

    instance: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """What a request waits for.

    Attributes:
        holder: Whose wish it is.
        ready_in_ms: Time from the grant until the slot is needed.
        latest_at_ms: After this the grant is of no use.
        priority: Higher goes first.
        caution: From 0 to 1, how much a late slot weighs.
        is_ready: The slot is needed at the grant.
    """

    holder: Holder
    ready_in_ms: float
    latest_at_ms: float
    priority: int = 0
    caution: float = 0.5
    is_ready: bool = False

    @property
    def rank(self) -> tuple[bool, int, float, Holder]:
        """Sorts a line: waiting KV, then priority, then the deadline."""
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
    """The books of one engine.

    Args:
        slots: Slots it has.
        hold_times: Learned from all engines of the service.
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
        """Slots in use that nobody told this keeper of.

        The smallest recent difference to the engine's reports: what a report
        shows above the books is mostly its lag, but what all recent ones
        show is not.
        """
        return min(self._unexplained, default=0)

    @property
    def free(self) -> int:
        """Slots that nobody holds."""
        return self.slots - len(self._held) - self.foreign

    @property
    def _spare(self) -> int:
        return self.free - len(self._promised)

    @property
    def balance(self) -> int:
        """Free slots less promises and wishes; may be below zero."""
        return self._spare - len(self._line)

    @property
    def line(self) -> list[Wish]:
        """Who waits, first come first."""
        return sorted(self._line.values(), key=lambda wish: wish.rank)

    def reported(self, slots_total: int, slots_used: int) -> None:
        """Learns the engine's own word, some while old."""
        if slots_total > 0:
            self.slots = slots_total
        self._unexplained.append(max(0, slots_used - len(self._held)))

    def wish(self, wish: Wish) -> None:
        """Puts a request into the line; one that is ready needs no promise."""
        if wish.is_ready:
            self._promised.pop(wish.holder, None)
        self._line[wish.holder] = wish

    def hold(self, holder: Holder, since_ms: float) -> None:
        """Notes a slot that is held already."""
        if holder not in self._held and self._unexplained:
            self._explain_one()
        self._held[holder] = since_ms

    def end(
        self, holder: Holder, now_ms: float, *, was_held: bool = False
    ) -> None:
        """Takes back whatever a request holds, was promised or waits for.

        Args:
            holder: The request.
            now_ms: Clock reading.
            was_held: Its own word, for slots of an earlier keeper's time.
        """
        self._line.pop(holder, None)
        self._promised.pop(holder, None)
        since_ms = self._held.pop(holder, None)
        if since_ms is not None:
            self._hold_times.add(now_ms - since_ms)
        elif was_held and self.foreign:
            self._explain_one()

    def forget_instance(self, instance: str) -> None:
        """Drops promises and wishes of an instance that is gone.

        What it holds stays in the engine until the sweep frees it, so it
        counts on as foreign until reports no longer show it.
        """
        for book in (self._line, self._promised, self._held):
            for holder in [h for h in book if h.instance == instance]:
                del book[holder]

    def grant_next(self, now_ms: float) -> Wish | None:
        """Grants the first wish in the line that can be granted now."""
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
        """Takes wishes out of the line that can't be granted in time."""
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
        """Expected wait of the wish at a place in the line.

        Args:
            place: ``None`` for a new wish at the line's end.
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
        """Mean and variance of the number of holders that end in time."""
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
        """Drops promises that were never used, as of a lost instance."""
        for holder, promise in list(self._promised.items()):
            if promise.lapses_at_ms < now_ms:
                del self._promised[holder]

    def _explain_one(self) -> None:
        lower = [max(0, count - 1) for count in self._unexplained]
        self._unexplained.extend(lower)
