"""A follower's link to its leader: requests, reports and received data."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import fingerprints
from jujubewharf.forwarding import places as all_places
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import runs
from jujubewharf.forwarding import state_log
from jujubewharf.leadership import feeds as all_feeds
from jujubewharf.leadership import low_accounts
from jujubewharf.leadership import packing
from jujubewharf.leadership import placement_client
from jujubewharf.leadership import shared_state
from jujubewharf.peers import crash_messages
from jujubewharf.peers import demand_messages
from jujubewharf.peers import leader_messages
from jujubewharf.peers import limit_messages
from jujubewharf.peers import link as links
from jujubewharf.peers import load_messages
from jujubewharf.peers import messages
from jujubewharf.peers import network
from jujubewharf.peers import origin_messages
from jujubewharf.peers import quota_messages
from jujubewharf.peers import role_messages
from jujubewharf.platform import tables
from jujubewharf.stream_versions import version_history

# Interval of the leader's heartbeats, and the silence after which a follower
# closes the link and continues without a leader (three missed heartbeats).
HEARTBEAT_INTERVAL_MS = 500.0
LEADER_TIMEOUT_MS = 1_700.0
# Timeout for a permit or trial. Another endpoint may serve the request sooner,
# and latency targets of plain requests are some tenths of a second.
_GRANT_TIMEOUT_MS = 100.0
# Timeout for where a stream began. Without an answer its caller must begin
# anew, and callers leave a stream after two seconds without an event.
_ORIGIN_TIMEOUT_MS = 1_000.0
# Timeout for a whole configuration: some tens of kilobytes over a link of some
# Mbit/s.
_FETCH_TIMEOUT_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Feeds:
    """Tables of the store and low accounts, as received from the leader."""

    configurations: all_feeds.Feed[routes.RoutingConfiguration | None]
    endpoints: all_feeds.Feed[resources.Endpoint]
    low_accounts: low_accounts.LowAccounts


class LeaderLink:
    """The link to the leader, while there is one.

    Args:
        feeds: Store the data received from the leader.
        registry: Known engines by name.
        work: Costs observed by this instance.
        state: State that all instances share.
        endpoints_end: Returns the offset up to which this instance has read the
            endpoints.
        clock: Clock.

    Attributes:
        instances: Number of instances under the leader, including itself;
            ``None`` before its first heartbeat.
        link_count: Number of links to leaders so far.
        changed_ms: Clock reading when the last link began or ended.
        addresses: Addresses of some other instances, as last received.
        on_counted: Called with the number of instances in each heartbeat, and
            once more as the link ends.
        on_usage_shares: Called with this instance's share of each account's
            use.
        on_addresses: Called with the addresses of some other instances.
        on_replicas: Called with the replicas that the leader chose.
        on_retry_share: Called with this instance's share of the retry
            allowance.
    """

    def __init__(
        self,
        feeds: Feeds,
        registry: registries.Registry,
        work: costs.CostEstimates,
        state: shared_state.SharedState,
        endpoints_end: Callable[[], int],
        clock: clocks.Clock,
    ) -> None:
        self._endpoints_end = endpoints_end
        self.instances: int | None = None
        self.link_count = 0
        self.changed_ms = clock.now_ms()
        self.on_counted: Callable[[int], None] = lambda instances: None
        self.on_usage_shares: Callable[[dict[str, float]], None]
        self.on_usage_shares = lambda shares: None
        self.addresses = demand_messages.FleetAddresses(())
        self.on_addresses: Callable[[demand_messages.FleetAddresses], None]
        self.on_addresses = lambda message: None
        self.on_replicas: Callable[
            [tuple[origin_messages.ReplicaAddress, ...]], None
        ]
        self.on_replicas = lambda replicas: None
        self.on_retry_share: Callable[[demand_messages.RetryShare], None]
        self.on_retry_share = lambda message: None
        self._feeds = feeds
        self._work = work
        self._registry = registry
        self._state = state
        self._clock = clock
        self._link: links.Link | None = None
        self._placements = placement_client.PlacementClient(
            lambda: self._link, registry, state, clock
        )

    @property
    def is_open(self) -> bool:
        """Whether there is an open link to a leader."""
        return self._link is not None and not self._link.is_closed

    @property
    def link(self) -> links.Link | None:
        """The link to the leader, if there is one."""
        return self._link

    async def run(self, link: links.Link) -> bool:
        """Follows a leader until the link closes or heartbeats stop.

        Returns:
            Whether the other side led.
        """
        self._link = link
        self.link_count += 1
        self.changed_ms = self._clock.now_ms()
        self.discard_received()
        link.tell(leader_messages.FollowerHello(self._endpoints_end()))
        for message in self._state.initial_messages():
            link.tell(message)
        self._tell_streams(link)
        report = self._work.report()
        if report.sample_size:
            link.tell(
                leader_messages.CostsObserved(
                    report.prefills,
                    report.prefill_ms,
                    report.responses,
                    report.decode_ms,
                )
            )
        running = asyncio.ensure_future(link.run())
        try:
            while not running.done():
                await asyncio.wait(
                    [running], timeout=HEARTBEAT_INTERVAL_MS / clocks.MS_PER_S
                )
                if (
                    self._clock.now_ms() - link.last_heard_ms
                    > LEADER_TIMEOUT_MS
                ):
                    break
        finally:
            link.close()
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            self._link = None
            self.changed_ms = self._clock.now_ms()
            has_led = self.instances is not None
            if self.instances is not None:
                self.on_counted(self.instances)
            self.instances = None
        return has_led

    @property
    def chooses_replicas(self) -> bool:
        """Whether there is a leader that chooses replicas.

        One of an older build doesn't, and remembers streams itself.
        """
        link = self._link
        return (
            link is not None
            and origin_messages.REPLICA_CAPABILITY in link.hello.capabilities
        )

    def _tell_streams(self, link: links.Link) -> None:
        """Tells a leader that remembers streams itself those known here."""
        if self.chooses_replicas:
            return
        for message in self._state.stream_messages():
            link.tell(message)

    def discard_received(self) -> None:
        """Discards all data received from a leader."""
        self._feeds.configurations.reset()
        self._feeds.endpoints.reset()
        self._feeds.low_accounts.reset()

    async def handle(
        self, peer: str, message: messages.Message
    ) -> messages.Message | None:
        """Handles a message from the leader."""
        match message:
            case leader_messages.LeaderHeartbeat():
                self._on_heartbeat(message)
            case leader_messages.ConfigurationUpdate(packed=bytes() as packed):
                update = packing.unpack(packed)
                if update is None:
                    update = dataclasses.replace(message, packed=None)
                self._on_configuration(peer, update)
            case leader_messages.ConfigurationUpdate():
                self._on_configuration(peer, message)
            case quota_messages.LowAccounts(accounts=left):
                self._feeds.low_accounts.update(left)
            case quota_messages.UsageShares():
                self.on_usage_shares(message.by_account)
            case demand_messages.FleetAddresses():
                self.addresses = message
                self.on_addresses(message)
            case demand_messages.RetryShare():
                self.on_retry_share(message)
            case (
                limit_messages.EndpointTerms()
                | crash_messages.CrashReports()
                | load_messages.LoadDigest()
                | role_messages.RoleOrders()
                | origin_messages.StreamsBegan()
                | origin_messages.VersionsSeen()
            ):
                self._state.apply(message)
            case origin_messages.OriginReplicas():
                self.on_replicas(message.bounded())
            case leader_messages.EndpointUpdate() if self._knows_versions:
                records = [_table_record(r) for r in message.records]
                self._feeds.endpoints.apply(
                    records, message.end, keys_digest=message.keys_digest
                )
        return None

    def _on_configuration(
        self, peer: str, update: leader_messages.ConfigurationUpdate
    ) -> None:
        sent = update.configuration
        state_log.log_received_configuration(
            None if sent is None else sent.version,
            offset=update.offset,
            end=update.end,
            leader=peer,
        )
        self._correct_leader(update)
        feed = self._feeds.configurations
        if sent is None:
            feed.note_unsent(update.offset, update.end)
            return
        # Not left to the reader of the table: it may be waiting for the store.
        self._state.source.apply(sent, position=update.offset, told_by="leader")
        record: tables.TableRecord[routes.RoutingConfiguration | None]
        record = tables.TableRecord(update.key, update.offset, sent)
        feed.apply([record], update.end)

    def _correct_leader(
        self, update: leader_messages.ConfigurationUpdate
    ) -> None:
        """Sends the leader the version in force here if it is newer.

        The leader may have started since the store was restored, and so know
        an older version only.
        """
        current = self._state.source.current
        if current is None or update.version is None:
            return
        if update.version < current.version:
            self.tell(
                leader_messages.ConfigurationUpdate(
                    update.key,
                    update.offset,
                    update.end,
                    current,
                    version=current.version,
                )
            )

    def _on_heartbeat(self, heartbeat: leader_messages.LeaderHeartbeat) -> None:
        if self.instances is None:
            self._on_first_heartbeat()
        self.instances = heartbeat.instances
        self.on_counted(heartbeat.instances)
        if heartbeat.epoch is None:
            return
        self._feeds.configurations.confirm(
            heartbeat.configuration_end, age_ms=heartbeat.configuration_age_ms
        )
        if self._knows_versions:
            self._feeds.endpoints.confirm(
                heartbeat.endpoints_end, age_ms=heartbeat.endpoints_age_ms
            )

    def _on_first_heartbeat(self) -> None:
        """Handles that the other side leads.

        It sends the newest entries only, so that versions which came and went
        since the last read don't show here. What it has seen follows.
        """
        if self._registry.age_ms > version_history.MAX_VIEW_AGE_MS:
            self._state.versions.mark_incomplete()

    @property
    def _knows_versions(self) -> bool:
        """Whether the leader sends software versions of endpoints.

        An older build leaves them out, so the store is read here instead.
        """
        link = self._link
        return (
            link is not None
            and origin_messages.CAPABILITY in link.hello.capabilities
        )

    async def request_origin(
        self, key: bytes
    ) -> origin_messages.OriginReply | None:
        """Asks a leader of an older build; ``None`` without a reply."""
        answer = await self._ask_for_grant(
            origin_messages.OriginRequest(key), timeout_ms=_ORIGIN_TIMEOUT_MS
        )
        if not isinstance(answer, origin_messages.OriginReply):
            return None
        return answer

    async def fetch_configuration(self) -> bool:
        """Fetches the newest configuration from the leader, whatever its size.

        Returns:
            Whether it arrived.
        """
        link = self._link
        if link is None:
            return False
        request = leader_messages.ConfigurationRequest()
        try:
            update = await link.ask(request, timeout_ms=_FETCH_TIMEOUT_MS)
        except network.PeerError:
            return False
        if not isinstance(update, leader_messages.ConfigurationUpdate):
            return False
        await self.handle(link.peer, update)
        return update.configuration is not None

    async def request_permit(self, endpoint: str) -> float | None:
        """Requests a permit for one request to a rate-limited endpoint.

        Returns:
            0 if granted, otherwise the time in ms until a retry can succeed;
            ``None`` if the leader did not answer.
        """
        answer = await self._ask_for_grant(
            limit_messages.PermitRequest(endpoint)
        )
        if not isinstance(answer, limit_messages.PermitReply):
            return None
        return answer.wait_ms

    async def request_trial(
        self, fingerprint: fingerprints.Fingerprint
    ) -> bool:
        """Requests a trial of a quarantined request.

        Returns:
            Whether it was granted; false if the leader did not answer.
        """
        answer = await self._ask_for_grant(
            crash_messages.TrialRequest(fingerprint)
        )
        return (
            isinstance(answer, crash_messages.TrialReply) and answer.is_granted
        )

    async def _ask_for_grant(
        self,
        request: messages.Message,
        *,
        timeout_ms: float = _GRANT_TIMEOUT_MS,
    ) -> messages.Message | None:
        """Returns the leader's answer; ``None`` after the timeout."""
        if self._link is None:
            return None
        try:
            return await self._link.ask(request, timeout_ms=timeout_ms)
        except network.PeerError:
            return None

    def tell(self, message: messages.Message) -> None:
        """Sends a message to the leader, if there is one."""
        if self._link is not None:
            self._link.tell(message)

    def place(
        self, run: runs.Run
    ) -> contextlib.AbstractAsyncContextManager[all_places.Reservation | None]:
        """Reserves memory through the leader; see ``PlacementClient``."""
        return self._placements.place(run)


def _table_record(
    record: leader_messages.EndpointRecord,
) -> tables.TableRecord[resources.Endpoint]:
    return tables.TableRecord(
        record.key, record.offset, record.endpoint, record.is_unreadable
    )
