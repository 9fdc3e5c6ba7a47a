"""A place for a request: memory reserved on a decode engine."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import contextlib
from typing import Protocol

from jujubewharf.configuration import resources
from jujubewharf.forwarding import runs


def _nothing() -> None:
    pass


class Place:
    """Memory reserved on a decode engine.

    Args:
        engine: The engine.
        hold: Names the reservation.
        since_ms: When it was reserved.
        tokens: Memory that is reserved.
        memory_part: Part of the engine's memory.
        has_permit: Whether a permit was taken, as the engine names a limit.

    Attributes:
        engine: The engine.
        hold: Names the reservation.
        since_ms: When it was reserved.
        tokens: Memory that is reserved.
        memory_part: Part of the engine's memory.
        has_permit: Whether a permit was taken, as the engine names a limit.
        readers: Engines that may read the prompt, the best first.
        reading_ended: Called once the prompt is read, or isn't going to be.
    """

    def __init__(
        self,
        engine: resources.Endpoint,
        hold: str,
        *,
        since_ms: float,
        tokens: int,
        memory_part: float,
        has_permit: bool = False,
    ) -> None:
        self.engine = engine
        self.hold = hold
        self.since_ms = since_ms
        self.tokens = tokens
        self.memory_part = memory_part
        self.has_permit = has_permit
        self.readers: Sequence[resources.Endpoint] = ()
        self.reading_ended: Callable[[], None] = _nothing
        self._is_taken = False

    def take_hold(self) -> str | None:
        """The reservation, which a sending uses up; given out once."""
        if self._is_taken:
            return None
        self._is_taken = True
        return self.hold


class Places(Protocol):
    """Finds memory for requests."""

    def place(
        self, run: runs.Run
    ) -> contextlib.AbstractAsyncContextManager[Place]:
        """Waits for memory and holds it for the block.

        Raises:
            WharfError: There is none; nothing ran for this sending.
        """
        ...
