"""Messages that exchange facts between instances; numbers 10 to 12."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from jujubewharf.peers import messages


class WireFact(NamedTuple):
    """A fact on the wire, as a tuple: field names would double its size.

    Attributes:
        topic: See ``facts.Fact``.
        subject: See ``facts.Fact``.
        version: See ``facts.Fact``.
        value: See ``facts.Fact``.
        ttl_ms: Remaining time to live. A duration rather than a timestamp,
            because the clocks of instances differ.
    """

    topic: str
    subject: str
    version: int
    value: str
    ttl_ms: int


@messages.message(10)
@dataclasses.dataclass(frozen=True, slots=True)
class FactsPush(messages.Message):
    """Pushes facts that are new to the sender or that the receiver wants."""

    facts: tuple[WireFact, ...]


@messages.message(11)
@dataclasses.dataclass(frozen=True, slots=True)
class FactsSyncRequest(messages.Message):
    """Requests the facts that differ within a range of key hashes.

    Attributes:
        from_key: Lowest key hash of the compared range.
        to_key: Highest key hash of the compared range, inclusive.
        known: Key hash and content hash of each fact that the sender holds in
            the range.
    """

    from_key: int
    to_key: int
    known: tuple[tuple[int, int], ...]


@messages.message(12)
@dataclasses.dataclass(frozen=True, slots=True)
class FactsSyncReply(messages.Message):
    """Reply to ``FactsSyncRequest``.

    Attributes:
        facts: Facts that the requester lacks or holds with other content.
        wanted: Key hashes of facts that the responder lacks or holds with
            other content.
    """

    facts: tuple[WireFact, ...] = ()
    wanted: tuple[int, ...] = ()
