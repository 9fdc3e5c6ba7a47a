"""Enforces the rate limits of endpoints across all instances.

An instance that receives an endpoint's terms reports them to the leader, which
broadcasts them. The leader counts the requests to limited endpoints, and
followers request a permit from it before each one. Limits are a few requests
per second, so the number of messages stays small regardless of the number of
instances.

An instance without a leader can't know what the others send. It grants half of
an equal share by itself. The instances on the leader's side of a partition go
on to use the whole limit, so at most one and a half times the limit is sent.
"""

from __future__ import annotations

from collections.abc import Callable
import random

from jujubewharf import clock as clocks
from jujubewharf.engines import notices
from jujubewharf.forwarding import backpressure as all_backpressure
from jujubewharf.forwarding import limits
from jujubewharf.forwarding import state_log
from jujubewharf.leadership import fleet as fleets
from jujubewharf.peers import limit_messages

# Share of its equal share that an instance without a leader may use.
_STANDALONE_SHARE = 0.5
# Retry delay when the leader did not answer. By then its link has been closed,
# or the leader answers again.
_RETRY_DELAY_MS = 300.0


class FleetLimits:
    """Implements ``limits.Permits`` across all instances.

    Args:
        fleet: The leader of this instance, or its followers.
        backpressure: Limits and backoffs of endpoints.
        share: Returns this instance's equal share of the fleet, 0 to 1.
        clock: Clock.
        rng: Random jitter of permits without a leader.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        backpressure: all_backpressure.Backpressure,
        share: Callable[[], float],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._backpressure = backpressure
        self._share = share
        self._clock = clock
        self._rng = rng
        self._role = fleets.Role.ALONE
        self._limiter = limits.EndpointRateLimiter(rng.random)
        backpressure.on_terms_changed = self._broadcast

    async def take(self, endpoint: str) -> bool:
        """Takes a permit for one request; see ``limits.Permits``."""
        if self._backpressure.rate_limit_per_s(endpoint) is None:
            return True
        role = self._fleet.role
        if role is fleets.Role.FOLLOWING:
            wait_ms = await self._fleet.link.request_permit(endpoint)
            if wait_ms is None:
                wait_ms = _RETRY_DELAY_MS
        else:
            wait_ms = self.grant(endpoint)
        is_granted = wait_ms <= 0.0
        if not is_granted:
            self._backpressure.defer(endpoint, wait_ms)
        state_log.count_permit_request(
            is_granted=is_granted, counted_by=role.value
        )
        return is_granted

    def grant(self, endpoint: str) -> float:
        """Grants a permit from the count of this instance.

        Returns:
            0 if granted; otherwise the time in ms until a retry can succeed.
        """
        limit_per_s = self._backpressure.rate_limit_per_s(endpoint)
        if limit_per_s is None:
            return 0.0
        role = self._fleet.role
        if role is not self._role:
            self._switch_role(role)
        part = 1.0
        if role is not fleets.Role.LEADING:
            part = self._share() * _STANDALONE_SHARE
        now_ms = self._clock.now_ms()
        return self._limiter.take(endpoint, limit_per_s, now_ms, part=part)

    def _switch_role(self, role: fleets.Role) -> None:
        """Starts a new count for a new role.

        A new leader doesn't know how many requests were sent before and starts
        with empty buckets. Instances that lose their leader at the same time
        would each send one request immediately, so they start with a random
        fraction of a permit.
        """
        self._role = role
        is_leading = role is fleets.Role.LEADING
        self._limiter = limits.EndpointRateLimiter(
            (lambda: 0.0) if is_leading else self._rng.random
        )

    def apply_terms(self, message: limit_messages.EndpointTerms) -> None:
        """Applies terms from a follower, and broadcasts what is new."""
        for terms in message.terms:
            if self._backpressure.apply_terms(terms, is_news=message.is_news):
                self._broadcast(terms)

    def _broadcast(self, terms: notices.Terms) -> None:
        message = limit_messages.EndpointTerms((terms,), is_news=True)
        self._fleet.tell(message)
