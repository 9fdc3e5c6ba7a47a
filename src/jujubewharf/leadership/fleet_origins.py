"""Shares where streams began between instances, with and without a leader.

The instance that began a stream may be killed, which is why its caller resumes
it elsewhere; the leader may be out of reach at the same time. So the instance
that forwards a stream has replicas keep it, some in its own failure domain and
some in others, and whoever is to resume it asks them directly. The leader only
chooses the replicas; without a leader the last ones that it chose remain.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import mode

from jujubewharf import clock as clocks
from jujubewharf import ordered_set
from jujubewharf import restarting_service
from jujubewharf.leadership import fleet as fleets
from jujubewharf.leadership import origin_copies
from jujubewharf.leadership import origin_lookup
from jujubewharf.leadership import origin_server
from jujubewharf.leadership import replica_choice
from jujubewharf.leadership import replica_links
from jujubewharf.leadership import shared_state
from jujubewharf.peers import link as links
from jujubewharf.peers import messages
from jujubewharf.peers import origin_messages
from jujubewharf.peers import streams
from jujubewharf.stream_versions import origin_search
from jujubewharf.stream_versions import origins as all_origins
from jujubewharf.stream_versions import resume_log

# Interval at which the leader looks for changes among its followers.
_CHOICE_INTERVAL_MS = 500.0
# Time for a replica to send all that it remembers, some megabytes at most.
_SYNC_TIMEOUT_MS = 2_000.0
# Replicas from which a new one wants to have heard.
_SYNC_REPLIES = 2
# Attempts to tell an instance whose link ended who the replicas are, and the
# pause before each. It has mostly started again by then.
_WELCOME_ATTEMPTS = 6
_WELCOME_PAUSE_MS = 1_000.0

_Replicas = tuple[origin_messages.ReplicaAddress, ...]


class FleetOrigins(restarting_service.RestartingService):
    """Implements ``resumptions.SharedOrigins`` across all instances.

    Args:
        fleet: The leader of this instance, or its followers.
        state: State that all instances share.
        clock: Time source.
        domain: Failure domain of this instance.

    Attributes:
        server: Serves the links of other instances.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        state: shared_state.SharedState,
        clock: clocks.Clock,
        *,
        domain: str,
    ) -> None:
        super().__init__(clock)
        self.server = origin_server.OriginServer(state, clock)
        self.server.on_replicas = self._learn
        self.server.on_link_end = self._on_link_end
        self._fleet = fleet
        self._state = state
        self._memory = state.origins
        self._domain = domain
        self._links: replica_links.ReplicaLinks | None = None
        self._replicas: _Replicas = ()
        self._order = replica_choice.ReplicaOrder()
        # Followers that have been told the replicas.
        self._told = ordered_set.OrderedSet[links.Link]()
        self._beside: set[asyncio.Task[None]] = set()

    def connect(self, transport: streams.Transport) -> None:
        """Has this instance tell and ask others."""
        assert self._fleet.hello is not None
        assert self._fleet.followers is not None
        self._links = replica_links.ReplicaLinks(
            transport, self._fleet.hello, self._on_message, self._clock
        )
        self._fleet.link.on_replicas = self._set_replicas
        self._fleet.followers.on_origin_link = self.server.serve
        self._fleet.followers.on_streams_began = self._on_followers_streams
        self._fleet.followers.on_origin_request = self._reply_to_follower

    async def on_stop(self) -> None:
        """Ends all links and tasks."""
        for task in self._beside:
            task.cancel()
        if self._links is not None:
            self._links.stop()

    def record(
        self,
        key: bytes,
        origin: all_origins.StreamOrigin,
        *,
        keep_ms: float,
    ) -> None:
        """Records where a stream of this instance began, and tells others."""
        record = self._memory.record(key, origin, keep_ms=keep_ms)
        self._run_beside(self._copy(record))
        if not self._fleet.link.chooses_replicas:
            self._tell_older_leader(record)

    async def find(self, key: bytes) -> origin_search.OriginSearch:
        """Searches for where a stream began."""
        role, role_ms = self._fleet.role, self._fleet.role_ms
        counts = origin_lookup.LookupCounts()
        origin = self._memory.find(key)
        if origin is None and self._links is not None:
            lookup = origin_lookup.OriginLookup(
                self._links, self._memory, self._clock
            )
            counts = lookup.counts
            origin = await lookup.find(key, self._order)
        if origin is None:
            origin = await self._ask_older_leader(key, counts)
        return origin_search.OriginSearch(
            origin, role.value, role_ms, counts.asked, counts.answered
        )

    async def _copy(self, record: all_origins.OriginRecord) -> None:
        copies = 0
        if self._links is not None:
            maker = origin_copies.OriginCopies(self._links, self._clock)
            copies = await maker.make(record, self._order)
        if not copies:
            resume_log.count_untold()

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
            merged = self._memory.merge(record)
            self._run_beside(self._copy(merged))

    async def _reply_to_follower(
        self, key: bytes
    ) -> origin_messages.OriginReply:
        await self.find(key)
        return self._state.origin_reply(key)

    @mode.Service.task
    async def _choose(self) -> None:
        """Chooses the replicas while this instance leads."""
        while not self.should_stop:
            await self._clock.sleep_ms(_CHOICE_INTERVAL_MS)
            if self._fleet.is_leading:
                self._tell_replicas()
            else:
                self._told.clear()

    def _tell_replicas(self) -> None:
        followers, hello = self._fleet.followers, self._fleet.hello
        assert followers is not None and hello is not None
        capable = [
            link
            for link in followers.follower_links
            if origin_messages.REPLICA_CAPABILITY in link.hello.capabilities
        ]
        hellos = [hello, *(link.hello for link in capable)]
        chosen = replica_choice.choose_replicas(
            [
                origin_messages.ReplicaAddress(member.address, member.domain)
                for member in hellos
            ]
        )
        if chosen != self._replicas:
            self._told.clear()
            self._set_replicas(chosen)
        for link in capable:
            if link not in self._told:
                link.tell(origin_messages.OriginReplicas(chosen))
        self._told = ordered_set.OrderedSet(capable)

    def _set_replicas(self, replicas: _Replicas) -> None:
        hello = self._fleet.hello
        assert hello is not None and self._links is not None
        former, self._replicas = self._replicas, replicas
        self._order = replica_choice.ReplicaOrder.for_instance(
            replicas, address=hello.address, domain=self._domain
        )
        self._links.first_message = origin_messages.OriginReplicas(replicas)
        self._links.retain({replica.address for replica in replicas})
        was_replica = hello.address in {r.address for r in former}
        is_replica = hello.address in {r.address for r in replicas}
        if is_replica and not was_replica:
            self._run_beside(self._synchronize())

    def _learn(self, replicas: _Replicas) -> None:
        """Uses the replicas that a peer knows until a leader tells them.

        An instance that starts while no leader is within reach would know
        nobody to ask.
        """
        if not self._replicas and self._links is not None:
            self._set_replicas(replicas)

    async def _synchronize(self) -> None:
        """Asks other replicas for what they remember, the near ones first."""
        replies = await self._request_all(self._order.near)
        if replies < _SYNC_REPLIES:
            await self._request_all(self._order.far)

    async def _request_all(self, addresses: tuple[str, ...]) -> int:
        assert self._links is not None
        request = origin_messages.StreamsRequest()
        replies = await asyncio.gather(
            *(
                self._links.ask(address, request, timeout_ms=_SYNC_TIMEOUT_MS)
                for address in addresses
            )
        )
        return sum(reply is not None for reply in replies)

    async def _on_message(
        self, peer: str, message: messages.Message
    ) -> messages.Message | None:
        """Handles what a replica sends on a link of this instance."""
        if isinstance(message, origin_messages.StreamsBegan):
            for record in message.records(self._clock.now_ms()):
                self._memory.merge(record)
        return None

    def _on_link_end(self, address: str) -> None:
        if self._fleet.role is fleets.Role.ALONE and self._replicas:
            self._run_beside(self._welcome(address))

    async def _welcome(self, address: str) -> None:
        """Tells an instance that may have started again who the replicas are.

        Without a leader nobody else does.
        """
        assert self._links is not None
        for _ in range(_WELCOME_ATTEMPTS):
            await self._clock.sleep_ms(_WELCOME_PAUSE_MS)
            if self._fleet.role is not fleets.Role.ALONE:
                return
            if await self._links.reach(address):
                return

    def _run_beside(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs what a stream must not wait for."""
        task = asyncio.ensure_future(work)
        self._beside.add(task)
        task.add_done_callback(self._beside.discard)
