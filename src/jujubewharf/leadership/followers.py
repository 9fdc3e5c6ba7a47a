"""The leader's links to its followers, and what it sends to them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf import ordered_set
from jujubewharf.configuration import resources
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import state_log
from jujubewharf.leadership import endpoint_publisher
from jujubewharf.leadership import packing
from jujubewharf.leadership import placement_server as servers
from jujubewharf.leadership import shared_state
from jujubewharf.peers import codec
from jujubewharf.peers import counters
from jujubewharf.peers import demand_messages
from jujubewharf.peers import handshake
from jujubewharf.peers import leader_messages
from jujubewharf.peers import link as links
from jujubewharf.peers import link_messages
from jujubewharf.peers import messages
from jujubewharf.peers import origin_messages
from jujubewharf.peers import quota_messages
from jujubewharf.peers import role_messages
from jujubewharf.peers import streams
from jujubewharf.platform import epochs
from jujubewharf.platform import tables

# Size limit in bytes of a configuration that is sent to all followers at once
# over a link of some Mbit/s. One of this size reaches hundreds of them within a
# second. Followers read larger ones from the store.
_MAX_CONFIGURATION_BYTES = 6_000


RelayHandler = Callable[
    [str, asyncio.StreamReader, streams.StreamWriter], Awaitable[None]
]


async def _refuse_relay(
    peer: str, reader: asyncio.StreamReader, writer: streams.StreamWriter
) -> None:
    """Closes the stream of a peer where no calls are made for peers."""
    writer.close()


OriginLinkHandler = Callable[
    [link_messages.Hello, asyncio.StreamReader, streams.StreamWriter],
    Awaitable[None],
]


async def _refuse_origin_link(
    hello: link_messages.Hello,
    reader: asyncio.StreamReader,
    writer: streams.StreamWriter,
) -> None:
    """Closes the stream where no streams are remembered for peers."""
    writer.close()


async def _reply_unknown(key: bytes) -> origin_messages.OriginReply:
    """Replies that a stream isn't known."""
    return origin_messages.OriginReply(None)


