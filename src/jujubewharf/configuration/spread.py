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
    from jujubewharf.configuration import holding as holdings
    from jujubewharf.configuration import state as states
    from jujubewharf.membership import view
    from jujubewharf.peers import messages

PEERS_A_ROUND = 2

_ASK_TIMEOUT_MS = 2_000.0
_PAGE_RECORDS = 200
_PAGE_BYTES = 256_000
_SNAPSHOT_KEPT_MS = 30_000.0
_SNAPSHOT_REUSED_MS = 5_000.0


class _Kept:
    """A cached snapshot and the time at which it was encoded."""

    def __init__(self, snapshot: snapshots.Snapshot, made_ms: float) -> None:
        self.snapshot = snapshot
        self.made_ms = made_ms


class PeerSpread(mode.Service):
    """Fetches missing records and states from peers, and serves theirs.

    Args:
        holding: Configuration of this instance.
        network: Messages to and from peers.
        membership: Instances of the fleet.
        clock: Time source.
    """

    def __init__(
        self,
        holding: holdings.Holding,
        network: networks.PeerNetwork,
        membership: view.MembershipView,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._holding = holding
        self._network = network
        self._membership = membership
        self._clock = clock
        self._rounds = itertools.count()
        self._kept: _Kept | None = None
        self._making = asyncio.Lock()
        self._logger = structlog.get_logger()
        network.handle(configuration_messages.RecordsRequest, self._on_records)
        network.handle(
            configuration_messages.SnapshotRequest, self._on_snapshot
        )
        network.handle(configuration_messages.ChunkRequest, self._on_chunk)

    async def catch_up(self, *, peer_count: int = PEERS_A_ROUND) -> None:
        """Fetches newer records, or a newer state, from a peer.

        Args:
            peer_count: Maximum number of peers to ask; the first one that is
                ahead of this instance is the last one asked.
        """
        for peer in itertools.islice(self._peers(), peer_count):
            given = await self._ask_records(peer)
            if given is None or given.next_offset <= self._holding.next_offset:
                continue
            self._holding.fold(
                log.LogRecord(one.offset, one.payload) for one in given.records
            )
            if not given.records:
                await self.adopt_from(peer)
            elif given.is_caught_up:
                self._note_caught_up(given.next_offset)
            return

    def _note_caught_up(self, end_offset: int) -> None:
        """Marks the state as caught up once it reached a caught-up peer's.

        Otherwise requests could be served with a partial configuration, such
        as a service without the restrictions of its accounts.
        """
        if self._holding.next_offset >= end_offset:
            self._holding.caught_up.set()

    async def adopt_any(self) -> bool:
        """Adopts the state of the first peer that is ahead.

        Returns:
            Whether a state was adopted.
        """
        for peer in itertools.islice(self._peers(), PEERS_A_ROUND):
            if await self.adopt_from(peer):
                return True
        return False

    async def adopt_from(self, peer: str) -> bool:
        """Adopts a peer's state if it is ahead; returns whether it was."""
        try:
            state = await self._fetch(peer)
        except (networks.PeerError, snapshots.BrokenSnapshotError) as error:
            self._logger.info("snapshot_not_had", peer=peer, detail=str(error))
            return False
        if state is None or not self._holding.adopt(state, source="peer"):
            return False
        self._holding.caught_up.set()
        return True

    async def offsets(self) -> dict[str, int | None]:
        """Returns the next offset of every other member; ``None`` if silent."""
        names = [
            member.instance
            for member in self._membership.members()
            if member.instance != self._network.instance
        ]
        found: dict[str, int | None] = {}
        for name in names:
            given = await self._ask_records(name)
            found[name] = None if given is None else given.next_offset
        return found

    def _peers(self) -> Iterator[str]:
        """Yields the peers, in a different order on each call."""
        key = f"{self._network.instance}/{next(self._rounds)}"
        names = [
            member.instance
            for member in self._membership.present()
            if member.instance != self._network.instance
        ]
        yield from hashing.rank(key, names)

    async def _ask(
        self, peer: str, message: messages.Message
    ) -> messages.Message:
        return await self._network.ask(
            peer, message, timeout_ms=_ASK_TIMEOUT_MS
        )

    async def _ask_records(
        self, peer: str
    ) -> configuration_messages.RecordsReply | None:
        wanted = configuration_messages.RecordsRequest(
            self._holding.next_offset, _PAGE_RECORDS
        )
        try:
            given = await self._ask(peer, wanted)
        except networks.PeerError:
            return None
        if not isinstance(given, configuration_messages.RecordsReply):
            return None
        return given

    async def _fetch(self, peer: str) -> states.State | None:
        """Fetches the state of a peer; ``None`` if it is not ahead.

        Raises:
            PeerError: The peer did not reply.
            BrokenSnapshotError: The snapshot is incomplete or damaged.
        """
        current = self._holding.current
        wanted = configuration_messages.SnapshotRequest(current.next_offset)
        offered = await self._ask(peer, wanted)
        if not isinstance(offered, configuration_messages.SnapshotOffer):
            return None
        if not offered.digest:
            return None
        decoder = snapshots.Decoder(newest_rules=current.newest_rules)
        for index in range(offered.chunk_count):
            chunk = configuration_messages.ChunkRequest(offered.digest, index)
            given = await self._ask(peer, chunk)
            if not isinstance(given, configuration_messages.ChunkReply):
                raise snapshots.BrokenSnapshotError(
                    "peer did not reply with a chunk"
                )
            decoder.feed(given.data)
        return decoder.finish(offered.digest)

    async def _on_records(
        self, _: str, wanted: configuration_messages.RecordsRequest
    ) -> configuration_messages.RecordsReply:
        limit = min(wanted.limit, _PAGE_RECORDS)
        found = self._holding.recent(wanted.from_offset, limit)
        return configuration_messages.RecordsReply(
            self._holding.next_offset,
            tuple(_within_page(found)),
            self._holding.caught_up.is_set(),
        )

    async def _on_snapshot(
        self, _: str, wanted: configuration_messages.SnapshotRequest
    ) -> configuration_messages.SnapshotOffer:
        is_whole = self._holding.caught_up.is_set()
        if not is_whole or self._holding.next_offset <= wanted.above_offset:
            return configuration_messages.SnapshotOffer(
                self._holding.next_offset
            )
        snapshot = await self._snapshot(wanted.above_offset)
        return configuration_messages.SnapshotOffer(
            snapshot.next_offset, snapshot.digest, len(snapshot.chunks)
        )

    async def _on_chunk(
        self, _: str, wanted: configuration_messages.ChunkRequest
    ) -> configuration_messages.ChunkReply:
        kept = self._kept
        if kept is None or kept.snapshot.digest != wanted.digest:
            return configuration_messages.ChunkReply()
        if not 0 <= wanted.index < len(kept.snapshot.chunks):
            return configuration_messages.ChunkReply()
        return configuration_messages.ChunkReply(
            kept.snapshot.chunks[wanted.index]
        )

    async def _snapshot(self, above_offset: int) -> snapshots.Snapshot:
        """Returns a snapshot, shared by peers that ask at a similar time.

        After the restart of a rack many peers ask at once. A snapshot for each
        would be expensive, and would replace the one that another peer is
        still fetching.
        """
        async with self._making:
            kept = self._kept
            now_ms = self._clock.now_ms()
            is_young = kept and now_ms - kept.made_ms < _SNAPSHOT_REUSED_MS
            if kept is None or not is_young:
                kept = _Kept(await self._encode(), now_ms)
            elif kept.snapshot.next_offset <= above_offset:
                kept = _Kept(await self._encode(), now_ms)
            self._kept = kept
            return kept.snapshot

    async def _encode(self) -> snapshots.Snapshot:
        encoder = snapshots.Encoder(self._holding.current)
        chunks: list[bytes] = []
        for chunk in encoder.chunks():
            chunks.append(chunk)
            await asyncio.sleep(0)
        return snapshots.Snapshot(
            encoder.next_offset, encoder.digest, tuple(chunks)
        )

    @mode.Service.task
    async def _forget(self) -> None:
        while not self.should_stop:
            await self._clock.sleep_ms(_SNAPSHOT_KEPT_MS)
            kept = self._kept
            if kept is None:
                continue
            if self._clock.now_ms() - kept.made_ms >= _SNAPSHOT_KEPT_MS:
                self._kept = None


def _within_page(
    found: list[log.LogRecord],
) -> Iterator[configuration_messages.WireRecord]:
    """Yields as many records as fit into one message, at least one."""
    size_bytes = 0
    for record in found:
        size_bytes += len(record.payload)
        if size_bytes > _PAGE_BYTES and size_bytes > len(record.payload):
            return
        yield configuration_messages.WireRecord(record.offset, record.payload)
