"""Has replicas keep copies of where a stream began.

A message that was sent hasn't arrived: a replica may stand still or be cut off.
A copy counts once the replica has replied; without a reply another one gets it.
What has too few copies, as no replica was known or a cut lay between, is copied
again until it has enough.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
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
# Streams whose missing copies are made later, and how many at a time.
_MAX_WAITING = 2_000
_RETRIES_AT_A_TIME = 50


@dataclasses.dataclass(slots=True)
class _Waiting:
    """A stream with too few copies.

    Attributes:
        record: Where it began.
        kept_by: Replicas that keep it.
    """

    record: all_origins.OriginRecord
    kept_by: set[str]


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
        self._waiting: dict[bytes, _Waiting] = {}

    async def make(
        self,
        record: all_origins.OriginRecord,
        order: replica_choice.ReplicaOrder,
    ) -> int:
        """Returns the number of replicas that keep a stream from now on."""
        waiting = _Waiting(record, set())
        await self._add_copies(waiting, order)
        return len(waiting.kept_by)

    async def make_missing(self, order: replica_choice.ReplicaOrder) -> None:
        """Makes missing copies of some streams, the newest first."""
        now_ms = self._clock.now_ms()
        self._waiting = {
            key: waiting
            for key, waiting in self._waiting.items()
            if waiting.record.keep_until_ms > now_ms
        }
        newest = list(self._waiting.values())[-_RETRIES_AT_A_TIME:]
        await asyncio.gather(*(self._add_copies(w, order) for w in newest))

    async def _add_copies(
        self, waiting: _Waiting, order: replica_choice.ReplicaOrder
    ) -> None:
        message = origin_messages.StreamCopy.from_record(
            waiting.record, self._clock.now_ms()
        )
        near = iter(self._preferred(order.near, waiting.kept_by))
        far = iter(self._preferred(order.far, waiting.kept_by))
        kept_near = len(waiting.kept_by.intersection(order.near))
        kept_far = len(waiting.kept_by.intersection(order.far))
        made = await asyncio.gather(
            *(
                self._make_one(message, near, far)
                for _ in range(kept_near, _NEAR_COPIES)
            ),
            *(
                self._make_one(message, far, near)
                for _ in range(kept_far, _FAR_COPIES)
            ),
        )
        waiting.kept_by.update(address for address in made if address)
        self._note(waiting, order)

    def _note(
        self, waiting: _Waiting, order: replica_choice.ReplicaOrder
    ) -> None:
        """Notes whether a stream still has too few copies."""
        self._waiting.pop(waiting.record.key, None)
        count = min(_NEAR_COPIES + _FAR_COPIES, len(order.near + order.far))
        is_far = not order.far or bool(waiting.kept_by.intersection(order.far))
        if order and is_far and len(waiting.kept_by) >= count:
            return
        self._waiting[waiting.record.key] = waiting
        if len(self._waiting) > _MAX_WAITING:
            del self._waiting[next(iter(self._waiting))]

    def _preferred(
        self, addresses: Iterable[str], kept_by: set[str]
    ) -> list[str]:
        missing = (a for a in addresses if a not in kept_by)
        return sorted(missing, key=self._links.is_avoided)

    async def _make_one(
        self,
        message: origin_messages.StreamCopy,
        first: Iterator[str],
        then: Iterator[str],
    ) -> str | None:
        """Asks one replica after the other; returns the one that keeps it."""
        for address in itertools.chain(first, then):
            reply = await self._links.ask(address, message)
            if isinstance(reply, origin_messages.StreamsKept):
                return address
        return None
