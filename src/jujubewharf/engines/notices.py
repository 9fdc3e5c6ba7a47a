"""Status information about an endpoint that accompanies its responses."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from jujubewharf.configuration import resources
from jujubewharf.endpoint_load import reports


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """Status of an endpoint as stated by one response.

    Attributes:
        requested_ms: Clock reading when the request of this response was sent.
        rate_limit_per_s: Requests per second that the endpoint accepts from all
            instances together; ``None`` if the response states no limit.
        ends_limit: Whether the absence of a limit means that none is in force.
            True only for a complete response of the endpoint itself, not for
            one generated on the way.
        is_leaving: Whether the endpoint is leaving and accepts no new work.
        backoff_ms: Time for which the endpoint wants no requests from the
            receiving instance; 0 for none.
        load: Load of the endpoint; ``None`` if the response states none or an
            invalid one.
    """

    requested_ms: float
    rate_limit_per_s: float | None = None
    ends_limit: bool = False
    is_leaving: bool = False
    backoff_ms: float = 0.0
    load: reports.LoadReport | None = None

    @property
    def is_restrictive(self) -> bool:
        """Whether the status restricts work in any way."""
        has_limit = self.rate_limit_per_s is not None
        return has_limit or self.is_leaving or self.backoff_ms > 0.0


Listener = Callable[[resources.Endpoint, Notice], None]


def ignore_notice(endpoint: resources.Endpoint, notice: Notice) -> None:
    """Default listener; ignores the notice."""


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """Restrictions of an endpoint that apply to all instances.

    Attributes:
        endpoint: Name of the endpoint.
        rate_limit_per_s: Requests per second from all instances together;
            ``None`` for no limit.
        is_leaving: Whether the endpoint accepts no new work.
    """

    endpoint: str
    rate_limit_per_s: float | None = None
    is_leaving: bool = False

    @property
    def is_restrictive(self) -> bool:
        """Whether there is any restriction."""
        return self.rate_limit_per_s is not None or self.is_leaving

    def merge_stricter(self, other: Terms) -> Terms:
        """Merges the restrictions known to two instances; the stricter win."""
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