class Followers:
    """Accepts the links of followers while this instance leads.

    Args:
        hello: Identity of this instance.
        new_placement_server: Creates the placement server of one follower.
        counts: Counters of links.
        epoch: Epoch of the store.
        clock: Clock.
        state: State that all instances share.
        count_within_ms: Time in ms for which a follower is counted after its
            link ended.

    Attributes:
        is_leading: Whether followers are accepted.
        term: Generation of the lease by which this instance last led.
        on_counted: Called with the number of instances at each heartbeat.
        on_leading_changed: Called when this instance begins or stops to lead.
        on_announcement: Called with the hello of each instance that announces
            a new leader.
        on_relay: Called with each stream that a peer opens to have a call made.
        on_origin_link: Called with each stream that a peer opens to tell and
            ask where streams began.
        on_link_begin: Called with the link of each new follower.
        on_link_end: Called with each link that ended.
        on_retry_demand: Called with a follower's demand for retries.
        on_streams_began: Called with streams that a follower of an older build
            began.
        on_streams_to_store: Called with streams of a follower that the store
            has to keep.
        on_origin_request: Called with the key of a stream for which such a
            follower asks; returns the reply.
    """

    def __init__(
        self,
        hello: link_messages.Hello,
        new_placement_server: servers.PlacementServerFactory,
        counts: counters.PeerCounters,
        epoch: epochs.StoreEpoch,
        clock: clocks.Clock,
        state: shared_state.SharedState,
        *,
        count_within_ms: float,
    ) -> None:
        self.is_leading = False
        self.term = 0
        self.on_counted: Callable[[int], None] = lambda instances: None
        self.on_leading_changed: Callable[[], None] = lambda: None
        self.on_announcement: Callable[[link_messages.Hello], None]
        self.on_announcement = lambda hello: None
        self.on_relay: RelayHandler = _refuse_relay
        self.on_origin_link: OriginLinkHandler = _refuse_origin_link
        self.on_link_begin: Callable[[links.Link], None] = lambda link: None
        self.on_link_end: Callable[[links.Link], None] = lambda link: None
        self.on_retry_demand: Callable[
            [links.Link, demand_messages.RetryDemand], None
        ]
        self.on_retry_demand = lambda link, message: None
        self.on_streams_began: Callable[
            [links.Link, origin_messages.StreamsBegan], None
        ]
        self.on_streams_began = lambda link, message: None
        self.on_streams_to_store: Callable[
            [origin_messages.StreamsToStore], None
        ]
        self.on_streams_to_store = lambda message: None
        self.on_origin_request: Callable[
            [bytes], Awaitable[origin_messages.OriginReply]
        ]
        self.on_origin_request = _reply_unknown
        self._leading_since_ms = 0.0
        self._count_within_ms = count_within_ms
        self._lost_at_ms: dict[str, float] = {}
        self._hello = hello
        self._new_placement_server = new_placement_server
        self._counts = counts
        self._epoch = epoch
        self._clock = clock
        self._state = state
        self._links = ordered_set.OrderedSet[links.Link]()
        self._endpoints = endpoint_publisher.EndpointPublisher(
            self._links, counts, clock
        )
        # Followers that have not been sent a configuration yet.
        self._unconfigured = ordered_set.OrderedSet[links.Link]()
        self._configuration: leader_messages.ConfigurationUpdate | None = None
        self._low_accounts = quota_messages.LowAccounts(())
        self._configurations_read = endpoint_publisher.ReadProgress()

    def __len__(self) -> int:
        return len(self._links)

    @property
    def follower_links(self) -> Collection[links.Link]:
        """Links of all followers."""
        return self._links

    @property
    def instances(self) -> int:
        """Number of instances, including recently lost followers."""
        oldest_ms = self._clock.now_ms() - self._count_within_ms
        for name, lost_ms in list(self._lost_at_ms.items()):
            if lost_ms < oldest_ms:
                del self._lost_at_ms[name]
        present = {link.peer for link in self._links}
        return 1 + len(present | set(self._lost_at_ms))

    @property
    def leading_for_ms(self) -> float:
        """Time in ms for which this instance has led; 0 if it doesn't lead."""
        if not self.is_leading:
            return 0.0
        return self._clock.now_ms() - self._leading_since_ms

    async def on_stream(
        self, reader: asyncio.StreamReader, writer: streams.StreamWriter
    ) -> None:
        """Serves an incoming stream until it ends."""
        link_handshake = handshake.Handshake(
            reader, writer, self._hello, _no_incarnation, self._counts
        )
        try:
            async with self._clock.timeout_ms(handshake.HELLO_TIMEOUT_MS):
                hello = await link_handshake.accept()
        except (handshake.RefusedHelloError, OSError, TimeoutError):
            writer.close()
            return
        if hello.is_relay:
            await self.on_relay(hello.instance, reader, writer)
            return
        if hello.is_origin_link:
            await self.on_origin_link(hello, reader, writer)
            return
        if hello.leader is not None:
            self.on_announcement(hello)
        if not self.is_leading or hello.leader is not None:
            reason = link_messages.CloseReason.STOPPING.value
            link_handshake.refuse(handshake.RefusedHelloError(reason))
            writer.close()
            return
        await self._serve(hello, reader, writer)

    async def _serve(
        self,
        hello: link_messages.Hello,
        reader: asyncio.StreamReader,
        writer: streams.StreamWriter,
    ) -> None:
        server = self._new_placement_server(
            hello.instance, lambda message: link.tell(message)
        )

        async def dispatch(
            peer: str, message: messages.Message
        ) -> messages.Message | None:
            match message:
                case leader_messages.FollowerHello(endpoints_end=end):
                    self._epoch.learn(end)
                    self._endpoints.add(link, end)
                    return None
                case demand_messages.RetryDemand():
                    self.on_retry_demand(link, message)
                    return None
                case leader_messages.ConfigurationRequest():
                    return self._configuration
                case leader_messages.ConfigurationUpdate():
                    self._on_follower_configuration(message)
                    return None
                case (
                    role_messages.RoleOrders() | origin_messages.VersionsSeen()
                ):
                    self._state.apply(message)
                    return None
                case origin_messages.StreamsBegan():
                    self.on_streams_began(link, message)
                    return None
                case origin_messages.StreamsToStore():
                    self.on_streams_to_store(message)
                    return None
                case origin_messages.OriginRequest(key=key):
                    return await self.on_origin_request(key)
                case _:
                    return await server.handle(peer, message)

        link = links.Link(
            hello,
            is_dialled=False,
            is_standing=True,
            reader=reader,
            writer=writer,
            clock=self._clock,
            counts=self._counts,
            dispatch=dispatch,
        )
        self._links.add(link)
        try:
            self.on_link_begin(link)
            self._unconfigured.add(link)
            if (
                self._configuration is not None
                and self._configurations_read.confirmed_ms is not None
            ):
                self._unconfigured.discard(link)
                self._send_configuration(self._configuration, [link])
            link.tell(self._heartbeat())
            link.tell(self._low_accounts)
            for initial in self._state.initial_messages():
                link.tell(initial)
            await link.run()
        finally:
            self._links.discard(link)
            self._endpoints.remove(link)
            self._unconfigured.discard(link)
            self._lost_at_ms[link.peer] = self._clock.now_ms()
            self.on_link_end(link)
            server.close()

    def begin_leading(self, term: int) -> None:
        """Starts to accept followers, with no tables confirmed as read yet.

        Args:
            term: Generation of the lease.
        """
        self.term = term
        self._endpoints.progress.confirmed_ms = None
        self._configurations_read.confirmed_ms = None
        self._low_accounts = quota_messages.LowAccounts(())
        self.is_leading = True
        self._leading_since_ms = self._clock.now_ms()
        self.on_leading_changed()

    def stop_leading(self) -> None:
        """Closes the links of all followers."""
        self.is_leading = False
        self.on_leading_changed()
        reason = link_messages.CloseReason.STOPPING.value
        for link in list(self._links):
            link.close(link_messages.Farewell(reason))

    def broadcast_low_accounts(
        self, accounts: tuple[quota_messages.AccountQuota, ...]
    ) -> None:
        """Sends all followers the accounts that are low."""
        if accounts or self._low_accounts.accounts:
            self._low_accounts = quota_messages.LowAccounts(accounts)
            self._send(self._low_accounts, self._links)

    def broadcast(self, message: messages.Message) -> None:
        """Sends a message to all followers."""
        self._send(message, self._links)

    def send_heartbeat(self) -> None:
        """Sends all followers a heartbeat, and newer loads of endpoints.

        The heartbeat has the store's read offsets.
        """
        self.on_counted(self.instances)
        self._send(self._heartbeat(), self._links)
        digest = self._state.loads.next_digest()
        if digest is not None:
            self._send(digest, self._links)

    def publish_configurations(
        self,
        records: Iterable[
            tables.TableRecord[routes.RoutingConfiguration | None]
        ],
        end: int,
    ) -> None:
        """Records configurations that were read, and broadcasts a new one."""
        known = self._configuration
        update = None
        for record in records:
            if record.value is None:
                continue
            # A restored store shows an older version than was in force.
            version = record.value.version
            if (
                known is None
                or known.version is None
                or version > known.version
            ):
                known = update = leader_messages.ConfigurationUpdate(
                    record.key,
                    record.offset,
                    end,
                    record.value,
                    version=version,
                )
        self._configuration = known
        self._configurations_read.read(end, self._clock.now_ms())
        if known is None:
            return
        recipients = [
            link for link in self._links if link not in self._unconfigured
        ]
        self._send_configuration(known, self._unconfigured)
        self._unconfigured.clear()
        if update is not None:
            self._send_configuration(update, recipients)

    def _on_follower_configuration(
        self, update: leader_messages.ConfigurationUpdate
    ) -> None:
        """Applies a version that the store has lost and a follower knows."""
        sent = update.configuration
        if sent is None:
            return
        self._state.source.apply(
            sent, position=update.offset, told_by="follower"
        )
        record: tables.TableRecord[routes.RoutingConfiguration | None]
        record = tables.TableRecord(update.key, update.offset, sent)
        if self._configurations_read.confirmed_ms is not None:
            self.publish_configurations([record], self._configurations_read.end)

    def _send_configuration(
        self,
        update: leader_messages.ConfigurationUpdate,
        to: Iterable[links.Link],
    ) -> None:
        recipients = list(to)
        if not recipients:
            return
        update = dataclasses.replace(update, end=self._configurations_read.end)
        if update.configuration is not None:
            state_log.log_sent_configuration(
                update.configuration.version,
                offset=update.offset,
                end=update.end,
                followers=len(recipients),
            )
        data = codec.encode_or_drop(_frame(update), self._counts)
        if data is None:
            # Followers read it from the store.
            update = dataclasses.replace(update, configuration=None)
        elif len(data) > _MAX_CONFIGURATION_BYTES:
            packed: bytes | None = packing.pack(update)
            if packed is not None and len(packed) > _MAX_CONFIGURATION_BYTES:
                packed = None
            update = dataclasses.replace(
                update, configuration=None, packed=packed
            )
        self._send(update, recipients)

    def _send(
        self, message: messages.Message, to: Iterable[links.Link]
    ) -> None:
        data = codec.encode_or_drop(_frame(message), self._counts)
        if data is None:
            return
        for link in to:
            link.tell_encoded(data)

    @property
    def endpoint_keys_digest(self) -> int:
        """Digest of the endpoints' keys that this instance has read."""
        return self._endpoints.keys_digest

    def publish_endpoints(
        self,
        records: Iterable[tables.TableRecord[resources.Endpoint]],
        end: int,
        *,
        is_full_read: bool,
    ) -> None:
        """Records endpoints read from the store, and broadcasts changes."""
        self._endpoints.publish(records, end, is_full_read=is_full_read)

    def _heartbeat(self) -> leader_messages.LeaderHeartbeat:
        now_ms = self._clock.now_ms()
        endpoints, configurations = (
            self._endpoints.progress,
            self._configurations_read,
        )
        return leader_messages.LeaderHeartbeat(
            configuration_end=configurations.end,
            configuration_age_ms=configurations.age_ms(now_ms),
            endpoints_end=endpoints.end,
            endpoints_age_ms=endpoints.age_ms(now_ms),
            instances=self.instances,
            epoch=self._epoch.current,
        )


def _frame(message: messages.Message) -> codec.Frame:
    return codec.Frame(codec.FrameKind.TELL, 0, message)


def _no_incarnation(instance: str) -> int:
    return 0
