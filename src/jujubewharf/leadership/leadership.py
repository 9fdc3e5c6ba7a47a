"""Elects a leader through a group on the platform's store.

An instance without a link asks the group which member holds the first part, and
connects to it. If no member holds it, the instance joins the group. The member
that is assigned the first part leads; the others leave the group again, so that
their joins and leaves cause no reassignments. A leader that can't renew its
lease steps down.
"""

from __future__ import annotations

import asyncio
import contextlib
import random

import mode
import structlog

from jujubewharf import clock as clocks
from jujubewharf import restarting_service
from jujubewharf.forwarding import lease as leases
from jujubewharf.leadership import announcements
from jujubewharf.leadership import followers as all_followers
from jujubewharf.leadership import leader_link
from jujubewharf.peers import counters
from jujubewharf.peers import handshake
from jujubewharf.peers import link as links
from jujubewharf.peers import link_messages
from jujubewharf.peers import streams
from jujubewharf.platform import availability as availabilities
from jujubewharf.platform import epochs
from jujubewharf.platform import groups
from jujubewharf.platform import log
from jujubewharf.telemetry import containment

# Upper bound of the delay before the first read of the group. Without it,
# instances that start at the same time would all join the group and leave it
# again, or read it before there is a leader and once more after that.
_FIRST_ATTEMPT_MS = 600.0
# First and longest pause between attempts while no leader is reachable.
# Requests are still served meanwhile, so a load peak on the store is the
# greater risk.
_FIRST_PAUSE_MS = 500.0
_MAX_PAUSE_MS = 1_500.0
_DIAL_TIMEOUT_MS = 1_000.0
# Instances with at most this many cores are among the last to attempt.
_WEAK_CORES = 0.5
# Random share of a delay, so that equal instances don't coincide.
_JITTER_SHARE = 0.25
# Pause after a failed renewal: most of the lease may have passed by then.
_RENEW_RETRY_MS = 100.0


