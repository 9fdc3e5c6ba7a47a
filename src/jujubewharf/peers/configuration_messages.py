"""Messages that spread configuration between instances.

Numbers 60 to 79 belong to configuration.
"""

from __future__ import annotations

import dataclasses

from jujubewharf.peers import messages


@dataclasses.dataclass(frozen=True, slots=True)
class WireRecord:
    """A record as it stands on the log."""

    offset: int
    payload: bytes


@messages.message(60)
@dataclasses.dataclass(frozen=True, slots=True)
class RecordsWanted(messages.Message):
    """Asks for records that were folded lately.

    Attributes:
        from_offset: First record wanted.
        limit: Most records wanted.
    """

    from_offset: int
    limit: int


@messages.message(61)
@dataclasses.dataclass(frozen=True, slots=True)
class RecordsGiven(messages.Message):
    """Answers ``RecordsWanted``.

    Attributes:
        next_offset: Offset of the next record that the sender would fold;
            when it is past ``from_offset`` and there are no records, only a
            snapshot helps.
        records: Records from ``from_offset`` on.
        is_caught_up: Whether the sender has seen the end of the log, or has
            it from one that had.
    """

    next_offset: int
    records: tuple[WireRecord, ...] = ()
    is_caught_up: bool = False


@messages.message(62)
@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotWanted(messages.Message):
    """Asks for a whole state, if it is further than this offset."""

    above_offset: int


@messages.message(63)
@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotOffered(messages.Message):
    """Answers ``SnapshotWanted``.

    Attributes:
        next_offset: Offset that the sender's state, or the snapshot, ends at.
        digest: Names the snapshot; empty when there is none above the
            wanted offset.
        chunk_count: How many chunks it has.
    """

    next_offset: int
    digest: str = ""
    chunk_count: int = 0


@messages.message(64)
@dataclasses.dataclass(frozen=True, slots=True)
class ChunkWanted(messages.Message):
    """Asks for one chunk of an offered snapshot."""

    digest: str
    index: int


@messages.message(65)
@dataclasses.dataclass(frozen=True, slots=True)
class ChunkGiven(messages.Message):
    """Answers ``ChunkWanted``; empty when the snapshot is no longer kept."""

    data: bytes = b""
