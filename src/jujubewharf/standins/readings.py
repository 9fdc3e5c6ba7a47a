"""What became of every prompt an engine read: the truth behind waste."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jujubewharf import clock as clocks


class Fate(enum.Enum):
    """What became of a prompt that was read, or partly read."""

    READING = "reading"
    SENT = "sent"
    KEPT = "kept"
    EXPIRED = "expired"
    RELEASED = "released"
    CUT_SHORT = "cut_short"
    ENGINE_DIED = "engine_died"


@dataclasses.dataclass(slots=True)
class Reading:
    """One prompt read for one attempt.

    Attributes:
        attempt_id: The attempt.
        started_ms: When the reading began.
        tokens: Tokens read, those from the prefix cache left out.
        fate: What became of the result.
    """

    attempt_id: str
    started_ms: float
    tokens: int = 0
    fate: Fate = Fate.READING


class Ledger:
    """All readings of one engine, in the order they began.

    A result that was sent counts as used only if the answer was then begun:
    ``written`` of the engine that took it tells.

    Attributes:
        readings: All readings.
        written: Tokens written, by attempt.
    """

    def __init__(self) -> None:
        self.readings: list[Reading] = []
        self.written: dict[str, int] = {}
        self._latest: dict[str, Reading] = {}

    def begin(self, attempt_id: str, now_ms: float) -> Reading:
        """Notes that a prompt begins to be read."""
        reading = Reading(attempt_id, now_ms)
        self.readings.append(reading)
        self._latest[attempt_id] = reading
        return reading

    def settle(self, attempt_id: str, fate: Fate) -> None:
        """Notes what became of an attempt's latest reading."""
        reading = self._latest.pop(attempt_id, None)
        if reading is not None:
            reading.fate = fate

    def write(self, attempt_id: str, tokens: int) -> None:
        """Notes tokens written for an attempt."""
        self.written[attempt_id] = self.written.get(attempt_id, 0) + tokens


async def read(
    ledger: Ledger,
    clock: clocks.Clock,
    attempt_id: str,
    tokens: int,
    *,
    ms_per_token: float,
    is_dead: Callable[[], bool],
) -> None:
    """Reads a prompt, which takes its time, and notes how far it came.

    Args:
        ledger: Where it is noted.
        clock: Time.
        attempt_id: Whose prompt it is.
        tokens: Tokens to read.
        ms_per_token: Time for each.
        is_dead: Whether the engine died, asked when the reading is cut short.
    """
    began_ms = clock.now_ms()
    reading = ledger.begin(attempt_id, began_ms)
    try:
        await clock.sleep_ms(tokens * ms_per_token)
    except asyncio.CancelledError:
        done = int((clock.now_ms() - began_ms) / ms_per_token)
        reading.tokens = min(tokens, done)
        reading.fate = Fate.ENGINE_DIED if is_dead() else Fate.CUT_SHORT
        raise
    reading.tokens = tokens
