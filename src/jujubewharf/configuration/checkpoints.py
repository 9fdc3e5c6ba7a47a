"""Checkpoints on the log: states that outlive the records they came from.

A checkpoint is a run of chunks on one stream and a manifest on another. The
manifest is appended last, so whoever sees it can read the whole; and the
manifests' stream is so short that a fresh instance finds the newest one in a
read or two.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Any

import msgpack
import structlog

from jujubewharf import clock as clocks
from jujubewharf.configuration import snapshot as snapshots
from jujubewharf.configuration import state as states
from jujubewharf.platform import log

CHUNK_STREAM = "configuration-chunks"
MANIFEST_STREAM = "configuration-checkpoints"

_CHUNKS_PER_APPEND = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Manifest:
    """What a checkpoint is made of.

    Attributes:
        next_offset: Offset of the next record to fold on it.
        digest: Digest of the state.
        chunk_offsets: Where the chunks stand on their stream, in order.
        wall_ms: When it was written, by the writer's clock.
        writer: Instance that wrote it.
        lost_from: Offset from which on records were lost before any
            instance had read them; ``None`` when none were.
        format: Version of the snapshot's format.
    """

    next_offset: int
    digest: str
    chunk_offsets: tuple[int, ...]
    wall_ms: float
    writer: str
    lost_from: int | None = None
    format: int = snapshots.FORMAT


class CheckpointStore:
    """Reads and writes checkpoints.

    Args:
        platform_log: The platform's log.
        clock: Time.

    Attributes:
        manifests: Manifests seen, oldest first; the newest few.
        seen_ms: When the newest one was first seen here.
    """

    _KEPT_MANIFESTS = 8

    def __init__(self, platform_log: log.Log, clock: clocks.Clock) -> None:
        self.manifests: list[Manifest] = []
        self.seen_ms = 0.0
        self._log = platform_log
        self._clock = clock
        self._cursor = 0
        self._logger = structlog.get_logger()

    async def refresh(self) -> None:
        """Reads the manifests that came since the last time.

        Raises:
            LogUnavailableError: The log was not reached.
        """
        while True:
            try:
                page = await self._log.read(MANIFEST_STREAM, self._cursor)
            except log.LogTruncatedError as error:
                # Truncated manifests name truncated chunks: no loss.
                self._cursor = error.first_offset
                continue
            if not page.records:
                return
            for record in page.records:
                self._take_in(record)
            self._cursor = page.records[-1].offset + 1

    def usable(self, from_offset: int, first_offset: int) -> list[Manifest]:
        """Manifests that lead on, the best first.

        Args:
            from_offset: Offset held; only further states are of use.
            first_offset: Oldest record still on the log; a state that ends
                before it leaves a gap.
        """
        found = [
            manifest
            for manifest in self.manifests
            if manifest.next_offset > from_offset
            and manifest.next_offset >= first_offset
        ]
        # Of two that close the same gap the first on the stream counts, or
        # instances would start from different states.
        closing = [one for one in found if one.lost_from is not None]
        others = [one for one in found if one.lost_from is None]
        return closing[:1] + others[::-1]

    async def write(
        self,
        state: states.State,
        writer: str,
        *,
        continue_at: int | None = None,
    ) -> Manifest:
        """Appends a checkpoint of a state as it is now.

        Args:
            state: The state.
            writer: Instance that writes it.
            continue_at: Offset to continue from when the records from the
                state's own offset up to there are lost.

        Raises:
            LogUnavailableError: It is not on the log.
            AppendUnknownError: It may be on the log; a duplicate is harmless.
        """
        lost_from = None if continue_at is None else state.next_offset
        encoder = snapshots.Encoder(state, next_offset=continue_at)
        offsets: list[int] = []
        batch: list[bytes] = []
        for chunk in encoder.chunks():
            batch.append(chunk)
            if len(batch) == _CHUNKS_PER_APPEND:
                offsets += await self._log.append(CHUNK_STREAM, batch)
                batch = []
            await asyncio.sleep(0)
        if batch:
            offsets += await self._log.append(CHUNK_STREAM, batch)
        manifest = Manifest(
            next_offset=encoder.next_offset,
            digest=encoder.digest,
            chunk_offsets=tuple(offsets),
            wall_ms=self._clock.wall_ms(),
            writer=writer,
            lost_from=lost_from,
        )
        await self._log.append(MANIFEST_STREAM, [_encode(manifest)])
        return manifest

    async def load(
        self, manifest: Manifest, *, newest_rules: int
    ) -> states.State:
        """Reads a checkpoint's state.

        Raises:
            BrokenSnapshotError: It is damaged, truncated or too new.
            LogUnavailableError: The log was not reached.
        """
        decoder = snapshots.Decoder(newest_rules=newest_rules)
        wanted = list(manifest.chunk_offsets)
        while wanted:
            fed = await self._feed(decoder, wanted)
            del wanted[:fed]
        return decoder.finish(manifest.digest)

    async def _feed(self, decoder: snapshots.Decoder, wanted: list[int]) -> int:
        """Feeds the chunks of one read; other writers' lie between them."""
        limit = min(_CHUNKS_PER_APPEND, wanted[-1] - wanted[0] + 1)
        try:
            page = await self._log.read(CHUNK_STREAM, wanted[0], limit=limit)
        except log.LogTruncatedError as error:
            raise snapshots.BrokenSnapshotError("chunks are gone") from error
        found = {record.offset: record.payload for record in page.records}
        fed = 0
        for offset in wanted:
            if offset not in found:
                break
            decoder.feed(found[offset])
            fed += 1
            await asyncio.sleep(0)
        if not fed:
            raise snapshots.BrokenSnapshotError("a chunk is missing")
        return fed

    def _take_in(self, record: log.LogRecord) -> None:
        manifest = _decode(record.payload)
        if manifest is None:
            self._logger.warning("checkpoint_unknown", offset=record.offset)
            return
        self.manifests.append(manifest)
        del self.manifests[: -self._KEPT_MANIFESTS]
        self.seen_ms = self._clock.now_ms()


def _encode(manifest: Manifest) -> bytes:
    return msgpack.packb(
        {
            field.name: getattr(manifest, field.name)
            for field in dataclasses.fields(manifest)
        }
    )


def _decode(payload: bytes) -> Manifest | None:
    """A manifest; ``None`` for one that this version can't read."""
    try:
        data: dict[str, Any] = msgpack.unpackb(payload)
        known = {
            field.name: data[field.name]
            for field in dataclasses.fields(Manifest)
            if field.name in data
        }
        manifest = Manifest(**known)
    except (ValueError, TypeError):
        return None
    if manifest.format != snapshots.FORMAT:
        return None
    return dataclasses.replace(
        manifest, chunk_offsets=tuple(manifest.chunk_offsets)
    )
