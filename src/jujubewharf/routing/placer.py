"""Places requests: asks the policy, waits, and counts this instance's work."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.engines import client
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs
from jujubewharf.routing import policy as policies


class Placer:
    """What the life of a request needs of routing.

    Args:
        policy: Decides.
        fleet: Views of the engines.
        clock: Time.
    """

    def __init__(
        self,
        policy: policies.Policy,
        fleet: fleets.Fleet,
        clock: clocks.Clock,
    ) -> None:
        self._policy = policy
        self._fleet = fleet
        self._clock = clock

    @contextlib.asynccontextmanager
    async def placed(self, job: jobs.Job) -> AsyncIterator[jobs.Choice]:
        """Waits for a place and holds it for the block.

        Raises:
            WharfError: The request is refused; nothing ran for this job.
        """
        choice = await self._decide(job, is_prefilled=False)
        with self._counted(job, choice):
            yield choice

    @contextlib.asynccontextmanager
    async def moved(self, job: jobs.Job) -> AsyncIterator[jobs.Choice]:
        """As ``placed``, for a job whose prompt was read already."""
        choice = await self._decide(job, is_prefilled=True)
        with self._counted(job, choice):
            yield choice

    def failed(self, engine: str, fault: client.EngineFault) -> None:
        """Learns that a call to an engine failed."""
        view = self._fleet.view(engine)
        if view is not None and fault is client.EngineFault.UNREACHABLE:
            view.is_suspect = True

    async def _decide(
        self, job: jobs.Job, *, is_prefilled: bool
    ) -> jobs.Choice:
        policy = self._policy
        ask = policy.place_decode if is_prefilled else policy.place
        while True:
            match ask(job, self._fleet):
                case jobs.Choice() as choice:
                    return choice
                case jobs.Later(after_ms):
                    await self._clock.sleep_ms(after_ms)
                case jobs.Refusal(kind, retry_after_ms):
                    raise errors.WharfError(kind, retry_after_ms=retry_after_ms)

    @contextlib.contextmanager
    def _counted(self, job: jobs.Job, choice: jobs.Choice):  # type: ignore[no-untyped-def]
        decode = self._view(choice.decode)
        prefill = self._view(choice.prefill)
        if decode is not None:
            decode.own_slots += 1
        if prefill is not None:
            prefill.own_prefill_tokens += job.prompt_tokens
        try:
            yield
        finally:
            if decode is not None:
                decode.own_slots -= 1
            if prefill is not None:
                prefill.own_prefill_tokens -= job.prompt_tokens

    def _view(self, endpoint: object) -> fleets.EngineView | None:
        name = getattr(endpoint, "name", None)
        return self._fleet.view(name) if name is not None else None
