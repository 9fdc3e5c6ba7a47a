"""Engines of unequal speed under load, on virtual time."""

from __future__ import annotations

import asyncio
import collections

import pytest

from jujubewharf.engine_speeds import speeds as all_speeds
from jujubewharf.forwarding import role_plan
from tests.engine_speeds import unequal_engines
from tests.forwarding import deployments

DECODE = all_speeds.Stage.DECODE
PREFILL = all_speeds.Stage.PREFILL
URGENT, PATIENT = "/verdicts/1", "/patient/1"


@pytest.fixture(autouse=True)
def _fixed_roles(monkeypatch):
    """Keeps the roles: the stand-ins accept orders but don't change."""
    monkeypatch.setattr(role_plan, "plan_changes", lambda *args, **more: [])


async def _serve(load: float, *, seed: int, ranks_as_before: bool):
    """Returns the counts at a load in multiples of the engines' room."""
    world = unequal_engines.World(domains="ab")
    world.backends.times |= {"p0": 2.0, "d0": 2.0, "d1": 2.0}
    await world.begin(ranks_as_before=ranks_as_before)
    await world.offer(world.room_per_s * 0.9, for_ms=15_000.0, seed=seed)
    world.counted_from_ms = world.clock.now_ms()
    await world.offer(world.room_per_s * load, for_ms=15_000.0, seed=seed + 100)
    await world.stop()
    return world.counts


@pytest.mark.parametrize("load", [1.0, 2.0, 4.0])
def test_more_first_events_are_in_time_than_with_the_former_ranks(load):
    """A quarter of the engines at half the speed made streams late."""
    in_time = collections.Counter()

    async def main():
        for seed in (1, 2):
            for is_former in (False, True):
                counts = await _serve(
                    load, seed=seed, ranks_as_before=is_former
                )
                for path in (URGENT, PATIENT):
                    in_time[path, is_former] += counts[path].in_time
                    in_time[is_former] += counts[path].in_time
                    in_time["offered", path] += counts[path].offered / 2

    deployments.run(main())
    assert in_time[False] > in_time[True]
    # The urgent class doesn't pay for it, apart from chance.
    lost = in_time[URGENT, True] - in_time[URGENT, False]
    assert lost <= 0.01 * in_time["offered", URGENT]


def test_engine_slowed_for_600_ms_is_left_alone_for_that_time_only():
    async def main():
        world = unequal_engines.World(decodes=2, memory_tokens=400_000)
        await world.begin()
        begin_ms = world.clock.now_ms()
        slow_at_ms = [begin_ms + 3_000.0 * n for n in range(1, 9)]

        def change(slowdown):
            world.backends.slowdowns["d0"] = slowdown

        for at_ms in slow_at_ms:
            world.clock.call_at_ms(at_ms, lambda: change(2.5))
            world.clock.call_at_ms(at_ms + 600.0, lambda: change(1.0))
        await world.offer(15.0, for_ms=27_000.0)

        def share(from_ms, to_ms):
            found = [
                run.engine
                for run in world.backends.runs
                for at_ms in slow_at_ms
                if from_ms <= run.at_ms - at_ms < to_ms
            ]
            return found.count("d0") / len(found)

        # A run begins about 200 ms after its reservation. The engine is tried
        # again when its last report is 300 ms old.
        assert share(250.0, 800.0) < 0.25
        assert share(1_150.0, 3_000.0) > 0.4
        assert world.speeds().lasting("d0", DECODE) == 1.0
        await world.stop()

    deployments.run(main())


def test_engine_with_a_lying_report_gets_its_share_of_work():
    """Its report must neither draw load nor keep it idle for good."""

    async def main():
        world = unequal_engines.World()
        world.backends.reported |= {"d0": 30.0, "d1": 0.05}
        await world.begin()
        await world.offer(world.room_per_s, for_ms=15_000.0)
        assert not world.speeds().has_unequal
        assert world.speeds().slowdown("d0") == 1.0
        since_ms = world.clock.now_ms()
        await world.offer(world.room_per_s * 0.7, for_ms=10_000.0, seed=2)
        runs = collections.Counter(
            r.engine for r in world.backends.runs if r.at_ms >= since_ms
        )
        mean = runs.total() / 8
        assert mean * 0.7 < runs["d0"] < mean * 1.3
        assert mean * 0.7 < runs["d1"] < mean * 1.3
        await world.stop()

    deployments.run(main())


def test_engine_that_starts_anew_is_unknown_and_learned_again():
    async def main():
        world = unequal_engines.World()
        world.backends.times |= {"d0": 2.0}
        await world.begin()
        await world.offer(world.room_per_s, for_ms=10_000.0)
        assert world.speeds().lasting("d0", DECODE) > 1.4
        world.revive_crashed(after_ms=500.0)
        world.backends.crash(world.backends.by_name["d0"])
        await world.clock.sleep_ms(3_000.0)
        assert world.speeds().lasting("d0", DECODE) == 1.0
        again = next(n for n in world.backends.by_name if n.startswith("d0+"))
        assert world.speeds().lasting(again, DECODE) == 1.0
        # The new start is slow by itself.
        world.backends.times[again] = 2.0
        world.backends.by_name[again].events = unequal_engines.EVENTS
        world.backends.by_name[again].event_ms = unequal_engines.EVENT_MS
        await world.offer(world.room_per_s, for_ms=10_000.0, seed=2)
        assert world.speeds().lasting(again, DECODE) > 1.4
        await world.stop()

    deployments.run(main())


def test_new_leader_begins_without_observations_and_learns():
    async def main():
        world = unequal_engines.World()
        world.backends.times |= {"d0": 2.0, "p0": 2.0}
        names = ("e1", "e2", "e3", "e4")
        await world.begin(*names, is_led=True)
        await world.clock.sleep_ms(2_000.0)
        former = world.leader
        followers = [n for n in names if n != former]
        await world.offer(
            world.room_per_s, for_ms=10_000.0, instances=followers
        )
        # Only followers had requests: the leader knows it from them.
        known = world.speeds(former)
        assert known.lasting("d0", DECODE) > 1.4
        assert known.lasting("p0", PREFILL) > 1.4
        await world.instances.pop(former).stop()
        await world.clock.sleep_ms(5_000.0)
        assert world.leader in followers
        before = sum(c.in_time for c in world.counts.values())
        await world.offer(
            world.room_per_s * 0.8,
            for_ms=10_000.0,
            instances=followers,
            seed=2,
        )
        after = sum(c.in_time for c in world.counts.values())
        assert after - before > 0.7 * world.room_per_s * 0.8 * 10.0
        assert world.speeds(world.leader).lasting("d0", DECODE) > 1.4
        await world.stop()

    deployments.run(main())


def test_slowdown_of_a_prefill_engine_reaches_the_leader():
    """Only followers get its answers."""

    async def main():
        world = unequal_engines.World()
        await world.begin("e1", "e2", is_led=True)
        await world.clock.sleep_ms(2_000.0)
        leader = world.leader
        follower = "e2" if leader == "e1" else "e1"
        world.backends.slowdowns["p0"] = 2.5
        await world.offer(15.0, for_ms=2_000.0, instances=[follower])
        found = []

        async def watch():
            for _ in range(100):
                await world.clock.sleep_ms(20.0)
                found.append(world.speeds(leader).slowdown("p0"))

        task = asyncio.ensure_future(watch())
        await world.offer(15.0, for_ms=2_000.0, instances=[follower], seed=3)
        await task
        assert 2.5 in found
        await world.stop()

    deployments.run(main())
