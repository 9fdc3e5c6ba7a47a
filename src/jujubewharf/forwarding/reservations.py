"""Reserves memory for requests on decode engines.

Several instances send requests to the same engines and load reports lag, so
engines do their own memory accounting: an instance asks an engine to reserve
memory, and the engine's response is authoritative.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engine_speeds import demands
from jujubewharf.engines import client
from jujubewharf.forwarding import backpressure as all_backpressure
from jujubewharf.forwarding import limits as all_limits
from jujubewharf.forwarding import places
from jujubewharf.forwarding import pool as pools
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import release_log
from jujubewharf.forwarding import request_log
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import runs

# Lifetime of the reservation that checks for free memory. It is dropped at
# once.
_CHECK_TTL_MS = 300.0


class EngineReservations:
    """Asks engines for memory.

    Args:
        backends: Client of the engines.
        registry: Registered endpoints and whether they accept requests.
        pool: State of the engines as this instance knows it.
        limits: Permits of engines that announced a rate limit.
        backpressure: Rate limits, backoffs and drains that engines announced.
        knows_all_reservations: Returns whether this instance made all
            reservations that engines hold at present.
        clock: Clock.
    """

    def __init__(
        self,
        backends: ports.Backends,
        registry: registries.Registry,
        pool: pools.EnginePool,
        limits: all_limits.Permits,
        backpressure: all_backpressure.Backpressure,
        knows_all_reservations: Callable[[], bool],
        clock: clocks.Clock,
    ) -> None:
        self._backends = backends
        self._registry = registry
        self._pool = pool
        self._limits = limits
        self._backpressure = backpressure
        self._knows_all_reservations = knows_all_reservations
        self._clock = clock

    async def try_engines(
        self,
        run: runs.Run,
        demand: demands.Demand,
        engines: Sequence[resources.Endpoint],
        *,
        max_engines: int,
    ) -> places.Reservation | None:
        """Asks engines in turn until one reserves memory.

        Args:
            run: The request.
            demand: Memory and speed that it needs.
            engines: Engines to which it may be sent.
            max_engines: Number of engines that are asked at most.

        Returns:
            ``None`` if none of them reserved memory.

        Raises:
            NoPathError: This instance can't ask any engine.
        """
        assert run.traits is not None
        candidates = self._pool.decode_candidates(
            engines,
            tokens=demand.total_tokens,
            memory_tokens=run.traits.memory_tokens,
            preferred_domain=run.domain,
            failed_names=run.lost_by,
            urgency=demand.urgency,
        )
        for engine in candidates[:max_engines]:
            # One permit covers the reservation and the run that uses it.
            # Without a permit the engine isn't asked at all.
            is_limited = self._backpressure.is_limited(engine.name)
            if is_limited and not await self._limits.take(engine.name):
                continue
            if not self._registry.takes_work(engine.name):
                continue
            try:
                reservation_id = await self._reserve(run.traits, engine, demand)
            except client.EngineError as error:
                self._record_failure(run, error, demand)
                continue
            now_ms = self._clock.now_ms()
            self._pool.record_success(engine.name)
            self._pool.clear_memory_refusals(engine.name)
            if not self._registry.takes_work(engine.name):
                # The response to the reservation said that the engine drains.
                await self.release(engine, reservation_id, since_ms=now_ms)
                continue
            return places.Reservation(
                engine,
                reservation_id,
                reserved_at_ms=now_ms,
                tokens=demand.tokens,
                memory_share=demand.tokens / run.traits.memory_tokens,
                has_permit=is_limited,
            )
        return None

    def _record_failure(
        self, run: runs.Run, error: client.EngineError, demand: demands.Demand
    ) -> None:
        """Records a failed reservation.

        Raises:
            WharfError: Other engines can't be asked either; ``NoPathError`` if
                the request hasn't run.
        """
        if error.fault is client.EngineFault.NO_PATH:
            if run.may_have_run:
                raise run.failure() from error
            raise places.NoPathError(error.engine) from error
        if error.fault is client.EngineFault.REFUSED_FULL:
            self._pool.record_memory_refusal(error.engine, demand.total_tokens)
            return
        if error.fault is client.EngineFault.REFUSED_IDENTITY:
            self._registry.remove_replaced(error.engine)
        request_log.log_engine_failure(run, error, stage="reserve", took_ms=0.0)
        if error.fault is client.EngineFault.LOST:
            # Opens the circuit breaker: each further call to a silent engine
            # would stall the wait queue for a full timeout. With two silent
            # engines there were 25 such calls of 0.7 s in five seconds.
            self._pool.record_silence(error.engine)
            return
        self._pool.record_failure(error)

    async def _reserve(
        self,
        traits: routes.EngineTraits,
        engine: resources.Endpoint,
        demand: demands.Demand,
    ) -> str:
        """Reserves memory if the required headroom is free as well.

        Raises:
            EngineError: There isn't enough memory, or the call failed.
        """
        # The leader of the fleet knows all reservations, so one call instead of
        # three is enough where its own count shows plenty of memory; it places
        # over a hundred requests per second. On a nearly full engine only the
        # engine knows how far responses have outgrown their reservations:
        # without the check 31 of 640 responses were preempted in a burst, with
        # it 12.
        has_ample_memory = (
            self._knows_all_reservations()
            and self._pool.has_ample_memory(
                engine.name,
                tokens=demand.total_tokens,
                memory_tokens=traits.memory_tokens,
            )
        )
        if demand.free_tokens and not has_ample_memory:
            # Checks for the whole amount first, so that a full engine costs one
            # call and not three.
            check_id = await self._backends.reserve(
                engine, tokens=demand.total_tokens, ttl_ms=_CHECK_TTL_MS
            )
            now_ms = self._clock.now_ms()
            await self.release(engine, check_id, since_ms=now_ms)
        return await self._backends.reserve(
            engine, tokens=demand.tokens, ttl_ms=demand.ttl_ms
        )

    async def release(
        self,
        engine: resources.Endpoint,
        reservation_id: str,
        *,
        since_ms: float,
    ) -> None:
        """Releases a reservation.

        Args:
            engine: The engine that made it.
            reservation_id: Its id.
            since_ms: Clock reading at which it was made.
        """
        with release_log.logged_release(
            release_log.Held.RESERVATION,
            engine,
            self._registry,
            self._clock,
            since_ms=since_ms,
        ):
            await self._backends.drop_reservation(engine, reservation_id)
