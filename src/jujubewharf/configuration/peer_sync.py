"""Synchronization of records and states between instances.

The log alone defines the order of changes. Peers pass on what they have read
from it to instances that can't read it themselves: while the log is down, a
domain is cut off from it, or the records have been truncated.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import itertools
from typing import TYPE_CHECKING

import mode
import structlog

from jujubewharf import clock as clocks
from jujubewharf import hashing
from jujubewharf.configuration import snapshot as snapshots
from jujubewharf.peers import configuration_messages
from jujubewharf.peers import network as networks
from jujubewharf.platform import log

if TYPE_CHECKING:
    from jujubewharf.configuration import replica as replicas
    from jujubewharf.configuration import state as states
    from jujubewharf.membership import view
    from jujubewharf.peers import messages

PEERS_PER_ROUND = 2

_REQUEST_TIMEOUT_MS = 2_000.0
_MAX_PAGE_RECORDS = 200
_MAX_PAGE_BYTES = 256_000
_SNAPSHOT_RETENTION_MS = 30_000.0
_SNAPSHOT_REUSE_MS = 5_000.0


class _CachedSnapshot:
    """A cached snapshot and the time at which it was encoded."""

    def __init__(self, snapshot: snapshots.Snapshot, created_ms: float) -> None:
        self.snapshot = snapshot
        self.created_ms = created_ms


class PeerSync(mode.Service):
    """Fetches missing records and states from peers, and serves theirs.

    Args:
        replica: Configuration of this instance.
        network: Messages to and from peers.
        membership: Instances of the fleet.
        clock: Time source.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        network: networks.PeerNetwork,
        membership: view.MembershipView,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._replica = replica
        self._network = network
        self._membership = membership
        self._clock = clock
        self._rounds = itertools.count()
        self._cached: _CachedSnapshot | None = None
        self._encode_lock = asyncio.Lock()
        self._logger = structlog.get_logger()
        network.handle(configuration_messages.RecordsRequest, self._on_records)
        network.handle(
            configuration_messages.SnapshotRequest, self._on_snapshot
        )
        network.handle(configuration_messages.ChunkRequest, self._on_chunk)

    async def catch_up(self, *, peer_count: int = PEERS_PER_ROUND) -> None:
        """Fetches newer records, or a newer state, from a peer.

        Args:
            peer_count: Maximum number of peers to ask; the first one that is
                ahead of this instance is the last one asked.
        """
        for peer in itertools.islice(self._ranked_peers(), peer_count):
            reply = await self._request_records(peer)
            if reply is None or reply.next_offset <= self._replica.next_offset:
                continue
            self._replica.apply_records(
                log.LogRecord(one.offset, one.payload) for one in reply.records
            )
            if not reply.records:
                await self.adopt_from(peer)
            elif reply.is_caught_up:
                self._update_caught_up(reply.next_offset)
            return

    def _update_caught_up(self, end_offset: int) -> None:
        """Marks the state as caught up once it reached a caught-up peer's.

        Otherwise requests could be served with a partial configuration, such
        as a service without the restrictions of its accounts.
        """
        if self._replica.next_offset >= end_offset:
            self._replica.caught_up.set()

    async def adopt_from_any(self) -> bool:
        """Adopts the state of the first peer that is ahead.

        Returns:
            Whether a state was adopted.
        """
        for peer in itertools.islice(self._ranked_peers(), PEERS_PER_ROUND):
            if await self.adopt_from(peer):
                return True
        return False

    async def adopt_from(self, peer: str) -> bool:
        """Adopts a peer's state if it is ahead; returns whether it was."""
        try:
            state = await self._fetch(peer)
        except (networks.PeerError, snapshots.InvalidSnapshotError) as error:
            self._logger.info("snapshot_not_had", peer=peer, detail=str(error))
            return False
        if state is None or not self._replica.adopt(state, source="peer"):
            return False
        self._replica.caught_up.set()
        return True

    async def member_offsets(self) -> dict[str, int | None]:
        """Returns the next offset of every other member; ``None`` if silent."""
        names = [
            member.instance
            for member in self._membership.members()
            if member.instance != self._network.instance
        ]
        found: dict[str, int | None] = {}
        for name in names:
            reply = await self._request_records(name)
            found[name] = None if reply is None else reply.next_offset
        return found

    def _ranked_peers(self) -> Iterator[str]:
        """Yields the peers, in a different order on each call."""
        key = f"{self._network.instance}/{next(self._rounds)}"
        names = [
            member.instance
            for member in self._membership.present()
            if member.instance != self._network.instance
        ]
        yield from hashing.rank(key, names)

    async def _request(
        self, peer: str, message: messages.Message
    ) -> messages.Message:
        return await self._network.ask(
            peer, message, timeout_ms=_REQUEST_TIMEOUT_MS
        )

    async def _request_records(
        self, peer: str
    ) -> configuration_messages.RecordsReply | None:
        request = configuration_messages.RecordsRequest(
            self._replica.next_offset, _MAX_PAGE_RECORDS
        )
        try:
            reply = await self._request(peer, request)
        except networks.PeerError:
            return None
        if not isinstance(reply, configuration_messages.RecordsReply):
            return None
        return reply

    async def _fetch(self, peer: str) -> states.State | None:
        """Fetches the state of a peer; ``None`` if it is not ahead.

        Raises:
            PeerError: The peer did not reply.
            InvalidSnapshotError: The snapshot is incomplete or damaged.
        """
        current = self._replica.current
        request = configuration_messages.SnapshotRequest(current.next_offset)
        offer = await self._request(peer, request)
        if not isinstance(offer, configuration_messages.SnapshotOffer):
            return None
        if not offer.digest:
            return None
        decoder = snapshots.Decoder(
            newest_rules_version=current.newest_rules_version
        )
        for index in range(offer.chunk_count):
            chunk_request = configuration_messages.ChunkRequest(
                offer.digest, index
            )
            reply = await self._request(peer, chunk_request)
            if not isinstance(reply, configuration_messages.ChunkReply):
                raise snapshots.InvalidSnapshotError(
                    "peer did not reply with a chunk"
                )
            decoder.feed(reply.data)
        return decoder.finish(offer.digest)

    async def _on_records(
        self, _: str, request: configuration_messages.RecordsRequest
    ) -> configuration_messages.RecordsReply:
        limit = min(request.limit, _MAX_PAGE_RECORDS)
        found = self._replica.recent_records(request.from_offset, limit)
        return configuration_messages.RecordsReply(
            self._replica.next_offset,
            tuple(_limit_page(found)),
            self._replica.caught_up.is_set(),
        )

    async def _on_snapshot(
        self, _: str, request: configuration_messages.SnapshotRequest
    ) -> configuration_messages.SnapshotOffer:
        is_caught_up = self._replica.caught_up.is_set()
        if (
            not is_caught_up
            or self._replica.next_offset <= request.above_offset
        ):
            return configuration_messages.SnapshotOffer(
                self._replica.next_offset
            )
        snapshot = await self._get_snapshot(request.above_offset)
        return configuration_messages.SnapshotOffer(
            snapshot.next_offset, snapshot.digest, len(snapshot.chunks)
        )

    async def _on_chunk(
        self, _: str, request: configuration_messages.ChunkRequest
    ) -> configuration_messages.ChunkReply:
        cached = self._cached
        if cached is None or cached.snapshot.digest != request.digest:
            return configuration_messages.ChunkReply()
        if not 0 <= request.index < len(cached.snapshot.chunks):
            return configuration_messages.ChunkReply()
        return configuration_messages.ChunkReply(
            cached.snapshot.chunks[request.index]
        )

    async def _get_snapshot(self, above_offset: int) -> snapshots.Snapshot:
        """Returns a snapshot, shared by peers that ask at a similar time.

        After the restart of a rack many peers ask at once. A snapshot for each
        would be expensive, and would replace the one that another peer is
        still fetching.
        """
        async with self._encode_lock:
            cached = self._cached
            now_ms = self._clock.now_ms()
            is_recent = (
                cached and now_ms - cached.created_ms < _SNAPSHOT_REUSE_MS
            )
            if cached is None or not is_recent:
                cached = _CachedSnapshot(await self._encode(), now_ms)
            elif cached.snapshot.next_offset <= above_offset:
                cached = _CachedSnapshot(await self._encode(), now_ms)
            self._cached = cached
            return cached.snapshot

    async def _encode(self) -> snapshots.Snapshot:
        encoder = snapshots.Encoder(self._replica.current)
        chunks: list[bytes] = []
        for chunk in encoder.chunks():
            chunks.append(chunk)
            await asyncio.sleep(0)
        return snapshots.Snapshot(
            encoder.next_offset, encoder.digest, tuple(chunks)
        )

    @mode.Service.task
    async def _evict_snapshot(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(_SNAPSHOT_RETENTION_MS)
            cached = self._cached
            if cached is None:
                continue
            if (
                self._clock.now_ms() - cached.created_ms
                >= _SNAPSHOT_RETENTION_MS
            ):
                self._cached = None


def _limit_page(
    found: list[log.LogRecord],
) -> Iterator[configuration_messages.WireRecord]:
    """Yields as many records as fit into one message, at least one."""
    size_bytes = 0
    for record in found:
        size_bytes += len(record.payload)
        if size_bytes > _MAX_PAGE_BYTES and size_bytes > len(record.payload):
            return
        yield configuration_messages.WireRecord(record.offset, record.payload)
