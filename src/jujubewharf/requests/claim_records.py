"""Claims as they stand on the log, and the fold that says who holds a key."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

import msgpack

_VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """One claim.

    Attributes:
        key: Digest of account and key.
        body: Digest of the request's body.
        owner: Instance that may run it if the claim wins.
        request_id: That run.
        replaces: Abandoned run that held the key; empty for none.
        wall_ms: When the key was made, or when it was asked for.
        is_dated: Whether the key itself tells when it was made.
    """

    key: bytes
    body: bytes
    owner: str
    request_id: str
    replaces: str
    wall_ms: float
    is_dated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """What one record of the log holds.

    Attributes:
        appended_wall_ms: When it was appended, by the appender's wall clock.
        claims: In the order in which they count.
    """

    appended_wall_ms: float
    claims: tuple[ClaimRecord, ...]


def encode(batch: Batch) -> bytes:
    """A batch as bytes for the log."""
    items = [list(dataclasses.astuple(claim)) for claim in batch.claims]
    return msgpack.packb([_VERSION, batch.appended_wall_ms, items])


def decode(payload: bytes) -> Batch:
    """A batch from the log's bytes; unknown fields are left aside."""
    _, wall_ms, items = msgpack.unpackb(payload)[:3]
    count = len(dataclasses.fields(ClaimRecord))
    claims = tuple(ClaimRecord(*item[:count]) for item in items)
    return Batch(wall_ms, claims)


class Holders:
    """Who holds each key, folded from claims in log order.

    The first claim holds a key. A later one takes it only by naming the very
    run that holds it as abandoned, so that of two such claims one wins. As
    every reader folds the same order, all agree, whoever appended.

    Attributes:
        undated: Number of held keys that don't tell their age.
    """

    def __init__(self) -> None:
        self.undated = 0
        self._claims: dict[bytes, ClaimRecord] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def fold(self, claim: ClaimRecord) -> None:
        """Takes the next claim of the log."""
        held = self._claims.get(claim.key)
        if held is None or held.request_id == claim.replaces:
            self._claims[claim.key] = claim
            was_undated = held is not None and not held.is_dated
            self.undated += (not claim.is_dated) - was_undated

    def get(self, key: bytes) -> ClaimRecord | None:
        """The claim that holds a key."""
        return self._claims.get(key)

    def older_than(self, wall_ms: float) -> list[ClaimRecord]:
        """Claims asked for before a time."""
        return [c for c in self._claims.values() if c.wall_ms < wall_ms]

    def drop(self, claims: Sequence[ClaimRecord]) -> None:
        """Forgets claims whose keys are over age."""
        for claim in claims:
            if self._claims.pop(claim.key, None) is not None:
                self.undated -= not claim.is_dated
