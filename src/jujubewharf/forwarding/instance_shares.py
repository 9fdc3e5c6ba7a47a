"""Shares of fleet-wide limits that an instance has without a leader."""

from __future__ import annotations

from collections.abc import Callable

from jujubewharf.forwarding import fleet_share
from jujubewharf.leadership import fleet as fleets

# Share of the retry budget while the group is unreachable. Small enough for two
# dozen isolated instances to stay within the fleet's budget.
ISOLATED_SHARE = 1 / 24


class InstanceShares:
    """Shares of one instance.

    Args:
        group: Share of an instance in a fleet that has no leaders.
        fleet: Link to the leader, or to the followers.
        is_led: Returns whether the fleet has leaders.
        window_ms: Returns the window of the retry budget, in milliseconds.
    """

    def __init__(
        self,
        group: fleet_share.FleetShare,
        fleet: fleets.Fleet,
        is_led: Callable[[], bool],
        window_ms: Callable[[], float],
    ) -> None:
        self._group = group
        self._fleet = fleet
        self._is_led = is_led
        self._window_ms = window_ms

    def of_rate_limits(self) -> float:
        """Returns the share of endpoints' rate limits."""
        if not self._is_led():
            return self._group.fraction
        return self._fleet.equal_share() or ISOLATED_SHARE

    def of_quotas(self) -> float:
        """Returns the share of account quotas."""
        if not self._is_led():
            return self._group.fraction
        return self._fleet.retry_share(self._window_ms())
