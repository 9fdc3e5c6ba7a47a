"""Guards against losing the crash history in a restart of all instances."""

from __future__ import annotations

import asyncio

from jujubewharf.forwarding import crash_table
from jujubewharf.standins import store as stores
from tests.forwarding import deployments

CRASHING = b"crashes each engine that runs it"
NAMES = ("e1", "e2", "e3")
# Time in ms until all instances must know, with or without a leader.
SETTLED_MS = 3_000.0


def _deployed():
    return deployments.deployed(
        deployments.plain_endpoint("s1"), names=NAMES, is_led=True
    )


def _crash(world, *engines: str, instance: str = "e2", body=CRASHING) -> None:
    call = world.call("/sale/1", body=body)
    for engine in engines:
        world.instances[instance].crashes.record_crash(
            call, engine, stage="run"
        )


def _counts(world, body=CRASHING) -> set[int]:
    call = world.call("/sale/1", body=body)
    return {i.crashes.count(call) for i in world.instances.values()}


async def _restart_all(world) -> None:
    await asyncio.gather(*(world.restart(name) for name in NAMES))
    await world.clock.sleep_ms(2_000.0)


def test_history_survives_restart_of_all():
    async def main():
        async with _deployed() as world:
            _crash(world, "a", "b", "c")
            await world.clock.sleep_ms(300.0)
            await _restart_all(world)
            assert _counts(world) == {3}

    deployments.run(main())


def test_restarts_do_not_overwrite_earlier_records():
    async def main():
        async with _deployed() as world:
            for number in range(4):
                body = b"crashing %d" % number
                _crash(world, "a", "b", "c", body=body)
                await world.clock.sleep_ms(300.0)
                await _restart_all(world)
            for number in range(4):
                assert _counts(world, b"crashing %d" % number) == {3}

    deployments.run(main())


def test_reports_are_written_after_store_outage():
    """Reports of an outage of the store are written after it."""

    async def main():
        async with _deployed() as world:
            world.crashes.is_down = True
            _crash(world, "a", "b", "c")
            await world.clock.sleep_ms(5_000.0)
            world.crashes.is_down = False
            await world.clock.sleep_ms(2_000.0)
            await _restart_all(world)
            assert _counts(world) == {3}

    deployments.run(main())


def test_changes_during_a_write_are_written():
    """Another engine crashes while a slow write is in progress."""

    async def main():
        async with _deployed() as world:
            write = world.crashes.write

            async def slow_write(values):
                await world.clock.sleep_ms(200.0)
                await write(values)

            world.crashes.write = slow_write
            _crash(world, "a")
            await world.clock.sleep_ms(200.0)
            _crash(world, "b", "c")
            await world.clock.sleep_ms(2_000.0)
            await _restart_all(world)
            assert _counts(world) == {3}

    deployments.run(main())


def test_history_is_read_after_start_during_store_outage():
    async def main():
        async with _deployed() as world:
            _crash(world, "a", "b", "c")
            await world.clock.sleep_ms(300.0)
            world.crashes.is_down = True
            await _restart_all(world)
            assert _counts(world) == {0}
            world.crashes.is_down = False
            await world.clock.sleep_ms(2_000.0)
            assert _counts(world) == {3}

    deployments.run(main())


def test_acquittal_survives_restart_of_all():
    """Otherwise an innocent request would be refused after a restart."""

    async def main():
        async with _deployed() as world:
            _crash(world, "a", "b", "c")
            await world.clock.sleep_ms(2_000.0)
            call = world.call("/sale/1", body=CRASHING)
            world.instances["e3"].crashes.record_success(call)
            await world.clock.sleep_ms(2_000.0)
            assert _counts(world) == {0}
            await _restart_all(world)
            assert _counts(world) == {0}

    deployments.run(main())


def test_expired_records_are_deleted():
    async def main():
        async with _deployed() as world:
            _crash(world, "a", "b", "c")
            await world.clock.sleep_ms(crash_table.RETENTION_MS + 120_000.0)
            assert (await world.crashes.newest()).records == ()

    deployments.run(main())


