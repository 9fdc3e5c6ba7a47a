"""Keeps work from an engine whose calls fail, and lets it be tried again."""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.engines import client

_FIRST_MS = 500.0
_LONGEST_MS = 8_000.0
_FORGOTTEN_AFTER_MS = 10_000.0
_LOSSES_TO_DOUBT = 3


class Breaker:
    """Opens after failures, for a time that doubles while they go on.

    A dead engine is otherwise chosen again and again, because it is the
    emptiest. One call that found nobody opens the breaker. Lost answers only
    cast doubt, and only several together, for a stalled link loses some as
    well; a doubtful engine is used when there is no other. Once the time is
    over, work goes there again and the next failure shows.

    Args:
        clock: Time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._times = 0
        self._losses = 0
        self._failed_ms = 0.0
        self._open_until_ms = 0.0
        self._doubt_until_ms = 0.0

    @property
    def is_open(self) -> bool:
        """Whether work is kept away now."""
        return self._clock.now_ms() < self._open_until_ms

    @property
    def is_doubtful(self) -> bool:
        """Whether work goes there only when nothing else is left."""
        return self._clock.now_ms() < self._doubt_until_ms

    def failed(self, fault: client.EngineFault) -> None:
        """Learns that a call failed."""
        now_ms = self._clock.now_ms()
        if now_ms - self._failed_ms > _FORGOTTEN_AFTER_MS:
            self._times = self._losses = 0
        match fault:
            case client.EngineFault.UNREACHABLE:
                if not self.is_open:
                    self._open_until_ms = self._next_until_ms()
            case client.EngineFault.LOST:
                self._failed_ms = now_ms
                self._losses += 1
                if self._losses >= _LOSSES_TO_DOUBT:
                    self._losses = 0
                    self._doubt_until_ms = self._next_until_ms()

    def answered(self) -> None:
        """Learns that it answers a call, so it is there."""
        self._open_until_ms = 0.0

    def _next_until_ms(self) -> float:
        now_ms = self._clock.now_ms()
        for_ms = min(_LONGEST_MS, _FIRST_MS * 2**self._times)
        self._times += 1
        self._failed_ms = now_ms
        return now_ms + for_ms
