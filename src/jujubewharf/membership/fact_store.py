"""Facts of one instance: the newest version of each, until it expires."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import enum
import heapq
from typing import TYPE_CHECKING

import xxhash

from jujubewharf.membership import fact_messages

if TYPE_CHECKING:
    from jujubewharf import clock as clocks

MAX_FACTS = 2_000
MAX_TEXT_LENGTH = 256
MAX_TTL_MS = 3_600_000

_Key = tuple[str, str]


class Topic(enum.StrEnum):
    """Topics known to this version; facts of others are passed on as well.

    ``MEMBER``: an instance is there; ``MEMBER_LEAVING``: it leaves;
    ``SUSPICION``: one instance doesn't hear another; ``ENDPOINT_LEAVING``:
    an endpoint gets no new work; ``CONFIGURATION_OFFSET``: how far the
    configuration stream has been read by somebody.
    """

    MEMBER = "m"
    MEMBER_LEAVING = "ml"
    SUSPICION = "s"
    ENDPOINT_LEAVING = "el"
    CONFIGURATION_OFFSET = "co"


@dataclasses.dataclass(frozen=True, slots=True)
class Fact:
    """Something small that the whole fleet is to know for a while.

    Of two versions the higher wins; of two values with the same version the
    greater, so that all instances end with the same one.

    Attributes:
        topic: What kind of fact; see ``Topic``.
        subject: What it is about, unique within the topic.
        version: Raised by whoever changes or renews the fact.
        value: Its content, at most ``MAX_TEXT_LENGTH`` characters.
        expires_ms: When it is forgotten, by this instance's clock.
    """

    topic: str
    subject: str
    version: int
    value: str
    expires_ms: float

    @property
    def key(self) -> _Key:
        """What the fact is about."""
        return self.topic, self.subject

    @property
    def key_hash(self) -> int:
        """Hash of the key, for comparing stores."""
        return xxhash.xxh32_intdigest(f"{self.topic}\0{self.subject}".encode())

    @property
    def content_hash(self) -> int:
        """Hash of version and value, for comparing stores."""
        content = "\0".join(
            (self.topic, self.subject, str(self.version), self.value)
        )
        return xxhash.xxh32_intdigest(content.encode())

    @property
    def order(self) -> tuple[int, str]:
        """The greater of two wins."""
        return self.version, self.value


class FactStore:
    """Holds facts; bounded in number and size.

    Args:
        clock: Time.

    Attributes:
        digest: Equal in two stores that hold the same facts.
        refused: Facts that were refused as too large or one too many.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.digest = 0
        self.refused = 0
        self._clock = clock
        self._facts: dict[_Key, Fact] = {}
        self._of_topic: dict[str, dict[str, Fact]] = {}
        self._expiries: list[tuple[float, _Key]] = []

    def __len__(self) -> int:
        return len(self._facts)

    def __iter__(self) -> Iterator[Fact]:
        return iter(tuple(self._facts.values()))

    def get(self, topic: str, subject: str) -> Fact | None:
        """The fact, unless it expired."""
        fact = self._facts.get((topic, subject))
        if fact is None or fact.expires_ms <= self._clock.now_ms():
            return None
        return fact

    def about(self, topic: str) -> tuple[Fact, ...]:
        """All facts on a topic that have not expired, by subject."""
        of_topic = self._of_topic.get(topic, {})
        now_ms = self._clock.now_ms()
        found = (f for f in of_topic.values() if f.expires_ms > now_ms)
        return tuple(sorted(found, key=lambda fact: fact.subject))

    def add(self, fact: Fact) -> bool:
        """Takes a fact in if it is news."""
        held = self._facts.get(fact.key)
        if held is not None and held.order >= fact.order:
            return False
        if held is None and len(self._facts) >= MAX_FACTS:
            self.refused += 1
            return False
        if max(len(fact.value), len(fact.subject)) > MAX_TEXT_LENGTH:
            self.refused += 1
            return False
        if held is not None:
            self.digest ^= held.content_hash
        self.digest ^= fact.content_hash
        self._facts[fact.key] = fact
        self._of_topic.setdefault(fact.topic, {})[fact.subject] = fact
        heapq.heappush(self._expiries, (fact.expires_ms, fact.key))
        return True

    def forget_expired(self) -> None:
        """Drops what is past its life."""
        now_ms = self._clock.now_ms()
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, key = heapq.heappop(self._expiries)
            fact = self._facts.get(key)
            if fact is not None and fact.expires_ms <= now_ms:
                self.digest ^= fact.content_hash
                del self._facts[key]
                del self._of_topic[fact.topic][fact.subject]

    def to_wire(self, fact: Fact) -> fact_messages.WireFact:
        """A fact with the rest of its life."""
        left_ms = max(0, int(fact.expires_ms - self._clock.now_ms()))
        return fact_messages.WireFact(
            fact.topic, fact.subject, fact.version, fact.value, left_ms
        )

    def from_wire(self, wire: fact_messages.WireFact) -> Fact:
        """A fact with its end by this instance's clock."""
        left_ms = min(wire.left_ms, MAX_TTL_MS)
        expires_ms = self._clock.now_ms() + left_ms
        return Fact(
            wire.topic, wire.subject, wire.version, wire.value, expires_ms
        )
