"""Rendezvous hashing, by which all instances agree on the owner of a key."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Orders candidates for a key by rendezvous hashing, best first.

    When a candidate leaves, only the keys that it owned move (highest random
    weight hashing, Thaler and Ravishankar 1998).
    """
    return sorted(
        candidates,
        key=lambda name: (
            xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode()),
            name,
        ),
        reverse=True,
    )


def digest(data: bytes) -> str:
    """Returns a short digest to compare request bodies and answers."""
    return xxhash.xxh3_128_hexdigest(data)
