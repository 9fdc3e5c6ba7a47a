"""Asks replicas where a stream began."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.leadership import replica_choice
from jujubewharf.leadership import replica_links
from jujubewharf.peers import messages
from jujubewharf.peers import origin_messages
from jujubewharf.stream_versions import origins as all_origins

# Time after which the replicas of other failure domains are asked, too.
# Callers mostly resume in the domain in which their stream began.
_NEAR_TIMEOUT_MS = 50.0
# Time after which the stream counts as unknown. Callers leave a stream after
# two seconds without an event.
_SEARCH_TIMEOUT_MS = 900.0


@dataclasses.dataclass(slots=True)
class LookupCounts:
    """Replicas that were asked, and that replied."""

    asked: int = 0
    answered: int = 0


class OriginLookup:
    """One search for where a stream began.

    All replies that have arrived are merged, so that a stream of which
    replicas were told different versions is known to be in doubt.

    Args:
        links: Links to the replicas.
        memory: Where streams began, as far as it is known here.
        clock: Time source.

    Attributes:
        counts: Replicas that were asked, and that replied.
    """

    def __init__(
        self,
        links: replica_links.ReplicaLinks,
        memory: all_origins.StreamOrigins,
        clock: clocks.Clock,
    ) -> None:
        self.counts = LookupCounts()
        self._links = links
        self._memory = memory
        self._clock = clock
        self._pending: set[asyncio.Task[messages.Message | None]] = set()

    async def find(
        self, key: bytes, order: replica_choice.ReplicaOrder
    ) -> all_origins.StreamOrigin | None:
        """Returns where a stream began; ``None`` if no replica knows."""
        try:
            self._ask(key, order.near)
            if await self._is_told(within_ms=_NEAR_TIMEOUT_MS):
                return self._found(key)
            self._ask(key, order.far)
            if await self._is_told(within_ms=_SEARCH_TIMEOUT_MS):
                return self._found(key)
            return None
        finally:
            for task in self._pending:
                task.cancel()

    def _ask(self, key: bytes, addresses: Iterable[str]) -> None:
        request = origin_messages.OriginRequest(key)
        for address in addresses:
            self.counts.asked += 1
            asking = self._links.ask(
                address, request, timeout_ms=_SEARCH_TIMEOUT_MS
            )
            self._pending.add(asyncio.ensure_future(asking))

    async def _is_told(self, *, within_ms: float) -> bool:
        """Waits until a replica knows the stream, or all have replied."""
        until_ms = self._clock.now_ms() + within_ms
        is_told = False
        while self._pending and not is_told:
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0.0:
                return False
            done, self._pending = await asyncio.wait(
                self._pending,
                timeout=left_ms / clocks.MS_PER_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                is_told |= self._merge(task.result())
        return is_told

    def _merge(self, reply: messages.Message | None) -> bool:
        if not isinstance(reply, origin_messages.OriginReply):
            return False
        self.counts.answered += 1
        if reply.stream is None:
            return False
        self._memory.merge(reply.stream.record(self._clock.now_ms()))
        return True

    def _found(self, key: bytes) -> all_origins.StreamOrigin | None:
        origin = self._memory.find(key)
        if origin is None:
            return None
        return dataclasses.replace(origin, known_by=all_origins.KnownBy.REPLICA)
