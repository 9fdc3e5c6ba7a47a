"""Gossip protocol that replicates small facts to all instances in seconds.

New facts are pushed to a few random peers, which push them on in turn (rumor
mongering, Demers et al. 1987). Each instance sends a fixed number of copies
of a fact, which keeps the cost independent of the fleet's size but may miss
some instances. Heartbeats therefore carry a digest of the fact store, and
peers whose digests differ run an anti-entropy exchange.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import TYPE_CHECKING

import aiolimiter
import mode
import structlog

from jujubewharf import ordered_service
from jujubewharf.membership import fact_messages
from jujubewharf.membership import fact_store
from jujubewharf.peers import network

if TYPE_CHECKING:
    from jujubewharf import clock as clocks
    from jujubewharf.peers import mesh as meshes

Fact = fact_store.Fact
Topic = fact_store.Topic
Listener = Callable[[Fact], None]

MAX_COPIES = 6

_FANOUT = 3
_PUSH_INTERVAL_MS = 200.0
_MAX_FACTS_PER_PUSH = 20
_MAX_FACTS_PER_SYNC = 200
_SYNC_TIMEOUT_MS = 2_000.0
_SYNC_INTERVAL_MS = 1_000.0
_MISMATCHES_TO_SYNC = 2
_MISMATCHES_TO_TAKE_OVER = 4
_PUSH_BYTES_PER_S = 1_000
_PUSH_BURST_BYTES = 16_000
_FACT_OVERHEAD_BYTES = 16


class _PendingFact:
    """A fact that is still being pushed to peers."""

    def __init__(self, fact: Fact, source: str | None) -> None:
        self.fact = fact
        self.copies = 0
        self.informed = {source}


class Facts(ordered_service.OrderedService):
    """Publishes facts to all instances and receives theirs.

    Args:
        mesh: Links to the peers.
        clock: Source of time.

    Attributes:
        store: Facts known to this instance.
    """

    def __init__(self, mesh: meshes.PeerMesh, clock: clocks.Clock) -> None:
        super().__init__()
        self.store = fact_store.FactStore(clock)
        self._mesh = mesh
        self._clock = clock
        self._listeners: dict[str, list[Listener]] = {}
        self._pending: dict[tuple[str, str], _PendingFact] = {}
        self._mismatches: dict[str, int] = {}
        self._random = random.Random(mesh.instance)
        self._push_limiter: aiolimiter.AsyncLimiter | None = None
        self._sync_queue: list[str] = []
        self._logger = structlog.get_logger()
        mesh.handle(fact_messages.FactsPush, self._on_push)
        mesh.handle(fact_messages.FactsSyncRequest, self._on_sync_request)
        mesh.on_heartbeat(self._on_heartbeat)
        mesh.facts_digest = lambda: self.store.digest

    def publish(
        self,
        topic: str,
        subject: str,
        *,
        version: int,
        value: str = "",
        ttl_ms: float,
    ) -> bool:
        """Publishes a fact to all instances.

        Args:
            topic: A ``Topic``.
            subject: Identifies the fact within its topic.
            version: Must exceed the version of the fact that it replaces or
                renews.
            value: Content of the fact.
            ttl_ms: Time to live, at most ``fact_store.MAX_TTL_MS``.

        Returns:
            Whether the fact was stored as newer than the one known here.
        """
        ttl_ms = min(ttl_ms, fact_store.MAX_TTL_MS)
        expires_ms = self._clock.now_ms() + ttl_ms
        fact = Fact(str(topic), subject, version, value, expires_ms)
        return self._add(fact, None)

    def get(self, topic: str, subject: str) -> Fact | None:
        """Returns a fact, or ``None`` if it is unknown or has expired."""
        return self.store.get(topic, subject)

    def by_topic(self, topic: str) -> tuple[Fact, ...]:
        """Returns the known facts on a topic, sorted by subject."""
        return self.store.by_topic(topic)

    def listen(self, topic: str, listener: Listener) -> None:
        """Registers a callback for new facts, including local ones."""
        self._listeners.setdefault(str(topic), []).append(listener)

    async def on_start(self) -> None:
        """Creates the rate limiter, which is bound to the running loop."""
        self._push_limiter = aiolimiter.AsyncLimiter(
            _PUSH_BURST_BYTES, _PUSH_BURST_BYTES / _PUSH_BYTES_PER_S
        )

    @mode.Service.task
    async def _push_loop(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(_PUSH_INTERVAL_MS)
            self.store.remove_expired()
            if self._pending:
                await self._push_pending()

    @mode.Service.task
    async def _sync_loop(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(_SYNC_INTERVAL_MS)
            peer = self._next_sync_peer()
            if peer is not None:
                await self._sync(peer)

    def _next_sync_peer(self) -> str | None:
        """Returns the next peer to synchronize with, skipping unlinked ones."""
        linked = self._mesh.linked_peers()
        for peer in [name for name in self._mismatches if name not in linked]:
            del self._mismatches[peer]
        while self._sync_queue:
            peer = self._sync_queue.pop(0)
            self._mismatches.pop(peer, None)
            if peer in linked:
                return peer
        return None

    def _add(self, fact: Fact, source: str | None) -> bool:
        if not self.store.add(fact):
            return False
        self._pending[fact.key] = _PendingFact(fact, source)
        for listener in self._listeners.get(fact.topic, ()):
            listener(fact)
        return True

    def _add_all(
        self, wire_facts: Iterable[fact_messages.WireFact], source: str
    ) -> None:
        for wire_fact in wire_facts:
            if wire_fact.ttl_ms > 0:
                self._add(self.store.from_wire(wire_fact), source)

    async def _push_pending(self) -> None:
        linked = self._mesh.linked_peers()
        targets = self._random.sample(linked, min(_FANOUT, len(linked)))
        for target in targets:
            await self._push_to(target)
        if not linked:
            return
        for key, pending in list(self._pending.items()):
            if pending.copies >= MAX_COPIES or pending.informed.issuperset(
                linked
            ):
                del self._pending[key]

    async def _push_to(self, target: str) -> None:
        unsent = [
            pending
            for pending in self._pending.values()
            if target not in pending.informed
        ]
        unsent.sort(key=lambda pending: pending.copies)
        batch = unsent[:_MAX_FACTS_PER_PUSH]
        size_bytes = sum(_size_bytes(pending.fact) for pending in batch)
        assert self._push_limiter is not None
        if not batch or not self._push_limiter.has_capacity(size_bytes):
            return
        await self._push_limiter.acquire(size_bytes)
        wire_facts = tuple(
            self.store.to_wire(pending.fact) for pending in batch
        )
        if not self._mesh.tell(target, fact_messages.FactsPush(wire_facts)):
            return
        for pending in batch:
            pending.copies += 1
            pending.informed.add(target)

    async def _on_push(self, peer: str, push: fact_messages.FactsPush) -> None:
        self._add_all(push.facts, peer)

    def _on_heartbeat(self, peer: str, digest: int) -> None:
        """Schedules a sync with a peer whose digest keeps differing.

        Digests differ briefly while facts propagate, so a single mismatch is
        ignored. The instance with the lower name starts the sync; the other
        one starts it only after further mismatches.
        """
        if digest == self.store.digest:
            self._mismatches.pop(peer, None)
            if peer in self._sync_queue:
                self._sync_queue.remove(peer)
            return
        count = self._mismatches.get(peer, 0) + 1
        self._mismatches[peer] = count
        threshold = _MISMATCHES_TO_SYNC
        if self._mesh.instance > peer:
            threshold = _MISMATCHES_TO_TAKE_OVER
        if count >= threshold and peer not in self._sync_queue:
            self._sync_queue.append(peer)

    async def _sync(self, peer: str) -> None:
        """Synchronizes the store with a peer's.

        Large stores are compared one random window of key hashes at a time.
        """
        ordered = sorted(self.store, key=lambda fact: fact.key_hash)
        window = fact_messages.FactsSyncRequest(0, 2**32, ())
        if len(ordered) > _MAX_FACTS_PER_SYNC:
            last_start = len(ordered) - _MAX_FACTS_PER_SYNC
            start = self._random.randint(0, last_start)
            ordered = ordered[start : start + _MAX_FACTS_PER_SYNC]
            low, high = ordered[0].key_hash, ordered[-1].key_hash
            window = fact_messages.FactsSyncRequest(low, high, ())
        known = tuple((f.key_hash, f.content_hash) for f in ordered)
        request = fact_messages.FactsSyncRequest(
            window.from_key, window.to_key, known
        )
        try:
            reply = await self._mesh.ask(
                peer, request, timeout_ms=_SYNC_TIMEOUT_MS
            )
        except network.PeerError:
            return
        if not isinstance(reply, fact_messages.FactsSyncReply):
            return
        self._add_all(reply.facts, peer)
        wanted = set(reply.wanted)
        facts = [fact for fact in ordered if fact.key_hash in wanted]
        if facts:
            wire_facts = tuple(self.store.to_wire(fact) for fact in facts)
            self._mesh.tell(peer, fact_messages.FactsPush(wire_facts))

    async def _on_sync_request(
        self, peer: str, request: fact_messages.FactsSyncRequest
    ) -> fact_messages.FactsSyncReply:
        remote = dict(request.known)
        local = {
            fact.key_hash: fact
            for fact in self.store
            if request.from_key <= fact.key_hash <= request.to_key
        }
        differing = [
            fact
            for key_hash, fact in local.items()
            if remote.get(key_hash) != fact.content_hash
        ]
        wanted = [
            key_hash
            for key_hash, content in remote.items()
            if key_hash not in local or local[key_hash].content_hash != content
        ]
        wire_facts = [
            self.store.to_wire(f) for f in differing[:_MAX_FACTS_PER_SYNC]
        ]
        return fact_messages.FactsSyncReply(tuple(wire_facts), tuple(wanted))


def _size_bytes(fact: Fact) -> int:
    return _FACT_OVERHEAD_BYTES + len(fact.subject) + len(fact.value)
