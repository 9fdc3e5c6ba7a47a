"""A follower's link to its leader: requests, reports and received data."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import itertools

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import fingerprints
from jujubewharf.forwarding import places as all_places
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import request_log
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import runs
from jujubewharf.forwarding import state_log
from jujubewharf.leadership import feeds as all_feeds
from jujubewharf.leadership import low_accounts
from jujubewharf.leadership import packing
from jujubewharf.leadership import shared_state
from jujubewharf.peers import crash_messages
from jujubewharf.peers import demand_messages
from jujubewharf.peers import leader_messages
from jujubewharf.peers import limit_messages
from jujubewharf.peers import link as links
from jujubewharf.peers import load_messages
from jujubewharf.peers import messages
from jujubewharf.peers import network
from jujubewharf.peers import quota_messages
from jujubewharf.peers import role_messages
from jujubewharf.platform import tables

# Interval of the leader's heartbeats, and the silence after which a follower
# closes the link and continues without a leader (three missed heartbeats).
HEARTBEAT_INTERVAL_MS = 500.0
LEADER_TIMEOUT_MS = 1_700.0
# Interval and timeout of liveness checks while an answer is pending. They bound
# what a waiting request loses to a frozen leader to half a second, which most
# latency targets allow.
_LIVENESS_INTERVAL_MS = 150.0
_LIVENESS_TIMEOUT_MS = 350.0
# Timeout for a permit or trial. Another endpoint may serve the request sooner,
# and latency targets of plain requests are some tenths of a second.
_GRANT_TIMEOUT_MS = 100.0
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
        on_usage_shares: Called with this instance's share of each account's
            use.
        on_addresses: Called with the addresses of some other instances.
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
        self.on_usage_shares: Callable[[dict[str, float]], None]
        self.on_usage_shares = lambda shares: None
        self.on_addresses: Callable[[demand_messages.FleetAddresses], None]
        self.on_addresses = lambda message: None
        self.on_retry_share: Callable[[demand_messages.RetryShare], None]
        self.on_retry_share = lambda message: None
        self._feeds = feeds
        self._registry = registry
        self._work = work
        self._state = state
        self._clock = clock
        self._link: links.Link | None = None
        self._sequence = itertools.count(1)

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
        self.discard_received()
        link.tell(leader_messages.FollowerHello(self._endpoints_end()))
        for message in self._state.initial_messages():
            link.tell(message)
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
            has_led = self.instances is not None
            self.instances = None
        return has_led

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
                self.on_addresses(message)
            case demand_messages.RetryShare():
                self.on_retry_share(message)
            case (
                limit_messages.EndpointTerms()
                | crash_messages.CrashReports()
                | load_messages.LoadDigest()
                | role_messages.RoleOrders()
            ):
                self._state.apply(message)
            case leader_messages.EndpointUpdate():
                records = [_table_record(r) for r in message.records]
                self._feeds.endpoints.apply(records, message.end)
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
        self.instances = heartbeat.instances
        if heartbeat.epoch is None:
            return
        self._feeds.configurations.confirm(
            heartbeat.configuration_end, age_ms=heartbeat.configuration_age_ms
        )
        self._feeds.endpoints.confirm(
            heartbeat.endpoints_end, age_ms=heartbeat.endpoints_age_ms
        )

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
        self, request: messages.Message
    ) -> messages.Message | None:
        """Returns the leader's answer; ``None`` after the timeout."""
        if self._link is None:
            return None
        try:
            return await self._link.ask(request, timeout_ms=_GRANT_TIMEOUT_MS)
        except network.PeerError:
            return None

    def tell(self, message: messages.Message) -> None:
        """Sends a message to the leader, if there is one."""
        if self._link is not None:
            self._link.tell(message)

    @contextlib.asynccontextmanager
    async def place(
        self, run: runs.Run
    ) -> AsyncIterator[all_places.Reservation | None]:
        """Reserves memory through the leader, and holds it for the block.

        Yields:
            ``None`` if the leader did not answer, or chose an engine that is
            unknown here.

        Raises:
            WharfError: The leader refused the request.
        """
        number = next(self._sequence)
        reservation: all_places.Reservation | None = None
        is_complete = False
        try:
            reservation = await self._request_reservation(number, run)
            yield reservation
            is_complete = True
        finally:
            is_reservation_used = (
                reservation is not None and reservation.take_id() is None
            )
            self.tell(
                leader_messages.PlacementReleased(
                    number, is_complete, is_reservation_used
                )
            )

    async def _request_reservation(
        self, number: int, run: runs.Run
    ) -> all_places.Reservation | None:
        started_ms = self._clock.now_ms()
        link = self._link
        if link is None:
            return None
        try:
            answer = await self._await_answer(link, number, run)
        except network.PeerError as error:
            request_log.log_local_placement(
                run, error.fault.value, leader=error.peer
            )
            return None
        waited_ms = self._clock.now_ms() - started_ms
        match answer:
            case leader_messages.PlacementGranted():
                # The leader counted the request against its quota.
                run.is_counted = True
                reservation = self._to_reservation(number, answer)
                if reservation is None:
                    request_log.log_local_placement(
                        run, "unknown_engine", leader=link.peer
                    )
                    return None
                request_log.log_placement(
                    run,
                    answer.engine,
                    tokens=answer.tokens,
                    free_tokens=0,
                    waited_ms=waited_ms,
                    decided_by="following",
                    ahead=answer.ahead,
                )
                return reservation
            case leader_messages.PlacementRejected():
                raise self._refusal(run, answer, waited_ms, leader=link.peer)
            case _:
                request_log.log_local_placement(
                    run, "not_understood", leader=link.peer
                )
                return None

    async def _await_answer(
        self, link: links.Link, number: int, run: runs.Run
    ) -> messages.Message:
        """Waits for the leader's answer, with liveness checks.

        Requests stay in the leader's wait queue for as long as they can meet
        their latency target. Without the checks, a frozen or unreachable leader
        would cost them all of that time before they are placed locally.

        Raises:
            PeerError: The leader does not respond, or refuses the message.
        """
        left_ms = max(1.0, run.left_ms(self._clock))
        request = self._place_request(number, run)
        pending = asyncio.ensure_future(link.ask(request, timeout_ms=left_ms))
        interval_s = _LIVENESS_INTERVAL_MS / clocks.MS_PER_S
        try:
            while not (await asyncio.wait([pending], timeout=interval_s))[0]:
                liveness_check = leader_messages.LivenessRequest()
                await link.ask(liveness_check, timeout_ms=_LIVENESS_TIMEOUT_MS)
        except network.PeerError:
            link.close()
            raise
        finally:
            pending.cancel()
            # Retrieve its exception, since it may have failed along with the
            # link.
            await asyncio.gather(pending, return_exceptions=True)
        return pending.result()

    def _place_request(
        self, number: int, run: runs.Run
    ) -> leader_messages.PlacementRequest:
        work = run.call.work
        backoffs_ms = self._state.backpressure.backoffs_ms()
        return leader_messages.PlacementRequest(
            number=number,
            request_id=run.call.request_id,
            domain=run.domain,
            route=run.route.name,
            service=run.service,
            waited_ms=self._clock.now_ms() - run.call.arrived_ms,
            left_ms=run.left_ms(self._clock),
            caller_timeout_ms=run.call.caller_timeout_ms,
            may_have_run=run.may_have_run,
            lost_by=tuple(sorted(run.lost_by)),
            prompt_tokens=None if work is None else work.prompt_tokens,
            output_tokens=0 if work is None else work.output_tokens,
            expected_tokens=None if work is None else work.expected_tokens,
            account=run.call.account,
            is_counted=run.is_counted,
            backoffs=tuple(
                leader_messages.EngineBackoff(engine, for_ms)
                for engine, for_ms in backoffs_ms.items()
            ),
        )

    def _to_reservation(
        self, number: int, placed: leader_messages.PlacementGranted
    ) -> all_places.Reservation | None:
        engine = self._registry.get(placed.engine)
        if engine is None:
            # The engine was registered too recently to be known here, or it has
            # left since.
            return None
        reservation = all_places.Reservation(
            engine,
            placed.reservation_id,
            reserved_at_ms=self._clock.now_ms(),
            tokens=placed.tokens,
            memory_share=placed.memory_share,
            has_permit=placed.has_permit,
        )
        engines = [self._registry.get(name) for name in placed.prefill_engines]
        reservation.prefill_engines = [
            prefill_engine
            for prefill_engine in engines
            if prefill_engine is not None
        ]
        reservation.on_prefill_done = lambda: self.tell(
            leader_messages.PrefillEnded(number)
        )
        return reservation

    def _refusal(
        self,
        run: runs.Run,
        answer: leader_messages.PlacementRejected,
        waited_ms: float,
        *,
        leader: str,
    ) -> errors.WharfError:
        request_log.log_leader_refusal(
            run,
            leader=leader,
            waited_ms=waited_ms,
            come_back_ms=answer.retry_after_ms,
            is_over_quota=answer.is_over_quota,
        )
        if run.may_have_run:
            return run.failure()
        kind = errors.ErrorKind.QUEUE_FULL
        if answer.is_over_quota:
            kind = errors.ErrorKind.RATE_LIMITED
        return errors.WharfError(kind, retry_after_ms=answer.retry_after_ms)


def _table_record(
    record: leader_messages.EndpointRecord,
) -> tables.TableRecord[resources.Endpoint]:
    return tables.TableRecord(
        record.key, record.offset, record.endpoint, record.is_unreadable
    )
