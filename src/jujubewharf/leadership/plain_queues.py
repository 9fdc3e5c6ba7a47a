"""The leader's queues of plain calls, one a service.

Handles the calls of all instances, some hundred a second: one timer a service,
and no task that polls.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import itertools

from jujubewharf import clock as clocks
from jujubewharf.admission import order as orders
from jujubewharf.admission import tickets
from jujubewharf.configuration import resources
from jujubewharf.endpoint_load import table
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import state_log
from jujubewharf.plain_calls import decisions
from jujubewharf.plain_calls import endpoint_group
from jujubewharf.plain_calls import permit_queue
from jujubewharf.plain_calls import service_times

# ``None`` if the call was cancelled, or this instance has stopped leading.
Verdict = decisions.Decision | None


@dataclasses.dataclass(slots=True)
class _ServiceQueue:
    """Queue of one service, and who waits for its decisions."""

    queue: permit_queue.PermitQueue
    order: orders.AdmissionOrder
    waiters: dict[int, asyncio.Future[Verdict]] = dataclasses.field(
        default_factory=dict
    )
    timer: asyncio.TimerHandle | None = None
    timer_ms: float = 0.0


class PlainQueues:
    """Decides about plain calls while this instance leads.

    Args:
        registry: Registered endpoints.
        loads: Load that endpoints have reported.
        times: Returns the observed times of a service's calls; the second
            argument is a target of its calls, for the prior.
        clock: Time source.
    """

    def __init__(
        self,
        registry: registries.Registry,
        loads: table.LoadTable,
        times: Callable[[str, float], service_times.ServiceTimes],
        clock: clocks.Clock,
    ) -> None:
        self._registry = registry
        self._loads = loads
        self._times = times
        self._clock = clock
        self._policy = orders.AdmissionPolicy()
        self._by_service: dict[str, _ServiceQueue] = {}
        self._queue_by_call: dict[int, _ServiceQueue] = {}
        self._numbers = itertools.count(1)
        registry.add_listener(lambda endpoints: self._update_endpoints())

    @property
    def waiting(self) -> int:
        """Number of waiting calls."""
        return sum(s.queue.waiting for s in self._by_service.values())

    @property
    def in_flight(self) -> int:
        """Number of granted calls that were not released."""
        return sum(s.queue.in_flight for s in self._by_service.values())

    def oldest_load_ms(self, service: str) -> int | None:
        """Returns the age of the oldest report of a service's endpoints.

        ``None`` if an endpoint's load is unknown, or there is no endpoint.
        """
        ages_ms: list[float] = []
        for endpoint in self._registry.of_service(service):
            known = self._loads.get(endpoint.name)
            if known is None:
                return None
            ages_ms.append(known.age_ms)
        return round(max(ages_ms)) if ages_ms else None

    def next_number(self) -> int:
        """Returns a number for a call."""
        return next(self._numbers)

    def apply_policy(self, policy: orders.AdmissionPolicy) -> None:
        """Applies changed settings; waiting calls are ranked again."""
        self._policy = policy
        for queued in self._by_service.values():
            queued.order.apply(policy)

    def reset(self) -> None:
        """Drops all state when this instance begins or stops to lead."""
        queues = list(self._by_service.values())
        self._by_service = {}
        self._queue_by_call = {}
        for queued in queues:
            if queued.timer is not None:
                queued.timer.cancel()
            for waiter in queued.waiters.values():
                if not waiter.done():
                    waiter.set_result(None)

    def waits(self) -> dict[str, dict[int, tickets.Waits]]:
        """Returns the waiting calls by service and priority."""
        now_ms = self._clock.now_ms()
        return {n: s.queue.waits(now_ms) for n, s in self._by_service.items()}

    def endpoint_loads(self) -> list[endpoint_group.Load]:
        """Returns limit and calls of each endpoint that accepts work."""
        now_ms = self._clock.now_ms()
        return [
            load
            for queued in self._by_service.values()
            for load in queued.queue.endpoint_loads(now_ms)
        ]

    async def decide(
        self, service: str, call: decisions.WaitingCall, *, target_ms: float
    ) -> Verdict:
        """Returns the decision about a call, when it is made.

        A cancelled call is removed, whatever has been decided about it.
        """
        verdict = await self._decide(service, call, target_ms=target_ms)
        if verdict is not None:
            state_log.count_plain_decision(call.priority, verdict)
        return verdict

    async def _decide(
        self, service: str, call: decisions.WaitingCall, *, target_ms: float
    ) -> Verdict:
        queued = self._queue_of(service, target_ms)
        self._queue_by_call[call.number] = queued
        decision = queued.queue.request(call, self._clock.now_ms())
        self._arm(queued)
        match decision:
            case decisions.Granted():
                return decision
            case decisions.Rejected():
                del self._queue_by_call[call.number]
                return decision
        waiter: asyncio.Future[Verdict] = asyncio.Future()
        queued.waiters[call.number] = waiter
        try:
            return await waiter
        except asyncio.CancelledError:
            self.cancel(call.number)
            raise
        finally:
            queued.waiters.pop(call.number, None)

    def release(
        self,
        number: int,
        outcome: decisions.Outcome,
    ) -> None:
        """Ends a granted call."""
        queued = self._queue_by_call.pop(number, None)
        if queued is None:
            return
        decided = queued.queue.release(
            number, self._clock.now_ms(), outcome=outcome
        )
        self._deliver(queued, decided)

    def cancel(self, number: int) -> None:
        """Removes a call, whether it waits or was granted."""
        queued = self._queue_by_call.pop(number, None)
        if queued is None:
            return
        waiter = queued.waiters.pop(number, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
        decided = queued.queue.cancel(number, self._clock.now_ms())
        self._deliver(queued, decided)

    def orphan(self, numbers: Iterable[int]) -> None:
        """Marks granted calls whose instance can't release them any more."""
        for number in numbers:
            queued = self._queue_by_call.pop(number, None)
            if queued is not None:
                queued.queue.orphan([number])

    def record_report(self, endpoint: str) -> None:
        """Uses the newest report of an endpoint, which has just arrived."""
        registered = self._registry.get(endpoint)
        known = self._loads.get(endpoint)
        if registered is None or known is None:
            return
        queued = self._by_service.get(registered.service)
        if queued is not None:
            self._deliver(queued, self._report(queued, endpoint, known))

    def _report(
        self, queued: _ServiceQueue, endpoint: str, known: table.KnownLoad
    ) -> list[decisions.Decision]:
        return queued.queue.record_report(
            endpoint,
            total=known.report.running + known.report.waiting,
            slots=known.report.slots,
            now_ms=self._clock.now_ms(),
            age_ms=known.age_ms,
        )

    def _queue_of(self, name: str, target_ms: float) -> _ServiceQueue:
        queued = self._by_service.get(name)
        if queued is not None:
            return queued
        order = orders.AdmissionOrder.from_policy(self._policy)
        queue = permit_queue.PermitQueue(
            self._times(name, target_ms),
            order,
            report_max_age_ms=table.MAX_AGE_MS,
        )
        queued = self._by_service[name] = _ServiceQueue(queue, order)
        endpoints = self._endpoints(name)
        queue.set_endpoints(endpoints, self._clock.now_ms())
        for endpoint in endpoints:
            known = self._loads.get(endpoint.name)
            if known is not None:
                self._report(queued, endpoint.name, known)
        return queued

    def _endpoints(self, service: str) -> list[resources.Endpoint]:
        """Returns the endpoints that accept work, with reported slots."""
        return [
            dataclasses.replace(
                endpoint,
                slots=self._loads.slots(endpoint.name) or endpoint.slots,
            )
            for endpoint in self._registry.of_service(service)
        ]

    def _update_endpoints(self) -> None:
        for name, queued in list(self._by_service.items()):
            decided = queued.queue.set_endpoints(
                self._endpoints(name), self._clock.now_ms()
            )
            self._deliver(queued, decided)

    def _deliver(
        self, queued: _ServiceQueue, decided: Iterable[decisions.Decision]
    ) -> None:
        for decision in decided:
            if isinstance(decision, decisions.Rejected):
                self._queue_by_call.pop(decision.number, None)
            waiter = queued.waiters.get(decision.number)
            if waiter is not None and not waiter.done():
                waiter.set_result(decision)
        self._arm(queued)

    def _arm(self, queued: _ServiceQueue) -> None:
        """Sets the timer to the next event of the queue."""
        next_ms = queued.queue.next_event_ms
        if next_ms is None:
            return
        if queued.timer is not None:
            if queued.timer_ms <= next_ms:
                return
            queued.timer.cancel()
        queued.timer_ms = next_ms
        queued.timer = self._clock.call_at_ms(
            next_ms, lambda: self._expire(queued)
        )

    def _expire(self, queued: _ServiceQueue) -> None:
        queued.timer = None
        self._deliver(queued, queued.queue.expire(self._clock.now_ms()))
