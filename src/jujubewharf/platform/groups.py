"""Group membership: which instance is assigned which partitions."""

from __future__ import annotations

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class GroupAssignment:
    """Partitions assigned to one member.

    Attributes:
        generation: 1 for the first assignment of a new group. Increases
            whenever partitions are reassigned, also across a restore of the
            store: its epoch is in the upper bits, see ``epochs``.
        parts: Partitions assigned to this member.
    """

    generation: int
    parts: frozenset[int]


class Group(Protocol):
    """A group of instances among which partitions are evenly assigned.

    A partition moves to another member only after its holder has acknowledged
    the new generation or has been silent for the group's time to live. Calls
    raise ``log.LogUnavailableError``.
    """

    @property
    def part_count(self) -> int:
        """Number of partitions to assign."""
        ...

    @property
    def ttl_ms(self) -> float:
        """Silence in milliseconds after which partitions are reassigned."""
        ...

    async def join(self, generation: int) -> GroupAssignment:
        """Joins the group or renews membership.

        Args:
            generation: Last generation that this member has received, which
                it thereby acknowledges; one of an earlier epoch acknowledges
                nothing.

        Returns:
            The current assignment of this member.
        """
        ...

    async def contacts(self) -> dict[int, str]:
        """Returns the contact address of the holder of each partition."""
        ...

    async def evict(self, contact: str) -> None:
        """Removes a member that is known to be gone.

        Args:
            contact: Contact address of the member.
        """
        ...

    async def leave(self) -> None:
        """Leaves the group, which frees all partitions of this member."""
        ...
