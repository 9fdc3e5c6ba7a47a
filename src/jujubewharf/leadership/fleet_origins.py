"""Shares where streams began between instances, with and without a leader.

The instance that began a stream may be killed, which is why its caller resumes
it elsewhere; the leader may be out of reach at the same time. So the instance
that forwards a stream has replicas keep it, some in its own failure domain and
some in others, and whoever is to resume it asks them directly.
"""

from __future__ import annotations

import asyncio

import mode

from jujubewharf import clock as clocks
from jujubewharf import restarting_service
from jujubewharf.leadership import fleet as fleets
from jujubewharf.leadership import origin_copies
from jujubewharf.leadership import origin_lookup
from jujubewharf.leadership import origin_server
from jujubewharf.leadership import replica_set
from jujubewharf.leadership import shared_state
from jujubewharf.leadership import stored_origins
from jujubewharf.peers import link as links
from jujubewharf.peers import origin_messages
from jujubewharf.peers import streams
from jujubewharf.stream_versions import origin_search
from jujubewharf.stream_versions import origins as all_origins
from jujubewharf.stream_versions import resume_log

# Interval at which missing copies are made, longer than replicas are avoided.
_RETRY_INTERVAL_MS = 2_500.0


class FleetOrigins(restarting_service.RestartingService):
    """Implements ``resumptions.SharedOrigins`` across all instances.

    Args:
        fleet: The leader of this instance, or its followers.
        state: State that all instances share.
        clock: Time source.
        domain: Failure domain of this instance.
        stored: Reads and writes what the store keeps; ``None`` without one.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        state: shared_state.SharedState,
        clock: clocks.Clock,
        *,
        domain: str,
        stored: stored_origins.StoredOrigins | None = None,
    ) -> None:
        super().__init__(clock)
        self._fleet = fleet
        self._state = state
        self._memory = state.origins
        self._domain = domain
        self._stored = stored
        self._replicas: replica_set.ReplicaSet | None = None
        self._copies: origin_copies.OriginCopies | None = None
        self._copying: set[asyncio.Task[None]] = set()

    def connect(self, transport: streams.Transport) -> replica_set.ReplicaSet:
        """Has this instance tell and ask others.

        Returns:
            The service that knows whom.
        """
        replicas = self._replicas = replica_set.ReplicaSet(
            self._fleet,
            self._memory,
            transport,
            self._clock,
            domain=self._domain,
        )
        self._copies = origin_copies.OriginCopies(replicas.links, self._clock)
        server = origin_server.OriginServer(self._state, self._clock)
        server.on_replicas = replicas.learn
        followers = self._fleet.followers
        assert followers is not None
        followers.on_origin_link = server.serve
        followers.on_streams_began = self._on_followers_streams
        followers.on_origin_request = self._reply_to_follower
        if self._stored is not None:
            followers.on_streams_to_store = self._stored.writer.add_for_follower
        return replicas

    async def on_stop(self) -> None:
        """Ends copies that are being made."""
        for task in self._copying:
            task.cancel()

    def record(
        self,
        key: bytes,
        origin: all_origins.StreamOrigin,
        *,
        keep_ms: float,
    ) -> None:
        """Records where a stream of this instance began, and tells others."""
        record = self._memory.record(key, origin, keep_ms=keep_ms)
        self._begin_copying(record)
        if (
            self._stored is not None
            and origin.known_by is all_origins.KnownBy.ANSWER
        ):
            self._stored.writer.add(record)
        if not self._fleet.link.chooses_replicas:
            self._tell_older_leader(record)

    async def find(self, key: bytes) -> origin_search.OriginSearch:
        """Searches for where a stream began."""
        role, role_ms = self._fleet.role, self._fleet.role_ms
        counts = origin_lookup.LookupCounts()
        origin = self._memory.find(key)
        if origin is None and self._replicas is not None:
            lookup = origin_lookup.OriginLookup(
                self._replicas.links, self._memory, self._clock
            )
            counts = lookup.counts
            origin = await lookup.find(key, self._replicas.order)
        if origin is None:
            origin = await self._ask_older_leader(key, counts)
        if origin is None and self._stored is not None:
            origin = await self._stored.store.find(key)
        return origin_search.OriginSearch(
            origin, role.value, role_ms, counts.asked, counts.answered
        )

    async def read_versions(self) -> None:
        """Reads the versions at which the store knows streams to begin."""
        if self._stored is not None:
            await self._stored.store.read()

    def _begin_copying(self, record: all_origins.OriginRecord) -> None:
        """Has replicas keep a stream, for which it doesn't wait."""
        task = asyncio.ensure_future(self._copy(record))
        self._copying.add(task)
        task.add_done_callback(self._copying.discard)

    async def _copy(self, record: all_origins.OriginRecord) -> None:
        count = 0
        if self._copies is not None and self._replicas is not None:
            count = await self._copies.make(record, self._replicas.order)
        if not count:
            resume_log.count_untold()

    @mode.Service.task
    async def _make_missing_copies(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(_RETRY_INTERVAL_MS)
            if self._copies is not None and self._replicas is not None:
                await self._copies.make_missing(self._replicas.order)

    def _tell_older_leader(self, record: all_origins.OriginRecord) -> None:
        message = origin_messages.StreamsBegan.from_records(
            [record], self._clock.now_ms()
        )
        self._fleet.link.tell(message)

    async def _ask_older_leader(
        self, key: bytes, counts: origin_lookup.LookupCounts
    ) -> all_origins.StreamOrigin | None:
        """Asks a leader that chooses no replicas and remembers streams."""
        is_following = self._fleet.role is fleets.Role.FOLLOWING
        if not is_following or self._fleet.link.chooses_replicas:
            return None
        counts.asked += 1
        reply = await self._fleet.link.request_origin(key)
        if reply is None:
            return None
        counts.answered += 1
        return reply.origin()

    def _on_followers_streams(
        self, link: links.Link, message: origin_messages.StreamsBegan
    ) -> None:
        """Has the streams of a follower of an older build kept."""
        for record in message.records(self._clock.now_ms()):
            self._begin_copying(self._memory.merge(record))

    async def _reply_to_follower(
        self, key: bytes
    ) -> origin_messages.OriginReply:
        """Replies to a follower of an older build, which asks its leader."""
        await self.find(key)
        return self._state.origin_reply(key)
