"""Which instances keep where streams began, as this instance knows it.

The leader chooses them and tells its followers. The last choice remains while
there is no leader.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterable
import itertools
from typing import Any

import mode

from jujubewharf import clock as clocks
from jujubewharf import ordered_set
from jujubewharf import restarting_service
from jujubewharf.leadership import fleet as fleets
from jujubewharf.leadership import replica_choice
from jujubewharf.leadership import replica_links
from jujubewharf.peers import link as links
from jujubewharf.peers import messages
from jujubewharf.peers import origin_messages
from jujubewharf.peers import streams
from jujubewharf.stream_versions import origins as all_origins

# Interval at which the leader looks for changes among its followers.
_CHOICE_INTERVAL_MS = 250.0
# Time for a replica to send all that it remembers, some megabytes at most.
_SYNC_TIMEOUT_MS = 3_000.0
# Replicas of other failure domains that a new replica asks. Each has a part of
# what replicas of its own domain have lost with it.
_SYNC_FAR_REPLICAS = 12
# Interval at which an instance without a leader tells another one the replicas.
_OFFER_INTERVAL_MS = 1_000.0
# Replicas to which links are opened before they are needed.
_READY_NEAR_LINKS = 3
_READY_FAR_LINKS = 3

_Replicas = tuple[origin_messages.ReplicaAddress, ...]


class ReplicaSet(restarting_service.RestartingService):
    """The replicas, and links to them.

    Args:
        fleet: The leader of this instance, or its followers.
        memory: Where streams began, as far as it is known here.
        transport: Dials other instances.
        clock: Time source.
        domain: Failure domain of this instance.

    Attributes:
        links: Links to the replicas.
        order: Addresses of the replicas, in the order of use.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        memory: all_origins.StreamOrigins,
        transport: streams.Transport,
        clock: clocks.Clock,
        *,
        domain: str,
    ) -> None:
        super().__init__(clock)
        assert fleet.hello is not None
        self._fleet = fleet
        self._memory = memory
        self._domain = domain
        self._address = fleet.hello.address
        self._replicas: _Replicas = ()
        self._offers = itertools.count()
        # Followers that have been told the replicas.
        self._told = ordered_set.OrderedSet[links.Link]()
        self._beside: set[asyncio.Task[object]] = set()
        self.order = replica_choice.ReplicaOrder()
        self.links = replica_links.ReplicaLinks(
            transport, fleet.hello, self._on_message, clock
        )
        fleet.link.on_replicas = self._set

    async def on_stop(self) -> None:
        """Ends all links and what runs beside."""
        for task in self._beside:
            task.cancel()
        self.links.stop()

    def learn(self, replicas: _Replicas) -> None:
        """Uses the replicas that a peer knows until a leader tells them.

        An instance that starts while no leader is within reach would know
        nobody to ask.
        """
        if not self._replicas and not self._fleet.is_leading:
            self._set(replicas)

    @mode.Service.task
    async def _choose(self) -> None:
        """Chooses the replicas while this instance leads."""
        while not self.should_stop:
            await self._clock.sleep_ms(_CHOICE_INTERVAL_MS)
            if self._fleet.is_leading:
                self._tell_followers()
            else:
                self._told.clear()

    @mode.Service.task
    async def _offer(self) -> None:
        """Tells other instances the replicas while nobody leads them.

        One that starts meanwhile is among those that the last leader named to
        some of the others.
        """
        while not self.should_stop:
            await self._clock.sleep_ms(_OFFER_INTERVAL_MS)
            addresses = self._fleet.link.addresses.addresses
            is_alone = self._fleet.role is fleets.Role.ALONE
            if is_alone and self._replicas and addresses:
                turn = next(self._offers) % len(addresses)
                await self.links.reach(addresses[turn])

    def _tell_followers(self) -> None:
        followers, hello = self._fleet.followers, self._fleet.hello
        assert followers is not None and hello is not None
        capable = [
            link
            for link in followers.follower_links
            if origin_messages.REPLICA_CAPABILITY in link.hello.capabilities
        ]
        chosen = replica_choice.choose_replicas(
            [
                origin_messages.ReplicaAddress(member.address, member.domain)
                for member in (hello, *(link.hello for link in capable))
            ]
        )
        if chosen != self._replicas:
            self._told.clear()
            self._set(chosen)
        message = origin_messages.OriginReplicas(chosen)
        self._told = ordered_set.OrderedSet(
            link for link in capable if link in self._told or link.tell(message)
        )

    def _set(self, replicas: _Replicas) -> None:
        former, self._replicas = self._replicas, replicas
        self.order = replica_choice.ReplicaOrder.for_instance(
            replicas, address=self._address, domain=self._domain
        )
        self.links.first_message = origin_messages.OriginReplicas(replicas)
        self.links.retain({replica.address for replica in replicas})
        for address in (
            *self.order.near[:_READY_NEAR_LINKS],
            *self.order.far[:_READY_FAR_LINKS],
        ):
            self._run_beside(self.links.reach(address))
        was_replica = self._address in {r.address for r in former}
        is_replica = self._address in {r.address for r in replicas}
        if is_replica and not was_replica:
            self._run_beside(self._synchronize())

    async def _synchronize(self) -> None:
        """Asks other replicas for what they remember."""
        far = self.order.far[:_SYNC_FAR_REPLICAS]
        await self._request_all((*self.order.near, *far))

    async def _request_all(self, addresses: Iterable[str]) -> None:
        request = origin_messages.StreamsRequest()
        await asyncio.gather(
            *(
                self.links.ask(address, request, timeout_ms=_SYNC_TIMEOUT_MS)
                for address in addresses
            )
        )

    async def _on_message(
        self, peer: str, message: messages.Message
    ) -> messages.Message | None:
        """Handles what a replica sends on a link of this instance."""
        if isinstance(message, origin_messages.StreamsBegan):
            for record in message.records(self._clock.now_ms()):
                self._memory.merge(record)
        return None

    def _run_beside(self, work: Coroutine[Any, Any, object]) -> None:
        task = asyncio.ensure_future(work)
        self._beside.add(task)
        task.add_done_callback(self._beside.discard)
