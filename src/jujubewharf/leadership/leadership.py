"""Who leads: elected by a group on the platform's store, followed by links.

An instance without a link asks the group who holds its first part and dials
it. Where nobody holds it the instance joins; whoever is dealt the first part
leads, and the others leave the group again, so that their coming and going
deals nothing anew. A leader that can't renew its lease stops by itself.
"""

from __future__ import annotations

import asyncio
import random

import mode
import structlog

from jujubewharf import clock as clocks
from jujubewharf.forwarding import lease as leases
from jujubewharf.leadership import followers as all_followers
from jujubewharf.leadership import leader_link
from jujubewharf.peers import counters
from jujubewharf.peers import handshake
from jujubewharf.peers import link as links
from jujubewharf.peers import link_messages
from jujubewharf.peers import streams
from jujubewharf.platform import groups
from jujubewharf.platform import log

# Instances start together; the first ones to look find nobody and join, and
# each that joins and isn't dealt the first part has to leave again.
_FIRST_LOOK_MS = 600.0
# Between two looks while there is no leader, or it can't be reached. Serving
# goes on meanwhile, so there is no hurry that would be worth a fleet's calls
# at once.
_LOOK_AGAIN_MS = 500.0
_LONGEST_PAUSE_MS = 1_500.0
_DIAL_MS = 1_000.0
# An instance with no more than this is among the last to look.
_WEAK_CORES = 0.5
# Part of the time between looks that is drawn, so that equal ones don't meet.
_DRAWN_PART = 0.25
# After a renewal that got no answer: most of the lease may be over by then.
_RENEW_AGAIN_MS = 100.0


class Leadership(mode.Service):
    """Leads, follows, or looks for a leader.

    Args:
        group: The group of those who may lead; its contacts are addresses.
        transport: Dials and listens.
        hello: What this instance says of itself.
        followers: Its followers while it leads.
        leader: Its link while it follows.
        lease: The right to lead.
        counts: Where to count.
        clock: Time.
        rng: Spreads the looks.
        cores: Usual cores that this instance's processor is worth.
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
    ) -> None:
        super().__init__()
        # Strong instances look first, and so mostly lead: on half a core the
        # leader of 70 engines had no processor left in a burst.
        self._delay_part = min(1.0, _WEAK_CORES / cores)
        self._group = group
        self._transport = transport
        self._hello = hello
        self._followers = followers
        self._leader = leader
        self._lease = lease
        self._counts = counts
        self._clock = clock
        self._rng = rng
        self._listener: streams.Listener | None = None
        self._is_leaving = False
        self._logger = structlog.get_logger()

    async def on_start(self) -> None:
        """Listens for followers."""
        self._listener = await self._transport.listen(self._followers.on_stream)

    async def on_stop(self) -> None:
        """Sends followers away."""
        self._followers.stop_leading()
        if self._listener is not None:
            await self._listener.close()

    async def leave(self) -> None:
        """Stops leading for good, so that another one begins at once."""
        self._is_leaving = True
        was_leading = self._followers.is_leading
        if self._lease.holds_first or was_leading:
            await self._lease.leave()
        self._followers.stop_leading()

    @mode.Service.task
    async def _keep(self) -> None:
        await self._clock.sleep_ms(_FIRST_LOOK_MS * self._late_part())
        pause_ms = _LOOK_AGAIN_MS
        while not self.should_stop and not self._is_leaving:
            try:
                has_served = await self._look()
            except log.LogUnavailableError as error:
                self._logger.debug("leader_unknown", detail=str(error))
                has_served = False
            if has_served:
                pause_ms = _LOOK_AGAIN_MS
            else:
                pause_ms = min(_LONGEST_PAUSE_MS, 1.5 * pause_ms)
            await self._clock.sleep_ms(pause_ms * (0.5 + self._late_part()))

    def _late_part(self) -> float:
        """Part of the time in which all look, 0 to 1; the weak come last."""
        drawn = self._rng.random()
        return (1.0 - _DRAWN_PART) * self._delay_part + _DRAWN_PART * drawn

    async def _look(self) -> bool:
        """Follows or leads as long as that lasts.

        Returns:
            Whether there was a leader for a while.
        """
        contacts = await self._group.contacts()
        address = contacts.get(leases.FIRST_PART)
        if address is not None and address != self._hello.address:
            return await self._follow(address)
        if address is not None:
            # The process before this one led and was killed. Its lease would
            # leave the whole fleet without a leader until it has run out.
            await self._group.evict(address)
        await self._lease.renew()
        if self._is_leaving:
            await self._lease.leave()
            return False
        if not self._lease.holds_first:
            await self._lease.leave()
            return False
        await self._lead()
        return True

    async def _lead(self) -> None:
        self._logger.info(
            "leading_began", generation=self._lease.share.generation
        )
        self._leader.forget()
        self._followers.begin_leading()
        # A renewal that gets no answer takes a second and a half. Followers
        # would take a leader that is silent for so long for gone.
        renewing = asyncio.ensure_future(self._renew())
        try:
            while self._lease.holds_first and not self.should_stop:
                self._followers.beat()
                await self._clock.sleep_ms(leader_link.BEAT_MS)
        finally:
            renewing.cancel()
            await asyncio.gather(renewing, return_exceptions=True)
        self._logger.info("leading_ended", followers=len(self._followers))
        self._followers.stop_leading()
        if not self._is_leaving and self._lease.is_current:
            # Others were dealt the first part; a member that doesn't lead
            # would only have parts dealt anew by its comings and goings.
            await self._lease.leave()

    async def _renew(self) -> None:
        every_ms = self._group.ttl_ms / leases.JOINS_PER_TTL
        pause_ms = every_ms
        while True:
            await self._clock.sleep_ms(pause_ms)
            pause_ms = every_ms
            try:
                await self._lease.renew()
            except log.LogUnavailableError as error:
                self._logger.debug("lease_not_renewed", detail=str(error))
                pause_ms = _RENEW_AGAIN_MS

    async def _follow(self, address: str) -> bool:
        try:
            async with self._clock.timeout_ms(_DIAL_MS):
                link = await self._dial(address)
        except (handshake.RefusedHelloError, OSError, TimeoutError) as error:
            self._logger.info(
                "leader_not_reached", address=address, detail=str(error)
            )
            return False
        self._logger.info("following_began", leader=link.peer)
        await self._leader.run(link)
        self._logger.info("following_ended", leader=link.peer)
        return True

    async def _dial(self, address: str) -> links.Link:
        reader, writer = await self._transport.dial(address)
        greeting = handshake.Handshake(
            reader, writer, self._hello, lambda instance: 0, self._counts
        )
        try:
            hello = await greeting.greet()
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
            dispatch=self._leader.handle,
        )
