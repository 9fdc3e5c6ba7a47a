"""Groups on the platform: which instance holds which part of some work."""

from __future__ import annotations

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class GroupShare:
    """What one member holds.

    Attributes:
        generation: Grows whenever the parts are dealt anew.
        parts: Parts that this member holds.
    """

    generation: int
    parts: frozenset[int]


class Group(Protocol):
    """The group of all instances of a deployment.

    Its parts are dealt evenly to its members; a part is dealt to another
    member only after this one has taken note or has been silent for the
    group's time to live. Calls raise ``log.LogUnavailableError``.
    """

    @property
    def part_count(self) -> int:
        """Parts that are dealt."""
        ...

    @property
    def ttl_ms(self) -> float:
        """Silence after which a member's parts are dealt to others."""
        ...

    async def join(self, generation: int) -> GroupShare:
        """Joins, or stays; tells the last generation that was received."""
        ...

    async def contacts(self) -> dict[int, str]:
        """What the holder of each part told as its contact."""
        ...

    async def evict(self, contact: str) -> None:
        """Takes a member out that told this contact and is surely gone."""
        ...

    async def leave(self) -> None:
        """Gives all parts back."""
        ...
