"""What endpoints have said in their answers of the work that they want.

An answer can name a rate limit, say that its endpoint leaves, or ask the
instance that it goes to to stay away for a while.
"""

from __future__ import annotations

import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import notices
from jujubewharf.forwarding import decisions


@dataclasses.dataclass(slots=True)
class Restraint:
    """What one endpoint wants.

    Attributes:
        rate_limit_per_s: Requests a second that it takes from all instances
            together; ``None`` for any number.
        limit_heard_ms: When that was heard last.
        is_leaving: Whether it takes no new work any more.
        away_until_ms: Until when it wants no request of this instance.
    """

    rate_limit_per_s: float | None = None
    limit_heard_ms: float = 0.0
    is_leaving: bool = False
    away_until_ms: float = 0.0


class Restraints:
    """Learns what endpoints want.

    Args:
        clock: Time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._by_name: dict[str, Restraint] = {}

    def heard(
        self, endpoint: resources.Endpoint, notice: notices.Notice
    ) -> None:
        """Learns what an answer to this instance says."""
        known = self._by_name.get(endpoint.name, Restraint())
        now_ms = self._clock.now_ms()
        limit = known.rate_limit_per_s
        heard_ms = known.limit_heard_ms
        if notice.rate_limit_per_s is not None:
            limit = notice.rate_limit_per_s
            heard_ms = now_ms
        elif notice.ends_limit and notice.asked_ms > heard_ms:
            # The answer to an earlier request may be from before the limit.
            limit = None
        away_until_ms = known.away_until_ms
        if notice.stay_away_ms > 0.0:
            away_until_ms = max(away_until_ms, now_ms + notice.stay_away_ms)
        now = Restraint(
            limit,
            heard_ms,
            known.is_leaving or notice.is_leaving,
            away_until_ms,
        )
        if now == Restraint() and endpoint.name not in self._by_name:
            return
        self._by_name[endpoint.name] = now
        if _differs(known, now):
            decisions.endpoint_said(
                endpoint.name,
                rate_limit_per_s=now.rate_limit_per_s,
                is_leaving=now.is_leaving,
                stay_away_ms=notice.stay_away_ms,
                told_by="answer",
            )


def _differs(known: Restraint, now: Restraint) -> bool:
    return (
        known.rate_limit_per_s != now.rate_limit_per_s
        or known.is_leaving != now.is_leaving
        or known.away_until_ms != now.away_until_ms
    )
