"""The store comes back from a copy and has lost what it acknowledged."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf.standins import store as stores
from tests.forwarding import deployments

prefill_engine = deployments.prefill_engine
decode_engine = deployments.decode_engine

NAMES = ("e1", "e2", "e3", "e4")
# Time in ms within which a change must be in force.
IN_FORCE_MS = 2_000.0
# Time in ms until all instances follow a leader again.
SETTLED_MS = 9_000.0


def _deployed(names=NAMES):
    return deployments.deployed(
        prefill_engine("p1"), decode_engine("d1"), names=names, is_led=True
    )


def _versions(world):
    return {n: i.source.version for n, i in world.instances.items()}


def _shop(name):
    return deployments.plain_endpoint(name).endpoint


async def _write(world, *versions):
    """Writes configurations as an operator does, some time apart."""
    for version in versions:
        world.configurations.put("config", deployments.configuration(version))
        await world.clock.sleep_ms(IN_FORCE_MS)


@pytest.mark.parametrize("rewritten", [1, 2, 3, 5])
def test_version_written_after_a_restore_is_in_force_everywhere(rewritten):
    """Followers keep an old version while their leader has the newest.

    The store's offsets have gone back, and those of newer versions are lower
    than, equal to or higher than what the leader sent before.
    """

    async def main():
        async with _deployed() as world:
            await _write(world, 2)
            copy = world.store.copy()
            await _write(world, 3, 4, 5)
            world.store.restore(copy)
            await world.clock.sleep_ms(SETTLED_MS)
            for version in range(6, 6 + rewritten):
                await _write(world, version)
                assert set(_versions(world).values()) == {version}

    deployments.run(main())


@pytest.mark.parametrize("lost", [1, 3])
@pytest.mark.parametrize("more", [0, 1, 4])
def test_change_below_the_former_end_is_not_skipped(lost, more):
    """A reader goes on at its former end and skips what lies below it.

    As much or more is written again before it reads, so that the store has
    the position and refuses nothing.
    """

    async def main():
        async with _deployed() as world:
            copy = world.store.copy()
            for number in range(lost):
                name = f"lost{number}"
                world.endpoints.put(name, _shop(name))
            await world.clock.sleep_ms(IN_FORCE_MS)
            world.store.outage = stores.Outage.RESET
            await world.clock.sleep_ms(500.0)
            world.store.restore(copy)
            for number in range(lost + more):
                name = f"new{number}"
                world.endpoints.put(name, _shop(name))
            await world.clock.sleep_ms(IN_FORCE_MS)
            refused = world.store.refused_reads
            for instance in world.instances.values():
                for number in range(lost + more):
                    assert instance.registry.takes_work(f"new{number}")
            assert not refused

    deployments.run(main())


@pytest.mark.parametrize("age_ms", [500.0, 4_000.0])
def test_one_instance_leads_after_generations_have_gone_back(age_ms):
    """A member keeps the lease that the restored store gave to another one.

    The generation that it is told is lower than the one that it has seen.
    """

    async def main():
        async with _deployed() as world:
            copy = world.store.copy()
            for name in ("x", "y", "z"):
                world.leaders.join(name)
                world.leaders.leave(name)
            await world.clock.sleep_ms(age_ms)
            former = world.leader
            world.store.restore(copy)
            # The copy has another member, which holds the first part.
            world.leaders.leave(f"{former}:1")
            world.leaders.join("a:1")
            world.leaders.join(f"{former}:1")
            await world.clock.sleep_ms(1_500.0)
            assert not world.instances[former].lease.holds_first_part
            await world.clock.sleep_ms(SETTLED_MS)
            leading = [
                name
                for name, instance in world.instances.items()
                if instance.fleet.is_leading
            ]
            assert len(leading) == 1

    deployments.run(main())


def test_fence_rises_across_a_restore():
    """Engines refuse the orders of a leader whose generation has gone back."""

    async def main():
        async with _deployed() as world:
            copy = world.store.copy()
            for name in ("x", "y", "z"):
                world.leaders.join(name)
                world.leaders.leave(name)
            await world.clock.sleep_ms(5_000.0)
            before = world.instances[world.leader].lease.fence
            assert before is not None
            world.store.restore(copy)
            await world.clock.sleep_ms(SETTLED_MS)
            after = world.instances[world.leader].lease.fence
            assert after is not None and after > before

    deployments.run(main())


async def _lose(world, change):
    """Makes a change that reaches all instances and is lost in a restore."""
    copy = world.store.copy()
    change()
    await world.clock.sleep_ms(IN_FORCE_MS)
    world.store.outage = stores.Outage.RESET
    await world.clock.sleep_ms(400.0)
    world.store.restore(copy)


async def _serves(world, name, *, for_ms, every_ms=50.0):
    """Returns, by instance, how often it would have sent work to a name."""
    counts = dict.fromkeys(world.instances, 0)
    until_ms = world.clock.now_ms() + for_ms
    while world.clock.now_ms() < until_ms:
        for instance_name, instance in world.instances.items():
            counts[instance_name] += instance.registry.takes_work(name)
        await world.clock.sleep_ms(every_ms)
    return counts


def test_endpoint_that_drains_gets_no_work_after_a_restore():
    """The copy shows an endpoint as ready that has said that it leaves."""

    async def main():
        leaving = decode_engine("d2")
        async with deployments.deployed(
            prefill_engine("p1"),
            decode_engine("d1"),
            leaving,
            names=NAMES,
            is_led=True,
        ) as world:
            await _lose(world, lambda: world.register(leaving, drained=True))
            counts = await _serves(world, "d2", for_ms=9_000.0)
            assert set(counts.values()) == {0}

    deployments.run(main())


def test_instance_that_starts_learns_who_drains():
    """An instance that starts after the restore reads the older entry only."""

    async def main():
        leaving = decode_engine("d2")
        async with deployments.deployed(
            prefill_engine("p1"),
            decode_engine("d1"),
            leaving,
            names=NAMES,
            is_led=True,
        ) as world:
            await _lose(world, lambda: world.register(leaving, drained=True))
            await world.clock.sleep_ms(2_000.0)
            await world.start("e5", declare=False, is_led=True)
            assert world.instances["e5"].fleet.link.is_open
            counts = await _serves(world, "d2", for_ms=3_000.0)
            assert set(counts.values()) == {0}

    deployments.run(main())


def test_endpoint_that_is_gone_gets_no_work_after_a_restore():
    """The copy shows an endpoint that has left; its entry expires again."""

    async def main():
        async with _deployed() as world:
            world.endpoints.put("s1", _shop("s1"))
            await world.clock.sleep_ms(1_000.0)
            await _lose(world, lambda: world.endpoints.put("s1", None))
            counts = await _serves(world, "s1", for_ms=3_600.0)
            world.endpoints.put("s1", None)
            later = await _serves(world, "s1", for_ms=9_000.0)
            assert set(counts.values()) | set(later.values()) == {0}

    deployments.run(main())


def test_endpoint_that_the_store_goes_on_showing_gets_work_again():
    """An endpoint was away from the store only, and is in the copy."""

    async def main():
        async with _deployed() as world:
            world.endpoints.put("s1", _shop("s1"))
            await world.clock.sleep_ms(1_000.0)
            await _lose(world, lambda: world.endpoints.put("s1", None))
            await world.clock.sleep_ms(9_000.0)
            counts = await _serves(world, "s1", for_ms=500.0)
            assert min(counts.values()) > 0

    deployments.run(main())


@pytest.mark.parametrize("back_after_ms", [100.0, 1_900.0])
def test_lost_registration_is_kept_until_it_is_written_again(back_after_ms):
    """An endpoint that registered since the copy goes on being served from."""

    async def main():
        async with _deployed() as world:
            await _lose(world, lambda: world.endpoints.put("s1", _shop("s1")))
            before = await _serves(world, "s1", for_ms=back_after_ms)
            world.endpoints.put("s1", _shop("s1"))
            after = await _serves(world, "s1", for_ms=5_000.0)
            expected = back_after_ms / 50.0 + 100
            served = [before[n] + after[n] for n in world.instances]
            assert min(served) >= expected - 1

    deployments.run(main())


def test_lost_registration_that_is_not_written_again_is_dropped():
    async def main():
        async with _deployed() as world:
            await _lose(world, lambda: world.endpoints.put("s1", _shop("s1")))
            await world.clock.sleep_ms(9_000.0)
            counts = await _serves(world, "s1", for_ms=500.0)
            assert set(counts.values()) == {0}

    deployments.run(main())


def test_instance_that_starts_gets_the_newest_version_from_the_leader():
    """The store has an older version only, until it is written again."""

    async def main():
        async with _deployed() as world:
            await _write(world, 2)
            copy = world.store.copy()
            await _write(world, 3, 4)
            world.store.restore(copy)
            await world.clock.sleep_ms(SETTLED_MS)
            starting = asyncio.ensure_future(
                world.start("e5", declare=False, is_led=True)
            )
            seen = set()
            while not starting.done():
                await world.clock.sleep_ms(10.0)
                instance = world.instances.get("e5")
                if instance is not None and instance.is_ready:
                    seen.add(instance.source.version)
            assert seen == {4}

    deployments.run(main())


def test_leader_that_knows_an_older_version_gets_the_newest():
    """The new leader has just started, and the store has lost the newest."""

    async def main():
        async with _deployed() as world:
            await _write(world, 2)
            copy = world.store.copy()
            await _write(world, 3, 4)
            restarted = world.leader
            world.cores[restarted] = 16.0
            world.store.outage = stores.Outage.RESET
            world.store.restore(copy)
            await world.restart(restarted)
            await world.clock.sleep_ms(SETTLED_MS)
            assert world.leader is not None
            assert set(_versions(world).values()) == {4}
            await _write(world, 7)
            assert set(_versions(world).values()) == {7}

    deployments.run(main())


def test_no_instance_returns_to_the_copys_version():
    """The version that was in force stays so, however often the store goes."""

    async def main():
        async with _deployed() as world:
            await _write(world, 2)
            copy = world.store.copy()
            await _write(world, 3, 4)
            for _ in range(3):
                world.store.restore(copy)
                for _ in range(50):
                    await world.clock.sleep_ms(100.0)
                    assert set(_versions(world).values()) == {4}

    deployments.run(main())
