"""Divides the fleet's retry allowance among instances by demand.

A share counts as used until one window after its holder has confirmed the next
one, since retries in that window may have used it. A share is raised only by
what no share counts for, so the sum never exceeds the allowance in any window.
The holder of a lost link may use its share for one window more.

A new leader doesn't know who holds shares of the former one. Until these have
expired it divides only what its followers report to hold.

Load: one entry for each follower, divided once a second.
"""

from __future__ import annotations

import dataclasses

# Part of the allowance that is divided equally, so that an instance can retry
# before its demand is known.
_EQUAL_PART = 0.25
# Part that is divided only while it is lacking, so that a new instance gets a
# share before those of the others have expired.
_RESERVE = 0.15
# Parts of the demand above the mean up to which it counts as even, and from
# which it no longer does. Even demand doesn't move, so shares are equal and
# only the equal part of one further instance is reserved.
_EVEN_PART = 0.1
_UNEVEN_PART = 0.2
# Time in which a message is received, or its link is found broken.
_LINK_TIMEOUT_MS = 2_500.0
# Times after which the followers of a first leader have reported, and after
# which a fleet without shares no longer counts as just started.
_REPORTED_MS = 2_400.0
_FIRST_UNTIL_MS = 6_000.0
# Smallest relative change of a share that is worth a message. While demand is
# even, shares change only with the instances, and must follow exactly, as no
# reserve covers the difference.
_MIN_CHANGE = 0.1
_MIN_EVEN_CHANGE = 0.001


def expiry_ms(window_ms: float) -> float:
    """Returns how long a share of a lost link may be used, in milliseconds.

    Its holder may use it for one window more, and the retries of that window
    count for another.
    """
    return 2.0 * window_ms + _LINK_TIMEOUT_MS


@dataclasses.dataclass(slots=True)
class _Share:
    """A share that an instance may use or may have used within the window."""

    number: int
    share: float
    expires_ms: float = float("inf")


