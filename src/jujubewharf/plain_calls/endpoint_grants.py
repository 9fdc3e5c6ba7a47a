"""Granted calls of one endpoint."""

from __future__ import annotations

import dataclasses

from jujubewharf.configuration import resources
from jujubewharf.plain_calls import capacity as capacities

# Pause of an endpoint after calls that failed without any success between
# them, doubled with each. An unreachable endpoint ends calls at once and would
# otherwise get all of them.
_FIRST_PAUSE_MS = 20.0
_MAX_PAUSE_MS = 2_000.0


@dataclasses.dataclass(slots=True)
class Grant:
    """A granted call.

    Attributes:
        number: Number of the call.
        granted_ms: Clock reading when it was granted.
        deadline_ms: Clock reading from which it is no longer counted.
        is_orphaned: Whether its instance can't release it any more.
    """

    number: int
    granted_ms: float
    deadline_ms: float
    is_orphaned: bool = False


class EndpointGrants:
    """Granted calls and concurrency limit of one endpoint.

    Args:
        endpoint: The endpoint.
        max_age_ms: Age from which its reports are ignored.

    Attributes:
        endpoint: The endpoint.
        capacity: Its concurrency limit.
        last_grant: Number of the last grant, to use equal endpoints in turn.
        paused_until_ms: Until when it gets no calls after failed ones.
    """

    def __init__(
        self, endpoint: resources.Endpoint, *, max_age_ms: float
    ) -> None:
        self.endpoint = endpoint
        self.capacity = capacities.EndpointCapacity(
            endpoint.slots, max_age_ms=max_age_ms
        )
        self.last_grant = 0
        self.paused_until_ms = 0.0
        self._failures = 0
        self._grants: dict[int, Grant] = {}

    @property
    def name(self) -> str:
        """Name of the endpoint."""
        return self.endpoint.name

    def __len__(self) -> int:
        return len(self._grants)

    def has_room(self, now_ms: float) -> bool:
        """Whether one more call may be sent there."""
        if all(grant.is_orphaned for grant in self._grants.values()):
            # Without any call there is no answer whose report corrects what
            # is known of the others.
            return True
        return self.capacity.has_room(len(self._grants), now_ms)

    def is_paused(self, now_ms: float) -> bool:
        """Whether it gets no calls because the last ones failed."""
        return now_ms < self.paused_until_ms

    def record_answer(self) -> None:
        """Records that the endpoint has answered a call."""
        self._failures = 0
        self.paused_until_ms = 0.0

    def record_failure(self, now_ms: float) -> None:
        """Records that a call got no answer."""
        pause_ms = min(_MAX_PAUSE_MS, _FIRST_PAUSE_MS * 2.0**self._failures)
        self._failures = min(self._failures + 1, 16)
        self.paused_until_ms = now_ms + pause_ms

    def in_flight(self, now_ms: float) -> int:
        """Returns the number of calls there, with those of others."""
        return len(self._grants) + self.capacity.foreign(now_ms)

    def add(self, grant: Grant) -> None:
        """Counts a granted call."""
        self._grants[grant.number] = grant

    def pop(self, number: int) -> Grant | None:
        """Stops counting a granted call."""
        return self._grants.pop(number, None)

    def get(self, number: int) -> Grant | None:
        """Returns a granted call."""
        return self._grants.get(number)

    def ended_orphans(
        self, total: int, received_ms: float, *, min_age_ms: float
    ) -> list[int]:
        """Returns orphaned calls that a report shows to have ended.

        Args:
            total: Calls that run or wait at the endpoint.
            received_ms: Clock reading when the report was received.
            min_age_ms: Age from which a call has ended most likely.
        """
        excess = len(self._grants) - total
        if excess <= 0:
            return []
        newest_ms = received_ms - min_age_ms
        orphans = [
            grant
            for grant in self._grants.values()
            if grant.is_orphaned and grant.granted_ms <= newest_ms
        ]
        orphans.sort(key=lambda grant: grant.granted_ms)
        return [grant.number for grant in orphans[:excess]]
