"""Enforces account quotas with token buckets.

Without quotas, one account that sends far more than usual would take engine
memory from all other accounts.
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

# Share of the burst that an account starts with if its use is unknown, for
# example after a change of leader. The whole burst would be granted again on
# each change; none at all would reject accounts that are within their quota.
_INITIAL_BURST_SHARE = 0.25


class Quotas(Protocol):
    """Admits requests within the quotas of their accounts."""

    def take(self, run: runs.Run) -> None:
        """Charges a request to its account's quota, once per run.

        Raises:
            WharfError: ``RATE_LIMITED`` if the quota is used up.
        """
        ...

    def refund(self, run: runs.Run) -> None:
        """Refunds a request that did not run."""
        ...

    def record_admitted(self, run: runs.Run) -> None:
        """Records that a request received by this instance was admitted."""
        ...


@contextlib.contextmanager
def charged(quotas: Quotas, run: runs.Run) -> Iterator[None]:
    """Charges a request for the duration of its placement.

    If the block raises or is cancelled, the request did not run, and what was
    charged here is refunded.

    Raises:
        WharfError: ``RATE_LIMITED``.
    """
    was_counted = run.is_counted
    quotas.take(run)
    try:
        yield
    except BaseException:
        if not was_counted:
            quotas.refund(run)
        raise


@dataclasses.dataclass(slots=True)
class _AccountUse:
    """Use of one account's quota.

    Attributes:
        bucket: Units available now.
        last_retry_ms: Latest retry-after time that was given to a refused
            request, as a clock reading.
    """

    bucket: buckets.TokenBucket
    last_retry_ms: float = 0.0


class QuotaBuckets:
    """Token buckets of all accounts.

    A request is admitted while any units are left, and may take its bucket into
    debt. Requests larger than the burst can thus run, while the average rate
    stays within the quota. At most one request exceeds the burst at a time.

    Args:
        now_ms: Clock reading at which counting starts.
    """

    def __init__(self, now_ms: float = 0.0) -> None:
        self._uses: dict[str, _AccountUse] = {}
        self._started_ms = now_ms

    def balance(
        self, account: str, quota: accounts.Quota, now_ms: float
    ) -> float:
        """Returns the units available now; negative in debt."""
        return self._refilled(account, quota, now_ms).bucket.tokens

    def take(
        self,
        account: str,
        quota: accounts.Quota,
        units: float,
        now_ms: float,
        *,
        debt: float = 0.0,
    ) -> float:
        """Charges units if the account has any left.

        Args:
            account: Name of the account.
            quota: Quota of the account.
            units: Units to charge.
            now_ms: Current clock reading.
            debt: Debt in units up to which the request is still admitted.

        Returns:
            0 if the units were charged, else the retry-after time in
            milliseconds.
        """
        use = self._refilled(account, quota, now_ms)
        if use.bucket.tokens > -debt:
            use.bucket.tokens -= units
            return 0.0
        return self._retry_after_ms(use, quota, units, now_ms)

    def charge(
        self,
        account: str,
        quota: accounts.Quota,
        units: float,
        now_ms: float,
    ) -> None:
        """Charges units unconditionally; negative units are a refund."""
        self._refilled(account, quota, now_ms).bucket.tokens -= units

    @property
    def names(self) -> frozenset[str]:
        """Accounts with a bucket."""
        return frozenset(self._uses)

    def contains(self, account: str) -> bool:
        """Returns whether an account has a bucket."""
        return account in self._uses

    def set_balance(self, account: str, units: float, now_ms: float) -> None:
        """Sets an account's available units to a value counted elsewhere."""
        self._uses[account] = _AccountUse(buckets.TokenBucket(units, now_ms))

    def retain(self, names: Collection[str]) -> None:
        """Removes all accounts but the given ones."""
        for name in list(self._uses):
            if name not in names:
                del self._uses[name]

    def clear(self) -> None:
        """Removes all accounts."""
        self._uses.clear()

    def resume(self, now_ms: float) -> None:
        """Resumes counting after another instance has counted for a while.

        Accounts may have used their accumulated units there, so these are
        capped. Debts are kept; otherwise frequent changes of the counting
        instance would let accounts exceed their quotas.
        """
        self._started_ms = now_ms

    def _refilled(
        self, account: str, quota: accounts.Quota, now_ms: float
    ) -> _AccountUse:
        use = self._uses.get(account)
        cap = quota.burst * _INITIAL_BURST_SHARE
        if use is None:
            bucket = buckets.TokenBucket(cap, self._started_ms)
            use = self._uses[account] = _AccountUse(bucket)
        bucket = use.bucket
        if bucket.refilled_at_ms < self._started_ms:
            bucket.refill(self._started_ms, quota.rate_per_s, quota.burst)
            bucket.tokens = min(bucket.tokens, cap)
        bucket.refill(now_ms, quota.rate_per_s, quota.burst)
        return use

    def _retry_after_ms(
        self,
        use: _AccountUse,
        quota: accounts.Quota,
        units: float,
        now_ms: float,
    ) -> float:
        """Returns the retry-after time of a refused request in milliseconds.

        Each refused request gets a later time than the one before, by the units
        that it needs. Otherwise all would retry at once, and most would be
        refused again.
        """
        needed = min(units, quota.burst)
        interval_ms = units / quota.rate_per_s * clocks.MS_PER_S
        free_ms = now_ms + use.bucket.wait_ms(quota.rate_per_s, needed)
        at_ms = max(free_ms, use.last_retry_ms + interval_ms)
        use.last_retry_ms = at_ms
        return at_ms - now_ms
