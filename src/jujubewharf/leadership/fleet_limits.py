"""Keeps all instances together to the rate limits that endpoints name.

Who hears an endpoint's terms tells the leader, who tells all. The leader counts
the requests to limited endpoints, and followers ask it for a permit before
each. Limits are a few requests a second, so that costs a few messages, whatever
the number of instances.

An instance without a leader can't know what the others send. It gives out half
of an equal part by itself. With a part of the fleet cut off the others go on to
use the whole limit; all of it and half of it is what users bear for the length
of a cut.
"""

from __future__ import annotations

from collections.abc import Callable
import random

from jujubewharf import clock as clocks
from jujubewharf.engines import notices
from jujubewharf.forwarding import beliefs
from jujubewharf.forwarding import limits
from jujubewharf.forwarding import restraints as all_restraints
from jujubewharf.leadership import fleet as fleets
from jujubewharf.peers import limit_messages

# Of an equal part of each limit, what an instance uses that has no leader.
_ALONE_PART = 0.5
# After a leader that didn't answer. By then its link has ended, or it answers.
_ASK_AGAIN_MS = 300.0


class FleetLimits:
    """Implements ``limits.Permits`` over all instances.

    Args:
        fleet: The leader of this instance, or its followers.
        restraints: What endpoints want.
        share: Equal part of what the fleet shares, 0 to 1.
        clock: Time.
        rng: Spreads what instances without a leader give out.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        restraints: all_restraints.Restraints,
        share: Callable[[], float],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._restraints = restraints
        self._share = share
        self._clock = clock
        self._rng = rng
        self._role = fleets.Role.ALONE
        self._ledger = limits.LimitLedger(rng.random)
        restraints.on_news = self._spread

    async def take(self, endpoint: str) -> bool:
        """Takes a permit for one request; see ``limits.Permits``."""
        if self._restraints.rate_limit_per_s(endpoint) is None:
            return True
        role = self._fleet.role
        if role is fleets.Role.FOLLOWING:
            wait_ms = await self._fleet.link.permit(endpoint)
            if wait_ms is None:
                wait_ms = _ASK_AGAIN_MS
        else:
            wait_ms = self.grant(endpoint)
        is_granted = wait_ms <= 0.0
        if not is_granted:
            self._restraints.defer(endpoint, wait_ms)
        beliefs.permit_asked(is_granted=is_granted, counted_by=role.value)
        return is_granted

    def grant(self, endpoint: str) -> float:
        """Gives out a permit that is counted here.

        Returns:
            0 where there was one; else the time in ms until it is worth to ask
            again.
        """
        limit_per_s = self._restraints.rate_limit_per_s(endpoint)
        if limit_per_s is None:
            return 0.0
        role = self._fleet.role
        if role is not self._role:
            self._begin(role)
        part = 1.0
        if role is not fleets.Role.LEADING:
            part = self._share() * _ALONE_PART
        now_ms = self._clock.now_ms()
        return self._ledger.take(endpoint, limit_per_s, now_ms, part=part)

    def _begin(self, role: fleets.Role) -> None:
        """Counts anew in another role.

        Who leads now knows nothing of what was sent, and begins with nothing.
        Instances that have just lost their leader would each send one request
        at once; they begin with a drawn part of one.
        """
        self._role = role
        is_leading = role is fleets.Role.LEADING
        self._ledger = limits.LimitLedger(
            (lambda: 0.0) if is_leading else self._rng.random
        )

    def told(self, message: limit_messages.TermsKnown) -> None:
        """Learns terms from a follower, and tells the others."""
        for terms in message.terms:
            if self._restraints.told(terms, is_news=message.is_news):
                self._spread(terms)

    def _spread(self, terms: notices.Terms) -> None:
        news = limit_messages.TermsKnown((terms,), is_news=True)
        self._fleet.tell(news)
