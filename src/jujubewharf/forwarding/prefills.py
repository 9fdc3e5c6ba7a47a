"""Has prefill engines read the prompts of streamed requests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import dataclasses
import functools

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import backpressure as all_backpressure
from jujubewharf.forwarding import budget as budgets
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import limits as all_limits
from jujubewharf.forwarding import observations as observed
from jujubewharf.forwarding import open_calls
from jujubewharf.forwarding import places as all_places
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import release_log
from jujubewharf.forwarding import request_log
from jujubewharf.forwarding import runs

# Maximum number of prefill engines tried per request. If all fail, the decode
# engine prefills the prompt itself, which stalls its other answers for up to
# half a second.
_MAX_PREFILL_ENGINES = 3
# Time after which a prompt is given to another engine as well, including the
# time that it queues in the engine. A prompt of 11,000 tokens takes 0.2 s
# without queueing.
_SLOW_MS = 1_500.0
# Time after which another engine is looked for again.
_RETRY_MS = 500.0


@dataclasses.dataclass(slots=True)
class Prefilled:
    """Result of the prefill stage.

    Attributes:
        source: Handle of the prefill result; ``None`` if there is none.
        engine: Engine that holds the result.
        since_ms: Clock reading when the result arrived.
        is_fetched: Whether a decode engine has fetched the result.
    """

    source: calls.PrefillSource | None = None
    engine: resources.Endpoint | None = None
    since_ms: float = 0.0
    is_fetched: bool = False


class Prefills:
    """Has prefill engines read prompts.

    Args:
        backends: Client for engines.
        registry: Registered endpoints.
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
        budget: budgets.FleetRetryBudget,
        observations: observed.Observer,
        limits: all_limits.Permits,
        backpressure: all_backpressure.Backpressure,
        clock: clocks.Clock,
    ) -> None:
        self._backends = backends
        self._registry = registry
        self._budget = budget
        self._observations = observations
        self._limits = limits
        self._backpressure = backpressure
        self._clock = clock

    @contextlib.asynccontextmanager
    async def result_for(
        self, run: runs.Run, place: all_places.Reservation
    ) -> AsyncIterator[Prefilled]:
        """Runs prefill and frees the result on exit if no engine fetched it.

        If no prefill engine succeeds the block gets an empty result, and the
        decode engine prefills the prompt itself.

        Raises:
            WharfError: No retry is allowed.
        """
        engines = place.prefill_engines[:_MAX_PREFILL_ENGINES]
        if engines and run.was_prefilled and not self._budget.take(run.service):
            # Every prefill after the first one counts as a retry.
            engines = []
        prefilled = await self._first_result(run, iter(engines))
        place.on_prefill_done()
        try:
            yield prefilled
        finally:
            if not prefilled.is_fetched:
                await self._drop_result(prefilled)

    async def _first_result(
        self, run: runs.Run, engines: Iterator[resources.Endpoint]
    ) -> Prefilled:
        """Returns the first result, or an empty one if there is none.

        A silent engine keeps the prompt until another one has read it.
        """
        attempts = open_calls.OpenCalls(self._drop_result, self._clock)
        async with attempts:
            may_try_again = True
            while True:
                if may_try_again:
                    engine = await self._next_accepting(engines)
                    if engine is None:
                        # The decode engine prefills the prompt itself.
                        return Prefilled()
                    attempts.begin(
                        functools.partial(self._prefill, run, engine)
                    )
                event = await attempts.next_event()
                match event:
                    case open_calls.Answered(prefilled):
                        run.was_prefilled = True
                        return prefilled
                    case open_calls.Slow(name, is_first):
                        attempts.set_limit(self._clock.now_ms() + _RETRY_MS)
                        error = _slow_error(name)
                        if is_first:
                            self._record_failure(error)
                        elif self._budget.remaining(run.service) < 1.0:
                            may_try_again = False
                            continue
                    case open_calls.Failed(client.EngineError() as failure):
                        error = failure
                    case open_calls.Failed(failure):
                        raise failure
                if error.fault is client.EngineFault.LOST:
                    # It may have been accepted, so the next one is a retry.
                    run.was_prefilled = True
                may_try_again = self._may_retry(run, error)
                if not may_try_again and not attempts:
                    # Decoding now would also be a retry: the prefill call may
                    # have been refused, and the retry budget is exhausted. With
                    # two silent engines, 18 such retries in ten seconds
                    # exceeded the budget by 5.
                    raise run.failure() from error

    async def _next_accepting(
        self, engines: Iterator[resources.Endpoint]
    ) -> resources.Endpoint | None:
        """Returns the next engine that accepts a prefill request.

        Checked again right before sending: the leader that placed the request
        may be cut off from the store, and the engine may have started to drain
        meanwhile.
        """
        for engine in engines:
            if await self._accepts(engine):
                return engine
        return None

    async def _accepts(self, engine: resources.Endpoint) -> bool:
        """Returns whether an engine accepts a prefill request at the moment."""
        if self._backpressure.is_deferred(engine.name):
            return False
        if not await self._limits.take(engine.name):
            return False
        if self._backpressure.is_backing_off(engine.name):
            return False
        return self._registry.takes_work(engine.name)

    def _may_retry(self, run: runs.Run, error: client.EngineError) -> bool:
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
        self,
        run: runs.Run,
        engine: resources.Endpoint,
        attempt: open_calls.OpenCall,
    ) -> Prefilled:
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
        attempt.sent(engine.name, began_ms + _SLOW_MS)
        try:
            source = await self._backends.prefill(
                engine, calls.OutboundRequest(run.call, left_ms)
            )
        except client.EngineError as error:
            self._record_failure(error)
            self._log_failure(run, error, began_ms)
            raise
        except asyncio.CancelledError:
            if attempt.is_slow:
                self._log_failure(run, _slow_error(engine.name), began_ms)
            raise
        now_ms = self._clock.now_ms()
        self._observations.record_prefill(
            engine.name, now_ms - began_ms, tokens=tokens
        )
        return Prefilled(source, engine, since_ms=now_ms)

    def _record_failure(self, error: client.EngineError) -> None:
        if error.fault is client.EngineFault.REFUSED_IDENTITY:
            self._registry.remove_replaced(error.engine)
        self._observations.record_failure(error)

    def _log_failure(
        self, run: runs.Run, error: client.EngineError, began_ms: float
    ) -> None:
        took_ms = self._clock.now_ms() - began_ms
        request_log.log_engine_failure(
            run, error, stage="prefill", took_ms=took_ms
        )

    async def _drop_result(self, prefilled: Prefilled) -> None:
        if prefilled.source is None or prefilled.engine is None:
            return
        with release_log.logged_release(
            release_log.Held.PREFILL_RESULT,
            prefilled.engine,
            self._registry,
            self._clock,
            since_ms=prefilled.since_ms,
        ):
            await self._backends.drop_source(prefilled.engine, prefilled.source)


def _slow_error(engine: str) -> client.EngineError:
    return client.EngineError(client.EngineFault.LOST, engine, "slow")
