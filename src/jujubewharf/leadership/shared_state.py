"""State about endpoints and requests that all instances share."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import itertools

from jujubewharf.forwarding import backpressure
from jujubewharf.forwarding import crashes
from jujubewharf.forwarding import forwarder
from jujubewharf.leadership import load_digests
from jujubewharf.peers import crash_messages
from jujubewharf.peers import limit_messages
from jujubewharf.peers import load_messages
from jujubewharf.peers import messages
from jujubewharf.peers import origin_messages
from jujubewharf.peers import role_messages
from jujubewharf.role_orders import ledger
from jujubewharf.stream_versions import origins as all_origins
from jujubewharf.stream_versions import version_history

# Streams in one message, which stays well under the largest frame.
_MESSAGE_STREAMS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class SharedState:
    """State that an instance shares with its leader or followers.

    Attributes:
        backpressure: Limits, backoffs and leaving notices of endpoints.
        history: Engines that crashed while running which requests.
        source: Configuration in force.
        loads: Load of plain endpoints.
        orders: Orders to change roles, of all leaders.
        origins: Where streams began.
        versions: Software versions that services have had.
    """

    backpressure: backpressure.Backpressure
    history: crashes.CrashHistory
    source: forwarder.ActiveConfiguration
    loads: load_digests.LoadDigests
    orders: ledger.OrderLedger
    origins: all_origins.StreamOrigins
    versions: version_history.VersionHistory

    def initial_messages(self) -> tuple[messages.Message, ...]:
        """Returns the messages that each side of a new link sends first."""
        terms = limit_messages.EndpointTerms(
            self.backpressure.terms, is_news=False
        )
        seen = origin_messages.VersionsSeen.from_history(
            self.versions, self.orders.now_ms
        )
        initial: list[messages.Message] = [terms, seen]
        reports = self.history.reports()
        if reports:
            initial.append(crash_messages.CrashReports(reports))
        orders = self.orders.recent()
        if orders:
            initial.append(
                role_messages.RoleOrders.from_known(orders, self.orders.now_ms)
            )
        return tuple(initial)

    def stream_messages(self) -> Iterator[origin_messages.StreamsBegan]:
        """Returns messages with all streams that this instance remembers."""
        now_ms = self.orders.now_ms
        records = iter(self.origins.records())
        while part := list(itertools.islice(records, _MESSAGE_STREAMS)):
            yield origin_messages.StreamsBegan.from_records(part, now_ms)

    def origin_reply(self, key: bytes) -> origin_messages.OriginReply:
        """Returns the reply to an instance that asks where a stream began."""
        record = self.origins.record_of(key)
        if record is None:
            return origin_messages.OriginReply(None)
        return origin_messages.OriginReply(
            origin_messages.BegunStream.from_record(record, self.orders.now_ms)
        )

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
            case origin_messages.StreamsBegan():
                for record in message.records(self.orders.now_ms):
                    self.origins.merge(record)
            case origin_messages.VersionsSeen():
                self.versions.merge(
                    message.seen(self.orders.now_ms),
                    complete_for_ms=message.complete_for_ms,
                )
