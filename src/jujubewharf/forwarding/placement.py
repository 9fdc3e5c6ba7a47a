"""Places requests on decode engines, and queues them while memory is lacking.

Handles bursts that fill the memory of all engines: a request asks a few engines
a round, when it is its turn.
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
from jujubewharf.admission import order as orders
from jujubewharf.admission import tickets
from jujubewharf.admission import wait_queue as wait_queues
from jujubewharf.configuration import resources
from jujubewharf.engine_speeds import demands
from jujubewharf.engine_speeds import urgency as urgencies
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
from jujubewharf.forwarding import reservations
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import runs
from jujubewharf.forwarding import state_log
from jujubewharf.stream_versions import resumptions
from jujubewharf.stream_versions import version_history

# Number of engines that a request asks in its first round and in each later
# round. When this many are full the next one most likely is too, and asking
# every engine would not scale with the size of the fleet.
_FIRST_ROUND_ENGINES = 4
_LATER_ROUND_ENGINES = 2


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
        versions: Software versions that services have had.
        knows_all_reservations: Returns whether this instance made all
            reservations that engines hold at present.
        role: Returns the role of this instance, for logs.
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
        versions: version_history.VersionHistory,
        knows_all_reservations: Callable[[], bool],
        role: Callable[[], str],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._registry = registry
        self._pool = pool
        self._cost_estimates = cost_estimates
        self._lengths = lengths
        self._quotas = quotas
        self._backpressure = backpressure
        self._versions = versions
        self._knows_all_reservations = knows_all_reservations
        self._role = role
        self._clock = clock
        self._rng = rng
        self._reservations = reservations.EngineReservations(
            backends,
            registry,
            pool,
            limits,
            backpressure,
            knows_all_reservations,
            clock,
        )
        self._wait_policy = patience.WaitPolicy(cost_estimates, clock)
        self._classes = urgencies.PriorityClasses(clock)
        self._queues: dict[str, wait_queues.WaitQueue] = {}
        self._policy = orders.AdmissionPolicy()
        self._running = 0

    def apply_policy(self, policy: orders.AdmissionPolicy) -> None:
        """Applies changed settings; waiting requests are ranked again."""
        self._policy = policy
        for queue in self._queues.values():
            queue.order.apply(policy)

    def waits(self) -> dict[str, dict[int, tickets.Waits]]:
        """Returns the waiting requests by service and priority."""
        now_ms = self._clock.now_ms()
        return {
            service: queue.order.waits(now_ms)
            for service, queue in self._queues.items()
        }

    @contextlib.asynccontextmanager
    async def place(self, run: runs.Run) -> AsyncIterator[places.Reservation]:
        """Waits for a reservation and holds it while the block runs.

        Raises:
            WharfError: No memory came free in time, or the account's quota is
                exhausted. Nothing was run in this attempt.
        """
        with all_quotas.charged(self._quotas, run):
            reservation, demand = await self._wait_for_reservation(run)
        queue = self._queue_of(run.service)
        self._running += 1
        queue.held_tokens += demand.tokens
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
            queue.held_tokens -= demand.tokens
            reservation_id = reservation.take_id()
            if reservation_id is not None:
                await self._reservations.release(
                    reservation.engine,
                    reservation_id,
                    since_ms=reservation.reserved_at_ms,
                )
            queue.wake_first()

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
        assert run.traits is not None
        work = run.call.work
        cost = 1.0 if work is None else work.prompt_tokens + work.answer_tokens
        ticket = self._wait_policy.new_ticket(
            run,
            float(cost),
            fastest=self._pool.speeds.fastest_decode(run.service),
        )
        demand = self._lengths.demand(
            work,
            run.traits,
            prompt_tokens=self._cost_estimates.prompt_tokens,
            urgency=self._classes.urgency_of(run, ticket),
        )
        queue = self._queue_of(run.service)
        waiter = wait_queues.Waiter(ticket, demand.tokens)
        started_ms = self._clock.now_ms()
        with queue.enqueued(waiter):
            reservation = await self._ask_until_due(run, demand, waiter)
            if reservation is None:
                waited_ms = self._clock.now_ms() - started_ms
                refusal = self._refusal(run, demand, waiter, waited_ms)
                queue.reject(waiter)
                state_log.count_rejected_wait(waiter)
                raise refusal
        state_log.count_served_wait(waiter)
        request_log.log_placement(
            run,
            reservation.engine.name,
            tokens=demand.tokens,
            free_tokens=demand.free_tokens,
            waited_ms=self._clock.now_ms() - started_ms,
            decided_by=self._role(),
            preceded_by=waiter.preceded_by,
        )
        reservation.ahead = sum(waiter.preceded_by.values())
        return reservation, demand

    async def _ask_until_due(
        self,
        run: runs.Run,
        demand: demands.Demand,
        waiter: wait_queues.Waiter,
    ) -> places.Reservation | None:
        """Asks engines whenever it is the request's turn, until it is due."""
        queue = self._queue_of(run.service)
        due_ms = waiter.ticket.due_ms
        max_engines = _FIRST_ROUND_ENGINES
        has_turn = True
        if self._clock.now_ms() > due_ms:
            waiter.rejected_by = wait_queues.Rejection.NO_TIME
        while self._clock.now_ms() <= due_ms:
            has_turn = queue.begin_ask(waiter)
            if has_turn:
                reservation = await self._reservations.try_engines(
                    run,
                    demand,
                    self._fitting_engines(run),
                    max_engines=max_engines,
                )
                max_engines = _LATER_ROUND_ENGINES
                queue.end_ask(waiter, is_served=reservation is not None)
                if reservation is not None:
                    return reservation
                if self._has_lost_its_version(run):
                    waiter.rejected_by = wait_queues.Rejection.VERSION
                    return None
                if self._is_unavailable_until(run, due_ms):
                    waiter.rejected_by = wait_queues.Rejection.UNAVAILABLE
                    return None
                if self._is_hopeless(queue, waiter):
                    waiter.rejected_by = wait_queues.Rejection.ORDER
                    return None
            await self._pause(queue, waiter)
        if has_turn:
            return None
        # It became due before its turn in this round; memory that none of the
        # requests before it has taken must not stay free.
        queue.begin_last_ask(waiter)
        reservation = await self._reservations.try_engines(
            run,
            demand,
            self._fitting_engines(run),
            max_engines=max_engines,
        )
        queue.end_ask(waiter, is_served=reservation is not None)
        return reservation

    def _is_hopeless(
        self, queue: wait_queues.WaitQueue, waiter: wait_queues.Waiter
    ) -> bool:
        """Returns whether requests before it use all memory until it is due."""
        # Releases of other instances' requests would be unknown here.
        return self._knows_all_reservations() and self._wait_policy.is_hopeless(
            queue.blocking_tokens(waiter),
            held_tokens=queue.held_tokens,
            due_ms=waiter.ticket.due_ms,
        )

    def _permitted_engines(self, run: runs.Run) -> Sequence[resources.Endpoint]:
        """Returns the service's engines to which the request may be sent."""
        engines = self._registry.of_service(run.service)
        if not run.backoff_until_ms:
            return engines
        return [e for e in engines if run.may_go_to(e.name, self._clock)]

    def _fitting_engines(self, run: runs.Run) -> Sequence[resources.Endpoint]:
        """Returns the permitted engines whose version fits the request."""
        engines = self._permitted_engines(run)
        if run.origin is not None:
            return resumptions.of_version(run, engines)
        if run.route.repeat is routes.Repeat.CONTINUE:
            return self._versions.without_new_versions(engines)
        return engines

    def _has_lost_its_version(self, run: runs.Run) -> bool:
        """Returns whether no engine is left at which a stream may go on."""
        engines = self._registry.of_service(run.service)
        return run.origin is not None and not resumptions.has_engine(
            run, engines
        )

    def _is_unavailable_until(self, run: runs.Run, due_ms: float) -> bool:
        """Returns whether no engine can be asked before ``due_ms``."""
        wait_ms = self._available_in_ms(run)
        return wait_ms is not None and self._clock.now_ms() + wait_ms > due_ms

    def _available_in_ms(self, run: runs.Run) -> float | None:
        """Returns the time until an engine may be asked; ``None`` for now."""
        return self._backpressure.available_in_ms(
            self._registry.of_service(run.service), run.backoff_until_ms
        )

    async def _pause(
        self, queue: wait_queues.WaitQueue, waiter: wait_queues.Waiter
    ) -> None:
        """Waits until the request is woken, should ask again, or is due."""
        interval_ms = self._wait_policy.ask_interval_ms(
            is_late=waiter.ticket.is_late
        )
        await queue.pause(waiter, interval_ms * (0.5 + self._rng.random()))

    def _refusal(
        self,
        run: runs.Run,
        demand: demands.Demand,
        waiter: wait_queues.Waiter,
        waited_ms: float,
    ) -> errors.WharfError:
        queue = self._queue_of(run.service)
        engines = self._registry.of_service(run.service)
        request_log.log_failed_placement(
            run,
            tokens=demand.tokens,
            free_tokens=demand.free_tokens,
            engines=self._pool.names_by_availability(
                engines, tokens=demand.total_tokens
            ),
            waiting=len(queue) - 1,
            age_ms=self._registry.age_ms,
            rejected_by=waiter.rejected_by.value,
            decided_by=self._role(),
            waited_ms=waited_ms,
            preceded_by=waiter.preceded_by,
        )
        if run.may_have_run:
            return run.failure()
        if waiter.rejected_by is wait_queues.Rejection.VERSION:
            return errors.WharfError(
                errors.ErrorKind.STREAM_VERSION_GONE,
                retry_after_ms=runs.RETRY_AFTER_MS,
            )
        retry_after_ms = self._wait_policy.retry_after_ms(
            run.call,
            self._running,
            priority=run.priority if self._policy.is_enabled else 0,
            min_wait_ms=self._wait_policy.expected_release_ms(
                queue.held_tokens, queue.blocking_tokens(waiter)
            ),
        )
        retry_after_ms = max(retry_after_ms, self._available_in_ms(run) or 0.0)
        return errors.WharfError(
            errors.ErrorKind.QUEUE_FULL, retry_after_ms=retry_after_ms
        )

    def _queue_of(self, service: str) -> wait_queues.WaitQueue:
        queue = self._queues.get(service)
        if queue is None:
            order = orders.AdmissionOrder.from_policy(self._policy)
            queue = wait_queues.WaitQueue(order, self._clock)
            self._queues[service] = queue
        return queue