def test_idle_fleet_rarely_reads_and_never_writes():
    """At most one read in two seconds for all instances together."""

    async def main():
        async with _deployed() as world:
            await world.clock.sleep_ms(5_000.0)
            reads = world.crashes.reads
            await world.clock.sleep_ms(60_000.0)
            assert world.crashes.reads - reads <= 30
            assert world.crashes.writes == 0

    deployments.run(main())


def test_unreadable_record_is_skipped():
    async def main():
        async with _deployed() as world:
            _crash(world, "a", "b", "c")
            await world.clock.sleep_ms(300.0)
            world.crashes.put("other", b"{}")
            await _restart_all(world)
            assert _counts(world) == {3}

    deployments.run(main())


def test_instances_without_a_leader_share_reports_through_the_store():
    """All domains are partitioned from each other, but reach the store."""

    async def main():
        backends = [deployments.plain_endpoint("s1")]
        world = deployments.Deployment(*backends)
        await world.start_in("abc", *NAMES)
        await world.clock.sleep_ms(2_000.0)
        for first, second in ("ab", "ac", "bc"):
            world.network.cut(first, second)
        await world.clock.sleep_ms(500.0)
        # The links still appear open, but messages on them are lost.
        _crash(world, "a", "b", "c")
        await world.clock.sleep_ms(SETTLED_MS)
        assert _counts(world) == {3}
        await world.stop()

    deployments.run(main())


def test_instances_without_a_leader_rarely_read():
    """At most one read per second and instance, and no writes."""

    async def main():
        world = deployments.Deployment(deployments.plain_endpoint("s1"))
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


async def _restore(world, copy):
    world.store.outage = stores.Outage.RESET
    await world.clock.sleep_ms(400.0)
    world.store.restore(copy)
    await world.clock.sleep_ms(2_000.0)


def test_history_survives_a_restore_and_a_restart_of_all():
    """The reports were acknowledged, and the copy is from before them."""

    async def main():
        async with _deployed() as world:
            copy = world.store.copy()
            _crash(world, "a", "b", "c")
            await world.clock.sleep_ms(300.0)
            await _restore(world, copy)
            writes = world.crashes.writes
            await _restart_all(world)
            assert _counts(world) == {3}
            assert writes <= 2

    deployments.run(main())


def test_history_survives_a_restore_without_a_leader():
    """Instances that are cut off from each other write theirs again."""

    async def main():
        world = deployments.Deployment(deployments.plain_endpoint("s1"))
        await world.start_in("abc", *NAMES)
        await world.clock.sleep_ms(2_000.0)
        for first, second in ("ab", "ac", "bc"):
            world.network.cut(first, second)
        await world.clock.sleep_ms(5_000.0)
        copy = world.store.copy()
        _crash(world, "a", "b", "c")
        await world.clock.sleep_ms(SETTLED_MS)
        await _restore(world, copy)
        await _restart_all(world)
        assert _counts(world) == {3}
        await world.stop()

    deployments.run(main())


def test_history_survives_two_restores_of_one_copy():
    async def main():
        async with _deployed() as world:
            copy = world.store.copy()
            _crash(world, "a", "b", "c")
            await world.clock.sleep_ms(300.0)
            await _restore(world, copy)
            await _restore(world, copy)
            await _restart_all(world)
            assert _counts(world) == {3}

    deployments.run(main())


def test_write_that_the_former_store_confirms_late_is_repeated():
    """The confirmation of a lost write arrives after the restore."""

    async def main():
        async with _deployed() as world:
            copy = world.store.copy()
            world.store.delays_ms[world.leader] = 700.0
            _crash(world, "a", "b", "c")
            await world.clock.sleep_ms(200.0)
            assert world.crashes.writes == 1
            world.store.restore(copy)
            world.store.delays_ms.clear()
            await world.clock.sleep_ms(3_000.0)
            await _restart_all(world)
            assert _counts(world) == {3}

    deployments.run(main())
