"""Snapshots: serialized states, for checkpoints and for peers.

A snapshot is a sequence of msgpack items in canonical order, so that states
are equal if and only if their digests are. It is split into chunks that are
compressed separately. Neither encoding nor decoding needs a second copy of the
whole state, and the event loop can run between chunks.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
from typing import Any
import zlib

import msgpack
import xxhash

from jujubewharf.configuration import entries as entries_lib
from jujubewharf.configuration import history as histories
from jujubewharf.configuration import records
from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from jujubewharf.configuration import verdicts
from jujubewharf.platform import log

FORMAT = 1
CHUNK_BYTES = 65_536

# Upper bound of a chunk, which ends after the item that fills it; an item can
# be as large as a record. Protects against decompression bombs.
_MAX_CHUNK_BYTES = 2 * CHUNK_BYTES + 3 * records.MAX_RECORD_BYTES

_HEADER = 0
_ENTRY = 1
_UNKNOWN = 2
_HISTORY = 3


class InvalidSnapshotError(Exception):
    """The snapshot is incomplete, damaged or from a newer version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """An encoded state.

    Attributes:
        next_offset: Offset of the next record to apply to the state.
        digest: Digest of the uncompressed bytes.
        chunks: Compressed chunks.
    """

    next_offset: int
    digest: str
    chunks: tuple[bytes, ...]


class Encoder:
    """Encodes the current state chunk by chunk.

    Further records may be applied to the state between chunks. Entries and
    history items are immutable, so a shallow copy is sufficient.

    Args:
        state: State to encode.
        next_offset: Offset to continue from; by default that of the state.

    Attributes:
        next_offset: Offset of the next record to apply to the snapshot.
    """

    def __init__(
        self, state: states.State, *, next_offset: int | None = None
    ) -> None:
        if next_offset is None:
            next_offset = state.next_offset
        self.next_offset = next_offset
        self._header = [_HEADER, FORMAT, next_offset, state.rules_version]
        self._entries = list(state.entries)
        self._unknown = list(state.unknown_records)
        self._history = list(state.history)
        self._hash = xxhash.xxh3_128()

    @property
    def digest(self) -> str:
        """Digest of the snapshot; complete once all chunks are encoded."""
        return self._hash.hexdigest()

    def raw_chunks(self) -> Iterator[bytes]:
        """Yields the uncompressed chunks."""
        buffer = bytearray()
        for item in self._items():
            buffer += msgpack.packb(item)
            if len(buffer) >= CHUNK_BYTES:
                self._hash.update(buffer)
                yield bytes(buffer)
                buffer.clear()
        self._hash.update(buffer)
        yield bytes(buffer)

    def chunks(self) -> Iterator[bytes]:
        """Yields the compressed chunks."""
        for raw in self.raw_chunks():
            yield zlib.compress(raw)

    def _items(self) -> Iterator[list[Any]]:
        yield self._header
        for (kind, name), entry in self._entries:
            body = entry.packed_body()
            yield [_ENTRY, kind.value, name, entry.generation, body]
        for record in self._unknown:
            yield [_UNKNOWN, record.offset, record.payload]
        for item in self._history:
            yield _encode_history_item(item)


def digest(state: states.State) -> str:
    """Returns the digest of a state; equal only for equal states."""
    encoder = Encoder(state)
    for _ in encoder.raw_chunks():
        pass
    return encoder.digest


def encode(state: states.State) -> Snapshot:
    """Encodes a whole state."""
    encoder = Encoder(state)
    chunks = tuple(encoder.chunks())
    return Snapshot(encoder.next_offset, encoder.digest, chunks)


