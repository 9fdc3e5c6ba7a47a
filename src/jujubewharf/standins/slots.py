"""Decode memory of a stand-in engine, held for one attempt."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jujubewharf.engines import client
    from jujubewharf.standins import generation as generations


@dataclasses.dataclass(slots=True)
class Slot:
    """One slot.

    Attributes:
        attempt: Who holds it.
        taken_at_ms: Since when.
        has_kv: Whether a prefill result was pulled into it.
        generation: The answer, once begun.
    """

    attempt: client.Attempt
    taken_at_ms: float
    has_kv: bool = False
    generation: generations.Generation | None = None

    async def break_off(self) -> None:
        """Ends a running answer for all who read it."""
        if self.generation is None:
            return
        if self.generation.task is not None:
            self.generation.task.cancel()
        await self.generation.lose()
