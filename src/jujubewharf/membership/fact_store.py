"""In-memory store of facts: the newest version of each until it expires."""

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
    """Topics known to this version; facts on other topics are forwarded too.

    ``MEMBER``: an instance is running; ``MEMBER_LEAVING``: an instance is
    draining; ``SUSPICION``: one instance suspects another of having failed;
    ``ENDPOINT_LEAVING``: an endpoint is draining and gets no new requests;
    ``CONFIGURATION_OFFSET``: offset up to which some instance has read the
    configuration log.
    """

    MEMBER = "m"
    MEMBER_LEAVING = "ml"
    SUSPICION = "s"
    ENDPOINT_LEAVING = "el"
    CONFIGURATION_OFFSET = "co"


@dataclasses.dataclass(frozen=True, slots=True)
class Fact:
    """A small piece of state that is replicated to all instances.

    The highest version wins. Of two values with the same version the greater
    one wins, so that all instances converge.

    Attributes:
        topic: Kind of fact; see ``Topic``.
        subject: Identifies the fact within its topic.
        version: Raised by the publisher with each change or renewal.
        value: Content, at most ``MAX_TEXT_LENGTH`` characters.
        expires_ms: Time of expiry on this instance's clock, in ms.
    """

    topic: str
    subject: str
    version: int
    value: str
    expires_ms: float

    @property
    def key(self) -> _Key:
        """Topic and subject, which identify the fact."""
        return self.topic, self.subject

    @property
    def key_hash(self) -> int:
        """Hash of the key, used to compare stores."""
        return xxhash.xxh32_intdigest(f"{self.topic}\0{self.subject}".encode())

    @property
    def content_hash(self) -> int:
        """Hash of key, version and value, used to compare stores."""
        content = "\0".join(
            (self.topic, self.subject, str(self.version), self.value)
        )
        return xxhash.xxh32_intdigest(content.encode())

    @property
    def order(self) -> tuple[int, str]:
        """Sort key of versions of one fact; the greater one wins."""
        return self.version, self.value


class FactStore:
    """Stores facts, bounded in number and size.

    Args:
        clock: Source of time.

    Attributes:
        digest: XOR of all content hashes; equal in two stores that hold the
            same facts.
        refused: Number of facts rejected because they were too large or the
            store was full.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.digest = 0
        self.refused = 0
        self._clock = clock
        self._facts: dict[_Key, Fact] = {}
        self._by_topic: dict[str, dict[str, Fact]] = {}
        self._expiries: list[tuple[float, _Key]] = []

    def __len__(self) -> int:
        return len(self._facts)

    def __iter__(self) -> Iterator[Fact]:
        return iter(tuple(self._facts.values()))

    def get(self, topic: str, subject: str) -> Fact | None:
        """Returns a fact, or ``None`` if it is unknown or has expired."""
        fact = self._facts.get((topic, subject))
        if fact is None or fact.expires_ms <= self._clock.now_ms():
            return None
        return fact

    def by_topic(self, topic: str) -> tuple[Fact, ...]:
        """Returns the unexpired facts on a topic, sorted by subject."""
        by_subject = self._by_topic.get(topic, {})
        now_ms = self._clock.now_ms()
        unexpired = (f for f in by_subject.values() if f.expires_ms > now_ms)
        return tuple(sorted(unexpired, key=lambda fact: fact.subject))

    def add(self, fact: Fact) -> bool:
        """Stores a fact if it is newer than the stored one.

        Returns:
            Whether the fact was stored.
        """
        stored = self._facts.get(fact.key)
        if stored is not None and stored.order >= fact.order:
            return False
        if stored is None and len(self._facts) >= MAX_FACTS:
            self.refused += 1
            return False
        if max(len(fact.value), len(fact.subject)) > MAX_TEXT_LENGTH:
            self.refused += 1
            return False
        if stored is not None:
            self.digest ^= stored.content_hash
        self.digest ^= fact.content_hash
        self._facts[fact.key] = fact
        self._by_topic.setdefault(fact.topic, {})[fact.subject] = fact
        heapq.heappush(self._expiries, (fact.expires_ms, fact.key))
        return True

    def remove_expired(self) -> None:
        """Removes expired facts."""
        now_ms = self._clock.now_ms()
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, key = heapq.heappop(self._expiries)
            fact = self._facts.get(key)
            if fact is not None and fact.expires_ms <= now_ms:
                self.digest ^= fact.content_hash
                del self._facts[key]
                del self._by_topic[fact.topic][fact.subject]

    def to_wire(self, fact: Fact) -> fact_messages.WireFact:
        """Converts a fact for the wire, with its remaining time to live."""
        ttl_ms = max(0, int(fact.expires_ms - self._clock.now_ms()))
        return fact_messages.WireFact(
            fact.topic, fact.subject, fact.version, fact.value, ttl_ms
        )

    def from_wire(self, wire: fact_messages.WireFact) -> Fact:
        """Converts a received fact, with its expiry on the local clock."""
        ttl_ms = min(wire.ttl_ms, MAX_TTL_MS)
        expires_ms = self._clock.now_ms() + ttl_ms
        return Fact(
            wire.topic, wire.subject, wire.version, wire.value, expires_ms
        )
