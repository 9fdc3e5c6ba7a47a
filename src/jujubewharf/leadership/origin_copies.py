"""Has replicas keep copies of where a stream began.

A message that was sent hasn't arrived: a replica may stand still or be cut off.
A copy counts once the replica has replied; without a reply another one gets it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
import itertools

from jujubewharf import clock as clocks
from jujubewharf.leadership import replica_choice
from jujubewharf.leadership import replica_links
from jujubewharf.peers import origin_messages
from jujubewharf.stream_versions import origins as all_origins

# Copies of a stream in the failure domain that began it, where most callers
# resume, and in others, where it is known if that domain is lost.
_NEAR_COPIES = 2
_FAR_COPIES = 3


class OriginCopies:
    """Makes copies of where streams began.

    Args:
        links: Links to the replicas.
        clock: Time source.
    """

    def __init__(
        self, links: replica_links.ReplicaLinks, clock: clocks.Clock
    ) -> None:
        self._links = links
        self._clock = clock

    async def make(
        self,
        record: all_origins.OriginRecord,
        order: replica_choice.ReplicaOrder,
    ) -> int:
        """Returns the number of replicas that keep a stream from now on."""
        message = origin_messages.StreamCopy.from_record(
            record, self._clock.now_ms()
        )
        near = iter(self._preferred(order.near))
        far = iter(self._preferred(order.far))
        made = await asyncio.gather(
            *(self._make_one(message, near, far) for _ in range(_NEAR_COPIES)),
            *(self._make_one(message, far, near) for _ in range(_FAR_COPIES)),
        )
        return sum(made)

    def _preferred(self, addresses: Iterable[str]) -> list[str]:
        return sorted(addresses, key=self._links.is_avoided)

    async def _make_one(
        self,
        message: origin_messages.StreamCopy,
        first: Iterator[str],
        then: Iterator[str],
    ) -> bool:
        """Asks one replica after the other until one keeps the stream."""
        for address in itertools.chain(first, then):
            reply = await self._links.ask(address, message)
            if isinstance(reply, origin_messages.StreamsKept):
                return True
        return False
