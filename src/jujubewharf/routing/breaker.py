"""Keeps work from an engine whose calls fail, and lets it be tried again."""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.engines import client

_FIRST_OPEN_MS = 500.0
_LONGEST_OPEN_MS = 8_000.0
_FORGOTTEN_AFTER_MS = 10_000.0
_LOSSES_TO_OPEN = 3


class Breaker:
    """Opens after failures, for a time that doubles while they go on.

    A dead engine is otherwise chosen again and again, because it is the
    emptiest. One call that found nobody opens it at once; lost answers do
    only when several come together, for a stalled link loses some as well.
    Once the time is over, work goes there again and the next failure shows.

    Args:
        clock: Time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._opened = 0
        self._losses = 0
        self._failed_ms = 0.0
        self._open_until_ms = 0.0

    @property
    def is_open(self) -> bool:
        """Whether work is kept away now."""
        return self._clock.now_ms() < self._open_until_ms

    def failed(self, fault: client.EngineFault) -> None:
        """Learns that a call failed."""
        now_ms = self._clock.now_ms()
        if now_ms - self._failed_ms > _FORGOTTEN_AFTER_MS:
            self._opened = self._losses = 0
        match fault:
            case client.EngineFault.UNREACHABLE:
                self._open(now_ms)
            case client.EngineFault.LOST:
                self._failed_ms = now_ms
                self._losses += 1
                if self._losses >= _LOSSES_TO_OPEN:
                    self._open(now_ms)

    def answered(self) -> None:
        """Learns that it answers a call, so it is there."""
        if self._losses < _LOSSES_TO_OPEN:
            self._open_until_ms = 0.0

    def _open(self, now_ms: float) -> None:
        self._failed_ms = now_ms
        if self.is_open:
            return
        for_ms = min(_LONGEST_OPEN_MS, _FIRST_OPEN_MS * 2**self._opened)
        self._opened += 1
        self._losses = 0
        self._open_until_ms = now_ms + for_ms
