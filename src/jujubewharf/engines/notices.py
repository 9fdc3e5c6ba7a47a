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
        stay_away_ms: Time for which it wants no request of the instance that
            is answered; 0 for none.
    """

    asked_ms: float
    rate_limit_per_s: float | None = None
    ends_limit: bool = False
    is_leaving: bool = False
    stay_away_ms: float = 0.0


Listener = Callable[[resources.Endpoint, Notice], None]


def nobody_listens(endpoint: resources.Endpoint, notice: Notice) -> None:
    """Stands in where nobody wants to know."""
