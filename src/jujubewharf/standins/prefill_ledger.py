"""PrefillLedger of prefills and the fate of their results."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jujubewharf import clock as clocks


class Fate(enum.Enum):
    """Outcome of a complete or partial prefill."""

    READING = "reading"
    SENT = "sent"
    KEPT = "kept"
    EXPIRED = "expired"
    RELEASED = "released"
    CUT_SHORT = "cut_short"
    ENGINE_DIED = "engine_died"


@dataclasses.dataclass(slots=True)
class PrefillRecord:
    """One prefill of an attempt.

    Attributes:
        attempt_id: Id of the attempt.
        started_ms: Clock time of the start.
        tokens: Tokens prefilled, without those from the prefix cache.
        fate: Outcome of the prefill.
    """

    attempt_id: str
    started_ms: float
    tokens: int = 0
    fate: Fate = Fate.READING


class PrefillLedger:
    """Prefills and generated tokens of one engine.

    A sent result counts as used only if ``written`` of the receiving engine
    has tokens of the attempt.

    Attributes:
        prefills: All prefills, in order of their start.
        written: Number of generated tokens, by attempt id.
    """

    def __init__(self) -> None:
        self.prefills: list[PrefillRecord] = []
        self.written: dict[str, int] = {}
        self._latest: dict[str, PrefillRecord] = {}

    def begin(self, attempt_id: str, now_ms: float) -> PrefillRecord:
        """Records the start of a prefill."""
        reading = PrefillRecord(attempt_id, now_ms)
        self.prefills.append(reading)
        self._latest[attempt_id] = reading
        return reading

    def settle(self, attempt_id: str, fate: Fate) -> None:
        """Records the outcome of an attempt's latest prefill."""
        reading = self._latest.pop(attempt_id, None)
        if reading is not None:
            reading.fate = fate

    def write(self, attempt_id: str, tokens: int) -> None:
        """Records generated tokens of an attempt."""
        self.written[attempt_id] = self.written.get(attempt_id, 0) + tokens


async def simulate_prefill(
    ledger: PrefillLedger,
    clock: clocks.Clock,
    attempt_id: str,
    tokens: int,
    *,
    ms_per_token: float,
    is_dead: Callable[[], bool],
) -> None:
    """Simulates a prefill and records it, even if it is cancelled.

    Args:
        ledger: PrefillLedger that records the prefill.
        clock: Clock of the simulation.
        attempt_id: Id of the attempt.
        tokens: Number of tokens to prefill.
        ms_per_token: Prefill time per token.
        is_dead: Whether the engine has died; called on cancellation.
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
