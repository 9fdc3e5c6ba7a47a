"""Plain endpoints under load on virtual time, with several ways to choose.

The simulation has no network: a call reaches an endpoint after a delay, waits
there in order of arrival, runs in a slot, and its answer takes the same delay.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from jujubewharf.admission import order as orders
from jujubewharf.configuration import resources
from jujubewharf.plain_calls import decisions
from jujubewharf.plain_calls import permit_queue
from jujubewharf.plain_calls import service_times

SERVICE = "shop-api"


def endpoint(name: str, domain: str = "a", slots: int = 6):
    """A plain endpoint."""
    return resources.Endpoint(
        name,
        SERVICE,
        f"{name}:1",
        domain,
        resources.Role.PLAIN,
        slots=slots,
    )


class Events:
    """Callbacks in order of their virtual time."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._numbers = itertools.count()

    def at(self, at_ms: float, call: Callable[[], object]) -> None:
        heapq.heappush(
            self._heap, (max(at_ms, self.now_ms), next(self._numbers), call)
        )

    def run(self, until_ms: float) -> None:
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._heap)
            call()


@dataclasses.dataclass(eq=False)
class SimulatedCall:
    """A call and what became of it."""

    number: int
    instance: int
    arrived_ms: float
    target_ms: float
    deadline_ms: float
    work_ms: float
    account: str | None = None
    priority: int = 0
    excluded: frozenset[str] = frozenset()
    ended_ms: float | None = None
    started_ms: float | None = None
    rejected: decisions.Rejected | None = None
    rejected_ms: float | None = None
    was_full: bool = False
    endpoint: str | None = None

    @property
    def due_ms(self) -> float:
        return self.arrived_ms + self.target_ms

    @property
    def is_in_time(self) -> bool:
        return self.ended_ms is not None and self.ended_ms <= self.due_ms

    @property
    def worth(self) -> float:
        """1 for an answer in time, 0.3 for a late one."""
        if self.is_in_time:
            return 1.0
        last_ms = self.arrived_ms + self.deadline_ms
        return 0.3 if self.ended_ms and self.ended_ms <= last_ms else 0.0


class SimulatedEndpoint:
    """Slots and a queue in order of arrival."""

    def __init__(
        self,
        events: Events,
        registered: resources.Endpoint,
        *,
        queue: int = 24,
        speed: float = 1.0,
    ) -> None:
        self.endpoint = registered
        self.name = registered.name
        self.speed = speed
        self.slow_from_ms = self.slow_until_ms = 0.0
        self.reports_slowdown = True
        self.running = 0
        self.waiting: collections.deque = collections.deque()
        self.max_waiting = 0
        self._queue = queue
        self._events = events

    @property
    def slowdown(self) -> float:
        is_slow = self.slow_from_ms <= self._events.now_ms < self.slow_until_ms
        return 2.5 if is_slow else 1.0

    @property
    def total(self) -> int:
        return self.running + len(self.waiting)

    def receive(
        self, call: SimulatedCall, on_end: Callable[[bool], None]
    ) -> None:
        if len(self.waiting) >= self._queue:
            on_end(False)
            return
        self.waiting.append((call, on_end))
        self._start()
        self.max_waiting = max(self.max_waiting, len(self.waiting))

    def _start(self) -> None:
        while self.waiting and self.running < self.endpoint.slots:
            call, on_end = self.waiting.popleft()
            self.running += 1
            call.started_ms = self._events.now_ms
            took_ms = call.work_ms / self.speed * self.slowdown
            self._events.at(
                self._events.now_ms + took_ms,
                lambda on_end=on_end: self._end(on_end),
            )

    def _end(self, on_end: Callable[[bool], None]) -> None:
        self.running -= 1
        on_end(True)
        self._start()


