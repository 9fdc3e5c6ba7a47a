"""How much accounts use at an instance, and what part of all that is."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from jujubewharf.forwarding import recent
from jujubewharf.peers import messages

# Time over which a pace is measured. Requests of a big account come several
# times a second at an instance, those of a small one every few seconds.
PACE_MS = 10_000.0


class AccountPace:
    """What accounts have used lately."""

    def __init__(self) -> None:
        self._sums: dict[str, recent.RecentSum] = {}

    def add(self, account: str, units: float, now_ms: float) -> None:
        """Adds what an account uses now."""
        found = self._sums.get(account)
        if found is None:
            found = self._sums[account] = recent.RecentSum(PACE_MS)
        found.add(now_ms, units)

    def total(self, account: str, now_ms: float) -> float:
        """What an account has used lately."""
        found = self._sums.get(account)
        return 0.0 if found is None else found.total(now_ms)

    def parts_of(self, whole: AccountPace, now_ms: float) -> dict[str, float]:
        """What part of another pace this one is, for accounts in use."""
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
    """What accounts use at one follower.

    Attributes:
        peer: Name of the follower.
        tell: Sends it a message.
        pace: What its callers' accounts have used lately.
    """

    peer: str
    tell: Callable[[messages.Message], object]
    pace: AccountPace = dataclasses.field(default_factory=AccountPace)
