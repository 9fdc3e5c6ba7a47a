"""Recent use of accounts at an instance, and its share of their total use."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from jujubewharf.forwarding import recent
from jujubewharf.peers import messages

# Window over which use is summed.
PACE_MS = 10_000.0


class AccountPace:
    """Units that each account has used within the last ``PACE_MS``."""

    def __init__(self) -> None:
        self._sums: dict[str, recent.RecentSum] = {}

    def add(self, account: str, units: float, now_ms: float) -> None:
        """Adds units that an account uses now."""
        found = self._sums.get(account)
        if found is None:
            found = self._sums[account] = recent.RecentSum(PACE_MS)
        found.add(now_ms, units)

    def total(self, account: str, now_ms: float) -> float:
        """Returns the units that an account has used within the window."""
        found = self._sums.get(account)
        return 0.0 if found is None else found.total(now_ms)

    def parts_of(self, whole: AccountPace, now_ms: float) -> dict[str, float]:
        """Returns the share of each active account's use in another total.

        Args:
            whole: Use that includes this use.
            now_ms: Current time in ms.

        Returns:
            Shares, 0 to 1, by account.
        """
        parts: dict[str, float] = {}
        for account, found in list(self._sums.items()):
            used = found.total(now_ms)
            if used <= 0.0:
                del self._sums[account]
                continue
            all_used = whole.total(account, now_ms)
            parts[account] = min(1.0, used / max(used, all_used))
        return parts


@dataclasses.dataclass(eq=False, slots=True)
class FollowerUse:
    """Recent use of accounts at one follower.

    Attributes:
        peer: Name of the follower.
        tell: Sends a message to the follower.
        pace: Recent use by the follower's callers.
    """

    peer: str
    tell: Callable[[messages.Message], object]
    pace: AccountPace = dataclasses.field(default_factory=AccountPace)
