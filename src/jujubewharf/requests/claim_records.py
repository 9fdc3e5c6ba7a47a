"""Claim records on the log, and the current holder of each key."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

import msgpack

from jujubewharf.requests import claim_coverage

_VERSION = 1
_PARTS_WITHOUT_COVERAGE = 3


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecord:
    """One claim.

    Attributes:
        key: Digest of account and key.
        body: Digest of the request body.
        owner: Instance that may run the request if the claim wins.
        request_id: Id of the run that the claim is for.
        replaces: Abandoned run that held the key before; empty for none.
        wall_ms: Wall-clock time in ms: creation of the key if ``is_dated``,
            else of the claim.
        is_dated: Whether the key contains its creation time.
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
    """Content of one log record.

    Attributes:
        appended_wall_ms: Wall-clock time of the append at the appending
            instance, in ms.
        claims: Claims in the order in which they apply.
        coverage: Completeness of the stream; ``None`` if not stated.
    """

    appended_wall_ms: float
    claims: tuple[ClaimRecord, ...]
    coverage: claim_coverage.Coverage | None = None


def encode(batch: Batch) -> bytes:
    """Encodes a batch for the log."""
    items = [list(dataclasses.astuple(claim)) for claim in batch.claims]
    parts: list[object] = [_VERSION, batch.appended_wall_ms, items]
    if batch.coverage is not None:
        parts.append(list(dataclasses.astuple(batch.coverage)))
    return msgpack.packb(parts)


def decode(payload: bytes) -> Batch:
    """Decodes a batch from the log; unknown fields are ignored."""
    parts = msgpack.unpackb(payload)
    _, wall_ms, items = parts[:_PARTS_WITHOUT_COVERAGE]
    count = len(dataclasses.fields(ClaimRecord))
    claims = tuple(ClaimRecord(*item[:count]) for item in items)
    coverage = None
    if len(parts) > _PARTS_WITHOUT_COVERAGE:
        epoch, since_wall_ms = parts[_PARTS_WITHOUT_COVERAGE][:2]
        coverage = claim_coverage.Coverage(epoch, since_wall_ms)
    return Batch(wall_ms, claims, coverage)


class Holders:
    """The claim that holds each key, computed from claims in log order.

    The first claim of a key wins. A later claim replaces it only if it names
    the holding run as abandoned, so one of several such claims wins. All
    readers apply the same order and get the same result.

    Attributes:
        undated: Number of held keys without a creation time.
    """

    def __init__(self) -> None:
        self.undated = 0
        self._claims: dict[bytes, ClaimRecord] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def apply(self, claim: ClaimRecord) -> None:
        """Applies the next claim of the log."""
        held = self._claims.get(claim.key)
        if held is None or held.request_id == claim.replaces:
            self._claims[claim.key] = claim
            was_undated = held is not None and not held.is_dated
            self.undated += (not claim.is_dated) - was_undated

    def get(self, key: bytes) -> ClaimRecord | None:
        """Returns the claim that holds a key."""
        return self._claims.get(key)

    def claims(self) -> list[ClaimRecord]:
        """Returns the claims of all held keys."""
        return list(self._claims.values())

    def older_than(self, wall_ms: float) -> list[ClaimRecord]:
        """Returns claims with ``wall_ms`` before the given time."""
        return [c for c in self._claims.values() if c.wall_ms < wall_ms]

    def drop(self, claims: Sequence[ClaimRecord]) -> None:
        """Removes expired claims."""
        for claim in claims:
            if self._claims.pop(claim.key, None) is not None:
                self.undated -= not claim.is_dated
