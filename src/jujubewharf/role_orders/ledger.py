"""Orders to change roles that may still take effect, of all leaders.

Load: a few orders per minute and service, however many requests there are. No
network access; the clock is passed in.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import enum
import math

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources

# Time for which orders are kept to tell the direction of the latest changes.
_HISTORY_MS = 60_000.0
# Bound of the state that other instances can cause here.
_MAX_ORDERS = 10_000
# Largest difference between the times at which two instances place one order,
# because of latency.
_SAME_ORDER_MS = 500.0

# The role that an engine leaves when it changes to another.
OTHER_ROLE = {
    resources.Role.PREFILL: resources.Role.DECODE,
    resources.Role.DECODE: resources.Role.PREFILL,
}


class Outcome(enum.Enum):
    """What is known about an order."""

    SENT = "sent"
    """The engine's answer is outstanding."""
    ACCEPTED = "accepted"
    LOST = "lost"
    """The answer was lost; the order may still be carried out."""
    NOT_RUN = "not_run"
    OBSERVED = "observed"
    """The engine was found changing; its order is unknown."""


_UNCERTAIN = (Outcome.SENT, Outcome.LOST)


@dataclasses.dataclass(frozen=True, slots=True)
class KnownOrder:
    """An order to change an engine's role.

    Attributes:
        engine: Name of the engine, unique to one start.
        service: Service of the engine.
        role: Ordered role.
        outcome: What is known about it.
        fence: Fencing token that it was sent with.
        sent_ms: Clock time at which it was last sent.
        until_ms: Clock time until which it may take effect.
        sends: How often it was sent.
        is_own: Whether the present leadership of this instance sent it.
    """

    engine: str
    service: str
    role: resources.Role
    outcome: Outcome
    fence: int
    sent_ms: float
    until_ms: float
    sends: int = 1
    is_own: bool = False

    @property
    def is_uncertain(self) -> bool:
        """Whether it is unknown whether the engine got the order."""
        return self.outcome in _UNCERTAIN

    @property
    def is_in_effect(self) -> bool:
        """Whether the engine counts with the ordered role."""
        return self.outcome is not Outcome.NOT_RUN


class OrderLedger:
    """Orders of this instance and of other leaders.

    Args:
        clock: Clock.

    Attributes:
        on_recorded: Called with each order of this instance, and again with
            its outcome.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.on_recorded: Callable[[KnownOrder], None] = lambda order: None
        self._clock = clock
        self._pending: dict[str, KnownOrder] = {}
        # The newest order of each engine, also if it is settled.
        self._recent: dict[str, KnownOrder] = {}
        # Until when a repeated order may still arrive, by engine and role.
        self._late_until_ms: dict[tuple[str, resources.Role], float] = {}

    @property
    def now_ms(self) -> float:
        """Present time of the clock that the orders' times refer to."""
        return self._clock.now_ms()

    def record(self, order: KnownOrder) -> None:
        """Records an order of this instance, or its outcome."""
        self._store(order)
        self.on_recorded(order)

    def merge(self, order: KnownOrder) -> None:
        """Applies an order that another instance has reported."""
        known = self._recent.get(order.engine)
        if known is not None and _is_older(order, known):
            return
        if known is None and len(self._recent) >= _MAX_ORDERS:
            self._prune()
            if len(self._recent) >= _MAX_ORDERS:
                return
        if known is not None and known.sends > order.sends:
            order = dataclasses.replace(order, sends=known.sends)
        self._store(order)
        if not order.is_in_effect:
            self._pending.pop(order.engine, None)

    def _store(self, order: KnownOrder) -> None:
        now_ms = self._clock.now_ms()
        if order.until_ms > now_ms:
            self._pending[order.engine] = order
        if order.is_uncertain and order.sends > 1:
            self._late_until_ms[order.engine, order.role] = order.until_ms
        if order.is_in_effect:
            self._recent[order.engine] = order
        else:
            self._recent.pop(order.engine, None)
        self._prune()

    def pending(self, service: str) -> list[KnownOrder]:
        """Returns the orders whose effect hasn't been observed yet."""
        return [o for o in self._pending.values() if o.service == service]

    def recent(self) -> list[KnownOrder]:
        """Returns the newest order of each engine, as other leaders need it."""
        self._prune()
        return list(self._recent.values())

    def settle(self, engine: str) -> None:
        """Drops an order that took effect, or whose engine is gone."""
        self._pending.pop(engine, None)

    def drop_expired(self) -> None:
        """Drops orders that can't take effect any more."""
        now_ms = self._clock.now_ms()
        for name, order in list(self._pending.items()):
            if now_ms >= order.until_ms:
                del self._pending[name]

    def take_over(self) -> None:
        """Treats all orders as those of a predecessor."""
        for name, order in list(self._pending.items()):
            if order.is_in_effect:
                self._pending[name] = dataclasses.replace(order, is_own=False)
            else:
                del self._pending[name]

    def may_be_undone(self, engine: str, role: resources.Role) -> bool:
        """Returns whether a late order may undo a change to the given role."""
        now_ms = self._clock.now_ms()
        return any(
            name == engine and late_role is not role and now_ms < until_ms
            for (name, late_role), until_ms in self._late_until_ms.items()
        )

    def last_change_ms(self, service: str, role: resources.Role) -> float:
        """Returns when a change to a role was last ordered; else -inf."""
        return max(
            (
                order.sent_ms
                for order in self._recent.values()
                if order.service == service and order.role is role
            ),
            default=-math.inf,
        )

    def _prune(self) -> None:
        now_ms = self._clock.now_ms()
        oldest_ms = now_ms - _HISTORY_MS
        for name, order in list(self._recent.items()):
            if order.sent_ms < oldest_ms and name not in self._pending:
                del self._recent[name]
        for key, until_ms in list(self._late_until_ms.items()):
            if now_ms >= until_ms:
                del self._late_until_ms[key]


def _is_older(order: KnownOrder, known: KnownOrder) -> bool:
    """Returns whether an order adds nothing to a known one.

    The fence decides between leaders, then the time. Of one order, a state
    without an answer doesn't replace its outcome.
    """
    if order.fence != known.fence:
        return order.fence < known.fence
    if order.sends != known.sends:
        return order.sends < known.sends
    if abs(order.sent_ms - known.sent_ms) > _SAME_ORDER_MS:
        return order.sent_ms < known.sent_ms
    return order.outcome is Outcome.SENT
