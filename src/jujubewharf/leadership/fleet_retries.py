"""Shares the retry allowance of the fleet between its instances by demand.

The leader divides it, see ``retry_shares``; followers report their demand to it
and use the share that they were sent last. An instance that has lost its leader
keeps its share for one window and then has none.
"""

from __future__ import annotations

import mode

from jujubewharf import clock as clocks
from jujubewharf import restarting_service
from jujubewharf.forwarding import budget as budgets
from jujubewharf.leadership import fleet as fleets
from jujubewharf.leadership import followers as all_followers
from jujubewharf.leadership import retry_shares
from jujubewharf.peers import demand_messages
from jujubewharf.peers import link as links

# Interval of reports and divisions.
_INTERVAL_MS = 1_000.0
# Time after which a leader that has sent no share counts as an older build,
# which divides the allowance equally.
_OLDER_BUILD_MS = 4_000.0
# Time after its start within which an instance without a share may be part of a
# fleet that has just started.
_NEW_MS = 10_000.0
# Generation of the lease of the first leader of a fleet.
_FIRST_TERM = 1
# Time without a check of the role after which the process was suspended, and
# time within which it notices that its link or lease has ended meanwhile.
_SUSPENDED_MS = 3_000.0
_NOTICED_MS = 2_500.0


class FleetRetries(restarting_service.RestartingService):
    """This instance's share of the retry allowance.

    Args:
        fleet: The leader of this instance, or its followers.
        budget: Retry budget of this instance.
        clock: Clock.
        window_ms: Window of the budget in ms.
        name: Name of this instance.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        budget: budgets.FleetRetryBudget,
        clock: clocks.Clock,
        *,
        window_ms: float,
        name: str,
    ) -> None:
        super().__init__(clock)
        self._fleet = fleet
        self._budget = budget
        self._window_ms = window_ms
        self._name = name
        self._shares = retry_shares.RetryShares(window_ms)
        self._holders: dict[links.Link, retry_shares.Holder] = {}
        self._own: retry_shares.Holder | None = None
        self._followers: all_followers.Followers | None = None
        self._number = 0
        self._share: float | None = None
        # Time until which the share may be used, and shares used of late.
        self._valid_until_ms = 0.0
        self._used: list[tuple[float, float]] = []
        self._role = fleets.Role.ALONE
        self._link_count = 0
        self._following_since_ms = 0.0
        self._checked_ms = self._started_ms = clock.now_ms()
        self._suspended_until_ms = 0.0
        self._last_report: demand_messages.RetryDemand | None = None
        fleet.link.on_retry_share = self._on_share

    def attach(self, followers: all_followers.Followers) -> None:
        """Divides the allowance among the followers while this one leads."""
        self._followers = followers
        followers.on_link_begin = self._on_link_begin
        followers.on_link_end = self._on_link_end
        followers.on_retry_demand = self._on_demand

    def change_window(self, window_ms: float) -> None:
        """Changes the window of the budget."""
        self._window_ms = self._shares.window_ms = window_ms

    def share(self) -> float:
        """Returns this instance's share of the allowance, 0 to 1."""
        now_ms = self._clock.now_ms()
        role = self._update_role(now_ms)
        self._drop_expired(now_ms)
        if now_ms - self._checked_ms > _SUSPENDED_MS:
            self._suspended_until_ms = now_ms + _NOTICED_MS
        self._checked_ms = now_ms
        if now_ms < self._suspended_until_ms:
            # The others may have divided the share meanwhile.
            return 0.0
        if role is not fleets.Role.ALONE:
            self._valid_until_ms = now_ms + self._window_ms
            if role is fleets.Role.FOLLOWING and self._number == 0:
                self._follow_older_build(now_ms)
        return self._share or 0.0

    def _follow_older_build(self, now_ms: float) -> None:
        """Uses an equal share if the leader sends none.

        Shares that the former leader divided by demand count until they have
        expired, so this instance's share isn't raised before.
        """
        following_ms = now_ms - self._following_since_ms
        if following_ms <= _OLDER_BUILD_MS:
            return
        share = self._fleet.equal_share()
        if following_ms <= retry_shares.expiry_ms(self._window_ms):
            share = min(share, self._share or 0.0)
        if share != self._share:
            self._use(share, now_ms)

    def _drop_expired(self, now_ms: float) -> None:
        """Gives the share up, also if there is a leader again by now."""
        if self._share is not None and now_ms > self._valid_until_ms:
            used_until_ms = self._valid_until_ms + self._window_ms
            self._used.append((used_until_ms, self._share))
            self._share = 0.0

    def _update_role(self, now_ms: float) -> fleets.Role:
        role, link_count = self._fleet.role, self._fleet.link.link_count
        if role is self._role and link_count == self._link_count:
            return role
        if role is fleets.Role.LEADING and role is self._role:
            return role
        self._role = role
        self._link_count = link_count
        self._number = 0
        self._last_report = None
        match role:
            case fleets.Role.LEADING:
                self._own = retry_shares.Holder(self._name)
                self._holders.clear()
                self._shares.begin(
                    self._own,
                    self._held(now_ms),
                    now_ms,
                    is_first_term=self._is_first_term,
                )
            case fleets.Role.FOLLOWING:
                self._following_since_ms = now_ms
        return role

    @property
    def _is_first_term(self) -> bool:
        """Whether no instance has led before in the present store."""
        followers = self._followers
        return followers is not None and followers.term == _FIRST_TERM

    def _use(self, share: float, now_ms: float) -> None:
        if self._share is not None and self._share > share:
            self._used.append((now_ms + self._window_ms, self._share))
        self._share = share
        self._valid_until_ms = max(
            now_ms + self._window_ms, self._valid_until_ms
        )

    def _held(self, now_ms: float) -> float | None:
        """Returns the highest share used within the last window.

        Returns:
            ``None`` if this instance is new and never had one.
        """
        self._used = [use for use in self._used if use[0] > now_ms]
        if self._share is None:
            is_new = now_ms - self._started_ms < _NEW_MS
            return None if is_new else 0.0
        return max([self._share, *(share for _, share in self._used)])

    def _on_share(self, message: demand_messages.RetryShare) -> None:
        now_ms = self._clock.now_ms()
        self._update_role(now_ms)
        self._drop_expired(now_ms)
        self._number = message.number
        self._use(message.share, now_ms)
        self._report(now_ms)

    def _on_link_begin(self, link: links.Link) -> None:
        self._update_role(self._clock.now_ms())
        holder = self._holders[link] = retry_shares.Holder(link.peer)
        self._shares.add(holder)

    def _on_link_end(self, link: links.Link) -> None:
        holder = self._holders.pop(link, None)
        if holder is not None:
            self._shares.remove(holder, self._clock.now_ms())

    def _on_demand(
        self, link: links.Link, message: demand_messages.RetryDemand
    ) -> None:
        holder = self._holders.get(link)
        if holder is not None:
            self._shares.report(
                holder,
                message.number,
                message.held_share,
                message.wanted,
                self._clock.now_ms(),
            )

    @mode.Service.task
    async def _exchange(self) -> None:
        while not self.should_stop:
            now_ms = self._clock.now_ms()
            self.share()
            match self._role:
                case fleets.Role.LEADING:
                    self._divide(now_ms)
                case fleets.Role.FOLLOWING:
                    self._report(now_ms)
            await self._clock.sleep_ms(_INTERVAL_MS)

    def _divide(self, now_ms: float) -> None:
        assert self._own is not None
        self._shares.report(
            self._own, self._own.number, None, self._budget.wanted(), now_ms
        )
        changed = set(self._shares.divide(now_ms))
        for link, holder in self._holders.items():
            if holder in changed:
                link.tell(
                    demand_messages.RetryShare(holder.number, holder.share)
                )
        self._use(self._own.share, now_ms)

    def _report(self, now_ms: float) -> None:
        """Reports to the leader what it doesn't know yet."""
        report = demand_messages.RetryDemand(
            self._number, self._held(now_ms), self._budget.wanted()
        )
        if report != self._last_report:
            self._last_report = report
            self._fleet.link.tell(report)