class Decoder:
    """Decodes a snapshot chunk by chunk.

    Args:
        newest_rules_version: Newest rules version that this program supports.
    """

    def __init__(self, *, newest_rules_version: int) -> None:
        self._newest_rules_version = newest_rules_version
        self._state: states.State | None = None
        self._hash = xxhash.xxh3_128()

    def feed(self, chunk: bytes) -> None:
        """Decodes the next chunk.

        Raises:
            InvalidSnapshotError: The chunk can't be decoded.
        """
        raw = _decompress(chunk)
        self._hash.update(raw)
        unpacker = msgpack.Unpacker(max_buffer_size=_MAX_CHUNK_BYTES)
        unpacker.feed(raw)
        try:
            for item in unpacker:
                self._decode_item(item)
        except (ValueError, TypeError, KeyError, IndexError) as error:
            raise InvalidSnapshotError(str(error)) from error

    def finish(self, expected_digest: str) -> states.State:
        """Returns the state after all chunks have been fed.

        Raises:
            InvalidSnapshotError: Chunks are missing or damaged.
        """
        if self._state is None or self._hash.hexdigest() != expected_digest:
            raise InvalidSnapshotError(
                "snapshot digest does not match its content"
            )
        return self._state

    def _decode_item(self, item: list[Any]) -> None:
        if item[0] == _HEADER:
            self._state = self._decode_header(item)
            return
        if self._state is None:
            raise InvalidSnapshotError("snapshot header is missing")
        match item:
            case [_, kind, name, generation, body] if item[0] == _ENTRY:
                _put_entry(self._state, kind, name, generation, body)
            case [_, offset, payload] if item[0] == _UNKNOWN:
                self._state.unknown_records.append(
                    log.LogRecord(offset, payload)
                )
            case [_, *fields] if item[0] == _HISTORY:
                self._state.history.add(_decode_history_item(fields))
            case _:
                raise InvalidSnapshotError(f"unknown snapshot item {item[0]}")

    def _decode_header(self, item: list[Any]) -> states.State:
        _, version, next_offset, rules_version = item
        if version != FORMAT:
            raise InvalidSnapshotError(f"unknown snapshot format {version}")
        if rules_version > self._newest_rules_version:
            raise InvalidSnapshotError(
                f"snapshot requires rules version {rules_version}"
            )
        state = states.State(newest_rules_version=self._newest_rules_version)
        state.next_offset = next_offset
        state.rules_version = rules_version
        return state


def decode(snapshot: Snapshot, *, newest_rules_version: int) -> states.State:
    """Decodes a whole snapshot.

    Raises:
        InvalidSnapshotError: The snapshot is damaged or from a newer version.
    """
    decoder = Decoder(newest_rules_version=newest_rules_version)
    for chunk in snapshot.chunks:
        decoder.feed(chunk)
    return decoder.finish(snapshot.digest)


def _decompress(chunk: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(chunk, _MAX_CHUNK_BYTES)
    except zlib.error as error:
        raise InvalidSnapshotError(str(error)) from error
    if not decompressor.eof:
        raise InvalidSnapshotError("snapshot chunk is truncated or too large")
    return raw


def _put_entry(
    state: states.State, kind: str, name: str, generation: int, body: bytes
) -> None:
    resource_kind = resources.Kind(kind)
    decoded_body = resource_codec.decode_body(
        resource_kind, msgpack.unpackb(body)
    ).unwrap_or_raise(InvalidSnapshotError)
    entry = entries_lib.Entry.from_body(generation, decoded_body)
    state.entries.put((resource_kind, name), entry)


def _encode_history_item(item: histories.HistoryItem) -> list[Any]:
    verdict = item.verdict
    return [
        _HISTORY,
        verdict.operation_id,
        verdict.offset,
        verdict.outcome.value,
        verdict.detail,
        item.actor,
        item.wall_ms,
        item.verb.value,
        item.kind,
        item.name,
        item.generation_before,
        item.before_packed,
        item.after_packed,
        item.change_digest,
    ]


def _decode_history_item(fields: list[Any]) -> histories.HistoryItem:
    operation_id, offset, outcome, detail, actor, wall_ms, verb, *rest = fields
    verdict = verdicts.Verdict(
        operation_id, offset, verdicts.Outcome(outcome), detail
    )
    return histories.HistoryItem(
        verdict, actor, wall_ms, records.Verb(verb), *rest
    )
