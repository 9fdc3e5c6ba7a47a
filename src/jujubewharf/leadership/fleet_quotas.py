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
from jujubewharf import ordered_set
from jujubewharf import restarting_service
from jujubewharf.forwarding import accounts
from jujubewharf.forwarding import forwarder
from jujubewharf.forwarding import quotas
from jujubewharf.forwarding import request_log
from jujubewharf.forwarding import runs
from jujubewharf.forwarding import settings
from jujubewharf.leadership import account_pace
from jujubewharf.leadership import fleet as fleets
from jujubewharf.peers import messages
from jujubewharf.peers import quota_messages

# Interval at which use is batched before it is reported. What plain requests
# can exceed a quota by grows with it; 100 ms of use is a hundredth of what an
# account may use in ten seconds.
_BATCH_MS = 100.0
# Share of its burst below which an account is reported as low.
_LOW_SHARE = 0.25
# Interval at which followers are sent their shares of accounts' use.
_SHARES_INTERVAL_MS = 1_000.0
# Upper bound for noticing a change of role while no requests arrive; buckets
# refill from then on.
_ROLE_CHECK_MS = 1_000.0
# Time for which the share of a lost follower stays reserved: it may be
# partitioned and grant that share by itself. Longer than most partitions.
_LOST_SHARE_TTL_MS = 10_000.0
# Largest request, as a share of its account's burst, that may run in debt. A
# large request leaves a debt of some tenths of a second, during which all small
# requests of the account would otherwise be refused.
_SMALL_REQUEST_SHARE = 1 / 50
# Assumed size of a large request, as a share of its account's burst, while none
# has been observed. About that of requests of 0.1 s of use with a burst of 1 s.
_LARGE_REQUEST_SHARE = 1 / 8
# Share of the configured slack that small requests may use as debt. The rest is
# left for what instances without a leader grant by themselves. Large requests
# get no debt, since they would use up all of it: 374 instead of 2 of 6,000
# small requests were then refused while one account flooded the fleet.
_DEBT_SHARE = 0.25
# Smallest share of a quota at an instance that has never had a leader, as after
# a start of all instances at the same time.
_MIN_SHARE = 1 / 64


