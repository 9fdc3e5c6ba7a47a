"""A follower's copy of the accounts that the leader reported as low."""

from __future__ import annotations

from collections.abc import Iterable

from jujubewharf import clock as clocks
from jujubewharf.forwarding import accounts
from jujubewharf.forwarding import quotas
from jujubewharf.peers import quota_messages


class LowAccounts:
    """Remaining quota of the accounts that the leader reported as low.

    Accounts that were not reported have enough quota left. For a reported
    account, quota refilled since the report is added and local admissions are
    subtracted, until the next report.

    Args:
        clock: Clock.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._buckets = quotas.QuotaBuckets()

    @property
    def names(self) -> frozenset[str]:
        """Names of the accounts that were reported as low."""
        return self._buckets.names

    def reset(self) -> None:
        """Discards what the previous leader reported."""
        self._buckets.clear()

    def update(self, left: Iterable[quota_messages.AccountQuota]) -> None:
        """Replaces the low accounts by those of a new report."""
        self._buckets.clear()
        now_ms = self._clock.now_ms()
        for account in left:
            self._buckets.set_balance(account.account, account.units, now_ms)

    def remaining(self, name: str, quota: accounts.Quota) -> float:
        """Returns the units that a low account has left now."""
        return self._buckets.balance(name, quota, self._clock.now_ms())

    def take(
        self, name: str, quota: accounts.Quota, units: float, *, debt: float
    ) -> float:
        """Takes units of a low account; see ``quotas.QuotaBuckets.take``."""
        if not self._buckets.contains(name):
            return 0.0
        now_ms = self._clock.now_ms()
        return self._buckets.take(name, quota, units, now_ms, debt=debt)
