"""Circuit breaker for engines whose calls fail."""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.engines import client

_INITIAL_PERIOD_MS = 500.0
_MAX_PERIOD_MS = 8_000.0
_RESET_AFTER_MS = 10_000.0
_LOSSES_UNTIL_DEGRADED = 3


class Breaker:
    """Opens after failures, for a period that doubles while they continue.

    Without it a dead engine would be chosen repeatedly, because it appears
    idle. A single connection failure opens the breaker. Lost responses only
    mark the engine as degraded, and only after several of them, because a
    stalled network link also loses responses. A degraded engine is used only
    when no other engine is available. When the open period ends, the next
    request acts as the probe.

    A silent engine may only be paused. Its periods begin anew once it is heard,
    so that the last of several pauses keeps it away no longer than the first.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._periods = 0
        self._silences = 0
        self._losses = 0
        self._last_failure_ms = 0.0
        self._open_until_ms = 0.0
        self._degraded_until_ms = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the engine must not receive work."""
        return self._clock.now_ms() < self._open_until_ms

    @property
    def is_degraded(self) -> bool:
        """Whether the engine is to be used only when no other is available."""
        return self._clock.now_ms() < self._degraded_until_ms

    def record_failure(self, fault: client.EngineFault) -> None:
        """Records a failed call."""
        now_ms = self._clock.now_ms()
        if now_ms - self._last_failure_ms > _RESET_AFTER_MS:
            self._periods = self._losses = 0
        match fault:
            case client.EngineFault.UNREACHABLE:
                if not self.is_open:
                    self._open_until_ms = self._next_period_end_ms()
            case client.EngineFault.LOST:
                self._last_failure_ms = now_ms
                self._losses += 1
                if self._losses >= _LOSSES_UNTIL_DEGRADED:
                    self._losses = 0
                    self._degraded_until_ms = self._next_period_end_ms()

    def record_silence(self) -> None:
        """Records a call that got no answer in time, which opens it."""
        if not self.is_open:
            period_ms = _period_ms(self._silences)
            self._silences += 1
            self._open_until_ms = self._clock.now_ms() + period_ms

    def record_success(self) -> None:
        """Records a successful call, which closes the breaker."""
        self._open_until_ms = 0.0
        self._silences = 0

    def _next_period_end_ms(self) -> float:
        now_ms = self._clock.now_ms()
        period_ms = _period_ms(self._periods)
        self._periods += 1
        self._last_failure_ms = now_ms
        return now_ms + period_ms


def _period_ms(periods: int) -> float:
    """Returns the period that follows a number of earlier ones."""
    return min(_MAX_PERIOD_MS, _INITIAL_PERIOD_MS * 2**periods)
