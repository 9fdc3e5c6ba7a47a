"""Whether the platform's store answers this instance.

All readers of an instance share one ``StoreAvailability``. While the store is
unavailable, a failed call of one reader postpones the retries of the others,
and the first answer wakes all of them. The load is one call at a time and
instance, at the shortest retry interval among the readers.
"""

from __future__ import annotations

import asyncio
import contextlib
import random

from jujubewharf import clock as clocks

# Longest first pause after a failed call, and its growth with each further one.
# Pauses are jittered, so that instances that lost the store at the same time do
# not reconnect at the same time.
_FIRST_PAUSE_MS = 375.0
_GROWTH = 2.0
# Shortest pause, as a share of the longest.
_MIN_JITTER = 0.7
# Time after a failed call for which the store counts as away. Longer than the
# pauses of the readers of the tables, one of which calls again until then.
_AWAY_MS = 1_500.0


class StoreAvailability:
    """Answers and failures of this instance's calls to the store.

    Args:
        clock: Clock.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._answered = asyncio.Event()
        self._is_away = False
        self._away_at_ms = 0.0

    def record_answer(self) -> None:
        """Records an answer; readers that wait for a retry continue."""
        self._is_away = False
        answered, self._answered = self._answered, asyncio.Event()
        answered.set()

    def record_failure(self, *, began_ms: float) -> None:
        """Records a failed call.

        Args:
            began_ms: Time in ms at which the call began. Whether the store has
                returned since is unknown.
        """
        self._is_away = True
        self._away_at_ms = max(began_ms, self._away_at_ms)

    @property
    def is_away(self) -> bool:
        """Whether the last call failed, and has only just."""
        away_ms = self._clock.now_ms() - self._away_at_ms
        return self._is_away and away_ms < _AWAY_MS

    @property
    def next_answer(self) -> asyncio.Event:
        """Event that is set by the next answer to any reader."""
        return self._answered

    async def wait(self, answered: asyncio.Event, *, quiet_ms: float) -> None:
        """Waits for an answer to any reader.

        Args:
            answered: The answer to wait for; see ``next_answer``.
            quiet_ms: Time in ms after the last failed call of any reader after
                which to return without an answer.
        """
        while not answered.is_set():
            left_ms = self._away_at_ms + quiet_ms - self._clock.now_ms()
            if left_ms <= 0.0:
                return
            with contextlib.suppress(TimeoutError):
                async with self._clock.timeout_ms(left_ms):
                    await answered.wait()


class RetryBackoff:
    """Pauses of one reader between failed calls.

    Args:
        availability: Shared by all readers of the instance.
        clock: Clock.
        rng: Jitter of the pauses.
        max_pause_ms: Time in ms after a failed call of any reader within which
            this reader calls again.
    """

    def __init__(
        self,
        availability: StoreAvailability,
        clock: clocks.Clock,
        rng: random.Random,
        *,
        max_pause_ms: float,
    ) -> None:
        self._availability = availability
        self._clock = clock
        self._rng = rng
        self._max_pause_ms = max_pause_ms
        self._longest_ms = _FIRST_PAUSE_MS

    def record_answer(self) -> None:
        """Records an answer; the next failure is a first one again."""
        self._longest_ms = _FIRST_PAUSE_MS
        self._availability.record_answer()

    async def pause(self, *, began_ms: float) -> None:
        """Pauses after a failed call.

        Args:
            began_ms: Time in ms at which the call began.
        """
        self._availability.record_failure(began_ms=began_ms)
        answered = self._availability.next_answer
        pause_ms = self._jittered(min(self._longest_ms, self._max_pause_ms))
        self._longest_ms = min(_GROWTH * self._longest_ms, self._max_pause_ms)
        # Answers to other readers don't end the first pause: this reader's
        # calls may fail by themselves.
        await self._clock.sleep_ms(
            self._jittered(min(_FIRST_PAUSE_MS, self._max_pause_ms))
        )
        await self._availability.wait(answered, quiet_ms=pause_ms)

    def _jittered(self, longest_ms: float) -> float:
        share = _MIN_JITTER + (1.0 - _MIN_JITTER) * self._rng.random()
        return longest_ms * share
