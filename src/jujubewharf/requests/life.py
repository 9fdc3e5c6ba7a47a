"""One model request, written straight down: place, reserve, read, write.

Every way out of an attempt goes through its ``release``, so an engine's
memory is never left with a request whose caller or engine is gone.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
import dataclasses

import structlog

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf import hashing
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.engines import prefixes
from jujubewharf.requests import model_request
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs
from jujubewharf.routing import placer as placers

_MAX_ATTEMPTS = 4


@dataclasses.dataclass(slots=True)
class _Progress:
    """What the caller has so far."""

    texts: list[str] = dataclasses.field(default_factory=list)
    attempts: int = 0
    has_run: bool = False
    excluded: frozenset[str] = frozenset()


class RequestRunner:
    """Runs model requests on the engines.

    Args:
        instance: Name of this instance; engines learn it as owner.
        fleet: Views of the engines.
        placer: Finds places for requests.
        clock: Time.
    """

    def __init__(
        self,
        instance: str,
        fleet: fleets.Fleet,
        placer: placers.Placer,
        clock: clocks.Clock,
    ) -> None:
        self._instance = instance
        self._fleet = fleet
        self._placer = placer
        self._clock = clock
        self._logger = structlog.get_logger()
        self._cleanups: set[asyncio.Task[None]] = set()

    async def run(
        self, request: model_request.ModelRequest
    ) -> AsyncGenerator[model_request.Event, None]:
        """Answers a request; the last event is ``Finished`` or ``Failed``."""
        progress = _Progress()
        try:
            async with self._clock.timeout_ms(request.deadline_ms):
                async for event in self._attempts(request, progress):
                    yield event
        except TimeoutError:
            kind = errors.ErrorKind.DEADLINE_EXCEEDED
            yield self._failed(kind, progress)
        except errors.WharfError as error:
            yield self._failed(
                error.kind, progress, retry_after_ms=error.retry_after_ms
            )

    async def _attempts(
        self, request: model_request.ModelRequest, progress: _Progress
    ) -> AsyncIterator[model_request.Event]:
        while True:
            job = self._job(request, progress)
            try:
                async with self._placer.placed(job) as choice:
                    async for event in self._attempt(request, progress, choice):
                        yield event
                return
            except client.EngineError as error:
                self._after_failure(request, progress, error)

    async def _attempt(
        self,
        request: model_request.ModelRequest,
        progress: _Progress,
        choice: jobs.Choice,
    ) -> AsyncIterator[model_request.Event]:
        progress.attempts += 1
        attempt = client.Attempt(
            f"{request.request_id}.{progress.attempts}", self._instance
        )
        assert choice.decode is not None
        try:
            decode = self._view(choice.decode)
            await self._clock.sleep_until_ms(choice.reserve_at_ms)
            progress.has_run = True
            await decode.client.reserve(attempt)
            if choice.prefill is not None and not progress.texts:
                await self._clock.sleep_until_ms(choice.prefill_at_ms)
                await self._read_prompt(request, choice.prefill, attempt)
                await decode.client.import_kv(attempt, choice.prefill.address)
            async for event in self._write(request, progress, decode, attempt):
                yield event
        finally:
            self._clean_up(attempt, choice)

    async def _read_prompt(
        self,
        request: model_request.ModelRequest,
        prefill: resources.Endpoint,
        attempt: client.Attempt,
    ) -> None:
        job = client.PrefillJob(
            request.service.model, request.prompt, request.priority
        )
        await self._view(prefill).client.prefill(attempt, job)

    def _view(self, endpoint: resources.Endpoint) -> fleets.EngineView:
        view = self._fleet.view(endpoint.name)
        if view is None:
            fault = client.EngineFault.UNREACHABLE
            raise client.EngineError(fault, endpoint.name)
        return view

    async def _write(
        self,
        request: model_request.ModelRequest,
        progress: _Progress,
        view: fleets.EngineView,
        attempt: client.Attempt,
    ) -> AsyncIterator[model_request.Event]:
        job = client.DecodeJob(
            model=request.service.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            first_index=len(progress.texts),
            delivered=tuple(progress.texts),
            priority=request.priority,
        )
        async for chunk in view.client.decode(attempt, job):
            if chunk.first_index != len(progress.texts):
                fault = client.EngineFault.LOST
                raise client.EngineError(fault, view.endpoint.name)
            if chunk.tokens:
                progress.texts.extend(chunk.tokens)
                yield model_request.Tokens(chunk.first_index, chunk.tokens)
            if chunk.is_last:
                whole = "".join(progress.texts).encode()
                yield model_request.Finished(
                    len(progress.texts),
                    hashing.digest(whole),
                    attempt.attempt_id,
                )
                return
        raise client.EngineError(client.EngineFault.LOST, view.endpoint.name)

    def _after_failure(
        self,
        request: model_request.ModelRequest,
        progress: _Progress,
        error: client.EngineError,
    ) -> None:
        self._logger.info(
            "attempt_failed",
            request=request.request_id,
            attempt=progress.attempts,
            engine=error.engine,
            fault=error.fault.value,
        )
        self._placer.failed(error.engine, error.fault)
        if progress.has_run and not request.is_repeatable:
            raise errors.WharfError(errors.ErrorKind.OUTCOME_UNKNOWN)
        if progress.attempts >= _MAX_ATTEMPTS:
            raise errors.WharfError(errors.ErrorKind.ENGINE_FAILED)
        if error.engine:
            progress.excluded |= {error.engine}

    def _clean_up(self, attempt: client.Attempt, choice: jobs.Choice) -> None:
        for endpoint in (choice.decode, choice.prefill):
            if endpoint is None:
                continue
            task = asyncio.create_task(self._release(attempt, endpoint))
            self._cleanups.add(task)
            task.add_done_callback(self._cleanups.discard)

    async def _release(
        self, attempt: client.Attempt, endpoint: resources.Endpoint
    ) -> None:
        view = self._fleet.view(endpoint.name)
        if view is None:
            return
        try:
            await view.client.release(attempt.attempt_id)
        except client.EngineError as error:
            self._logger.info(
                "release_failed",
                attempt=attempt.attempt_id,
                engine=endpoint.name,
                fault=error.fault.value,
            )

    def _job(
        self, request: model_request.ModelRequest, progress: _Progress
    ) -> jobs.Job:
        service = request.service
        return jobs.Job(
            service=service,
            prompt_tokens=len(prefixes.tokens_of(request.prompt)),
            max_tokens=request.max_tokens,
            prefix_hashes=prefixes.prefix_hashes(request.prompt),
            arrived_ms=request.arrived_ms,
            first_answer_by_ms=(
                request.arrived_ms + service.first_answer_target_ms
            ),
            complete_by_ms=request.arrived_ms + service.completion_target_ms,
            deadline_at_ms=request.arrived_ms + request.deadline_ms,
            priority=request.priority,
            first_index=len(progress.texts),
            excluded=progress.excluded,
        )

    def _failed(
        self,
        kind: errors.ErrorKind,
        progress: _Progress,
        *,
        retry_after_ms: float | None = None,
    ) -> model_request.Failed:
        ran = errors.TABLE[kind].ran
        if ran is errors.Ran.YES and not progress.has_run:
            ran = errors.Ran.NO
        elif ran is errors.Ran.NO and progress.has_run:
            ran = errors.Ran.YES
        return model_request.Failed(kind, ran, retry_after_ms=retry_after_ms)
