"""What sendings tell of engines and of the work that they take."""

from __future__ import annotations

from typing import Protocol

from jujubewharf.engines import client
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import margins
from jujubewharf.forwarding import pool as pools


class Observations(Protocol):
    """Whoever learns from sendings."""

    def prompt_read(self, engine: str, took_ms: float, *, tokens: int) -> None:
        """An engine has read a prompt."""
        ...

    def began(self, took_ms: float) -> None:
        """An answer's first event came so long after its memory."""
        ...

    def projected(self, will_take_ms: float, *, memory_part: float) -> None:
        """An answer that runs is going to keep its memory so long."""
        ...

    def ended(self, expected_tokens: int, tokens: int) -> None:
        """An answer has come to its end."""
        ...

    def failed(self, error: client.EngineError) -> None:
        """A call to an engine failed."""
        ...

    def changing(self, engine: str) -> None:
        """An engine is carrying out an order."""
        ...

    def answered(self, engine: str) -> None:
        """An engine has begun an answer."""
        ...

    def refused_reading(self, engine: str) -> None:
        """An engine takes no prompt now."""
        ...


class LocalObservations:
    """Teaches what this instance decides by.

    Args:
        work: Learns what requests cost.
        lengths: Learns how long answers are.
        pool: Learns how engines fare.
    """

    def __init__(
        self,
        work: costs.WorkCosts,
        lengths: margins.AnswerLengths,
        pool: pools.EnginePool,
    ) -> None:
        self._work = work
        self._lengths = lengths
        self._pool = pool

    def prompt_read(self, engine: str, took_ms: float, *, tokens: int) -> None:
        """See ``Observations``."""
        self._pool.answered(engine)
        busy_ms = self._pool.read(engine, took_ms=took_ms, tokens=tokens)
        self._work.prefilled(took_ms, prompt_tokens=tokens, busy_ms=busy_ms)

    def began(self, took_ms: float) -> None:
        """See ``Observations``."""
        self._work.began(took_ms)

    def projected(self, will_take_ms: float, *, memory_part: float) -> None:
        """See ``Observations``."""
        self._work.projected(will_take_ms, memory_part=memory_part)

    def ended(self, expected_tokens: int, tokens: int) -> None:
        """See ``Observations``."""
        self._lengths.ended(margins.Answer(expected_tokens, tokens))

    def failed(self, error: client.EngineError) -> None:
        """See ``Observations``."""
        self._pool.failed(error)

    def changing(self, engine: str) -> None:
        """See ``Observations``."""
        self._pool.changing(engine)

    def answered(self, engine: str) -> None:
        """See ``Observations``."""
        self._pool.answered(engine)

    def refused_reading(self, engine: str) -> None:
        """See ``Observations``."""
        self._pool.refused_reading(engine)
