"""Messages that replicate configuration between instances; from 60."""

from __future__ import annotations

import dataclasses

from jujubewharf.peers import messages


@dataclasses.dataclass(frozen=True, slots=True)
class WireRecord:
    """A record of the configuration log."""

    offset: int
    payload: bytes


@messages.message(60)
@dataclasses.dataclass(frozen=True, slots=True)
class RecordsRequest(messages.Message):
    """Requests recently applied records of the log.

    Attributes:
        from_offset: Offset of the first record wanted.
        limit: Maximum number of records.
    """

    from_offset: int
    limit: int


@messages.message(61)
@dataclasses.dataclass(frozen=True, slots=True)
class RecordsReply(messages.Message):
    """Reply to ``RecordsRequest``.

    Attributes:
        next_offset: Offset of the next record that the sender will apply. If
            it is past ``from_offset`` and ``records`` is empty, the requester
            needs a snapshot.
        records: Records starting at ``from_offset``.
        is_caught_up: Whether the sender has reached the end of the log, by
            itself or by records from an instance that had.
    """

    next_offset: int
    records: tuple[WireRecord, ...] = ()
    is_caught_up: bool = False


@messages.message(62)
@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRequest(messages.Message):
    """Requests a snapshot of the state beyond the given offset."""

    above_offset: int


@messages.message(63)
@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotOffer(messages.Message):
    """Reply to ``SnapshotRequest``.

    Attributes:
        next_offset: End offset of the snapshot, or of the sender's state if
            it offers none.
        digest: Identifies the snapshot; empty if the sender has none beyond
            the requested offset.
        chunk_count: Number of chunks of the snapshot.
    """

    next_offset: int
    digest: str = ""
    chunk_count: int = 0


@messages.message(64)
@dataclasses.dataclass(frozen=True, slots=True)
class ChunkRequest(messages.Message):
    """Requests one chunk of an offered snapshot."""

    digest: str
    index: int


@messages.message(65)
@dataclasses.dataclass(frozen=True, slots=True)
class ChunkReply(messages.Message):
    """Reply to ``ChunkRequest``; empty if the snapshot was discarded."""

    data: bytes = b""
