"""Order in which the waiting requests of one service are served.

Handles hundreds of waiting requests, of which all are ranked again whenever
capacity comes free. While one class and one account compete, requests in time
precede late ones, and those that are given up first come first.
"""

from __future__ import annotations

from collections.abc import Hashable
from collections.abc import Mapping
import dataclasses

from jujubewharf.admission import classes as all_classes
from jujubewharf.admission import fair_share
from jujubewharf.admission import tickets

# Sort key of a waiting request; the lowest is served first.
Rank = tuple[bool, bool, int, int, float, float]


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionPolicy:
    """What operators set.

    Attributes:
        account_weights: Weights of accounts by name.
        starving_share: See ``classes.ClassBalance``.
        is_enabled: Whether classes and accounts are told apart.
    """

    account_weights: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    starving_share: float = all_classes.DEFAULT_STARVING_SHARE
    is_enabled: bool = True


class AdmissionOrder:
    """Ranks the waiting requests of one service.

    A ticket is counted as waiting from ``queued`` (or, without it, from its
    first ``rank``) until ``served``, ``rejected`` or ``withdrawn``.

    Args:
        classes: Order of the priority classes.
        shares: Shares of the accounts.

    Attributes:
        is_enabled: Whether classes and accounts are told apart.
    """

    def __init__(
        self, classes: all_classes.ClassBalance, shares: fair_share.FairShare
    ) -> None:
        self.is_enabled = True
        self._classes = classes
        self._shares = shares
        self._waiting: set[tickets.Ticket] = set()
        self._now_ms = 0.0
        self._is_changed = True

    @classmethod
    def from_policy(cls, policy: AdmissionPolicy) -> AdmissionOrder:
        """Creates the order of a service."""
        order = cls(all_classes.ClassBalance(), fair_share.FairShare())
        order.apply(policy)
        return order

    @property
    def is_active(self) -> bool:
        """Whether several classes or accounts compete."""
        return self.is_enabled and (
            self._classes.is_active or self._shares.is_active
        )

    def apply(self, policy: AdmissionPolicy) -> None:
        """Applies changed settings; waiting requests stay and are reranked."""
        self.is_enabled = policy.is_enabled
        self._classes.starving_share = policy.starving_share
        self._shares.weights = policy.account_weights
        self._is_changed = True

    def queued(self, ticket: tickets.Ticket, now_ms: float) -> None:
        """Counts a request that begins to wait."""
        self._now_ms = now_ms
        self._waiting.add(ticket)
        self._classes.queued(ticket, now_ms)
        self._shares.queued(ticket)
        self._is_changed = True

    def replaced(self, ticket: tickets.Ticket, by: tickets.Ticket) -> None:
        """Replaces the ticket of a waiting request, for example a late one.

        The request isn't counted again, and keeps the time since which it
        waits. Both tickets have the same priority and account.
        """
        self._waiting.remove(ticket)
        self._waiting.add(by)
        self._classes.replaced(ticket, by)
        self._is_changed = True

    def rank(self, ticket: tickets.Ticket, now_ms: float) -> Rank:
        """Returns the sort key of a waiting request."""
        if ticket not in self._waiting:
            self.queued(ticket, now_ms)
        self._update(now_ms)
        if not self.is_active:
            return (False, False, ticket.is_late, 0, 0.0, ticket.due_ms)
        is_starving = ticket.priority == self._classes.starving
        first, second = int(ticket.is_late), ticket.priority
        if self._classes.is_class_first:
            first, second = second, first
        return (
            not ticket.is_resumed,
            not is_starving,
            first,
            second,
            self._shares.virtual_time(ticket),
            ticket.due_ms,
        )

    def waits(self, now_ms: float) -> dict[int, tickets.Waits]:
        """Returns the waiting requests by priority."""
        return self._classes.waits(now_ms)

    def account_group(self, ticket: tickets.Ticket) -> fair_share.AccountGroup:
        """Returns whether a request's account has more than its share."""
        if not self.is_enabled:
            return fair_share.AccountGroup.NONE
        return self._shares.group(ticket)

    def version(self, now_ms: float) -> Hashable:
        """Returns a value that differs once ranks of tickets have changed.

        Until then, a queue that is sorted needn't be sorted again.
        """
        self._update(now_ms)
        if not self.is_active:
            return False
        return (
            self._classes.starving,
            self._classes.is_class_first,
            self._shares.version,
        )

    def served(self, ticket: tickets.Ticket) -> None:
        """Counts a request that was served."""
        self._ensure_queued(ticket)
        self._waiting.discard(ticket)
        self._classes.served(ticket, self._now_ms)
        self._shares.served(ticket)
        self._is_changed = True

    def rejected(self, ticket: tickets.Ticket) -> None:
        """Counts a request that was refused."""
        self._ensure_queued(ticket)
        self.withdrawn(ticket)

    def withdrawn(self, ticket: tickets.Ticket) -> None:
        """Removes a request whose caller no longer waits."""
        if ticket not in self._waiting:
            return
        self._waiting.discard(ticket)
        self._classes.left(ticket)
        self._shares.left(ticket)
        self._is_changed = True

    def _update(self, now_ms: float) -> None:
        if self._is_changed or now_ms != self._now_ms:
            self._now_ms = now_ms
            self._is_changed = False
            self._classes.update(now_ms)

    def _ensure_queued(self, ticket: tickets.Ticket) -> None:
        if ticket not in self._waiting:
            self.queued(ticket, self._now_ms)
