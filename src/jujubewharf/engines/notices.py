"""What an answer says of the endpoint that gives it, beside the answer."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from jujubewharf.configuration import resources


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """What one answer says of its endpoint.

    Attributes:
        asked_ms: Clock reading when the request went out that it answers.
        rate_limit_per_s: Requests a second that the endpoint takes from all
            instances together; ``None`` where the answer names no limit.
        ends_limit: Whether no limit is in force where none is named. Only an
            endpoint's own whole answer says that, and not one that is made up
            on the way.
        is_leaving: Whether the endpoint leaves and takes no new work.
        backoff_ms: Time for which it wants no request of the instance that
            is answered; 0 for none.
    """

    asked_ms: float
    rate_limit_per_s: float | None = None
    ends_limit: bool = False
    is_leaving: bool = False
    backoff_ms: float = 0.0

    @property
    def restrains(self) -> bool:
        """Whether it keeps any work away."""
        has_limit = self.rate_limit_per_s is not None
        return has_limit or self.is_leaving or self.backoff_ms > 0.0


Listener = Callable[[resources.Endpoint, Notice], None]


def nobody_listens(endpoint: resources.Endpoint, notice: Notice) -> None:
    """Stands in where nobody wants to know."""


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """On which terms an endpoint takes work, from all instances alike.

    Attributes:
        endpoint: Its name.
        rate_limit_per_s: Requests a second from all instances together;
            ``None`` for any number.
        is_leaving: Whether it takes no new work any more.
    """

    endpoint: str
    rate_limit_per_s: float | None = None
    is_leaving: bool = False

    @property
    def restrains(self) -> bool:
        """Whether they keep any work away."""
        return self.rate_limit_per_s is not None or self.is_leaving

    def stricter(self, other: Terms) -> Terms:
        """Those that hold where two instances know different ones."""
        limits = [
            limit
            for limit in (self.rate_limit_per_s, other.rate_limit_per_s)
            if limit is not None
        ]
        return Terms(
            self.endpoint,
            min(limits, default=None),
            self.is_leaving or other.is_leaving,
        )