class Way:
    """A way to choose endpoints."""

    def __init__(
        self, events: Events, endpoints: list[SimulatedEndpoint], **more
    ) -> None:
        self.events = events
        self.endpoints = {e.name: e for e in endpoints}
        self.rng = random.Random(7)
        self.delay_ms = more.get("delay_ms", 0.8)

    def arrive(self, call: SimulatedCall) -> None:
        raise NotImplementedError

    def delay(self) -> float:
        """One-way delay, with jitter."""
        return self.delay_ms * (0.5 + self.rng.random())

    def send(
        self,
        call: SimulatedCall,
        name: str,
        done: Callable[[bool], object],
    ) -> None:
        """Sends a call; ``done`` is called when its answer is back."""
        call.endpoint = name

        def on_end(has_run: bool) -> None:
            self.events.at(
                self.events.now_ms + self.delay(), lambda: finish(has_run)
            )

        def finish(has_run: bool) -> None:
            if has_run:
                call.ended_ms = self.events.now_ms
            else:
                call.was_full = True
            done(has_run)

        self.events.at(
            self.events.now_ms + self.delay(),
            lambda: self.endpoints[name].receive(call, on_end),
        )


class OwnCalls(Way):
    """Each instance chooses by its own calls in flight, as before."""

    def __init__(self, *args, **more) -> None:
        super().__init__(*args, **more)
        self._own: collections.Counter = collections.Counter()
        self._last: dict = {}
        self._choices = 0

    def arrive(self, call: SimulatedCall) -> None:
        def rank(name: str):
            key = (call.instance, name)
            return (self._own[key], self._last.get(key, 0), name)

        name = min(self.endpoints, key=rank)
        key = (call.instance, name)
        self._choices += 1
        self._last[key] = self._choices
        self._own[key] += 1

        def done(has_run: bool) -> None:
            self._own[key] -= 1

        self.send(call, name, done)


class Oracle(Way):
    """Sees all slots and the work of each call, without any delay."""

    def __init__(self, *args, **more) -> None:
        super().__init__(*args, **more)
        self._waiting: list[SimulatedCall] = []

    def arrive(self, call: SimulatedCall) -> None:
        self._waiting.append(call)
        self._fill()

    def _fill(self) -> None:
        now_ms = self.events.now_ms
        by_speed = sorted(
            self.endpoints.values(), key=lambda e: e.slowdown / e.speed
        )
        for chosen in by_speed:
            factor = chosen.slowdown / chosen.speed
            while self._waiting and chosen.total < chosen.endpoint.slots:
                in_time = [
                    c
                    for c in self._waiting
                    if now_ms + c.work_ms * factor + 2 * self.delay_ms
                    <= c.due_ms
                ]
                useful = in_time or [
                    c
                    for c in self._waiting
                    if now_ms + c.work_ms * factor
                    <= c.arrived_ms + c.deadline_ms
                ]
                if not useful:
                    break
                call = min(useful, key=lambda c: c.due_ms)
                self._waiting.remove(call)
                call.endpoint = chosen.name

                def on_end(has_run: bool, call=call) -> None:
                    call.ended_ms = self.events.now_ms + self.delay_ms
                    self.events.at(self.events.now_ms, self._fill)

                chosen.receive(call, on_end)


