"""Places requests by the routing policy and tracks this instance's load."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.routing import counters
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs
from jujubewharf.routing import policy as policies


class Placer:
    """Routing interface for the request lifecycle.

    Args:
        policy: Routing policy.
        fleet: Engine views.
        clock: Time source.
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
    async def place(self, job: jobs.Job) -> AsyncIterator[jobs.Choice]:
        """Waits for a placement and holds it for the duration of the block.

        Raises:
            WharfError: The request was rejected; nothing ran for this job.
        """
        async with self._place(job, is_prefilled=False) as choice:
            yield choice

    @contextlib.asynccontextmanager
    async def place_decode(self, job: jobs.Job) -> AsyncIterator[jobs.Choice]:
        """Like ``place``, for a job whose prefill is complete."""
        async with self._place(job, is_prefilled=True) as choice:
            yield choice

    def record_failure(self, engine: str, fault: client.EngineFault) -> None:
        """Records a failed call to an engine."""
        view = self._fleet.view(engine)
        if view is not None:
            view.record_failure(fault)

    @contextlib.asynccontextmanager
    async def _place(
        self, job: jobs.Job, *, is_prefilled: bool
    ) -> AsyncIterator[jobs.Choice]:
        policy = self._policy
        try:
            if isinstance(policy, policies.AsyncPolicy):
                choice = await self._await_policy(policy, job, is_prefilled)
            else:
                choice = await self._poll_policy(policy, job, is_prefilled)
            with self._track_load(job, choice):
                yield choice
        finally:
            if isinstance(policy, policies.AsyncPolicy):
                policy.release(job, is_prefilled=is_prefilled)

    async def _await_policy(
        self, policy: policies.AsyncPolicy, job: jobs.Job, is_prefilled: bool
    ) -> jobs.Choice:
        if is_prefilled:
            decision = await policy.wait_for_decode(job)
        else:
            decision = await policy.wait_for_placement(job)
        match decision:
            case jobs.Choice() as choice:
                return choice
            case jobs.Refusal(kind, retry_after_ms):
                counters.count_refusal(kind)
                raise errors.WharfError(kind, retry_after_ms=retry_after_ms)
            case jobs.RetryLater():
                raise AssertionError(
                    "a policy that waits must not return RetryLater"
                )

    async def _poll_policy(
        self, policy: policies.SyncPolicy, job: jobs.Job, is_prefilled: bool
    ) -> jobs.Choice:
        decide = policy.place_decode if is_prefilled else policy.place
        while True:
            match decide(job, self._fleet):
                case jobs.Choice() as choice:
                    return choice
                case jobs.RetryLater(after_ms):
                    await self._clock.sleep_ms(after_ms)
                case jobs.Refusal(kind, retry_after_ms):
                    counters.count_refusal(kind)
                    raise errors.WharfError(kind, retry_after_ms=retry_after_ms)

    @contextlib.contextmanager
    def _track_load(self, job: jobs.Job, choice: jobs.Choice) -> Iterator[None]:
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

    def _view(
        self, endpoint: resources.Endpoint | None
    ) -> fleets.EngineView | None:
        return self._fleet.view(endpoint.name) if endpoint is not None else None
