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
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs
from jujubewharf.routing import placer as placers

_SHORTEST_TRANSFER_TIMEOUT_MS = 1_000.0
_TRANSFER_SLACK = 8.0
_MAX_TRANSFERS = 3


class Dispatch(enum.Enum):
    """Whether an engine was told to decode the answer.

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
        is_read: Whether any engine may have started a prefill of the prompt.
        attempts: Number of attempts started.
        exclusions: Engines excluded after a failure.
        lost_engines: Engines that were lost after a dispatch.
    """

    answer: answers.Answer
    dispatch: Dispatch = Dispatch.NO
    is_read: bool = False
    attempts: int = 0
    exclusions: retries.Exclusions = dataclasses.field(
        default_factory=retries.Exclusions
    )
    lost_engines: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class Tools:
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
        tools: Tools,
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
        self._touched: list[resources.Endpoint] = []
        self._unused_tokens = 0
        self._cause: request_counters.WasteCause | None = None

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
            async with contextlib.AsyncExitStack() as places:
                decode = await self._until_kv(choice, places)
                await self._write(decode)
        except asyncio.CancelledError:
            self._cause = self._cause_of_cancel()
            raise
        finally:
            self._tools.releaser.end(self.attempt_id)
            for endpoint in self._touched:
                self._tools.releaser.release(self.attempt_id, endpoint)
            self._count_waste()

    async def _until_kv(
        self, choice: jobs.Choice, places: contextlib.AsyncExitStack
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
            done = await self._read(choice.prefill, choice.prefill_at_ms)
            decode = await self._find_slot(places, self._dies_ms(done))
        elif choice.reserve_at_ms <= choice.prefill_at_ms:
            decode = choice.decode
            await self._reserve(decode, choice.reserve_at_ms)
            done = await self._read(choice.prefill, choice.prefill_at_ms)
        else:
            done, decode = await self._read_while_waiting(choice, places)
        dies_ms = self._dies_ms(done)
        return await self._transfer(
            choice.prefill, decode, done, places, dies_ms
        )

    async def _read_while_waiting(
        self, choice: jobs.Choice, places: contextlib.AsyncExitStack
    ) -> tuple[client.PrefillDone, resources.Endpoint]:
        """Runs the prefill while the reservation waits for a free slot."""
        assert choice.prefill is not None
        assert choice.decode is not None
        reserving = asyncio.create_task(
            self._reserve(choice.decode, choice.reserve_at_ms)
        )
        try:
            done = await self._read(choice.prefill, choice.prefill_at_ms)
            dies_ms = self._dies_ms(done)
            try:
                left_ms = dies_ms - self._clock.now_ms()
                async with self._clock.timeout_ms(left_ms):
                    await asyncio.shield(reserving)
                return done, choice.decode
            except TimeoutError:
                error = client.EngineError(
                    client.EngineFault.REFUSED_FULL, choice.decode.name
                )
            except client.EngineError as failure:
                error = failure
            self._learn(error)
            self._tools.counters.moved(error.fault.value)
            return done, await self._find_slot(places, dies_ms)
        finally:
            reserving.cancel()
            await asyncio.gather(reserving, return_exceptions=True)

    async def _reserve(
        self, endpoint: resources.Endpoint, at_ms: float
    ) -> None:
        await self._clock.sleep_until_ms(at_ms)
        view = self._view(endpoint)
        self._touched.append(endpoint)
        await view.client.reserve(self._attempt)

    async def _read(
        self, prefill: resources.Endpoint, at_ms: float
    ) -> client.PrefillDone:
        await self._clock.sleep_until_ms(at_ms)
        view = self._view(prefill)
        self._touched.append(prefill)
        request = self._request
        job = client.PrefillJob(
            request.service.model, request.prompt, request.priority
        )
        was_read = self._progress.is_read
        self._progress.is_read = True
        try:
            done = await view.client.prefill(self._attempt, job)
        except client.EngineError as error:
            if error.fault in retries.DID_NOTHING:
                self._progress.is_read = was_read
            raise
        self._unused_tokens = done.prompt_tokens
        self._cause = request_counters.WasteCause.ENGINE_FAILED
        return done

    def _dies_ms(self, done: client.PrefillDone) -> float:
        return self._clock.now_ms() + done.survives_ms

    async def _find_slot(
        self, places: contextlib.AsyncExitStack, dies_ms: float
    ) -> resources.Endpoint:
        """Reserves another decode engine before the prefill result expires."""
        self._cause = request_counters.WasteCause.NO_DECODE_SLOT
        backoff_ms = 5.0
        try:
            async with self._clock.timeout_ms(dies_ms - self._clock.now_ms()):
                while True:
                    place = self._tools.placer.moved(self._make_job())
                    try:
                        choice = await places.enter_async_context(place)
                        if choice.decode is None:
                            raise self._kv_gone()
                        await self._reserve(choice.decode, 0.0)
                        return choice.decode
                    except client.EngineError as error:
                        self._learn(error)
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
        done: client.PrefillDone,
        places: contextlib.AsyncExitStack,
        dies_ms: float,
    ) -> resources.Endpoint:
        """Transfers the KV cache; on failure, tries other decode engines."""
        for left in reversed(range(_MAX_TRANSFERS)):
            try:
                await self._import(prefill, decode, done)
                return decode
            except client.EngineError as error:
                self._learn(error)
                self._tools.releaser.release(self.attempt_id, decode)
                is_over = self._clock.now_ms() >= dies_ms
                if not left or is_over or _is_gone(error):
                    raise
                self._tools.counters.moved(error.fault.value)
            decode = await self._find_slot(places, dies_ms)
        raise AssertionError

    async def _import(
        self,
        prefill: resources.Endpoint,
        decode: resources.Endpoint,
        done: client.PrefillDone,
    ) -> None:
        self._cause = request_counters.WasteCause.TRANSFER_FAILED
        rate = min(prefill.link_bytes_per_s, decode.link_bytes_per_s)
        ideal_ms = done.kv_bytes / rate * clocks.MS_PER_S
        limit_ms = _SHORTEST_TRANSFER_TIMEOUT_MS + _TRANSFER_SLACK * ideal_ms
        view = self._view(decode)
        try:
            async with self._clock.timeout_ms(limit_ms):
                await view.client.import_kv(self._attempt, prefill.address)
        except TimeoutError:
            # A stalled transfer would hold the slot and the prefill result
            # indefinitely. Either end may be the cause, so both are excluded.
            self._cause = request_counters.WasteCause.TRANSFER_STALLED
            fault = client.EngineFault.LOST
            source = client.EngineError(fault, prefill.name)
            self._progress.exclusions.add(source, self._clock.now_ms())
            raise client.EngineError(fault, decode.name) from None
        self._cause = request_counters.WasteCause.ENGINE_FAILED

    async def _write(self, decode: resources.Endpoint) -> None:
        view = self._view(decode)
        can_resume = decode.capabilities.resume
        answer = self._progress.answer
        delivered = tuple(answer.texts) if can_resume else ()
        job = client.DecodeJob(
            model=self._request.service.model,
            prompt=self._request.prompt,
            max_tokens=self._request.max_tokens,
            first_index=len(delivered),
            delivered=delivered,
            priority=self._request.priority,
        )
        self._on_dispatch(self.attempt_id, tuple(e.name for e in self._touched))
        before = self._progress.dispatch
        if before is Dispatch.NO:
            self._progress.dispatch = Dispatch.MAYBE
        try:
            await self._take_chunks(view, job)
        except client.EngineError as error:
            did_nothing = error.fault in retries.DID_NOTHING
            if did_nothing and self._progress.dispatch is Dispatch.MAYBE:
                self._progress.dispatch = before
            raise

    async def _take_chunks(
        self, view: fleets.EngineView, job: client.DecodeJob
    ) -> None:
        place = job.first_index
        stream = view.client.decode(self._attempt, job)
        async with contextlib.aclosing(stream) as chunks:  # type: ignore[type-var]
            async for chunk in chunks:
                self._progress.dispatch = Dispatch.YES
                self._unused_tokens = 0
                place = self._take(view, chunk, place)
                if chunk.is_last:
                    return
        raise client.EngineError(client.EngineFault.LOST, view.endpoint.name)

    def _take(
        self, view: fleets.EngineView, chunk: client.TokenChunk, place: int
    ) -> int:
        """Adds new tokens to the answer and verifies replayed ones.

        An engine without the resume capability starts again at the first token.
        Tokens that the caller already has must be identical, or the caller
        would get parts of two different answers.
        """
        if chunk.first_index != place:
            fault = client.EngineFault.LOST
            raise client.EngineError(fault, view.endpoint.name)
        answer = self._progress.answer
        known = answer.texts[place : place + len(chunk.tokens)]
        if list(chunk.tokens[: len(known)]) != known:
            raise errors.WharfError(errors.ErrorKind.ANSWER_BROKEN)
        place += len(chunk.tokens)
        if chunk.is_last and place < len(answer.texts):
            raise errors.WharfError(errors.ErrorKind.ANSWER_BROKEN)
        fresh = chunk.tokens[len(known) :]
        if fresh:
            answer.add(fresh)
        return place

    def _view(self, endpoint: resources.Endpoint) -> fleets.EngineView:
        view = self._tools.fleet.view(endpoint.name)
        if view is None:
            fault = client.EngineFault.UNREACHABLE
            raise client.EngineError(fault, endpoint.name)
        return view

    def _learn(self, error: client.EngineError) -> None:
        self._tools.placer.failed(error.engine, error.fault)
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
        if self._unused_tokens and self._cause is not None:
            self._tools.counters.wasted(self._cause, self._unused_tokens)


def _is_gone(error: client.EngineError) -> bool:
    return error.fault is client.EngineFault.KV_GONE
