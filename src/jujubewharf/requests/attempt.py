"""Runs one attempt: reservation, prefill, KV transfer, decode, release."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import enum

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.requests import answer as answers
from jujubewharf.requests import counters as request_counters
from jujubewharf.requests import model_request
from jujubewharf.requests import releases
from jujubewharf.requests import retries
from jujubewharf.routing import eligibility
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs
from jujubewharf.routing import placer as placers

_MIN_TRANSFER_TIMEOUT_MS = 1_000.0
_TRANSFER_TIMEOUT_FACTOR = 8.0
_MAX_TRANSFERS = 3


class Dispatch(enum.Enum):
    """Whether an engine was asked to decode the answer.

    Reservations and prefill don't count. They have no effect outside of the
    engine, so they may be repeated for any request.
    """

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


@dataclasses.dataclass(slots=True)
class Progress:
    """State of a request that all its attempts share.

    Attributes:
        answer: Answer of the request.
        dispatch: Whether any attempt may have started to decode.
        may_have_prefilled: Whether any engine may have started a prefill of the
            prompt.
        attempts: Number of attempts started.
        exclusions: Engines excluded after a failure.
        lost_engines: Engines that were lost after a dispatch.
    """

    answer: answers.Answer
    dispatch: Dispatch = Dispatch.NO
    may_have_prefilled: bool = False
    attempts: int = 0
    exclusions: retries.Exclusions = dataclasses.field(
        default_factory=retries.Exclusions
    )
    lost_engines: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptDependencies:
    """Dependencies shared by all attempts."""

    instance: str
    fleet: fleets.Fleet
    placer: placers.Placer
    clock: clocks.Clock
    releaser: releases.Releaser
    counters: request_counters.Counters


OnDispatch = Callable[[str, tuple[str, ...]], None]


class AttemptRun:
    """One attempt at a request; releases its resources on every exit.

    Args:
        tools: Dependencies shared by all attempts.
        request: The request.
        progress: State shared by all attempts of the request.
        make_job: Builds the routing job for the current state of the request.
        on_dispatch: Called with the attempt id and the names of its engines
            before decode starts.
    """

    def __init__(
        self,
        tools: AttemptDependencies,
        request: model_request.ModelRequest,
        progress: Progress,
        make_job: Callable[[], jobs.Job],
        on_dispatch: OnDispatch,
    ) -> None:
        self._tools = tools
        self._clock = tools.clock
        self._request = request
        self._progress = progress
        self._make_job = make_job
        self._on_dispatch = on_dispatch
        self._attempt = client.Attempt(
            f"{request.request_id}.{progress.attempts}", tools.instance
        )
        self._used_endpoints: list[resources.Endpoint] = []
        self._unused_prompt_tokens = 0
        self._waste_cause: request_counters.WasteCause | None = None

    @property
    def attempt_id(self) -> str:
        """Id under which the engines know the attempt."""
        return self._attempt.attempt_id

    async def run(self, choice: jobs.Choice) -> None:
        """Runs the attempt up to the last token.

        Raises:
            EngineError: An engine failed; another attempt may succeed.
            WharfError: The request failed and must not be attempted again.
        """
        self._tools.releaser.begin(self.attempt_id)
        try:
            async with contextlib.AsyncExitStack() as placements:
                decode = await self._prepare_decode(choice, placements)
                await self._decode(decode)
        except asyncio.CancelledError:
            self._waste_cause = self._cause_of_cancel()
            raise
        finally:
            self._tools.releaser.end(self.attempt_id)
            for endpoint in self._used_endpoints:
                self._tools.releaser.release(self.attempt_id, endpoint)
            self._count_waste()

    async def _prepare_decode(
        self, choice: jobs.Choice, placements: contextlib.AsyncExitStack
    ) -> resources.Endpoint:
        """Prepares a decode engine: reservation, and prefill and transfer.

        Returns:
            The engine to decode on.
        """
        if choice.prefill is None:
            assert choice.decode is not None
            await self._reserve(choice.decode, choice.reserve_at_ms)
            return choice.decode
        if choice.decode is None:
            done = await self._prefill(choice.prefill, choice.prefill_at_ms)
            decode = await self._find_slot(
                placements, self._kv_expires_ms(done)
            )
        elif choice.reserve_at_ms <= choice.prefill_at_ms:
            decode = choice.decode
            await self._reserve(decode, choice.reserve_at_ms)
            done = await self._prefill(choice.prefill, choice.prefill_at_ms)
        else:
            done, decode = await self._prefill_while_reserving(
                choice, placements
            )
        expires_ms = self._kv_expires_ms(done)
        return await self._transfer(
            choice.prefill, decode, done, placements, expires_ms
        )

    async def _prefill_while_reserving(
        self, choice: jobs.Choice, placements: contextlib.AsyncExitStack
    ) -> tuple[client.PrefillResult, resources.Endpoint]:
        """Runs the prefill while the reservation waits for a free slot."""
        assert choice.prefill is not None
        assert choice.decode is not None
        reserving = asyncio.create_task(
            self._reserve(choice.decode, choice.reserve_at_ms)
        )
        try:
            done = await self._prefill(choice.prefill, choice.prefill_at_ms)
            expires_ms = self._kv_expires_ms(done)
            try:
                left_ms = expires_ms - self._clock.now_ms()
                async with self._clock.timeout_ms(left_ms):
                    await asyncio.shield(reserving)
                return done, choice.decode
            except TimeoutError:
                error = client.EngineError(
                    client.EngineFault.REFUSED_FULL, choice.decode.name
                )
            except client.EngineError as failure:
                error = failure
            self._record_failure(error)
            self._tools.counters.moved(error.fault.value)
            return done, await self._find_slot(placements, expires_ms)
        finally:
            reserving.cancel()
            await asyncio.gather(reserving, return_exceptions=True)

    async def _reserve(
        self, endpoint: resources.Endpoint, at_ms: float
    ) -> None:
        await self._clock.sleep_until_ms(at_ms)
        view = self._view(endpoint)
        self._used_endpoints.append(endpoint)
        await view.client.reserve(self._attempt)

    async def _prefill(
        self, prefill: resources.Endpoint, at_ms: float
    ) -> client.PrefillResult:
        await self._clock.sleep_until_ms(at_ms)
        view = self._view(prefill)
        self._used_endpoints.append(prefill)
        request = self._request
        job = client.PrefillJob(
            request.service.model, request.prompt, request.priority
        )
        was_prefilled = self._progress.may_have_prefilled
        self._progress.may_have_prefilled = True
        try:
            done = await view.client.prefill(self._attempt, job)
        except client.EngineError as error:
            if error.fault in retries.NO_EFFECT_FAULTS:
                self._progress.may_have_prefilled = was_prefilled
            raise
        self._unused_prompt_tokens = done.prompt_tokens
        self._waste_cause = request_counters.WasteCause.ENGINE_FAILED
        return done

    def _kv_expires_ms(self, done: client.PrefillResult) -> float:
        return self._clock.now_ms() + done.survives_ms

    async def _find_slot(
        self, placements: contextlib.AsyncExitStack, expires_ms: float
    ) -> resources.Endpoint:
        """Reserves another decode engine before the prefill result expires."""
        self._waste_cause = request_counters.WasteCause.NO_DECODE_SLOT
        backoff_ms = 5.0
        try:
            async with self._clock.timeout_ms(
                expires_ms - self._clock.now_ms()
            ):
                while True:
                    placement = self._tools.placer.place_decode(
                        self._make_job()
                    )
                    try:
                        choice = await placements.enter_async_context(placement)
                        if choice.decode is None:
                            raise self._kv_gone()
                        await self._reserve(choice.decode, 0.0)
                        return choice.decode
                    except client.EngineError as error:
                        self._record_failure(error)
                    except errors.WharfError as error:
                        if not errors.TABLE[error.kind].retryable:
                            raise
                    await self._clock.sleep_ms(backoff_ms)
                    backoff_ms *= 2
        except TimeoutError:
            raise self._kv_gone() from None

    async def _transfer(
        self,
        prefill: resources.Endpoint,
        decode: resources.Endpoint,
        done: client.PrefillResult,
        placements: contextlib.AsyncExitStack,
        expires_ms: float,
    ) -> resources.Endpoint:
        """Transfers the KV cache; on failure, tries other decode engines."""
        for transfers_left in reversed(range(_MAX_TRANSFERS)):
            try:
                await self._import_kv(prefill, decode, done)
                return decode
            except client.EngineError as error:
                self._record_failure(error)
                self._tools.releaser.release(self.attempt_id, decode)
                is_over = self._clock.now_ms() >= expires_ms
                if not transfers_left or is_over or _is_kv_gone(error):
                    raise
                self._tools.counters.moved(error.fault.value)
            decode = await self._find_slot(placements, expires_ms)
        raise AssertionError

    async def _import_kv(
        self,
        prefill: resources.Endpoint,
        decode: resources.Endpoint,
        done: client.PrefillResult,
    ) -> None:
        self._waste_cause = request_counters.WasteCause.TRANSFER_FAILED
        rate = min(prefill.link_bytes_per_s, decode.link_bytes_per_s)
        ideal_ms = done.kv_bytes / rate * clocks.MS_PER_S
        limit_ms = (
            _MIN_TRANSFER_TIMEOUT_MS + _TRANSFER_TIMEOUT_FACTOR * ideal_ms
        )
        view = self._view(decode)
        try:
            async with self._clock.timeout_ms(limit_ms):
                await view.client.import_kv(self._attempt, prefill.address)
        except TimeoutError:
            # A stalled transfer would hold the slot and the prefill result
            # indefinitely. Either end may be the cause, so both are excluded.
            self._waste_cause = request_counters.WasteCause.TRANSFER_STALLED
            fault = client.EngineFault.LOST
            source = client.EngineError(fault, prefill.name)
            self._progress.exclusions.add(source, self._clock.now_ms())
            raise client.EngineError(fault, decode.name) from None
        self._waste_cause = request_counters.WasteCause.ENGINE_FAILED

    async def _decode(self, decode: resources.Endpoint) -> None:
        view = self._view(decode)
        answer = self._progress.answer
        can_resume = decode.capabilities.resume and eligibility.has_version(
            view, answer.model_version
        )
        delivered = tuple(answer.texts) if can_resume else ()
        job = client.DecodeJob(
            model=self._request.service.model,
            prompt=self._request.prompt,
            max_tokens=self._request.max_tokens,
            first_index=len(delivered),
            delivered=delivered,
            priority=self._request.priority,
        )
        self._on_dispatch(
            self.attempt_id, tuple(e.name for e in self._used_endpoints)
        )
        before = self._progress.dispatch
        if before is Dispatch.NO:
            self._progress.dispatch = Dispatch.MAYBE
        try:
            await self._read_chunks(view, job)
        except client.EngineError as error:
            did_nothing = error.fault in retries.NO_EFFECT_FAULTS
            if did_nothing and self._progress.dispatch is Dispatch.MAYBE:
                self._progress.dispatch = before
            raise

    async def _read_chunks(
        self, view: fleets.EngineView, job: client.DecodeJob
    ) -> None:
        index = job.first_index
        stream = view.client.decode(self._attempt, job)
        async with contextlib.aclosing(stream) as chunks:  # type: ignore[type-var]
            async for chunk in chunks:
                self._progress.dispatch = Dispatch.YES
                self._unused_prompt_tokens = 0
                index = self._add_chunk(view, chunk, index)
                if chunk.is_last:
                    return
        raise client.EngineError(client.EngineFault.LOST, view.endpoint.name)

    def _add_chunk(
        self, view: fleets.EngineView, chunk: client.TokenChunk, index: int
    ) -> int:
        """Adds new tokens to the answer and verifies replayed ones.

        An engine without the resume capability, or of another model version,
        starts again at the first token. Tokens that the caller already has must
        be identical, or the caller would get parts of two different answers.
        """
        if chunk.first_index != index:
            fault = client.EngineFault.LOST
            raise client.EngineError(fault, view.endpoint.name)
        answer = self._progress.answer
        existing = answer.texts[index : index + len(chunk.tokens)]
        if list(chunk.tokens[: len(existing)]) != existing:
            raise errors.WharfError(errors.ErrorKind.ANSWER_BROKEN)
        index += len(chunk.tokens)
        if chunk.is_last and index < len(answer.texts):
            raise errors.WharfError(errors.ErrorKind.ANSWER_BROKEN)
        new_tokens = chunk.tokens[len(existing) :]
        if new_tokens:
            answer.model_version = eligibility.version_of(view)
            answer.add(new_tokens)
        return index

    def _view(self, endpoint: resources.Endpoint) -> fleets.EngineView:
        view = self._tools.fleet.view(endpoint.name)
        if view is None:
            fault = client.EngineFault.UNREACHABLE
            raise client.EngineError(fault, endpoint.name)
        return view

    def _record_failure(self, error: client.EngineError) -> None:
        self._tools.placer.record_failure(error.engine, error.fault)
        self._progress.exclusions.add(error, self._clock.now_ms())

    def _kv_gone(self) -> client.EngineError:
        return client.EngineError(client.EngineFault.KV_GONE)

    def _cause_of_cancel(self) -> request_counters.WasteCause:
        request = self._request
        deadline_at_ms = request.arrived_ms + request.deadline_ms
        if self._clock.now_ms() >= deadline_at_ms:
            return request_counters.WasteCause.DEADLINE
        return request_counters.WasteCause.CALLER_GONE

    def _count_waste(self) -> None:
        if self._unused_prompt_tokens and self._waste_cause is not None:
            self._tools.counters.wasted(
                self._waste_cause, self._unused_prompt_tokens
            )


def _is_kv_gone(error: client.EngineError) -> bool:
    return error.fault is client.EngineFault.KV_GONE
