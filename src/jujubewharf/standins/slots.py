"""Decode slot of a stand-in engine."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jujubewharf.engines import client
    from jujubewharf.standins import generation as generations


@dataclasses.dataclass(slots=True)
class Slot:
    """A decode slot held by an attempt.

    Attributes:
        attempt: Attempt that holds the slot.
        taken_at_ms: Clock time at which it was reserved.
        has_kv: Whether a prefill result has been imported.
        generation: The answer, once decoding has started.
    """

    attempt: client.Attempt
    taken_at_ms: float
    has_kv: bool = False
    generation: generations.Generation | None = None

    async def abort(self) -> None:
        """Aborts a running answer for all its readers."""
        if self.generation is None:
            return
        if self.generation.task is not None:
            self.generation.task.cancel()
        await self.generation.abort()