class Holder:
    """Shares of one instance.

    Args:
        name: Name of the instance.

    Attributes:
        wanted: Retries that it wanted within the window.
        has_reported: Whether it has reported; older builds never do.
        is_replaced: Whether a later process of this name has reported.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.wanted = 0.0
        self.has_reported = False
        self.is_replaced = False
        self._shares: list[_Share] = []
        self._number = 0

    @property
    def share(self) -> float:
        """Share that was set last."""
        return self._shares[-1].share if self._shares else 0.0

    @property
    def number(self) -> int:
        """Number of the share that was set last."""
        return self._number

    def counted(self, now_ms: float) -> float:
        """Returns the highest share that may be in use within the window."""
        self._shares = [s for s in self._shares if s.expires_ms > now_ms]
        return max((s.share for s in self._shares), default=0.0)

    def hold(self, share: float) -> None:
        """Counts a share that the instance held before."""
        self._shares.append(_Share(self._number, share))

    def set_share(self, share: float) -> int:
        """Sets the share and returns its number."""
        self._number += 1
        self._shares.append(_Share(self._number, share))
        return self._number

    def confirm(self, number: int, expires_ms: float) -> None:
        """Lets the shares before a confirmed one expire."""
        for earlier in self._shares:
            if earlier.number < number:
                earlier.expires_ms = min(expires_ms, earlier.expires_ms)

    def expire(self, expires_ms: float) -> None:
        """Lets all shares expire."""
        for share in self._shares:
            share.expires_ms = min(expires_ms, share.expires_ms)


class RetryShares:
    """The leader's division of the allowance.

    Args:
        window_ms: Window of the retry budget in ms.
    """

    def __init__(self, window_ms: float) -> None:
        self.window_ms = window_ms
        self._present: list[Holder] = []
        self._lost: list[Holder] = []
        self._began_ms = 0.0
        self._own: Holder | None = None
        # Sum of the shares that instances held under the former leader.
        self._inherited = 0.0
        self._names: set[str] = set()
        # Whether all instances want about as many retries.
        self._is_even = False
        # Whether no instance is known to have had a share before.
        self._is_first = True

    @property
    def _settled_ms(self) -> float:
        """Time at which all shares of former leaders have expired."""
        return self._began_ms + expiry_ms(self.window_ms)

    def begin(
        self,
        own: Holder,
        held: float | None,
        now_ms: float,
        *,
        is_first_term: bool,
    ) -> None:
        """Begins to divide the allowance as the leader.

        Args:
            own: The leader's own shares.
            held: Highest share that it used within the last window; ``None``
                if it never had one.
            now_ms: Current time in ms.
            is_first_term: Whether nobody has led before. Otherwise processes
                that this leader doesn't see, or that have just been killed,
                may have used shares within the window.
        """
        self._present, self._lost = [], []
        self._began_ms = now_ms
        self._own = own
        self._inherited = 0.0
        self._names = set()
        self._is_first = is_first_term
        self.add(own)
        self.report(own, 0, held, 0.0, now_ms)

    def add(self, holder: Holder) -> None:
        """Adds an instance whose link has opened."""
        self._present.append(holder)

    def remove(self, holder: Holder, now_ms: float) -> None:
        """Keeps counting the shares of an instance whose link has ended."""
        if holder not in self._present:
            return
        self._present.remove(holder)
        if not holder.has_reported:
            holder.hold(1.0 / (1.0 + len(self._present)))
        holder.expire(now_ms + expiry_ms(self.window_ms))
        self._lost.append(holder)

    def report(
        self,
        holder: Holder,
        number: int,
        held: float | None,
        wanted: float,
        now_ms: float,
    ) -> None:
        """Records the report of an instance; see ``RetryDemand``.

        Args:
            holder: Shares of the instance.
            number: Number of the last share that the instance uses.
            held: Highest share that it used within the last window; ``None``
                if it never had one.
            wanted: Retries that it wanted within the window.
            now_ms: Current time in ms.
        """
        holder.wanted = max(0.0, wanted)
        if not holder.has_reported:
            holder.has_reported = True
            self._inherit(holder, held, now_ms)
        holder.confirm(number, now_ms + self.window_ms)

    def _inherit(
        self, holder: Holder, held: float | None, now_ms: float
    ) -> None:
        """Counts what an instance held when it reported first."""
        former = [lost for lost in self._lost if lost.name == holder.name]
        if held is None:
            # A new process: shares of its predecessor count until they expire,
            # beside its own.
            for lost in former:
                lost.is_replaced = True
            return
        self._is_first = False
        held = min(1.0, max(0.0, held))
        holder.hold(held)
        for lost in former:
            if lost.is_replaced:
                continue
            holder.hold(lost.counted(now_ms))
            self._lost.remove(lost)
        if holder.name not in self._names:
            self._names.add(holder.name)
            self._inherited += held

    def _total(self, now_ms: float) -> float:
        """Returns the part of the allowance that may be divided."""
        if now_ms >= self._settled_ms:
            return 1.0
        return min(1.0, self._inherited)

    def _detect_new_fleet(self, now_ms: float) -> None:
        """Frees the whole allowance if no instance ever had a share."""
        if now_ms >= self._settled_ms:
            return
        leading_ms = now_ms - self._began_ms
        have_reported = len(self._present) > 1 and all(
            holder.has_reported for holder in self._present
        )
        is_first = self._is_first and have_reported
        if is_first and _REPORTED_MS <= leading_ms <= _FIRST_UNTIL_MS:
            self._inherited = 1.0
            self._is_first = False

    def divide(self, now_ms: float) -> list[Holder]:
        """Divides the allowance anew.

        Returns:
            The instances whose share has changed.
        """
        if self._own is not None:
            self._own.confirm(self._own.number, now_ms + self.window_ms)
        self._lost = [h for h in self._lost if h.counted(now_ms) > 0.0]
        self._detect_new_fleet(now_ms)
        total = self._total(now_ms)
        sharing = [h for h in self._present if h.has_reported]
        older = len(self._present) - len(sharing)
        reserved = sum(h.counted(now_ms) for h in self._lost)
        reserved += older / len(self._present)
        self._update_is_even(sharing)
        reserve = _RESERVE
        if self._is_even:
            reserve = min(_RESERVE, _EQUAL_PART / (1 + len(sharing)))
        usable = (1.0 - reserve) * max(0.0, total - reserved)
        targets = self._targets(sharing, usable)
        changed: list[Holder] = []
        for holder, target in zip(sharing, targets, strict=True):
            is_less = target < holder.share * (1.0 - self._min_change)
            # A first share also shows that the leader divides by demand.
            if is_less or holder.number == 0:
                holder.set_share(min(target, holder.share))
                changed.append(holder)
        free = total - reserved - sum(h.counted(now_ms) for h in sharing)
        return changed + self._raise_shares(sharing, targets, free, now_ms)

    @property
    def _min_change(self) -> float:
        return _MIN_EVEN_CHANGE if self._is_even else _MIN_CHANGE

    def _update_is_even(self, sharing: list[Holder]) -> None:
        wanted = sum(holder.wanted for holder in sharing)
        if wanted <= 0.0:
            self._is_even = False
            return
        mean = wanted / len(sharing)
        above = sum(max(0.0, holder.wanted - mean) for holder in sharing)
        limit = _UNEVEN_PART if self._is_even else _EVEN_PART
        self._is_even = above <= limit * wanted

    def _raise_shares(
        self,
        sharing: list[Holder],
        targets: list[float],
        free: float,
        now_ms: float,
    ) -> list[Holder]:
        """Raises shares by what is free, and to what counts for them anyway."""
        lacks: list[tuple[Holder, float, float]] = []
        for holder, target in zip(sharing, targets, strict=True):
            counted = holder.counted(now_ms)
            if target > holder.share * (1.0 + self._min_change):
                lacks.append((holder, target, max(0.0, target - counted)))
        needed = sum(lack for _, _, lack in lacks)
        part = 0.0 if needed <= 0.0 else min(1.0, max(0.0, free) / needed)
        raised: list[Holder] = []
        for holder, target, lack in lacks:
            share = target - lack + lack * part
            if share > holder.share * (1.0 + self._min_change):
                holder.set_share(share)
                raised.append(holder)
        return raised

    def _targets(self, sharing: list[Holder], total: float) -> list[float]:
        wanted = sum(holder.wanted for holder in sharing)
        equal = total / len(sharing) if sharing else 0.0
        if wanted <= 0.0 or self._is_even:
            return [equal] * len(sharing)
        rest = (1.0 - _EQUAL_PART) * total
        return [
            _EQUAL_PART * equal + rest * holder.wanted / wanted
            for holder in sharing
        ]
