"""What is known of crashing requests outlives all instances."""

from __future__ import annotations

import asyncio

from jujubewharf.forwarding import crashes
from tests.forwarding import deployments

CRASHING = b"crashes each engine that runs it"
NAMES = ("e1", "e2", "e3")
# Within this all instances have to know, with or without a leader.
SETTLED_MS = 3_000.0


def _world():
    return deployments.deployed(
        deployments.shop("s1"), names=NAMES, is_led=True
    )


def _crash(world, *engines: str, instance: str = "e2", body=CRASHING) -> None:
    call = world.call("/sale/1", body=body)
    for engine in engines:
        world.instances[instance].crashes.crashed(call, engine, stage="run")


def _counts(world, body=CRASHING) -> set[int]:
    call = world.call("/sale/1", body=body)
    return {i.crashes.count(call) for i in world.instances.values()}


async def _restart_all(world) -> None:
    await asyncio.gather(*(world.restart(name) for name in NAMES))
    await world.clock.sleep_ms(2_000.0)


def test_a_restart_of_all_reads_it_again():
    async def main():
        async with _world() as world:
            _crash(world, "a", "b", "c")
            await world.clock.sleep_ms(300.0)
            await _restart_all(world)
            assert _counts(world) == {3}

    deployments.run(main())


def test_starts_of_one_instance_do_not_overwrite_each_other():
    async def main():
        async with _world() as world:
            for number in range(4):
                body = b"crashing %d" % number
                _crash(world, "a", "b", "c", body=body)
                await world.clock.sleep_ms(300.0)
                await _restart_all(world)
            for number in range(4):
                assert _counts(world, b"crashing %d" % number) == {3}

    deployments.run(main())


def test_a_store_that_is_away_gets_it_later():
    """Nobody can be told while the store is away; what is known waits."""

    async def main():
        async with _world() as world:
            world.crashes.is_down = True
            _crash(world, "a", "b", "c")
            await world.clock.sleep_ms(5_000.0)
            world.crashes.is_down = False
            await world.clock.sleep_ms(2_000.0)
            await _restart_all(world)
            assert _counts(world) == {3}

    deployments.run(main())


def test_what_changes_during_a_write_is_written_as_well():
    """The call takes a while, and another engine crashes meanwhile."""

    async def main():
        async with _world() as world:
            write = world.crashes.write

            async def slowly(values):
                await world.clock.sleep_ms(200.0)
                await write(values)

            world.crashes.write = slowly
            _crash(world, "a")
            await world.clock.sleep_ms(200.0)
            _crash(world, "b", "c")
            await world.clock.sleep_ms(2_000.0)
            await _restart_all(world)
            assert _counts(world) == {3}

    deployments.run(main())


def test_instances_that_start_while_it_is_away_read_it_later():
    async def main():
        async with _world() as world:
            _crash(world, "a", "b", "c")
            await world.clock.sleep_ms(300.0)
            world.crashes.is_down = True
            await _restart_all(world)
            assert _counts(world) == {0}
            world.crashes.is_down = False
            await world.clock.sleep_ms(2_000.0)
            assert _counts(world) == {3}

    deployments.run(main())


def test_a_whole_answer_is_kept_as_well():
    """An innocent request would else be refused after the next restart."""

    async def main():
        async with _world() as world:
            _crash(world, "a", "b", "c")
            await world.clock.sleep_ms(2_000.0)
            call = world.call("/sale/1", body=CRASHING)
            world.instances["e3"].crashes.came_through(call)
            await world.clock.sleep_ms(2_000.0)
            assert _counts(world) == {0}
            await _restart_all(world)
            assert _counts(world) == {0}

    deployments.run(main())


def test_nothing_is_kept_longer_than_it_counts():
    async def main():
        async with _world() as world:
            _crash(world, "a", "b", "c")
            await world.clock.sleep_ms(crashes.KEPT_MS + 120_000.0)
            assert (await world.crashes.newest()).records == ()

    deployments.run(main())


def test_a_calm_fleet_reads_seldom_and_writes_nothing():
    """One call in two seconds at most, for all instances together."""

    async def main():
        async with _world() as world:
            await world.clock.sleep_ms(5_000.0)
            reads = world.crashes.reads
            await world.clock.sleep_ms(60_000.0)
            assert world.crashes.reads - reads <= 30
            assert world.crashes.writes == 0

    deployments.run(main())


def test_a_record_of_another_writer_is_left_aside():
    async def main():
        async with _world() as world:
            _crash(world, "a", "b", "c")
            await world.clock.sleep_ms(300.0)
            world.crashes.put("other", b"{}")
            await _restart_all(world)
            assert _counts(world) == {3}

    deployments.run(main())


def test_instances_without_a_leader_hear_of_each_other_by_the_store():
    """All domains are cut from each other, and each still reaches the store."""

    async def main():
        behind = [deployments.shop("s1")]
        world = deployments.Deployment(*behind)
        await world.start_in("abc", *NAMES)
        await world.clock.sleep_ms(2_000.0)
        for first, second in ("ab", "ac", "bc"):
            world.network.cut(first, second)
        await world.clock.sleep_ms(500.0)
        # The links look open still; whoever is told this way isn't told.
        _crash(world, "a", "b", "c")
        await world.clock.sleep_ms(SETTLED_MS)
        assert _counts(world) == {3}
        await world.stop()

    deployments.run(main())


def test_instances_without_a_leader_for_long_read_now_and_then():
    """In a cut that is a call a second at most, and none that writes."""

    async def main():
        world = deployments.Deployment(deployments.shop("s1"))
        await world.start_in("abc", *NAMES)
        await world.clock.sleep_ms(2_000.0)
        for first, second in ("ab", "ac", "bc"):
            world.network.cut(first, second)
        await world.clock.sleep_ms(5_000.0)
        reads, writes = world.crashes.reads, world.crashes.writes
        await world.clock.sleep_ms(60_000.0)
        assert world.crashes.reads - reads <= len(NAMES) * 60
        assert world.crashes.writes == writes
        await world.stop()

    deployments.run(main())
