"""Recent use of accounts at an instance, and its share of their total use."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from jujubewharf.forwarding import sliding_window
from jujubewharf.peers import messages

# Window over which use is summed. Requests of a large account arrive at an
# instance several times a second, those of a small one every few seconds.
USAGE_WINDOW_MS = 10_000.0


class AccountUsage:
    """Units that each account has used within the last ``USAGE_WINDOW_MS``."""

    def __init__(self) -> None:
        self._sums: dict[str, sliding_window.SlidingSum] = {}

    def add(self, account: str, units: float, now_ms: float) -> None:
        """Adds units that an account uses now."""
        recent_sum = self._sums.get(account)
        if recent_sum is None:
            recent_sum = self._sums[account] = sliding_window.SlidingSum(
                USAGE_WINDOW_MS
            )
        recent_sum.add(now_ms, units)

    def total(self, account: str, now_ms: float) -> float:
        """Returns the units that an account has used within the window."""
        recent_sum = self._sums.get(account)
        return 0.0 if recent_sum is None else recent_sum.total(now_ms)

    def shares_of(
        self, total_usage: AccountUsage, now_ms: float
    ) -> dict[str, float]:
        """Returns the share of each active account's use in another total.

        Args:
            total_usage: Use that includes this use.
            now_ms: Current time in ms.

        Returns:
            Shares, 0 to 1, by account.
        """
        shares: dict[str, float] = {}
        for account, recent_sum in list(self._sums.items()):
            used = recent_sum.total(now_ms)
            if used <= 0.0:
                del self._sums[account]
                continue
            total_used = total_usage.total(account, now_ms)
            shares[account] = min(1.0, used / max(used, total_used))
        return shares


@dataclasses.dataclass(eq=False, slots=True)
class FollowerUsage:
    """Recent use of accounts at one follower.

    Attributes:
        peer: Name of the follower.
        send: Sends a message to the follower.
        usage: Recent use by the follower's callers.
    """

    peer: str
    send: Callable[[messages.Message], object]
    usage: AccountUsage = dataclasses.field(default_factory=AccountUsage)
