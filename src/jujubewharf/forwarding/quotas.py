"""Holds accounts to what they may use, by buckets of all their use.

The load this answers: one account sends many times its usual. Without a bound
it takes the engines' memory from all others, who have a right to theirs.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterator
import contextlib
import dataclasses
from typing import Protocol

from jujubewharf import clock as clocks
from jujubewharf.forwarding import accounts
from jujubewharf.forwarding import runs
from jujubewharf.requests import buckets

# Part of the burst that an account has where nothing of its use is known, as
# after a change of leader. With all of it each change would grant the burst
# once more; with none, accounts far within their quota would be refused.
_UNKNOWN_PART = 0.25


class Quotas(Protocol):
    """Admits requests within the quotas of their accounts."""

    def take(self, run: runs.Run) -> None:
        """Counts a request against its account's quota, once for each run.

        Raises:
            WharfError: ``RATE_LIMITED``: the account has used it up.
        """
        ...

    def give_back(self, run: runs.Run) -> None:
        """Takes back what was counted for a request that didn't run."""
        ...

    def admitted(self, run: runs.Run) -> None:
        """Learns that a request of this instance's own callers runs."""
        ...


@contextlib.contextmanager
def counted(quotas: Quotas, run: runs.Run) -> Iterator[None]:
    """Counts a request for a block that places it.

    What was counted here is given back where the block fails or is left, since
    the request didn't run.

    Raises:
        WharfError: ``RATE_LIMITED``.
    """
    was_counted = run.is_counted
    quotas.take(run)
    try:
        yield
    except BaseException:
        if not was_counted:
            quotas.give_back(run)
        raise


@dataclasses.dataclass(slots=True)
class _Use:
    """What one account may still use, and what was promised of it.

    Attributes:
        bucket: What it may use now.
        promised_ms: When the refused request that is to come back last would
            find what it needs.
    """

    bucket: buckets.TokenBucket
    promised_ms: float = 0.0


class QuotaLedger:
    """What accounts may still use, counted by one who sees all of it.

    A request is admitted while anything is left, and what it counts beyond
    that is a debt: so a request larger than the burst can run at all, and no
    account gets more over time than its rate. More than its burst is used at
    once by one request at most.

    Args:
        now_ms: When the count begins.
    """

    def __init__(self, now_ms: float = 0.0) -> None:
        self._uses: dict[str, _Use] = {}
        self._since_ms = now_ms

    def left(self, account: str, quota: accounts.Quota, now_ms: float) -> float:
        """Units that may be used now; less than nothing in debt."""
        return self._filled(account, quota, now_ms).bucket.tokens

    def take(
        self,
        account: str,
        quota: accounts.Quota,
        units: float,
        now_ms: float,
        *,
        debt: float = 0.0,
    ) -> float:
        """Takes units if the account has anything left.

        Args:
            account: Name of the account.
            quota: What it may use.
            units: What the request counts.
            now_ms: Now.
            debt: Debt up to which this request is admitted all the same.

        Returns:
            0 where they were taken; else the time in ms until a request that
            is told so now finds what it needs.
        """
        use = self._filled(account, quota, now_ms)
        if use.bucket.tokens > -debt:
            use.bucket.tokens -= units
            return 0.0
        return self._promise(use, quota, units, now_ms)

    def charge(
        self,
        account: str,
        quota: accounts.Quota,
        units: float,
        now_ms: float,
    ) -> None:
        """Counts what was used already, or gives back what wasn't (below 0)."""
        self._filled(account, quota, now_ms).bucket.tokens -= units

    @property
    def names(self) -> frozenset[str]:
        """Accounts whose use is known."""
        return frozenset(self._uses)

    def knows(self, account: str) -> bool:
        """Whether anything is known of an account's use."""
        return account in self._uses

    def put(self, account: str, units: float, now_ms: float) -> None:
        """Learns what an account has left by another's count."""
        self._uses[account] = _Use(buckets.TokenBucket(units, now_ms))

    def keep_only(self, names: Collection[str]) -> None:
        """Forgets accounts that are no more."""
        for name in list(self._uses):
            if name not in names:
                del self._uses[name]

    def forget(self) -> None:
        """Forgets all use."""
        self._uses.clear()

    def resume(self, now_ms: float) -> None:
        """Counts again after somebody else has counted for a while.

        What accounts have saved up meanwhile they may have used there. Debts
        stay: without them a count that changes hands often would grant each
        time what it grants to an account of which it knows nothing.
        """
        self._since_ms = now_ms

    def _filled(
        self, account: str, quota: accounts.Quota, now_ms: float
    ) -> _Use:
        use = self._uses.get(account)
        most = quota.burst * _UNKNOWN_PART
        if use is None:
            bucket = buckets.TokenBucket(most, self._since_ms)
            use = self._uses[account] = _Use(bucket)
        bucket = use.bucket
        if bucket.filled_at_ms < self._since_ms:
            bucket.fill(self._since_ms, quota.rate_per_s, quota.burst)
            bucket.tokens = min(bucket.tokens, most)
        bucket.fill(now_ms, quota.rate_per_s, quota.burst)
        return use

    def _promise(
        self, use: _Use, quota: accounts.Quota, units: float, now_ms: float
    ) -> float:
        """When a refused request finds what it needs.

        Each is told a later time than the one before, by what that one needs:
        told the same, all would come back together and most be refused again.
        """
        needed = min(units, quota.burst)
        own_ms = units / quota.rate_per_s * clocks.MS_PER_S
        free_ms = now_ms + use.bucket.wait_ms(quota.rate_per_s, needed)
        at_ms = max(free_ms, use.promised_ms + own_ms)
        use.promised_ms = at_ms
        return at_ms - now_ms
