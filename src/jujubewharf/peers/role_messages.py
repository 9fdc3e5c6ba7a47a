"""Messages about orders to change engines' roles; numbers 150 to 159.

Times are durations rather than timestamps, because clocks differ between
instances. They are whole milliseconds, which take fewer bytes.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools

from jujubewharf.configuration import resources
from jujubewharf.peers import messages
from jujubewharf.role_orders import ledger

# Bounds of what a message may state. No role change takes a minute.
_MAX_ORDERS = 10_000
_MAX_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class OrderReport:
    """One order, as known to the sender.

    Attributes:
        engine: Name of the engine, unique to one start.
        service: Service of the engine.
        role: A value of ``resources.Role``.
        outcome: A value of ``ledger.Outcome``.
        fence: Fencing token that the order was sent with.
        age_ms: Time since it was last sent.
        left_ms: Time for which it may still take effect.
        sends: How often it was sent.
    """

    engine: str
    service: str
    role: str
    outcome: str
    fence: int
    age_ms: int
    left_ms: int
    sends: int = 1


@messages.message(150)
@dataclasses.dataclass(frozen=True, slots=True)
class RoleOrders(messages.Message):
    """Orders to change roles.

    The leader sends one before each order and with its outcome. Both sides of
    a new link send the newest order of each engine.
    """

    orders: tuple[OrderReport, ...]

    @classmethod
    def from_known(
        cls, orders: Iterable[ledger.KnownOrder], now_ms: float
    ) -> RoleOrders:
        """Creates the message."""
        return cls(
            tuple(
                OrderReport(
                    order.engine,
                    order.service,
                    order.role.value,
                    order.outcome.value,
                    order.fence,
                    max(0, round(now_ms - order.sent_ms)),
                    max(0, round(order.until_ms - now_ms)),
                    order.sends,
                )
                for order in itertools.islice(orders, _MAX_ORDERS)
            )
        )

    def known_orders(self, now_ms: float) -> Iterator[ledger.KnownOrder]:
        """Yields the valid orders, with times of this instance's clock."""
        for report in itertools.islice(self.orders, _MAX_ORDERS):
            try:
                role = resources.Role(report.role)
                outcome = ledger.Outcome(report.outcome)
            except ValueError:
                # A value of a newer build.
                continue
            is_valid = (
                0 <= report.age_ms <= _MAX_MS
                and 0 <= report.left_ms <= _MAX_MS
                and report.sends >= 1
            )
            if is_valid:
                yield ledger.KnownOrder(
                    report.engine,
                    report.service,
                    role,
                    outcome,
                    report.fence,
                    now_ms - report.age_ms,
                    now_ms + report.left_ms,
                    report.sends,
                )
