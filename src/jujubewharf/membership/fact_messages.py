"""Messages that carry facts between instances; numbers 10 to 12."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from jujubewharf.peers import messages


class WireFact(NamedTuple):
    """A fact on the wire; a tuple, for its names would double its size.

    Attributes:
        topic: See ``facts.Fact``.
        subject: See ``facts.Fact``.
        version: See ``facts.Fact``.
        value: See ``facts.Fact``.
        left_ms: Rest of its life. No instant, for clocks differ.
    """

    topic: str
    subject: str
    version: int
    value: str
    left_ms: int


@messages.message(10)
@dataclasses.dataclass(frozen=True, slots=True)
class FactsPush(messages.Message):
    """Facts that are news to the sender or that the receiver asked for."""

    facts: tuple[WireFact, ...]


@messages.message(11)
@dataclasses.dataclass(frozen=True, slots=True)
class FactsKnown(messages.Message):
    """Asks for the facts that differ.

    Attributes:
        from_key: Lowest key hash that the sender compares.
        to_key: Highest one.
        known: Key hash and content hash of each of its facts between them.
    """

    from_key: int
    to_key: int
    known: tuple[tuple[int, int], ...]


@messages.message(12)
@dataclasses.dataclass(frozen=True, slots=True)
class FactsMissing(messages.Message):
    """Answers ``FactsKnown``.

    Attributes:
        facts: Facts that the asker lacks or has otherwise.
        wanted: Key hashes of facts that the answerer lacks or has otherwise.
    """

    facts: tuple[WireFact, ...] = ()
    wanted: tuple[int, ...] = ()
