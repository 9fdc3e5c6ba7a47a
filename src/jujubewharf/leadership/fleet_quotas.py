"""Enforces the quotas of accounts across the whole fleet.

The leader counts the use of accounts. It places all model requests and
therefore counts them before they run. Followers admit plain requests on their
own, report them shortly afterwards, and learn from the leader which accounts
are low. No plain request waits for the leader; a quota can be exceeded only by
what is admitted between two messages.

The leader also tells each follower its share of each account's use. An instance
without a leader grants that share of the quota, so that all of them together
grant the whole quota wherever the account's callers are connected. Equal shares
would refuse nearly all requests of an account whose few connections end at a
few instances.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import random

import mode

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.forwarding import accounts
from jujubewharf.forwarding import decisions
from jujubewharf.forwarding import forwarder
from jujubewharf.forwarding import quotas
from jujubewharf.forwarding import runs
from jujubewharf.forwarding import settings
from jujubewharf.leadership import account_pace
from jujubewharf.leadership import fleet as fleets
from jujubewharf.peers import messages
from jujubewharf.peers import quota_messages

# Interval at which use is batched before it is reported. What plain requests
# can exceed a quota by grows with it.
_GATHER_MS = 100.0
# Share of its burst below which an account is reported as low.
_LOW_PART = 0.25
# Interval at which followers are sent their shares of accounts' use.
_PARTS_EVERY_MS = 1_000.0
# Upper bound for noticing a change of role while no requests arrive; buckets
# refill from then on.
_ROLE_SEEN_WITHIN_MS = 1_000.0
# Time for which the share of a lost follower stays reserved: it may be
# partitioned and grant that share by itself. Longer than most partitions.
_KEPT_FOR_LOST_MS = 10_000.0
# Largest request, as a share of its account's burst, that may run in debt. A
# large request leaves a debt of some tenths of a second, during which all small
# requests of the account would otherwise be refused.
_SMALL_PART = 1 / 50
# Assumed size of a large request, as a share of its account's burst, while none
# has been observed.
_LARGE_PART = 1 / 8
# Share of the configured slack that small requests may use as debt. The rest is
# left for what instances without a leader grant by themselves. Large requests
# get no debt, since they would use up all of it.
_DEBT_PART = 0.25
# Smallest share of a quota at an instance that has never had a leader, as after
# a start of all instances at the same time.
_LEAST_PART = 1 / 64


class FleetQuotas(mode.Service):
    """Implements ``quotas.Quotas`` across all instances.

    Args:
        fleet: The leader of this instance, or its followers.
        source: The configured accounts.
        share: Returns this instance's share of the fleet, 0 to 1, for use
            without a leader.
        tolerated: What may be used beyond quotas.
        clock: Clock.
        rng: Random jitter of admissions after the leader was lost.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        source: forwarder.ActiveConfiguration,
        share: Callable[[], float],
        tolerated: settings.QuotaSettings,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self.tolerated = tolerated
        self._fleet = fleet
        self._source = source
        self._share = share
        self._clock = clock
        self._rng = rng
        self._role = fleets.Role.ALONE
        self._led = quotas.QuotaBuckets(clock.now_ms())
        self._alone = quotas.QuotaBuckets(clock.now_ms())
        # Units per account that have not been reported to the leader.
        self._untold: dict[str, float] = collections.defaultdict(float)
        self._has_news = asyncio.Event()
        # Use by this instance's callers, and by all callers for a leader.
        self._own_pace = account_pace.AccountPace()
        self._whole_pace = account_pace.AccountPace()
        # Units of the largest request per account at this instance.
        self._largest: dict[str, float] = {}
        # This instance's share of each account's use.
        self._parts: dict[str, float] = {}
        self._parts_told_ms = 0.0
        self._followers: set[account_pace.FollowerUse] = set()
        # Expiry in ms and reserved shares per lost follower.
        self._lost: dict[str, tuple[float, dict[str, float]]] = {}
        fleet.link.on_account_parts = self.parts_told

    @property
    def role(self) -> fleets.Role:
        """Current role of this instance."""
        role = self._fleet.role
        if role is not self._role:
            self._begin(role)
        return role

    def _begin(self, role: fleets.Role) -> None:
        """Switches the count to a new role.

        A former follower knows from the leader which accounts are low and
        continues from that. All other accounts start with this instance's share
        of the burst, so that callers within their quota are not refused during
        the seconds without a leader.
        """
        now_ms = self._clock.now_ms()
        had_word = self._role is fleets.Role.FOLLOWING
        self._role = role
        self._untold.clear()
        self._ledger.resume(now_ms)
        if not had_word or role is fleets.Role.FOLLOWING:
            return
        for name, account in self._source.accounts.by_name.items():
            if account.quota is not None:
                level = self._first_level(name, account.quota)
                self._ledger.put(name, level, now_ms)

    def _first_level(self, name: str, quota: accounts.Quota) -> float:
        """Returns the initial units of an account in the current role."""
        feed = self._fleet.feeds.accounts
        is_low = name in feed.low
        if self._role is fleets.Role.LEADING:
            return feed.left(name, quota) if is_low else quota.burst
        saved = 0.0 if is_low else self._part_of(name, quota).burst
        return saved - self._rng.random() * self._large(name, quota)

    def _large(self, name: str, quota: accounts.Quota) -> float:
        """Returns the units of a large request of an account.

        When the leader is lost there is no debt yet, and each instance would
        admit one large request at the same time. A random initial debt of up to
        one large request spreads these first admissions.
        """
        return max(self._largest.get(name, 0.0), quota.burst * _LARGE_PART)

    @property
    def _ledger(self) -> quotas.QuotaBuckets:
        """Ledger of the current role."""
        return self._led if self._role is fleets.Role.LEADING else self._alone

    def take(self, run: runs.Run) -> None:
        """Counts a request; see ``quotas.Quotas``."""
        if run.account is None or run.account.quota is None or run.is_counted:
            return
        wait_ms = self._take(run.account.name, run.account.quota, run.units)
        if wait_ms > 0.0:
            raise self._refusal(run, run.account.name, wait_ms)
        run.is_counted = True
        self._has_news.set()

    def give_back(self, run: runs.Run) -> None:
        """Refunds a counted request; see ``quotas.Quotas``."""
        if run.account is None or run.account.quota is None:
            return
        if not run.is_counted:
            return
        run.is_counted = False
        self._charge(run.account.name, run.account.quota, -run.units)
        self._has_news.set()

    def admitted(self, run: runs.Run) -> None:
        """Records an admitted request of this instance's callers."""
        if run.account is None or run.account.quota is None:
            return
        now_ms = self._clock.now_ms()
        name = run.account.name
        self._largest[name] = max(run.units, self._largest.get(name, 0.0))
        self._own_pace.add(name, run.units, now_ms)
        self._whole_pace.add(name, run.units, now_ms)

    def follower(
        self, peer: str, tell: Callable[[messages.Message], object]
    ) -> account_pace.FollowerUse:
        """Starts to count the use at a follower."""
        self._lost.pop(peer, None)
        use = account_pace.FollowerUse(peer, tell)
        self._followers.add(use)
        return use

    def follower_lost(self, use: account_pace.FollowerUse) -> None:
        """Reserves the share of a follower whose link ended."""
        self._followers.discard(use)
        now_ms = self._clock.now_ms()
        parts = use.pace.parts_of(self._whole_pace, now_ms)
        if parts:
            self._lost[use.peer] = (now_ms + _KEPT_FOR_LOST_MS, parts)

    def follower_admitted(
        self, use: account_pace.FollowerUse, run: runs.Run
    ) -> None:
        """Records a placed model request of a follower."""
        if run.account is not None and run.account.quota is not None:
            self._note(use, run.account.name, run.units)

    def follower_used(
        self,
        use: account_pace.FollowerUse,
        uses: Iterable[quota_messages.AccountUse],
    ) -> None:
        """Counts the use that a follower has admitted on its own."""
        if self.role is not fleets.Role.LEADING:
            return
        for told in uses:
            account = self._source.accounts.by_name.get(told.account)
            if account is None or account.quota is None:
                continue
            self._charge(account.name, account.quota, told.units)
            self._note(use, account.name, told.units)
        self._has_news.set()

    def _note(
        self, use: account_pace.FollowerUse, account: str, units: float
    ) -> None:
        now_ms = self._clock.now_ms()
        use.pace.add(account, units, now_ms)
        self._whole_pace.add(account, units, now_ms)

    def forget_others(self) -> None:
        """Removes accounts that are no longer configured."""
        names = self._source.accounts.by_name
        self._led.keep_only(names)
        self._alone.keep_only(names)
        for name in set(self._largest) - set(names):
            del self._largest[name]

    def _take(self, name: str, quota: accounts.Quota, units: float) -> float:
        role = self.role
        here = self._part_of(name, quota)
        debt = 0.0
        if units <= quota.burst * _SMALL_PART:
            debt = self.tolerated.slack * _DEBT_PART * self._part(name)
        if role is fleets.Role.FOLLOWING:
            feed = self._fleet.feeds.accounts
            wait_ms = feed.take(name, here, units, debt=debt)
            if wait_ms <= 0.0:
                self._untold[name] += units
            return wait_ms
        now_ms = self._clock.now_ms()
        return self._ledger.take(name, here, units, now_ms, debt=debt)

    def _charge(self, name: str, quota: accounts.Quota, units: float) -> None:
        if self.role is fleets.Role.FOLLOWING:
            self._untold[name] += units
            return
        here = self._part_of(name, quota)
        self._ledger.charge(name, here, units, self._clock.now_ms())

    def _part_of(self, name: str, quota: accounts.Quota) -> accounts.Quota:
        """Returns the part of a quota that this instance may grant."""
        return quota.part(self._part(name))

    def _part(self, name: str) -> float:
        """Returns this instance's share of an account's quota, 0 to 1."""
        match self._role:
            case fleets.Role.LEADING:
                part = 1.0 - self._lost_part(name)
            case fleets.Role.FOLLOWING:
                return 1.0
            case fleets.Role.ALONE:
                part = max(self._parts.get(name, 0.0), self._share())
        return max(part, _LEAST_PART)

    def _lost_part(self, name: str) -> float:
        """Returns the share that lost followers may grant by themselves."""
        now_ms = self._clock.now_ms()
        part = 0.0
        for peer, (until_ms, parts) in list(self._lost.items()):
            if until_ms < now_ms:
                del self._lost[peer]
            part += parts.get(name, 0.0)
        return part

    def _refusal(
        self, run: runs.Run, account: str, wait_ms: float
    ) -> errors.WharfError:
        decisions.over_quota(
            run, account, wait_ms=wait_ms, counted_by=self._role.value
        )
        return errors.WharfError(
            errors.ErrorKind.RATE_LIMITED, retry_after_ms=wait_ms
        )

    @mode.Service.task
    async def _tell(self) -> None:
        while not self.should_stop:
            await self._news()
            match self.role:
                case fleets.Role.LEADING:
                    self._tell_left()
                    self._tell_parts()
                case fleets.Role.FOLLOWING:
                    self._tell_used()

    async def _news(self) -> None:
        """Waits for use, then for the batching interval."""
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout_ms(_ROLE_SEEN_WITHIN_MS):
                await self._has_news.wait()
                self._has_news.clear()
                await self._clock.sleep_ms(_GATHER_MS)

    def _tell_used(self) -> None:
        uses = tuple(
            quota_messages.AccountUse(name, units)
            for name, units in self._untold.items()
        )
        self._untold.clear()
        if uses:
            self._fleet.link.tell(quota_messages.AccountsUsed(uses))

    def _tell_left(self) -> None:
        assert self._fleet.followers is not None
        now_ms = self._clock.now_ms()
        low: list[quota_messages.AccountLeft] = []
        for name, account in self._source.accounts.by_name.items():
            if account.quota is None:
                continue
            here = self._part_of(name, account.quota)
            left = self._ledger.left(name, here, now_ms)
            if left < here.burst * _LOW_PART:
                low.append(quota_messages.AccountLeft(name, left))
        self._fleet.followers.tell_left(tuple(low))

    def _tell_parts(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._parts_told_ms < _PARTS_EVERY_MS:
            return
        self._parts_told_ms = now_ms
        self._parts = self._own_pace.parts_of(self._whole_pace, now_ms)
        for use in self._followers:
            parts = use.pace.parts_of(self._whole_pace, now_ms)
            use.tell(quota_messages.AccountParts.from_parts(parts))

    def parts_told(self, parts: dict[str, float]) -> None:
        """Sets this instance's share of each account's use."""
        self._parts = parts
