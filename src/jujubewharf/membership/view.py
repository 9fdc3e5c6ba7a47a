"""What other packages need of membership."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An entry instance that is on the list or is heard from.

    Attributes:
        instance: Its name.
        address: ``IP:PORT`` of its peer link.
        domain: Failure domain.
        is_leaving: Whether it has said or the list says that it leaves.
    """

    instance: str
    address: str
    domain: str
    is_leaving: bool = False


class MembershipView(Protocol):
    """Who is here, as far as this instance knows.

    Suspicion changes where work and roles go, never what is safe.
    """

    @property
    def myself(self) -> Member:
        """This instance."""
        ...

    def members(self) -> tuple[Member, ...]:
        """All members by name, this instance and suspected ones included."""
        ...

    def is_suspected(self, instance: str) -> bool:
        """Whether a member has not been heard from for a while."""
        ...

    def present(self) -> tuple[Member, ...]:
        """Members neither suspected nor leaving, by name; for owner choice."""
        ...

    def listen(self, listener: Callable[[], None]) -> None:
        """Calls back whenever any of the above may have changed."""
        ...
