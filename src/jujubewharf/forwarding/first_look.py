"""Whether a started instance knows what a leader could tell it."""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.leadership import fleet as fleets
from jujubewharf.leadership import leadership

# Time after the start within which a leader must have told what it knows.
_TIMEOUT_MS = 1_500.0


class FirstLook:
    """The look for a leader after a start.

    A store that was restored shows older versions than are in force, which a
    leader would tell.

    Args:
        fleet: Link to the leader.
        clock: Time source.
    """

    def __init__(self, fleet: fleets.Fleet, clock: clocks.Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._started_at_ms = clock.now_ms()
        self._is_over = False

    def is_over(self, leading: leadership.Leadership | None) -> bool:
        """Returns whether a leader has told what it knows, if there is one.

        Args:
            leading: The instance's part in electing leaders; ``None`` in a
                fleet without.
        """
        if leading is None or self._is_over:
            return True
        waited_ms = self._clock.now_ms() - self._started_at_ms
        self._is_over = (
            leading.has_looked
            or self._fleet.feeds.configurations.has_begun
            or waited_ms > _TIMEOUT_MS
        )
        return self._is_over