class FleetQuotas(restarting_service.RestartingService):
    """Implements ``quotas.Quotas`` across all instances.

    Args:
        fleet: The leader of this instance, or its followers.
        source: The configured accounts.
        share: Returns this instance's share of the fleet, 0 to 1, for use
            without a leader.
        quota_settings: What may be used beyond quotas.
        clock: Clock.
        rng: Random jitter of admissions after the leader was lost.
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        source: forwarder.ActiveConfiguration,
        share: Callable[[], float],
        quota_settings: settings.QuotaSettings,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        super().__init__(clock)
        self.quota_settings = quota_settings
        self._fleet = fleet
        self._source = source
        self._share = share
        self._rng = rng
        self._role = fleets.Role.ALONE
        self._leader_buckets = quotas.QuotaBuckets(clock.now_ms())
        self._local_buckets = quotas.QuotaBuckets(clock.now_ms())
        # Units per account that have not been reported to the leader.
        self._unreported_units: dict[str, float] = collections.defaultdict(
            float
        )
        self._has_use = asyncio.Event()
        # Use by this instance's callers, and by all callers for a leader.
        self._own_usage = account_pace.AccountUsage()
        self._total_usage = account_pace.AccountUsage()
        # Units of the largest request per account at this instance.
        self._largest_units: dict[str, float] = {}
        # This instance's share of each account's use.
        self._usage_shares: dict[str, float] = {}
        self._shares_sent_ms = 0.0
        self._followers = ordered_set.OrderedSet[account_pace.FollowerUsage]()
        # Expiry in ms and reserved shares per lost follower.
        self._lost_followers: dict[str, tuple[float, dict[str, float]]] = {}
        fleet.link.on_usage_shares = self.set_usage_shares

    @property
    def role(self) -> fleets.Role:
        """Current role of this instance."""
        role = self._fleet.role
        if role is not self._role:
            self._switch_role(role)
        return role

    def _switch_role(self, role: fleets.Role) -> None:
        """Switches the count to a new role.

        A former follower knows from the leader which accounts are low and
        continues from that. All other accounts start with this instance's share
        of the burst, so that callers within their quota are not refused during
        the seconds without a leader.
        """
        now_ms = self._clock.now_ms()
        was_following = self._role is fleets.Role.FOLLOWING
        self._role = role
        self._unreported_units.clear()
        self._buckets.resume(now_ms)
        if not was_following or role is fleets.Role.FOLLOWING:
            return
        for name, account in self._source.accounts.by_name.items():
            if account.quota is not None:
                initial_units = self._initial_units(name, account.quota)
                self._buckets.set_balance(name, initial_units, now_ms)

    def _initial_units(self, name: str, quota: accounts.Quota) -> float:
        """Returns the initial units of an account in the current role."""
        feed = self._fleet.feeds.low_accounts
        is_low = name in feed.names
        if self._role is fleets.Role.LEADING:
            return feed.remaining(name, quota) if is_low else quota.burst
        saved = 0.0 if is_low else self._local_quota(name, quota).burst
        return saved - self._rng.random() * self._large_request_units(
            name, quota
        )

    def _large_request_units(self, name: str, quota: accounts.Quota) -> float:
        """Returns the units of a large request of an account.

        When the leader is lost there is no debt yet, and each instance would
        admit one large request at the same time. A random initial debt of up to
        one large request spreads these first admissions. Without it, twenty
        instances admitted 360,146 tokens where 346,833 were allowed.
        """
        return max(
            self._largest_units.get(name, 0.0),
            quota.burst * _LARGE_REQUEST_SHARE,
        )

    @property
    def _buckets(self) -> quotas.QuotaBuckets:
        """Buckets of the current role."""
        return (
            self._leader_buckets
            if self._role is fleets.Role.LEADING
            else self._local_buckets
        )

    def take(self, run: runs.Run) -> None:
        """Counts a request; see ``quotas.Quotas``."""
        if run.account is None or run.account.quota is None or run.is_counted:
            return
        wait_ms = self._take_units(
            run.account.name, run.account.quota, run.units
        )
        if wait_ms > 0.0:
            raise self._refusal(run, run.account.name, wait_ms)
        run.is_counted = True
        self._has_use.set()

    def refund(self, run: runs.Run) -> None:
        """Refunds a counted request; see ``quotas.Quotas``."""
        if run.account is None or run.account.quota is None:
            return
        if not run.is_counted:
            return
        run.is_counted = False
        self._charge(run.account.name, run.account.quota, -run.units)
        self._has_use.set()

    def record_admitted(self, run: runs.Run) -> None:
        """Records an admitted request of this instance's callers."""
        if run.account is None or run.account.quota is None:
            return
        now_ms = self._clock.now_ms()
        name = run.account.name
        self._largest_units[name] = max(
            run.units, self._largest_units.get(name, 0.0)
        )
        self._own_usage.add(name, run.units, now_ms)
        self._total_usage.add(name, run.units, now_ms)

    def add_follower(
        self, peer: str, tell: Callable[[messages.Message], object]
    ) -> account_pace.FollowerUsage:
        """Starts to count the use at a follower."""
        self._lost_followers.pop(peer, None)
        use = account_pace.FollowerUsage(peer, tell)
        self._followers.add(use)
        return use

    def remove_follower(self, use: account_pace.FollowerUsage) -> None:
        """Reserves the share of a follower whose link ended."""
        self._followers.discard(use)
        now_ms = self._clock.now_ms()
        shares = use.usage.shares_of(self._total_usage, now_ms)
        if shares:
            self._lost_followers[use.peer] = (
                now_ms + _LOST_SHARE_TTL_MS,
                shares,
            )

    def follower_admitted(
        self, use: account_pace.FollowerUsage, run: runs.Run
    ) -> None:
        """Records a placed model request of a follower."""
        if run.account is not None and run.account.quota is not None:
            self._record_follower_use(use, run.account.name, run.units)

    def follower_used(
        self,
        use: account_pace.FollowerUsage,
        uses: Iterable[quota_messages.AccountUsage],
    ) -> None:
        """Counts the use that a follower has admitted on its own."""
        if self.role is not fleets.Role.LEADING:
            return
        for reported in uses:
            account = self._source.accounts.by_name.get(reported.account)
            if account is None or account.quota is None:
                continue
            self._charge(account.name, account.quota, reported.units)
            self._record_follower_use(use, account.name, reported.units)
        self._has_use.set()

    def _record_follower_use(
        self, use: account_pace.FollowerUsage, account: str, units: float
    ) -> None:
        now_ms = self._clock.now_ms()
        use.usage.add(account, units, now_ms)
        self._total_usage.add(account, units, now_ms)

    def remove_unconfigured(self) -> None:
        """Removes accounts that are no longer configured."""
        names = self._source.accounts.by_name
        self._leader_buckets.retain(names)
        self._local_buckets.retain(names)
        for name in set(self._largest_units) - set(names):
            del self._largest_units[name]

    def _take_units(
        self, name: str, quota: accounts.Quota, units: float
    ) -> float:
        role = self.role
        local_quota = self._local_quota(name, quota)
        debt = 0.0
        if units <= quota.burst * _SMALL_REQUEST_SHARE:
            debt = (
                self.quota_settings.slack
                * _DEBT_SHARE
                * self._quota_share(name)
            )
        if role is fleets.Role.FOLLOWING:
            feed = self._fleet.feeds.low_accounts
            wait_ms = feed.take(name, local_quota, units, debt=debt)
            if wait_ms <= 0.0:
                self._unreported_units[name] += units
            return wait_ms
        now_ms = self._clock.now_ms()
        return self._buckets.take(name, local_quota, units, now_ms, debt=debt)

    def _charge(self, name: str, quota: accounts.Quota, units: float) -> None:
        if self.role is fleets.Role.FOLLOWING:
            self._unreported_units[name] += units
            return
        local_quota = self._local_quota(name, quota)
        self._buckets.charge(name, local_quota, units, self._clock.now_ms())

    def _local_quota(self, name: str, quota: accounts.Quota) -> accounts.Quota:
        """Returns the part of a quota that this instance may grant."""
        return quota.scaled(self._quota_share(name))

    def _quota_share(self, name: str) -> float:
        """Returns this instance's share of an account's quota, 0 to 1."""
        match self._role:
            case fleets.Role.LEADING:
                quota_share = 1.0 - self._lost_share(name)
            case fleets.Role.FOLLOWING:
                return 1.0
            case fleets.Role.ALONE:
                quota_share = max(
                    self._usage_shares.get(name, 0.0), self._share()
                )
        return max(quota_share, _MIN_SHARE)

    def _lost_share(self, name: str) -> float:
        """Returns the share that lost followers may grant by themselves."""
        now_ms = self._clock.now_ms()
        quota_share = 0.0
        for peer, (expires_ms, shares) in list(self._lost_followers.items()):
            if expires_ms < now_ms:
                del self._lost_followers[peer]
            quota_share += shares.get(name, 0.0)
        return quota_share

    def _refusal(
        self, run: runs.Run, account: str, wait_ms: float
    ) -> errors.WharfError:
        request_log.log_exhausted_quota(
            run, account, wait_ms=wait_ms, counted_by=self._role.value
        )
        return errors.WharfError(
            errors.ErrorKind.RATE_LIMITED, retry_after_ms=wait_ms
        )

    @mode.Service.task
    async def _report_use(self) -> None:
        while not self.should_stop:
            await self._wait_for_use()
            match self.role:
                case fleets.Role.LEADING:
                    self._broadcast_low_accounts()
                    self._send_shares()
                case fleets.Role.FOLLOWING:
                    self._send_use()

    async def _wait_for_use(self) -> None:
        """Waits for use, then for the batching interval."""
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout_ms(_ROLE_CHECK_MS):
                await self._has_use.wait()
                self._has_use.clear()
                await self._clock.sleep_ms(_BATCH_MS)

    def _send_use(self) -> None:
        uses = tuple(
            quota_messages.AccountUsage(name, units)
            for name, units in self._unreported_units.items()
        )
        self._unreported_units.clear()
        if uses:
            self._fleet.link.tell(quota_messages.UsageReport(uses))

    def _broadcast_low_accounts(self) -> None:
        assert self._fleet.followers is not None
        now_ms = self._clock.now_ms()
        low: list[quota_messages.AccountQuota] = []
        for name, account in self._source.accounts.by_name.items():
            if account.quota is None:
                continue
            local_quota = self._local_quota(name, account.quota)
            left = self._buckets.balance(name, local_quota, now_ms)
            if left < local_quota.burst * _LOW_SHARE:
                low.append(quota_messages.AccountQuota(name, left))
        self._fleet.followers.broadcast_low_accounts(tuple(low))

    def _send_shares(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._shares_sent_ms < _SHARES_INTERVAL_MS:
            return
        self._shares_sent_ms = now_ms
        self._usage_shares = self._own_usage.shares_of(
            self._total_usage, now_ms
        )
        for use in self._followers:
            shares = use.usage.shares_of(self._total_usage, now_ms)
            use.send(quota_messages.UsageShares.from_shares(shares))

    def set_usage_shares(self, shares: dict[str, float]) -> None:
        """Sets this instance's share of each account's use."""
        self._usage_shares = shares
