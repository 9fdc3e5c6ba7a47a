"""One attempt of a streamed request: reserve memory, prefill, decode.

Memory on a decode engine is reserved before prefill, because a prefill result
that no engine fetches in time expires.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import backpressure as all_backpressure
from jujubewharf.forwarding import budget as budgets
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import limits as all_limits
from jujubewharf.forwarding import observations as observed
from jujubewharf.forwarding import places as all_places
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import registration
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import request_log
from jujubewharf.forwarding import runs
from jujubewharf.stream_versions import resumptions

# Maximum number of prefill engines tried per request. If all fail, the decode
# engine prefills the prompt itself, which stalls its other answers for up to
# half a second.
_MAX_PREFILL_ENGINES = 3


@dataclasses.dataclass(slots=True)
class Upstream:
    """An engine's answer while it is forwarded.

    Attributes:
        engine: Engine that answers.
        reply: The engine's answer.
        exit_stack: Stops the engine's work and releases its reservation on
            close.
        placed_ms: Clock reading when the memory was reserved.
        memory_part: Reserved share of the engine's memory, 0 to 1.
    """

    engine: resources.Endpoint
    reply: calls.Reply
    exit_stack: contextlib.AsyncExitStack
    placed_ms: float
    memory_part: float


@dataclasses.dataclass(slots=True)
class _Prefilled:
    """Result of the prefill stage.

    Attributes:
        source: Handle of the prefill result; ``None`` if there is none.
        engine: Engine that holds the result.
        is_fetched: Whether a decode engine has fetched the result.
    """

    source: calls.PrefillSource | None = None
    engine: resources.Endpoint | None = None
    is_fetched: bool = False


def _admit_all(reservation: all_places.Reservation) -> None:
    pass


class StreamAttempts:
    """Sends streamed requests to engines.

    Args:
        backends: Client for engines.
        registry: Registered endpoints.
        places: Reserves memory on decode engines.
        budget: Retry budget of the fleet.
        observations: Records engine latencies and failures.
        limits: Rate limits set by engines.
        backpressure: Rate limits, backoffs and drain notices sent by engines.
        clock: Time source.
    """

    def __init__(
        self,
        backends: ports.Backends,
        registry: registries.Registry,
        places: all_places.Placer,
        budget: budgets.FleetRetryBudget,
        observations: observed.Observer,
        limits: all_limits.Permits,
        backpressure: all_backpressure.Backpressure,
        clock: clocks.Clock,
    ) -> None:
        self._limits = limits
        self._backpressure = backpressure
        self._backends = backends
        self._registry = registry
        self._places = places
        self._budget = budget
        self._observations = observations
        self._clock = clock

    async def attempt(
        self,
        run: runs.Run,
        *,
        after_event: int | None,
        admit: Callable[[all_places.Reservation], None] = _admit_all,
    ) -> Upstream:
        """Reserves memory on an engine and sends the request to it.

        Args:
            run: The request.
            after_event: Number of the last event that the caller has received.
            admit: Called once memory is reserved and before any prompt is read;
                its ``EngineError`` ends the attempt.

        Raises:
            EngineError: The attempt failed; another engine may succeed.
            WharfError: No memory was available, or the retry budget is
                exhausted.
        """
        async with contextlib.AsyncExitStack() as exit_stack:
            place = await exit_stack.enter_async_context(
                self._places.place(run)
            )
            admit(place)
            prefilled = await exit_stack.enter_async_context(
                self._prefill_result(run, place)
            )
            outbound = calls.OutboundRequest(
                run.call,
                run.left_ms(self._clock),
                source=prefilled.source,
                hold=place.take_id(),
                after_event=after_event,
            )
            try:
                await self._check_not_deferred(place)
                reply = await self._send(
                    exit_stack, run, place.engine, outbound
                )
            except client.EngineError as error:
                outbound = await self._replacement_request(
                    run, error, outbound, prefilled
                )
                reply = await self._send(
                    exit_stack, run, place.engine, outbound
                )
            prefilled.is_fetched = True
            return Upstream(
                place.engine,
                reply,
                exit_stack.pop_all(),
                place.reserved_at_ms,
                place.memory_share,
            )

    async def _replacement_request(
        self,
        run: runs.Run,
        error: client.EngineError,
        outbound: calls.OutboundRequest,
        prefilled: _Prefilled,
    ) -> calls.OutboundRequest:
        """Returns a replacement for a request that the engine refused.

        An engine that refuses despite its reservation is either changing roles
        or could not fetch the prefill result. In the second case it can prefill
        the prompt itself.

        Raises:
            EngineError: The engine accepts no work at the moment.
            WharfError: The retry budget is exhausted.
        """
        if error.fault is not client.EngineFault.REFUSED_FULL:
            raise error
        if self._backpressure.is_backing_off(error.engine):
            raise error
        engine = self._registry.get(error.engine)
        if engine is None or await self._is_changing(engine):
            fault = client.EngineFault.REFUSED_ROLE
            changing = client.EngineError(fault, error.engine, "changing")
            self._observations.record_role_change(error.engine)
            raise changing from error
        if outbound.source is None or prefilled.engine is None:
            raise error
        if not await self._limits.take(error.engine):
            raise error
        expired = client.EngineError(
            client.EngineFault.KV_GONE, prefilled.engine.name
        )
        self._observations.record_failure(expired)
        request_log.log_engine_failure(run, expired, stage="fetch", took_ms=0.0)
        left = self._budget.remaining(run.service)
        if not self._budget.take(run.service):
            request_log.log_denied_retry(run, "kv_gone", budget_left=left)
            raise run.failure() from error
        request_log.log_retry(run, "kv_gone", budget_left=left)
        return dataclasses.replace(
            outbound, source=None, left_ms=run.left_ms(self._clock)
        )

    def _record_failure(self, error: client.EngineError) -> None:
        if error.fault is client.EngineFault.REFUSED_IDENTITY:
            self._registry.remove_replaced(error.engine)
        self._observations.record_failure(error)

    async def _is_changing(self, engine: resources.Endpoint) -> bool:
        try:
            return await self._backends.is_changing(engine)
        except client.EngineError as error:
            self._observations.record_failure(error)
            return True

    @contextlib.asynccontextmanager
    async def _prefill_result(
        self, run: runs.Run, place: all_places.Reservation
    ) -> AsyncIterator[_Prefilled]:
        """Runs prefill and frees the result on exit if no engine fetched it.

        If no prefill engine succeeds the block gets an empty result, and the
        decode engine prefills the prompt itself.
        """
        prefilled = _Prefilled()
        readers = place.prefill_engines[:_MAX_PREFILL_ENGINES]
        if readers and run.was_prefilled and not self._budget.take(run.service):
            # Every prefill after the first one counts as a retry.
            readers = []
        for engine in readers:
            if not await self._accepts_prefill(engine):
                # Checked again right before sending: the leader that placed
                # the request may be cut off from the store, and the engine may
                # have started to drain meanwhile.
                continue
            try:
                prefilled.source = await self._prefill(run, engine)
            except client.EngineError as error:
                if error.fault is client.EngineFault.LOST:
                    # It may have been accepted, so the next one is a retry.
                    run.was_prefilled = True
                if not self._may_retry_prefill(run, error):
                    # Decoding now would also be a retry: the prefill call may
                    # have been refused, and the retry budget is exhausted. With
                    # two silent engines, 18 such retries in ten seconds
                    # exceeded the budget by 5.
                    raise run.failure() from error
            else:
                prefilled.engine = engine
                run.was_prefilled = True
                break
        place.on_prefill_done()
        try:
            yield prefilled
        finally:
            if not prefilled.is_fetched:
                await self._drop_result(prefilled)

    async def _accepts_prefill(self, engine: resources.Endpoint) -> bool:
        """Returns whether an engine accepts a prefill request at the moment."""
        if self._backpressure.is_deferred(engine.name):
            return False
        if not await self._limits.take(engine.name):
            return False
        if self._backpressure.is_backing_off(engine.name):
            return False
        return self._registry.takes_work(engine.name)

    def _may_retry_prefill(
        self, run: runs.Run, error: client.EngineError
    ) -> bool:
        """Returns whether prefill may be tried on another engine.

        A refused call uses the retry budget; a call that could not connect does
        not.
        """
        if error.fault is client.EngineFault.UNREACHABLE:
            return True
        if error.fault is client.EngineFault.NO_PATH:
            # Another prefill engine is as far away.
            return False
        if error.fault is client.EngineFault.REFUSED_FULL:
            self._observations.record_prefill_refusal(error.engine)
        left = self._budget.remaining(run.service)
        if not self._budget.take(run.service):
            request_log.log_denied_retry(
                run, "prefill_failed", budget_left=left
            )
            return False
        request_log.log_retry(run, "prefill_failed", budget_left=left)
        return True

    async def _prefill(
        self, run: runs.Run, engine: resources.Endpoint
    ) -> calls.PrefillSource:
        assert run.call.work is not None
        tokens = run.call.work.prompt_tokens
        left_ms = run.left_ms(self._clock)
        began_ms = self._clock.now_ms()
        request_log.log_attempt(
            run,
            engine.name,
            stage="prefill",
            left_ms=left_ms,
            age_ms=self._registry.age_ms,
        )
        try:
            source = await self._backends.prefill(
                engine, calls.OutboundRequest(run.call, left_ms)
            )
        except client.EngineError as error:
            self._record_failure(error)
            took_ms = self._clock.now_ms() - began_ms
            request_log.log_engine_failure(
                run, error, stage="prefill", took_ms=took_ms
            )
            raise
        took_ms = self._clock.now_ms() - began_ms
        self._observations.record_prefill(engine.name, took_ms, tokens=tokens)
        return source

    async def _drop_result(self, prefilled: _Prefilled) -> None:
        if prefilled.source is None or prefilled.engine is None:
            return
        with contextlib.suppress(client.EngineError):
            # The result expires by itself within a second; dropping it only
            # frees the memory sooner, so failures are not retried.
            await self._backends.drop_source(prefilled.engine, prefilled.source)

    async def _check_not_deferred(self, place: all_places.Reservation) -> None:
        """Checks that the engine still accepts the request it has memory for.

        The engine may have asked for backoff or set a rate limit after the
        memory was reserved. Without this check, requests already in prefill
        would still reach an overloaded engine for a second and a half. The
        prefill is wasted in that case.

        Raises:
            EngineError: ``DEFERRED`` if the engine accepts no request now.
        """
        name = place.engine.name
        has_permit = place.has_permit or await self._limits.take(name)
        if not has_permit or self._backpressure.is_backing_off(name):
            raise client.EngineError(client.EngineFault.DEFERRED, name)

    async def _check_version(
        self, run: runs.Run, engine: resources.Endpoint
    ) -> None:
        """Checks that a stream that goes on does so at its version.

        An engine that keeps its id over restarts may have started again, with
        another version, since it was last read from the store.

        Raises:
            EngineError: The engine has another version, or it is in doubt.
        """
        if run.origin is None:
            return
        fault = client.EngineFault.REFUSED_LEAVING
        if not resumptions.of_version(run, [engine]):
            raise client.EngineError(fault, engine.name, "other version")
        if registration.started_ms(engine) is None:
            return
        if not await self.is_same_start(engine):
            raise client.EngineError(fault, engine.name, "start in doubt")

    async def has_crashed(self, engine: resources.Endpoint) -> bool:
        """Returns whether an engine's process is known to be gone."""
        return await self._backends.has_crashed(engine)

    async def is_same_start(self, engine: resources.Endpoint) -> bool:
        """Returns whether an engine is still the start that is registered."""
        try:
            await self._backends.is_changing(engine)
        except client.EngineError as error:
            self._record_failure(error)
            return False
        return True

    async def _send(
        self,
        exit_stack: contextlib.AsyncExitStack,
        run: runs.Run,
        engine: resources.Endpoint,
        outbound: calls.OutboundRequest,
    ) -> calls.Reply:
        if not self._registry.takes_work(engine.name):
            # The engine started to drain during prefill.
            fault = client.EngineFault.REFUSED_LEAVING
            raise client.EngineError(fault, engine.name)
        await self._check_version(run, engine)
        began_ms = self._clock.now_ms()
        before = run.record_attempt(engine.name)
        request_log.log_attempt(
            run,
            engine.name,
            stage="decode",
            left_ms=outbound.left_ms,
            age_ms=self._registry.age_ms,
        )
        try:
            reply = await exit_stack.enter_async_context(
                self._backends.send(engine, outbound)
            )
        except client.EngineError as error:
            run.record_failure(error, before=before)
            self._record_failure(error)
            took_ms = self._clock.now_ms() - began_ms
            request_log.log_engine_failure(
                run, error, stage="decode", took_ms=took_ms
            )
            raise
        self._observations.record_response_start(engine.name)
        return reply
