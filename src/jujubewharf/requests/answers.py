"""All answers of this instance: who runs, who follows, who left."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
import dataclasses

import mode

from jujubewharf import clock as clocks
from jujubewharf.requests import answer as answers
from jujubewharf.requests import life
from jujubewharf.requests import model_request

_FLUSH_MS = 2_000.0


@dataclasses.dataclass(slots=True)
class Held:
    """An answer and the task that writes it."""

    request: model_request.ModelRequest
    answer: answers.Answer
    task: asyncio.Task[None] | None = None
    followers: int = 0


class Answers(mode.Service):
    """Starts requests and lets callers follow their answers.

    The task that writes an answer is not the caller's: so a timeout strikes
    only there, and a retry can join it.

    Args:
        runner: Runs requests.
        clock: Time.
    """

    def __init__(self, runner: life.RequestRunner, clock: clocks.Clock) -> None:
        super().__init__()
        self._runner = runner
        self._clock = clock

    async def answer(
        self, request: model_request.ModelRequest
    ) -> AsyncGenerator[model_request.Event, None]:
        """Answers a request; the last event is ``Finished`` or ``Failed``."""
        held = Held(request, answers.Answer(self._clock))
        held.task = asyncio.create_task(self._runner.run(request, held.answer))
        until_ms = request.arrived_ms + request.deadline_ms + 1_000.0
        try:
            async for event in held.answer.follow(until_ms):
                yield event
        finally:
            held.task.cancel()

    async def on_stop(self) -> None:
        """Lets releases under way arrive."""
        await self._runner.releaser.flush(_FLUSH_MS)
