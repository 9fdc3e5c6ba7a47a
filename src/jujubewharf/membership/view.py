"""Membership interface used by other packages."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An entry instance that is on the live list or reachable by links.

    Attributes:
        instance: Name of the instance.
        address: ``IP:PORT`` on which the instance accepts peer links.
        domain: Failure domain.
        is_leaving: Whether the instance is draining, as announced by itself
            or by the live list.
    """

    instance: str
    address: str
    domain: str
    is_leaving: bool = False


class MembershipView(Protocol):
    """Members as known to this instance.

    Suspicion only influences where work and roles are placed. Correctness
    must not depend on it.
    """

    @property
    def local_member(self) -> Member:
        """This instance."""
        ...

    def members(self) -> tuple[Member, ...]:
        """Returns all members by name, including itself and suspected ones."""
        ...

    def is_suspected(self, instance: str) -> bool:
        """Whether a member is suspected of having failed."""
        ...

    def present(self) -> tuple[Member, ...]:
        """Returns members that may own keys and roles, sorted by name.

        These are neither suspected nor leaving.
        """
        ...

    def listen(self, listener: Callable[[], None]) -> None:
        """Registers a callback for possible changes of the membership."""
        ...
