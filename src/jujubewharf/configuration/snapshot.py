"""A whole state as bytes, for checkpoints on the log and for peers.

The bytes are a run of msgpack items in one canonical order, so that two
states are the same if and only if their digests are. They are cut into
chunks and compressed one by one: neither writing nor reading ever holds a
second copy of the state, and the loop gets its turn between chunks.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
from typing import Any
import zlib

import msgpack
import xxhash

from jujubewharf.configuration import border
from jujubewharf.configuration import entries as entries_lib
from jujubewharf.configuration import history as histories
from jujubewharf.configuration import records
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from jujubewharf.configuration import verdicts
from jujubewharf.platform import log

FORMAT = 1
CHUNK_BYTES = 65_536

# One item may be as large as a record, and a chunk ends after the item that
# fills it. Anything past that is no chunk of ours but a decompression bomb.
_MAX_CHUNK_BYTES = 2 * CHUNK_BYTES + 3 * records.MAX_RECORD_BYTES

_HEADER = 0
_ENTRY = 1
_UNKNOWN = 2
_HISTORY = 3


class BrokenSnapshotError(Exception):
    """The bytes are not a whole snapshot that this version can read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A state's bytes.

    Attributes:
        next_offset: Offset of the next record to fold on it.
        digest: Digest of the uncompressed bytes.
        chunks: The bytes, each chunk compressed on its own.
    """

    next_offset: int
    digest: str
    chunks: tuple[bytes, ...]


class Encoder:
    """Encodes a state as it is at this moment, chunk by chunk.

    The state may fold on between chunks: entries and items never change, so
    references to them are enough of a copy.

    Args:
        state: The state.
        next_offset: Offset to continue from, if not the state's own.
    """

    def __init__(
        self, state: states.State, *, next_offset: int | None = None
    ) -> None:
        if next_offset is None:
            next_offset = state.next_offset
        self.next_offset = next_offset
        self._header = [_HEADER, FORMAT, next_offset, state.rules_version]
        self._entries = list(state.entries)
        self._unknown = list(state.unknown)
        self._history = list(state.history)
        self._hash = xxhash.xxh3_128()

    @property
    def digest(self) -> str:
        """Digest of the bytes, once all chunks were made."""
        return self._hash.hexdigest()

    def raw_chunks(self) -> Iterator[bytes]:
        """The bytes, uncompressed, in chunks."""
        gathered = bytearray()
        for item in self._items():
            gathered += msgpack.packb(item)
            if len(gathered) >= CHUNK_BYTES:
                self._hash.update(gathered)
                yield bytes(gathered)
                gathered.clear()
        self._hash.update(gathered)
        yield bytes(gathered)

    def chunks(self) -> Iterator[bytes]:
        """The bytes in compressed chunks."""
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
            yield _history_item(item)


def digest(state: states.State) -> str:
    """Digest of a state; equal for equal states only."""
    encoder = Encoder(state)
    for _ in encoder.raw_chunks():
        pass
    return encoder.digest


def encode(state: states.State) -> Snapshot:
    """Encodes a state at once."""
    encoder = Encoder(state)
    chunks = tuple(encoder.chunks())
    return Snapshot(encoder.next_offset, encoder.digest, chunks)


class Decoder:
    """Reads a snapshot chunk by chunk.

    Args:
        newest_rules: Newest version of the rules that this program has.
    """

    def __init__(self, *, newest_rules: int) -> None:
        self._newest_rules = newest_rules
        self._state: states.State | None = None
        self._hash = xxhash.xxh3_128()

    def feed(self, chunk: bytes) -> None:
        """Takes in the next chunk.

        Raises:
            BrokenSnapshotError: It can't be read.
        """
        raw = _decompress(chunk)
        self._hash.update(raw)
        unpacker = msgpack.Unpacker(max_buffer_size=_MAX_CHUNK_BYTES)
        unpacker.feed(raw)
        try:
            for item in unpacker:
                self._take_in(item)
        except (ValueError, TypeError, KeyError, IndexError) as error:
            raise BrokenSnapshotError(str(error)) from error

    def finish(self, expected_digest: str) -> states.State:
        """The state, once all chunks were fed.

        Raises:
            BrokenSnapshotError: Chunks are missing or damaged.
        """
        if self._state is None or self._hash.hexdigest() != expected_digest:
            raise BrokenSnapshotError("the digest does not match")
        return self._state

    def _take_in(self, item: list[Any]) -> None:
        if item[0] == _HEADER:
            self._state = self._begin(item)
            return
        if self._state is None:
            raise BrokenSnapshotError("the header is missing")
        match item:
            case [_, kind, name, generation, body] if item[0] == _ENTRY:
                _put(self._state, kind, name, generation, body)
            case [_, offset, payload] if item[0] == _UNKNOWN:
                self._state.unknown.append(log.LogRecord(offset, payload))
            case [_, *fields] if item[0] == _HISTORY:
                self._state.history.add(_to_history(fields))
            case _:
                raise BrokenSnapshotError(f"item {item[0]}")

    def _begin(self, item: list[Any]) -> states.State:
        _, version, next_offset, rules_version = item
        if version != FORMAT:
            raise BrokenSnapshotError(f"format {version}")
        if rules_version > self._newest_rules:
            raise BrokenSnapshotError(f"rules {rules_version}")
        state = states.State(newest_rules=self._newest_rules)
        state.next_offset = next_offset
        state.rules_version = rules_version
        return state


def decode(snapshot: Snapshot, *, newest_rules: int) -> states.State:
    """Reads a whole snapshot at once.

    Raises:
        BrokenSnapshotError: It is damaged or from a newer version.
    """
    decoder = Decoder(newest_rules=newest_rules)
    for chunk in snapshot.chunks:
        decoder.feed(chunk)
    return decoder.finish(snapshot.digest)


def _decompress(chunk: bytes) -> bytes:
    inflater = zlib.decompressobj()
    try:
        raw = inflater.decompress(chunk, _MAX_CHUNK_BYTES)
    except zlib.error as error:
        raise BrokenSnapshotError(str(error)) from error
    if not inflater.eof:
        raise BrokenSnapshotError("the chunk is cut short or too large")
    return raw


def _put(
    state: states.State, kind: str, name: str, generation: int, body: bytes
) -> None:
    known = resources.Kind(kind)
    reading = border.read(known, msgpack.unpackb(body)).unwrap_or_raise(
        BrokenSnapshotError
    )
    entry = entries_lib.Entry.from_reading(generation, reading)
    state.entries.put((known, name), entry)


def _history_item(item: histories.HistoryItem) -> list[Any]:
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


def _to_history(fields: list[Any]) -> histories.HistoryItem:
    operation_id, offset, outcome, detail, actor, wall_ms, verb, *rest = fields
    verdict = verdicts.Verdict(
        operation_id, offset, verdicts.Outcome(outcome), detail
    )
    return histories.HistoryItem(
        verdict, actor, wall_ms, records.Verb(verb), *rest
    )
