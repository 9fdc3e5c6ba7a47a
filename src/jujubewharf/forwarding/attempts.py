"""One attempt of a streamed request: reserve memory, prefill, decode.

Memory on a decode engine is reserved before prefill, because a prefill result
that no engine fetches in time expires.
"""

from __future__ import annotations

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
from jujubewharf.forwarding import prefills
from jujubewharf.forwarding import registration
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import request_log
from jujubewharf.forwarding import runs
from jujubewharf.stream_versions import resumptions


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


def _admit_all(reservation: all_places.Reservation) -> None:
    pass


class StreamAttempts:
    """Sends streamed requests to engines.

    Args:
        backends: Client for engines.
        prompts: Has prefill engines read prompts.
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
        prompts: prefills.Prefills,
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
        self._prefills = prompts
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
                self._prefills.result_for(run, place)
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
        prefilled: prefills.Prefilled,
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
        """Returns whether an engine says that it is changing roles.

        Raises:
            EngineError: It can't be reached.
        """
        try:
            return await self._backends.is_changing(engine)
        except client.EngineError as error:
            self._observations.record_failure(error)
            if error.fault is not client.EngineFault.LOST:
                raise
            # No answer is no role change, which takes seconds.
            return False

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
        run.record_attempt(engine.name)
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
            run.record_failure(error)
            self._record_failure(error)
            took_ms = self._clock.now_ms() - began_ms
            request_log.log_engine_failure(
                run, error, stage="decode", took_ms=took_ms
            )
            raise
        self._observations.record_response_start(engine.name)
        return reply
