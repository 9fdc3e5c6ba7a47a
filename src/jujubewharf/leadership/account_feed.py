"""What the leader tells of accounts that have little left."""

from __future__ import annotations

from collections.abc import Iterable

from jujubewharf import clock as clocks
from jujubewharf.forwarding import accounts
from jujubewharf.forwarding import quotas
from jujubewharf.peers import quota_messages


class AccountFeed:
    """What accounts may still use by the leader's word.

    An account that isn't named has enough left. Of one that is, what is gained
    since is added and what is admitted here taken off, until the next word.

    Args:
        clock: Time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._ledger = quotas.QuotaLedger()

    @property
    def low(self) -> frozenset[str]:
        """Accounts that have little left."""
        return self._ledger.names

    def begin(self) -> None:
        """Forgets what another leader has told."""
        self._ledger.forget()

    def told(self, left: Iterable[quota_messages.AccountLeft]) -> None:
        """Learns which accounts have little left."""
        self._ledger.forget()
        now_ms = self._clock.now_ms()
        for account in left:
            self._ledger.put(account.account, account.units, now_ms)

    def left(self, name: str, quota: accounts.Quota) -> float:
        """What an account that has little left has now."""
        return self._ledger.left(name, quota, self._clock.now_ms())

    def take(
        self, name: str, quota: accounts.Quota, units: float, *, debt: float
    ) -> float:
        """Takes units here; see ``quotas.QuotaLedger.take``."""
        if not self._ledger.knows(name):
            return 0.0
        now_ms = self._clock.now_ms()
        return self._ledger.take(name, quota, units, now_ms, debt=debt)
