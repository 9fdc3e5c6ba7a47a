"""Which client account of a class is served first.

Handles accounts of which one offers many times its usual load for seconds,
within its quota. Start-time fair queueing: the account that has been served
least, by cost and weight, comes first. Only what is served while requests wait
counts; neither idle time nor the use of idle capacity is carried over.
"""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import enum

from jujubewharf.admission import tickets

DEFAULT_WEIGHT = 1.0
# Number of accounts of a class up to which none are dropped.
_MIN_SWEPT_ACCOUNTS = 64


class AccountGroup(enum.Enum):
    """What an account asks for compared with its share, for metrics.

    ``OVER_SHARE``: of the waiting requests of its class, it has more than its
    weight's part. ``NONE``: no other account waits in its class.
    """

    OVER_SHARE = "over_share"
    WITHIN_SHARE = "within_share"
    NONE = "none"


@dataclasses.dataclass(slots=True)
class _AccountState:
    """Virtual time of an account, and the number of its waiting requests."""

    virtual_time: float
    waiting: int = 0


class _ClassShares:
    """Accounts of one priority class."""

    def __init__(self) -> None:
        self.accounts: dict[str | None, _AccountState] = {}
        self.is_contended = False
        self._waiting: dict[str | None, _AccountState] = {}
        self._virtual_time = 0.0
        self._max_accounts = _MIN_SWEPT_ACCOUNTS

    def queued(self, account: str | None) -> None:
        """Counts a request that begins to wait."""
        state = self._waiting.get(account)
        if state is None:
            now = self._smallest_time()
            state = self.accounts.setdefault(account, _AccountState(now))
            state.virtual_time = max(state.virtual_time, now)
            self._waiting[account] = state
        state.waiting += 1

    def served(self, account: str | None, amount: float) -> None:
        """Raises the virtual time of an account with a waiting request."""
        self._virtual_time = max(self._virtual_time, self._smallest_time())
        self._waiting[account].virtual_time += amount

    def left(self, account: str | None) -> None:
        """Removes a request that no longer waits."""
        state = self._waiting[account]
        state.waiting -= 1
        if state.waiting:
            return
        del self._waiting[account]
        if not self._waiting:
            # Nobody competes any more, so all begin equal again.
            self._virtual_time = max(
                s.virtual_time for s in self.accounts.values()
            )
            self.accounts.clear()
        elif len(self.accounts) > self._max_accounts:
            self._drop_passed()

    def waiting_counts(self) -> dict[str | None, int]:
        """Returns the number of waiting requests by account."""
        return {name: state.waiting for name, state in self._waiting.items()}

    def _smallest_time(self) -> float:
        """Returns the smallest virtual time of the waiting accounts."""
        return min(
            (state.virtual_time for state in self._waiting.values()),
            default=self._virtual_time,
        )

    def _drop_passed(self) -> None:
        """Drops idle accounts that would begin at the same time if forgotten.

        The next time is when their number has doubled, so that the cost of
        looking through them is shared by as many requests.
        """
        smallest_time = self._smallest_time()
        self.accounts = {
            name: state
            for name, state in self.accounts.items()
            if state.waiting or state.virtual_time > smallest_time
        }
        self._max_accounts = max(_MIN_SWEPT_ACCOUNTS, 2 * len(self.accounts))


class FairShare:
    """Virtual times of the accounts of one service, by priority class.

    Args:
        weights: Weights of accounts by name; others have the default weight.

    Attributes:
        weights: See above; may be replaced at any time.
        version: Grows whenever virtual times of waiting requests change.
    """

    def __init__(self, weights: Mapping[str, float] | None = None) -> None:
        self.weights: Mapping[str, float] = weights or {}
        self.version = 0
        self._classes: dict[int, _ClassShares] = {}
        self._contended_classes = 0

    @property
    def is_active(self) -> bool:
        """Whether more than one account competes within a class."""
        return self._contended_classes > 0

    @property
    def account_count(self) -> int:
        """Number of accounts that are kept."""
        return sum(len(c.accounts) for c in self._classes.values())

    def queued(self, ticket: tickets.Ticket) -> None:
        """Counts a request that begins to wait."""
        shares = self._classes.setdefault(ticket.priority, _ClassShares())
        shares.queued(ticket.account)
        self._update(ticket.priority)

    def served(self, ticket: tickets.Ticket) -> None:
        """Charges a waiting request to its account and removes it."""
        shares = self._classes[ticket.priority]
        shares.served(ticket.account, ticket.cost / self._weight(ticket))
        if shares.is_contended:
            self.version += 1
        self.left(ticket)

    def left(self, ticket: tickets.Ticket) -> None:
        """Removes a request that no longer waits."""
        self._classes[ticket.priority].left(ticket.account)
        self._update(ticket.priority)

    def virtual_time(self, ticket: tickets.Ticket) -> float:
        """Returns the virtual time of a waiting request's account.

        0 while no other account of its class competes.
        """
        shares = self._classes[ticket.priority]
        if not shares.is_contended:
            return 0.0
        return shares.accounts[ticket.account].virtual_time

    def group(self, ticket: tickets.Ticket) -> AccountGroup:
        """Returns the group of a request's account.

        The request itself counts, whether it waits already or not.
        """
        shares = self._classes.get(ticket.priority)
        counts = {} if shares is None else shares.waiting_counts()
        own = counts.setdefault(ticket.account, 1)
        if len(counts) < 2:
            return AccountGroup.NONE
        weights = {name: self._weight_of(name) for name in counts}
        part = weights[ticket.account] / sum(weights.values())
        if own > part * sum(counts.values()):
            return AccountGroup.OVER_SHARE
        return AccountGroup.WITHIN_SHARE

    def _update(self, priority: int) -> None:
        """Updates whether accounts of a class compete."""
        shares = self._classes[priority]
        is_contended = len(shares.accounts) > 1
        if is_contended != shares.is_contended:
            shares.is_contended = is_contended
            self._contended_classes += 1 if is_contended else -1
            self.version += 1

    def _weight(self, ticket: tickets.Ticket) -> float:
        return self._weight_of(ticket.account)

    def _weight_of(self, account: str | None) -> float:
        if account is None:
            return DEFAULT_WEIGHT
        return self.weights.get(account, DEFAULT_WEIGHT)
