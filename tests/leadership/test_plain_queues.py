"""Decisions of the leader's queues on a virtual clock."""

from __future__ import annotations

import asyncio

from jujubewharf import clock as clocks
from jujubewharf.endpoint_load import reports
from jujubewharf.endpoint_load import table
from jujubewharf.experiments import virtual_time
from jujubewharf.leadership import plain_queues
from jujubewharf.plain_calls import decisions
from jujubewharf.plain_calls import service_times
from tests.plain_calls import simulation

SERVICE = simulation.endpoint("s1").service
WORK_MS = 80.0


class _Registry:
    """Endpoints that all accept work."""

    def __init__(self, *endpoints):
        self.endpoints = list(endpoints)

    def add_listener(self, listener):
        pass

    def get(self, name):
        return next((e for e in self.endpoints if e.name == name), None)

    def of_service(self, service):
        return [e for e in self.endpoints if e.service == service]


class _World:
    """Queues of one service with a single endpoint."""

    def __init__(self, clock, *, slots):
        self.clock = clock
        self.loads = table.LoadTable(clock)
        self.times = service_times.ServiceTimes(
            self.loads.slowdown, prior_ms=WORK_MS
        )
        self.queues = plain_queues.PlainQueues(
            _Registry(simulation.endpoint("s1", slots=slots)),
            self.loads,
            lambda service, target_ms: self.times,
            clock,
        )

    def decide(self, *, target_ms=400.0, deadline_ms=2_000.0):
        now_ms = self.clock.now_ms()
        call = decisions.WaitingCall(
            self.queues.next_number(),
            "a",
            now_ms + target_ms,
            now_ms + deadline_ms,
        )
        return asyncio.ensure_future(
            self.queues.decide(SERVICE, call, target_ms=target_ms)
        )


def _run(scenario, *, slots=1):
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        await clock.sleep_ms(10_000.0)
        await scenario(_World(clock, slots=slots))

    virtual_time.run(main())


def test_older_report_grants_calls_at_the_present_time():
    """The end of a stream brings a report from its beginning.

    Calls that were granted at the time of the report seemed to take longer by
    the age of the report, and to have waited a negative time.
    """

    async def scenario(world):
        first = [world.decide() for _ in range(2)]
        await world.clock.sleep_ms(10.0)
        waiting = world.decide()
        await world.clock.sleep_ms(10.0)
        assert not waiting.done()
        older = reports.LoadReport(2, 0, 2)
        world.loads.record("s1", older, age_ms=500.0)
        world.queues.record_report("s1")
        granted = await waiting
        assert granted.waited_ms == 10.0
        await world.clock.sleep_ms(WORK_MS)
        outcome = decisions.Outcome.COMPLETED
        world.queues.release(granted.number, outcome)
        assert world.times.median_ms("s1") == WORK_MS
        for call in first:
            world.queues.release((await call).number, outcome)

    _run(scenario)