class Leadership(restarting_service.RestartingService):
    """Leads, follows a leader, or looks for one.

    Args:
        group: Group of the candidates; its contacts are addresses.
        transport: Dials and listens.
        hello: Identity of this instance.
        followers: Followers of this instance while it leads.
        leader: Link to the leader while this instance follows.
        lease: Lease of the leader.
        counts: Counters of links.
        clock: Clock.
        rng: Random jitter of election attempts.
        cores: Processor capacity of this instance, in reference cores.
        availability: Whether the store answers this instance.

    Attributes:
        has_looked: Whether no leader was found yet, or the first link to one
            has ended.
    """

    def __init__(
        self,
        group: groups.Group,
        transport: streams.Transport,
        hello: link_messages.Hello,
        followers: all_followers.Followers,
        leader: leader_link.LeaderLink,
        lease: leases.GroupLease,
        counts: counters.PeerCounters,
        clock: clocks.Clock,
        rng: random.Random,
        *,
        cores: float,
        availability: availabilities.StoreAvailability,
    ) -> None:
        super().__init__(clock)
        self._availability = availability
        self._announcements = announcements.LeaderAnnouncements(
            transport, hello, counts, clock, rng
        )
        followers.on_announcement = self._announcements.receive
        leader.on_addresses = self._announcements.set_addresses
        # Address of the leader that this instance followed last.
        self._last_leader: str | None = None
        self._has_dialled_last = False
        # Instances with more cores attempt first and so mostly lead: leading
        # needs more processor time than following. On half a core, a leader of
        # 70 engines had no processor time left in a burst.
        self._delay_share = min(1.0, _WEAK_CORES / cores)
        self._group = group
        self._transport = transport
        self._hello = hello
        self._followers = followers
        self._leader_link = leader
        self._lease = lease
        self._counts = counts
        self._rng = rng
        self._listener: streams.Listener | None = None
        self._is_resigning = False
        self.has_looked = False
        self._logger = structlog.get_logger()

    async def on_start(self) -> None:
        """Listens for followers."""
        self._listener = await self._transport.listen(self._followers.on_stream)

    async def on_stop(self) -> None:
        """Closes the links of followers."""
        self._followers.stop_leading()
        self._announcements.stop()
        if self._listener is not None:
            await self._listener.close()

    async def leave(self) -> None:
        """Resigns for good, so that another instance can lead at once."""
        self._is_resigning = True
        was_leading = self._followers.is_leading
        if self._lease.holds_first_part or was_leading:
            await self._lease.leave()
        self._followers.stop_leading()

    @mode.Service.task
    async def _run_elections(self) -> None:
        await self._clock.sleep_ms(_FIRST_ATTEMPT_MS * self._draw_delay())
        pause_ms = _FIRST_PAUSE_MS
        while not self.should_stop and not self._is_resigning:
            try:
                had_leader = await self._attempt()
            except log.LogUnavailableError as error:
                self._logger.debug("leader_unknown", detail=str(error))
                had_leader = False
            self.has_looked = True
            if had_leader:
                pause_ms = _FIRST_PAUSE_MS
            else:
                pause_ms = min(_MAX_PAUSE_MS, 1.5 * pause_ms)
            await self._wait_for_announcement(
                pause_ms * (0.5 + self._draw_delay())
            )

    async def _wait_for_announcement(self, timeout_ms: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout_ms(timeout_ms):
                await self._announcements.is_received.wait()

    def _draw_delay(self) -> float:
        """Returns a delay, 0 to 1; instances with many cores get short ones."""
        jitter = self._rng.random()
        return (
            1.0 - _JITTER_SHARE
        ) * self._delay_share + _JITTER_SHARE * jitter

    async def _attempt(self) -> bool:
        """Follows or leads for as long as that lasts.

        Returns:
            Whether there was a leader for some time.
        """
        announced = self._announcements.take()
        if announced is not None and await self._follow(announced):
            return True
        if self._should_dial_last_leader():
            assert self._last_leader is not None
            return await self._follow(self._last_leader)
        contacts = await self._group.contacts()
        address = contacts.get(leases.FIRST_PART)
        if address is not None and address != self._hello.address:
            return await self._follow(address)
        self.has_looked = True
        if address is not None:
            # The previous process at this address led and was killed. Until its
            # lease expires the fleet would have no leader.
            await self._group.evict(address)
        await self._lease.renew()
        if self._is_resigning:
            await self._lease.leave()
            return False
        if not self._lease.holds_first_part:
            await self._lease.leave()
            return False
        await self._lead()
        return True

    def _should_dial_last_leader(self) -> bool:
        """Returns whether to dial the last leader rather than read the group.

        It may be reachable again although the store is not. Every second
        attempt reads the group nevertheless: the leader may have ended, and the
        group may answer while other tables of the store don't.
        """
        if not self._availability.is_away or self._last_leader is None:
            self._has_dialled_last = False
            return False
        self._has_dialled_last = not self._has_dialled_last
        return self._has_dialled_last

    async def _lead(self) -> None:
        generation = epochs.split(self._lease.share.generation)
        self._logger.info(
            "leading_began",
            epoch=generation.epoch,
            generation=generation.offset,
        )
        self._leader_link.discard_received()
        self._followers.begin_leading(self._lease.share.generation)
        self._announcements.announce(self._lease.share.generation)
        # Renewals run beside the heartbeats: a renewal that gets no answer
        # takes longer than followers wait for a heartbeat.
        renewing = asyncio.ensure_future(self._renew())
        try:
            while self._lease.holds_first_part and not self.should_stop:
                self._followers.send_heartbeat()
                self._announcements.distribute(self._followers.follower_links)
                await self._clock.sleep_ms(leader_link.HEARTBEAT_INTERVAL_MS)
        finally:
            renewing.cancel()
            await asyncio.gather(renewing, return_exceptions=True)
            self._logger.info("leading_ended", followers=len(self._followers))
            self._followers.stop_leading()
        if not self._is_resigning and self._lease.is_valid:
            # Another member was assigned the first part. Members that don't
            # lead leave, since each join or leave reassigns the parts.
            await self._lease.leave()

    async def _renew(self) -> None:
        interval_ms = self._group.ttl_ms / leases.JOINS_PER_TTL
        pause_ms = interval_ms
        while True:
            await self._clock.sleep_ms(pause_ms)
            pause_ms = interval_ms
            try:
                await self._lease.renew()
            except log.LogUnavailableError as error:
                self._logger.debug("lease_not_renewed", detail=str(error))
                pause_ms = _RENEW_RETRY_MS
            except Exception as error:
                containment.report_failure("renew_lease", error)
                pause_ms = _RENEW_RETRY_MS

    async def _follow(self, address: str) -> bool:
        try:
            async with self._clock.timeout_ms(_DIAL_TIMEOUT_MS):
                link = await self._dial(address)
        except (handshake.RefusedHelloError, OSError, TimeoutError) as error:
            self._logger.info(
                "leader_not_reached", address=address, detail=str(error)
            )
            return False
        self._logger.info("following_began", leader=link.peer)
        has_led = await self._leader_link.run(link)
        self._logger.info("following_ended", leader=link.peer)
        if has_led:
            self._last_leader = address
        return has_led

    async def _dial(self, address: str) -> links.Link:
        reader, writer = await self._transport.dial(address)
        link_handshake = handshake.Handshake(
            reader, writer, self._hello, lambda instance: 0, self._counts
        )
        try:
            hello = await link_handshake.dial_any()
        except BaseException:
            writer.close()
            raise
        return links.Link(
            hello,
            is_dialled=True,
            is_standing=True,
            reader=reader,
            writer=writer,
            clock=self._clock,
            counts=self._counts,
            dispatch=self._leader_link.handle,
        )
