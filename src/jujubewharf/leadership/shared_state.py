"""State about endpoints and requests that all instances share."""

from __future__ import annotations

import dataclasses

from jujubewharf.forwarding import backpressure
from jujubewharf.forwarding import crashes
from jujubewharf.forwarding import forwarder
from jujubewharf.leadership import load_digests
from jujubewharf.peers import crash_messages
from jujubewharf.peers import limit_messages
from jujubewharf.peers import load_messages
from jujubewharf.peers import messages
from jujubewharf.peers import role_messages
from jujubewharf.role_orders import ledger


@dataclasses.dataclass(frozen=True, slots=True)
class SharedState:
    """State that an instance shares with its leader or followers.

    Attributes:
        backpressure: Limits, backoffs and leaving notices of endpoints.
        history: Engines that crashed while running which requests.
        source: Configuration in force.
        loads: Load of plain endpoints.
        orders: Orders to change roles, of all leaders.
    """

    backpressure: backpressure.Backpressure
    history: crashes.CrashHistory
    source: forwarder.ActiveConfiguration
    loads: load_digests.LoadDigests
    orders: ledger.OrderLedger

    def initial_messages(self) -> tuple[messages.Message, ...]:
        """Returns the messages that each side of a new link sends first."""
        terms = limit_messages.EndpointTerms(
            self.backpressure.terms, is_news=False
        )
        initial: list[messages.Message] = [terms]
        reports = self.history.reports()
        if reports:
            initial.append(crash_messages.CrashReports(reports))
        orders = self.orders.recent()
        if orders:
            initial.append(
                role_messages.RoleOrders.from_known(orders, self.orders.now_ms)
            )
        return tuple(initial)

    def apply(self, message: messages.Message) -> None:
        """Applies a message from the leader, or of orders from a follower."""
        match message:
            case limit_messages.EndpointTerms():
                for terms in message.terms:
                    self.backpressure.apply_terms(
                        terms, is_news=message.is_news
                    )
            case load_messages.LoadDigest():
                self.loads.apply(message.loads())
            case role_messages.RoleOrders():
                for order in message.known_orders(self.orders.now_ms):
                    self.orders.merge(order)
            case crash_messages.CrashReports():
                for report in message.reports:
                    self.history.merge(report)
