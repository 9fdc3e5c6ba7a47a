"""Endpoints of one plain service, and the calls that were granted there."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses

from jujubewharf.configuration import resources
from jujubewharf.plain_calls import decisions
from jujubewharf.plain_calls import endpoint_grants
from jujubewharf.plain_calls import local_choice
from jujubewharf.plain_calls import service_times

# Endpoints whose expected durations differ by less than this share count as
# equal; the domain then decides.
_EQUAL_SHARE = 0.1

Endpoints = Sequence[endpoint_grants.EndpointGrants]


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Limit and calls of one endpoint.

    Attributes:
        endpoint: The endpoint.
        limit: Maximum number of concurrent calls.
        granted: Granted calls that were not released.
        foreign: Estimated number of calls that no permit counts.
    """

    endpoint: resources.Endpoint
    limit: float
    granted: int
    foreign: int


class EndpointGroup:
    """Chooses endpoints of one service, and counts granted calls.

    Args:
        times: Observed times of calls at the endpoints.
        report_max_age_ms: Age from which reports of endpoints are ignored.
    """

    def __init__(
        self, times: service_times.ServiceTimes, *, report_max_age_ms: float
    ) -> None:
        self._times = times
        self._report_max_age_ms = report_max_age_ms
        # Endpoints that accept work, and all that have granted calls.
        self._open: dict[str, endpoint_grants.EndpointGrants] = {}
        self._known: dict[str, endpoint_grants.EndpointGrants] = {}
        self._endpoint_of: dict[int, endpoint_grants.EndpointGrants] = {}
        self._grant_count = 0

    @property
    def in_flight(self) -> int:
        """Number of granted calls that were not released."""
        return len(self._endpoint_of)

    def loads(self, now_ms: float) -> list[Load]:
        """Returns limit and calls of each endpoint that accepts work."""
        return [
            Load(
                known.endpoint,
                known.capacity.limit,
                len(known),
                known.capacity.foreign(now_ms),
            )
            for known in self._open.values()
        ]

    def is_granted(self, number: int) -> bool:
        """Whether a call was granted and not released."""
        return number in self._endpoint_of

    def get(self, endpoint: str) -> endpoint_grants.EndpointGrants | None:
        """Returns an endpoint that accepts work or has granted calls."""
        return self._known.get(endpoint)

    def set_endpoints(self, endpoints: Sequence[resources.Endpoint]) -> None:
        """Replaces the endpoints that accept work."""
        self._open = {}
        for endpoint in endpoints:
            known = self._known.get(endpoint.name)
            if known is None:
                known = endpoint_grants.EndpointGrants(
                    endpoint, max_age_ms=self._report_max_age_ms
                )
                self._known[endpoint.name] = known
            known.endpoint = endpoint
            self._open[endpoint.name] = known
        for name, known in list(self._known.items()):
            if name not in self._open and not len(known):
                del self._known[name]
        self._times.retain(self._known)

    def accepting(self, excluded: Collection[str] = ()) -> Endpoints:
        """Returns the endpoints that accept work, without excluded ones."""
        if not excluded:
            return list(self._open.values())
        return [e for e in self._open.values() if e.name not in excluded]

    def record_report(
        self, endpoint: str, *, total: int, slots: int, received_ms: float
    ) -> None:
        """Records the load that an endpoint reported at some time."""
        known = self._known.get(endpoint)
        if known is None:
            return
        known.capacity.set_slots(slots)
        known.capacity.on_report(total, len(known), received_ms)
        ended = known.ended_orphans(
            total, received_ms, min_age_ms=self._times.high_ms(endpoint)
        )
        for number in ended:
            self.pop_grant(number)

    def add_grant(
        self,
        endpoint: endpoint_grants.EndpointGrants,
        number: int,
        now_ms: float,
        *,
        deadline_ms: float,
    ) -> None:
        """Counts a granted call until its release."""
        self._grant_count += 1
        endpoint.last_grant = self._grant_count
        endpoint.add(endpoint_grants.Grant(number, now_ms, deadline_ms))
        self._endpoint_of[number] = endpoint

    def release(
        self,
        number: int,
        now_ms: float,
        *,
        outcome: decisions.Outcome,
    ) -> bool:
        """Stops counting a call and learns from how it ended.

        Returns:
            Whether it was counted.
        """
        endpoint = self._endpoint_of.get(number)
        grant = self.pop_grant(number)
        if endpoint is None or grant is None:
            return False
        match outcome:
            case decisions.Outcome.COMPLETED:
                endpoint.record_answer()
                endpoint.capacity.on_completed()
                self._times.record(
                    endpoint.name,
                    now_ms - grant.granted_ms,
                    slowdown=self._times.slowdown(endpoint.name),
                )
            case decisions.Outcome.STREAMED | decisions.Outcome.ERROR:
                endpoint.record_answer()
                endpoint.capacity.on_completed()
            case decisions.Outcome.FULL:
                endpoint.capacity.on_rejected_as_full()
            case decisions.Outcome.FAILED:
                endpoint.record_failure(now_ms)
        return True

    def pop_grant(self, number: int) -> endpoint_grants.Grant | None:
        """Stops counting a granted call."""
        endpoint = self._endpoint_of.pop(number, None)
        if endpoint is None:
            return None
        grant = endpoint.pop(number)
        if endpoint.name not in self._open and not len(endpoint):
            self._known.pop(endpoint.name, None)
        return grant

    def drop_expired(self, number: int, now_ms: float) -> None:
        """Stops counting a granted call whose deadline has passed."""
        endpoint = self._endpoint_of.get(number)
        grant = None if endpoint is None else endpoint.get(number)
        if grant is not None and grant.deadline_ms <= now_ms:
            self.pop_grant(number)

    def orphan(self, numbers: Collection[int]) -> None:
        """Marks granted calls whose instance can't release them any more."""
        for number in numbers:
            endpoint = self._endpoint_of.get(number)
            grant = None if endpoint is None else endpoint.get(number)
            if grant is not None:
                grant.is_orphaned = True

    def has_room(
        self, endpoint: endpoint_grants.EndpointGrants, now_ms: float
    ) -> bool:
        """Whether a call may be sent to an endpoint now.

        Endpoints whose last calls failed are used if no other is left.
        """
        if not endpoint.has_room(now_ms):
            return False
        return not endpoint.is_paused(now_ms) or all(
            other.is_paused(now_ms) for other in self._open.values()
        )

    def paused_until_ms(self, endpoint: str) -> float:
        """Returns when the pause of an endpoint ends."""
        known = self._known.get(endpoint)
        return 0.0 if known is None else known.paused_until_ms

    def endpoint_of(self, number: int) -> str | None:
        """Returns the endpoint of a granted call."""
        endpoint = self._endpoint_of.get(number)
        return None if endpoint is None else endpoint.name

    def best_with_room(
        self,
        accepting: Endpoints,
        call: decisions.WaitingCall,
        now_ms: float,
        *,
        must_be_in_time: bool,
    ) -> endpoint_grants.EndpointGrants | None:
        """Returns the endpoint with room where the call ends first.

        Args:
            accepting: Endpoints that accept the call.
            call: The call.
            now_ms: Current clock reading.
            must_be_in_time: Whether endpoints are left out where it would end
                late.
        """
        usable: list[tuple[float, endpoint_grants.EndpointGrants]] = []
        for endpoint in accepting:
            if not self.has_room(endpoint, now_ms):
                continue
            high_ms = self._times.high_ms(endpoint.name)
            if must_be_in_time and now_ms + high_ms > call.due_ms:
                continue
            duration_ms = self.expected_duration_ms(endpoint, now_ms)
            usable.append((duration_ms, endpoint))
        if not usable:
            return None
        equal_ms = min(took for took, _ in usable) * (1.0 + _EQUAL_SHARE)
        equal = [endpoint for took, endpoint in usable if took <= equal_ms]
        return min(
            equal,
            key=lambda e: (
                e.endpoint.domain != call.domain,
                e.in_flight(now_ms) / e.capacity.slots,
                e.last_grant,
            ),
        )

    def expected_duration_ms(
        self, endpoint: endpoint_grants.EndpointGrants, now_ms: float
    ) -> float:
        """Returns the expected duration of one more call at an endpoint."""
        return local_choice.expected_duration_ms(
            endpoint.in_flight(now_ms),
            endpoint.capacity.slots,
            self._times.median_ms(endpoint.name),
        )

    def min_high_ms(self, endpoints: Endpoints) -> float:
        """Returns the time within which nearly all calls end at the fastest."""
        return min(
            (self._times.high_ms(e.name) for e in endpoints), default=0.0
        )

    def served_per_ms(self, endpoints: Endpoints, now_ms: float) -> float:
        """Returns the rate at which some endpoints serve calls."""
        per_ms = 0.0
        for endpoint in endpoints:
            capacity = endpoint.capacity
            calls = min(capacity.limit, float(capacity.slots))
            calls = max(1.0, calls - capacity.foreign(now_ms))
            per_ms += calls / self._times.median_ms(endpoint.name)
        return per_ms
