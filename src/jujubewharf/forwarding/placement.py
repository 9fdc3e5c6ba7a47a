"""Reserves memory for requests on decode engines.

Several instances send requests to the same engines and load reports lag, so
engines do their own memory accounting: an instance asks an engine to reserve
memory, and the engine's response is authoritative.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import random

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.engine_speeds import demands
from jujubewharf.engine_speeds import urgency as urgencies
from jujubewharf.engines import client
from jujubewharf.forwarding import backpressure as all_backpressure
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import limits as all_limits
from jujubewharf.forwarding import margins
from jujubewharf.forwarding import patience
from jujubewharf.forwarding import places
from jujubewharf.forwarding import pool as pools
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import quotas as all_quotas
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import request_log
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import runs
from jujubewharf.forwarding import wait_queue as wait_queues

# Number of engines that a request asks in its first round and in each later
# round. When this many are full the next one most likely is too, and asking
# every engine would not scale with the size of the fleet.
_FIRST_ROUND_ENGINES = 4
_LATER_ROUND_ENGINES = 2
# Interval at which a waiting request asks again, as a share of the mean time
# between releases of memory on an engine. Memory that requests of other
# instances release is only found by asking.
_ASK_INTERVAL_SHARE = 1 / 6
_DEFAULT_ASK_INTERVAL_MS = 70.0
# Factor by which the interval is longer for requests that have missed their
# latency target. They wait for seconds and would otherwise make most of the
# calls to engines during a burst.
_LATE_INTERVAL_FACTOR = 4.0
# Lifetime of the reservation that checks for free memory. It is dropped at
# once.
_CHECK_TTL_MS = 300.0


class Placement:
    """Reserves memory on decode engines and queues requests until it is free.

    Args:
        backends: Client of the engines.
        registry: Registered endpoints and whether they accept requests.
        pool: State of the engines as this instance knows it.
        cost_estimates: Updated when a response completes.
        lengths: Statistics of response lengths.
        quotas: Quotas of client accounts.
        limits: Permits of engines that announced a rate limit.
        backpressure: Rate limits, backoffs and drains that engines announced.
        knows_all_reservations: Returns whether this instance made all
            reservations that engines hold at present.
        clock: Clock for waits and timeouts.
        rng: Source of jitter for the times at which engines are asked.
    """

    def __init__(
        self,
        backends: ports.Backends,
        registry: registries.Registry,
        pool: pools.EnginePool,
        cost_estimates: costs.CostEstimates,
        lengths: margins.ResponseLengths,
        quotas: all_quotas.Quotas,
        limits: all_limits.Permits,
        backpressure: all_backpressure.Backpressure,
        knows_all_reservations: Callable[[], bool],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._backends = backends
        self._registry = registry
        self._pool = pool
        self._cost_estimates = cost_estimates
        self._lengths = lengths
        self._quotas = quotas
        self._limits = limits
        self._backpressure = backpressure
        self._knows_all_reservations = knows_all_reservations
        self._clock = clock
        self._rng = rng
        self._wait_policy = patience.WaitPolicy(cost_estimates, clock)
        self._classes = urgencies.PriorityClasses(clock)
        self._queues: dict[str, wait_queues.WaitQueue] = {}
        self._running = 0

    @contextlib.asynccontextmanager
    async def place(self, run: runs.Run) -> AsyncIterator[places.Reservation]:
        """Waits for a reservation and holds it while the block runs.

        Raises:
            WharfError: No memory came free in time, or the account's quota is
                exhausted. Nothing was run in this attempt.
        """
        with all_quotas.charged(self._quotas, run):
            reservation, demand = await self._wait_for_reservation(run)
        self._running += 1
        try:
            with (
                self._pool.holding_memory(
                    reservation.engine.name, demand.tokens
                ),
                self._prefill_assigned(run, reservation, demand.urgency),
            ):
                yield reservation
            self.record_hold_time(reservation)
        finally:
            self._running -= 1
            reservation_id = reservation.take_id()
            if reservation_id is not None:
                await self._release(reservation.engine, reservation_id)
            self._queue_of(run.service).wake_first()

    def record_hold_time(self, reservation: places.Reservation) -> None:
        """Records how long a completed response held its memory."""
        took_ms = self._clock.now_ms() - reservation.reserved_at_ms
        self._cost_estimates.record_decode(
            took_ms,
            memory_share=reservation.memory_share,
            relative_time=self._pool.decode_time(reservation.engine.name),
        )

    @contextlib.contextmanager
    def _prefill_assigned(
        self,
        run: runs.Run,
        reservation: places.Reservation,
        urgency: urgencies.Urgency,
    ) -> Iterator[None]:
        """Chooses prefill engines and tracks the prompt until it is prefilled.

        The prompt is counted from the moment it is assigned; otherwise
        concurrent requests would all select the same idle engine.
        """
        work = run.call.work
        if work is None:
            # Without the prompt's size it is unknown whether a separate prefill
            # is worth its transfer.
            yield
            return
        engines = self._permitted_engines(run)
        reservation.prefill_engines = self._pool.prefill_candidates(
            engines,
            preferred_domain=reservation.engine.domain,
            tokens=work.prompt_tokens,
            urgency=urgency,
        )
        with contextlib.ExitStack() as exits:
            if reservation.prefill_engines:
                preferred = reservation.prefill_engines[0].name
                exits.enter_context(
                    self._pool.prefilling(preferred, work.prompt_tokens)
                )
            reservation.on_prefill_done = exits.close
            yield

    async def _wait_for_reservation(
        self, run: runs.Run
    ) -> tuple[places.Reservation, demands.Demand]:
        started_ms = self._clock.now_ms()
        on_time_wait_ms = self._wait_policy.on_time_wait_ms(run)
        is_late = on_time_wait_ms <= 0.0
        wait_ms = on_time_wait_ms
        if is_late:
            fastest = self._pool.speeds.fastest_decode(run.service)
            wait_ms = self._wait_policy.late_wait_ms(run, fastest=fastest)
        # A stream that is resumed is late but keeps its priority: its caller
        # already has part of the response, which a failure would waste.
        is_deprioritized = is_late and not run.may_have_run
        urgency = self._classes.urgency_of(
            run,
            is_late=is_late,
            is_deprioritized=is_deprioritized,
            on_time_wait_ms=on_time_wait_ms,
        )
        demand = self._demand_of(run, urgency)
        waiter = wait_queues.Waiter(is_deprioritized, started_ms + wait_ms)
        queue = self._queue_of(run.service)
        max_engines = _FIRST_ROUND_ENGINES
        with queue.enqueued(waiter):
            while self._clock.now_ms() <= waiter.due_ms:
                reservation = await self._try_engines(
                    run, demand, max_engines=max_engines
                )
                max_engines = _LATER_ROUND_ENGINES
                queue.wake_after(waiter)
                if reservation is not None:
                    waited_ms = self._clock.now_ms() - started_ms
                    request_log.log_placement(
                        run,
                        reservation.engine.name,
                        tokens=demand.tokens,
                        free_tokens=demand.free_tokens,
                        waited_ms=waited_ms,
                    )
                    return reservation, demand
                if self._is_unavailable_until(run, waiter.due_ms):
                    break
                await self._pause(waiter)
        raise self._refusal(run, demand)

    def _permitted_engines(self, run: runs.Run) -> Sequence[resources.Endpoint]:
        """Returns the service's engines to which the request may be sent."""
        engines = self._registry.of_service(run.service)
        if not run.backoff_until_ms:
            return engines
        return [e for e in engines if run.may_go_to(e.name, self._clock)]

    def _is_unavailable_until(self, run: runs.Run, due_ms: float) -> bool:
        """Returns whether no engine can be asked before ``due_ms``."""
        wait_ms = self._available_in_ms(run)
        return wait_ms is not None and self._clock.now_ms() + wait_ms > due_ms

    def _available_in_ms(self, run: runs.Run) -> float | None:
        """Returns the time until an engine may be asked, or ``None`` for now.

        Covers rate limits and backoffs; see ``Backpressure``.
        """
        if not run.backoff_until_ms and not self._backpressure.has_any:
            return None
        now_ms = self._clock.now_ms()
        waits = [
            max(
                self._backpressure.wait_ms([engine.name]) or 0.0,
                run.backoff_until_ms.get(engine.name, now_ms) - now_ms,
            )
            for engine in self._registry.of_service(run.service)
            if engine.can_decode
        ]
        return min(waits, default=0.0) or None

    async def _pause(self, waiter: wait_queues.Waiter) -> None:
        """Waits until the request is woken, should ask again, or is due."""
        interval_ms = _DEFAULT_ASK_INTERVAL_MS
        if self._cost_estimates.decode_ms is not None:
            interval_ms = self._cost_estimates.decode_ms * _ASK_INTERVAL_SHARE
        if waiter.is_late:
            interval_ms *= _LATE_INTERVAL_FACTOR
        interval_ms *= 0.5 + self._rng.random()
        remaining_ms = waiter.due_ms - self._clock.now_ms()
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout_ms(
                max(1.0, min(interval_ms, remaining_ms))
            ):
                await waiter.wait_until_woken()

    def _demand_of(
        self, run: runs.Run, urgency: urgencies.Urgency
    ) -> demands.Demand:
        """Returns the memory and speed that the request needs."""
        traits = run.traits
        assert traits is not None
        work = run.call.work
        if work is None:
            return demands.Demand(1, 0, traits.hold_max_ms, urgency)
        mean_tokens = self._cost_estimates.prompt_tokens or float(
            work.prompt_tokens
        )
        self._lengths.record_estimate(work.answer_tokens)
        margin = self._lengths.margin(
            prompt_tokens=mean_tokens, memory_tokens=traits.memory_tokens
        )
        tokens = work.prompt_tokens + int(
            work.answer_tokens * margin.reserved_share
        )
        # A request that doesn't fit into an empty engine with its headroom is
        # still placed, with less headroom.
        max_free_tokens = max(0, traits.memory_tokens - tokens)
        free_tokens = min(margin.free_tokens, max_free_tokens)
        return demands.Demand(tokens, free_tokens, traits.hold_max_ms, urgency)

    async def _try_engines(
        self, run: runs.Run, demand: demands.Demand, *, max_engines: int
    ) -> places.Reservation | None:
        """Asks at most ``max_engines`` engines that may have enough memory."""
        assert run.traits is not None
        candidates = self._pool.decode_candidates(
            self._permitted_engines(run),
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
            self._pool.clear_memory_refusals(engine.name)
            if not self._registry.takes_work(engine.name):
                # The response to the reservation said that the engine drains.
                await self._release(engine, reservation_id)
                continue
            return places.Reservation(
                engine,
                reservation_id,
                reserved_at_ms=self._clock.now_ms(),
                tokens=demand.tokens,
                memory_share=demand.tokens / run.traits.memory_tokens,
                has_permit=is_limited,
            )
        return None

    def _record_failure(
        self, run: runs.Run, error: client.EngineError, demand: demands.Demand
    ) -> None:
        if error.fault is client.EngineFault.REFUSED_FULL:
            self._pool.record_memory_refusal(error.engine, demand.total_tokens)
            return
        if error.fault is client.EngineFault.REFUSED_IDENTITY:
            self._registry.remove_replaced(error.engine)
        request_log.log_engine_failure(run, error, stage="reserve", took_ms=0.0)
        if error.fault is client.EngineFault.LOST:
            # Treated as unreachable, which opens the circuit breaker: each
            # further call to a silent engine would stall the wait queue for a
            # full timeout.
            error = client.EngineError(
                client.EngineFault.UNREACHABLE, error.engine, error.detail
            )
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
        # The leader of the fleet knows all reservations, so one call is enough
        # where its own count shows plenty of memory. On a nearly full engine
        # only the engine knows how far responses have outgrown their
        # reservations.
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
            await self._release(engine, check_id)
        return await self._backends.reserve(
            engine, tokens=demand.tokens, ttl_ms=demand.ttl_ms
        )

    def _refusal(
        self, run: runs.Run, demand: demands.Demand
    ) -> errors.WharfError:
        engines = self._registry.of_service(run.service)
        request_log.log_failed_placement(
            run,
            tokens=demand.tokens,
            free_tokens=demand.free_tokens,
            engines=self._pool.names_by_availability(
                engines, tokens=demand.total_tokens
            ),
            waiting=len(self._queue_of(run.service)),
            age_ms=self._registry.age_ms,
        )
        if run.may_have_run:
            return run.failure()
        retry_after_ms = self._wait_policy.retry_after_ms(
            run.call, self._running
        )
        retry_after_ms = max(retry_after_ms, self._available_in_ms(run) or 0.0)
        return errors.WharfError(
            errors.ErrorKind.QUEUE_FULL, retry_after_ms=retry_after_ms
        )

    def _queue_of(self, service: str) -> wait_queues.WaitQueue:
        return self._queues.setdefault(service, wait_queues.WaitQueue())

    async def _release(
        self, engine: resources.Endpoint, reservation_id: str
    ) -> None:
        with contextlib.suppress(client.EngineError):
            # If the call fails, the reservation expires by itself.
            await self._backends.drop_reservation(engine, reservation_id)