class Permits(Way):
    """The permit queue at a leader, which all instances ask."""

    def __init__(self, *args, accounts: bool = False, **more) -> None:
        super().__init__(*args, **more)
        self.calls: dict[int, SimulatedCall] = {}
        self.decided: list[tuple[float, object]] = []
        self.in_time_waits: list[tuple[float, float]] = []
        self.queue = permit_queue.PermitQueue(
            service_times.ServiceTimes(
                self._slowdown, prior_ms=more.get("prior_ms", 60.0)
            ),
            orders.AdmissionOrder.from_policy(orders.AdmissionPolicy()),
            report_max_age_ms=1_000.0,
        )
        self._reported: dict[str, tuple[float, float]] = {}
        self._timer_ms: float | None = None
        self.queue.set_endpoints(
            [e.endpoint for e in self.endpoints.values()], 0.0
        )

    def _slowdown(self, name: str) -> float:
        at_ms, slowdown = self._reported.get(name, (-1e9, 1.0))
        return slowdown if self.events.now_ms - at_ms < 300.0 else 1.0

    def arrive(self, call: SimulatedCall) -> None:
        self.events.at(
            self.events.now_ms + self.delay(), lambda: self._request(call)
        )

    def _request(self, call: SimulatedCall) -> None:
        self.calls[call.number] = call
        asked = decisions.WaitingCall(
            call.number,
            "a",
            call.due_ms,
            call.arrived_ms + call.deadline_ms,
            call.priority,
            call.account,
            call.excluded,
        )
        self.apply([self.queue.request(asked, self.events.now_ms)])

    def apply(self, decided: list) -> None:
        for decision in decided:
            self.decided.append((self.events.now_ms, decision))
            call = self.calls[decision.number]
            match decision:
                case decisions.Granted(endpoint=name):
                    self.events.at(
                        self.events.now_ms + self.delay(),
                        lambda call=call, name=name: self._send(call, name),
                    )
                case decisions.Rejected():
                    call.rejected = decision
                    call.rejected_ms = self.events.now_ms
        self._arm()

    def _send(self, call: SimulatedCall, name: str) -> None:
        self.send(call, name, lambda has_run: self._done(call, name, has_run))

    def _done(self, call: SimulatedCall, name: str, has_run: bool) -> None:
        behind = self.endpoints[name]
        total, slowdown = behind.total, behind.slowdown
        if not behind.reports_slowdown:
            slowdown = 1.0

        def release() -> None:
            now_ms = self.events.now_ms
            self._reported[name] = (now_ms, slowdown)
            decided = self.queue.record_report(
                name, total=total, slots=behind.endpoint.slots, now_ms=now_ms
            )
            outcome = (
                decisions.Outcome.COMPLETED
                if has_run
                else decisions.Outcome.FULL
            )
            decided += self.queue.release(call.number, now_ms, outcome=outcome)
            self.apply(decided)

        self.events.at(self.events.now_ms + self.delay(), release)

    def _arm(self) -> None:
        next_ms = self.queue.next_event_ms
        if next_ms is None:
            return
        if self._timer_ms is not None and self._timer_ms <= next_ms:
            return
        self._timer_ms = next_ms
        self.events.at(next_ms, self._expire)

    def _expire(self) -> None:
        self._timer_ms = None
        self.apply(self.queue.expire(self.events.now_ms))


def burst(
    seed: int,
    *,
    per_s: float,
    for_ms: float,
    start_ms: float = 0.0,
    instances: int = 100,
    work_ms: float = 80.0,
    target_ms: float = 375.0,
    deadline_ms: float = 2_000.0,
    first: int = 0,
    **more,
) -> list[SimulatedCall]:
    """Calls that arrive at random times, with some variation of their work."""
    rng = random.Random(seed)
    made: list[SimulatedCall] = []
    at_ms = start_ms
    while True:
        at_ms += rng.expovariate(per_s / 1_000.0)
        if at_ms >= start_ms + for_ms:
            return made
        made.append(
            SimulatedCall(
                first + len(made),
                rng.randrange(instances),
                at_ms,
                target_ms,
                deadline_ms,
                work_ms * rng.uniform(0.8, 1.2),
                **more,
            )
        )


def simulate(
    way_type: type[Way],
    calls: list[SimulatedCall],
    behind: Callable[[Events], list[SimulatedEndpoint]],
    **more,
) -> Way:
    """Runs calls to their ends."""
    events = Events()
    way = way_type(events, behind(events), **more)
    for call in calls:
        events.at(call.arrived_ms, lambda call=call: way.arrive(call))
    events.run(max(c.arrived_ms + c.deadline_ms for c in calls) + 5_000.0)
    return way


def in_time_share(calls: list[SimulatedCall]) -> float:
    """Returns the share of calls answered within the target."""
    return sum(c.is_in_time for c in calls) / len(calls)


def worth(calls: list[SimulatedCall]) -> float:
    """Returns the mean worth of calls."""
    return sum(c.worth for c in calls) / len(calls)
