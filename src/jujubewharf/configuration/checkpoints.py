"""Checkpoints: snapshots of the configuration that are stored in the log.

A checkpoint consists of chunks in one stream and a manifest in another. The
manifest is appended last, so all chunks of a visible manifest are in the log.
The separate stream keeps manifests few, and a new instance finds the newest
one with one or two reads.
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
    """Description of one checkpoint.

    Attributes:
        next_offset: Offset of the next record to apply to the state.
        digest: Digest of the state.
        chunk_offsets: Offsets of the chunks in their stream, in order.
        wall_ms: Wall clock time of the writer in milliseconds.
        writer: Instance that wrote the checkpoint.
        lost_from: Offset of the first record that was lost before any
            instance had read it; ``None`` if no records were lost.
        format: Version of the snapshot format.
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
        clock: Time source.

    Attributes:
        manifests: The newest manifests that were read, oldest first.
        newest_seen_ms: Local clock time in milliseconds at which the newest
            manifest was read.
    """

    _MAX_MANIFESTS = 8

    def __init__(self, platform_log: log.Log, clock: clocks.Clock) -> None:
        self.manifests: list[Manifest] = []
        self.newest_seen_ms = 0.0
        self._log = platform_log
        self._clock = clock
        self._cursor = 0
        self._logger = structlog.get_logger()

    async def refresh(self) -> None:
        """Reads the manifests added since the last call.

        Raises:
            LogUnavailableError: The log is unavailable.
        """
        while True:
            try:
                page = await self._log.read(MANIFEST_STREAM, self._cursor)
            except log.LogTruncatedError as error:
                # The chunks of truncated manifests are truncated as well.
                self._cursor = error.first_offset
                continue
            if not page.records:
                return
            for record in page.records:
                self._add_manifest(record)
            self._cursor = page.records[-1].offset + 1

    def usable_manifests(
        self, from_offset: int, first_offset: int
    ) -> list[Manifest]:
        """Returns manifests to recover from, in order of preference.

        Args:
            from_offset: Next offset of the local state; older checkpoints
                are omitted.
            first_offset: Offset of the oldest record in the log. Checkpoints
                that end before it would leave a gap and are omitted.
        """
        candidates = [
            manifest
            for manifest in self.manifests
            if manifest.next_offset > from_offset
            and manifest.next_offset >= first_offset
        ]
        # All instances have to use the same checkpoint to skip lost records,
        # or their states would diverge; the first one in the stream counts.
        skipping_lost = [one for one in candidates if one.lost_from is not None]
        others = [one for one in candidates if one.lost_from is None]
        return skipping_lost[:1] + others[::-1]

    async def write(
        self,
        state: states.State,
        writer: str,
        *,
        continue_at: int | None = None,
    ) -> Manifest:
        """Appends a checkpoint of the current state.

        Args:
            state: State to write.
            writer: Name of this instance.
            continue_at: Offset to continue from if the records between the
                state's offset and this one are lost.

        Returns:
            The manifest of the new checkpoint.

        Raises:
            LogUnavailableError: The checkpoint was not appended.
            AppendUnknownError: The checkpoint may have been appended;
                duplicates are harmless.
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
        self, manifest: Manifest, *, newest_rules_version: int
    ) -> states.State:
        """Reads the state of a checkpoint.

        Raises:
            InvalidSnapshotError: The snapshot is damaged, truncated or from a
                newer version.
            LogUnavailableError: The log is unavailable.
        """
        decoder = snapshots.Decoder(newest_rules_version=newest_rules_version)
        wanted = list(manifest.chunk_offsets)
        while wanted:
            fed_count = await self._feed(decoder, wanted)
            del wanted[:fed_count]
        return decoder.finish(manifest.digest)

    async def _feed(self, decoder: snapshots.Decoder, wanted: list[int]) -> int:
        """Feeds the wanted chunks of one read and returns their number.

        Chunks of other writers may lie between them and are skipped.
        """
        limit = min(_CHUNKS_PER_APPEND, wanted[-1] - wanted[0] + 1)
        try:
            page = await self._log.read(CHUNK_STREAM, wanted[0], limit=limit)
        except log.LogTruncatedError as error:
            raise snapshots.InvalidSnapshotError(
                "chunks were truncated from the log"
            ) from error
        payloads = {record.offset: record.payload for record in page.records}
        fed_count = 0
        for offset in wanted:
            if offset not in payloads:
                break
            decoder.feed(payloads[offset])
            fed_count += 1
            await asyncio.sleep(0)
        if not fed_count:
            raise snapshots.InvalidSnapshotError(
                "a chunk is missing from the log"
            )
        return fed_count

    def _add_manifest(self, record: log.LogRecord) -> None:
        manifest = _decode(record.payload)
        if manifest is None:
            self._logger.warning("checkpoint_unknown", offset=record.offset)
            return
        self.manifests.append(manifest)
        del self.manifests[: -self._MAX_MANIFESTS]
        self.newest_seen_ms = self._clock.now_ms()


def _encode(manifest: Manifest) -> bytes:
    return msgpack.packb(
        {
            field.name: getattr(manifest, field.name)
            for field in dataclasses.fields(manifest)
        }
    )


def _decode(payload: bytes) -> Manifest | None:
    """Decodes a manifest; ``None`` if this version can't read it."""
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
