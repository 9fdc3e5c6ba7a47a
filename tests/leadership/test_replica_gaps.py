"""Streams that replicas know, or could have known, are refused or mixed."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf import clock as clocks
from jujubewharf.stream_versions import origins
from tests.forwarding import deployments
from tests.leadership import stream_versions as versions

NAMES = tuple(f"e{n}" for n in range(1, 13))
_KEEP_MS = 60_000.0


class _TickingClock(clocks.Clock):
    """A clock of which no two readings are the same, as on a machine."""

    _TICK_MS = 1e-6

    def __init__(self) -> None:
        super().__init__(wall_origin_ms=0.0)
        self._ticks = 0

    def now_ms(self) -> float:
        self._ticks += 1
        return super().now_ms() + self._ticks * self._TICK_MS


def _behind():
    behind = [versions.prefill_engine("v1"), versions.prefill_engine("v2")]
    for version in ("v1", "v2"):
        behind += versions.decode_engines(version, count=3)
    return behind


def _keys(count: int) -> list[bytes]:
    return [n.to_bytes(16, "big") for n in range(count)]


def _record(world, instance: str, keys, *, version: str = "v1") -> None:
    for key in keys:
        world.instances[instance]._origins.record(
            key,
            origins.StreamOrigin(deployments.ENGINES, version),
            keep_ms=_KEEP_MS,
        )


async def _find(world, instance: str, keys):
    found = await asyncio.gather(
        *(world.instances[instance]._origins.find(key) for key in keys)
    )
    return [search.origin for search in found]


async def _known(world, instance: str, keys) -> int:
    found = await _find(world, instance, keys)
    return sum(origin is not None for origin in found)


def _of_domain(world, domain: str) -> list[str]:
    return sorted(
        name
        for name, instance in world.instances.items()
        if instance.domain == domain
    )


# A replica's reply has no time left, so the stream is forgotten as it is taken
# over, unless the clock stands still.
def test_reply_of_a_replica_is_used_while_time_passes():
    async def main():
        world = deployments.Deployment(*_behind())
        world.clock = _TickingClock()
        # More instances than replicas, so that some have no copy.
        names = tuple(f"e{n}" for n in range(1, 21))
        await world.start_in(versions.DOMAINS, *names)
        await world.clock.sleep_ms(4_000.0)
        keys = _keys(10)
        _record(world, "e1", keys)
        await world.clock.sleep_ms(1_000.0)
        await versions.Callers(world).kill("e1")
        known = {n: await _known(world, n, keys) for n in world.instances}
        await world.stop()
        assert set(known.values()) == {len(keys)}, known

    deployments.run(main())


async def _refused(world, names, keys, *, for_ms: float) -> list[object]:
    """Where and when not all streams are known; nothing is remembered."""
    refused: list[object] = []
    until_ms = world.clock.now_ms() + for_ms
    while world.clock.now_ms() < until_ms:
        await world.clock.sleep_ms(100.0)
        for name in names:
            memory = world.instances[name]._origins._memory
            held = dict(memory._records)
            known = await _known(world, name, keys)
            memory._records = held
            if known < len(keys):
                refused.append((round(world.clock.now_ms()), name, known))
    return refused


# Followers that came back first got a list without the others, and asked
# nobody who knew.
def test_streams_are_known_while_followers_return_after_a_cut():
    async def main():
        names = tuple(f"e{n}" for n in range(1, 21))
        async with versions.deployed(*_behind(), names=names) as world:
            leaders = world.instances[world.leader].domain
            others = [d for d in versions.DOMAINS if d != leaders]
            for domain in others:
                world.network.cut(leaders, domain)
            await world.clock.sleep_ms(5_000.0)
            keys = _keys(3)
            began = _of_domain(world, others[0])[0]
            _record(world, began, keys)
            await world.clock.sleep_ms(1_000.0)
            await versions.Callers(world).kill(began)
            asked = [n for d in others for n in _of_domain(world, d)]
            before = await _refused(world, asked, keys, for_ms=500.0)
            assert not before, before
            world.network.heal()
            refused = await _refused(world, asked, keys, for_ms=4_000.0)
            assert not refused, (len(refused), refused[:12])

    deployments.run(main())


# The same after the leader stood still.
def test_streams_are_known_while_followers_return_after_a_pause():
    async def main():
        world = deployments.Deployment(*_behind())
        world.are_pausable = True
        names = tuple(f"e{n}" for n in range(1, 21))
        await world.start_together(versions.DOMAINS, *names)
        await world.clock.sleep_ms(4_000.0)
        leader = world.leader
        keys = _keys(3)
        began = next(n for n in names if n != leader)
        _record(world, began, keys)
        await world.clock.sleep_ms(1_000.0)
        await versions.Callers(world).kill(began)
        world.pause_instance(leader, for_ms=2_500.0)
        asked = [n for n in world.instances if n != leader]
        refused = await _refused(world, asked, keys, for_ms=6_000.0)
        await world.stop()
        assert not refused, (len(refused), refused[:12])

    deployments.run(main())


# Replicas that start together ask each other only, who remember nothing.
def test_streams_go_on_after_each_domain_has_restarted_as_a_whole():
    async def main():
        async with versions.deployed(*_behind(), names=NAMES) as world:
            keys = _keys(10)
            _record(world, "e1", keys)
            await world.clock.sleep_ms(1_000.0)
            last = world.instances[world.leader].domain
            for domain in sorted(versions.DOMAINS, key=lambda d: d == last):
                callers = versions.Callers(world)
                names = _of_domain(world, domain)
                for name in names:
                    await callers.kill(name)
                await asyncio.gather(
                    *(
                        world.start(
                            name, domain=domain, declare=False, is_led=True
                        )
                        for name in names
                    )
                )
                await world.clock.sleep_ms(6_000.0)
            known = {n: await _known(world, n, keys) for n in world.instances}
            assert set(known.values()) == {len(keys)}, known

    deployments.run(main())


# Of many questions at once replicas refused all but 256.
@pytest.mark.parametrize("count", [200, 1_000])
def test_many_streams_are_found_at_once(count):
    async def main():
        names = tuple(f"e{n}" for n in range(1, 21))
        async with versions.deployed(*_behind(), names=names) as world:
            replicas = {
                r.address.partition(":")[0]
                for r in world.instances["e1"]._origins._replicas
            }
            began, resumes = [n for n in names if n not in replicas][:2]
            keys = _keys(count)
            for n in range(0, count, 100):
                _record(world, began, keys[n : n + 100])
                await world.clock.sleep_ms(100.0)
            await versions.Callers(world).kill(began)
            assert await _known(world, resumes, keys) == count

    deployments.run(main())


# Links between domains were too slow for the time of a dial.
@pytest.mark.parametrize("far_ms", [40.0, 130.0, 400.0])
def test_streams_are_known_over_slow_links(far_ms):
    async def main():
        async with versions.deployed(*_behind(), names=NAMES) as world:
            world.network.set_delays(far_ms=far_ms)
            await world.clock.sleep_ms(4_000.0)
            leaders = world.instances[world.leader].domain
            lost = next(d for d in versions.DOMAINS if d != leaders)
            keys = _keys(10)
            names = _of_domain(world, lost)
            _record(world, names[0], keys)
            await world.clock.sleep_ms(5_000.0)
            callers = versions.Callers(world)
            for name in names:
                await callers.kill(name)
            known = {n: await _known(world, n, keys) for n in world.instances}
            assert set(known.values()) == {len(keys)}, known

    deployments.run(main())


# One id was used for two streams, of different versions in different domains.
def test_id_told_with_two_versions_resumes_nowhere():
    async def main():
        async with versions.deployed(*_behind(), names=NAMES) as world:
            key = _keys(1)
            by_domain = [_of_domain(world, d) for d in versions.DOMAINS]
            _record(world, by_domain[0][0], key, version="v1")
            await world.clock.sleep_ms(1_000.0)
            _record(world, by_domain[1][0], key, version="v2")
            await world.clock.sleep_ms(1_000.0)
            found = {}
            for name in world.instances:
                (origin,) = await _find(world, name, key)
                found[name] = None if origin is None else origin.version
            assert set(found.values()) == {None}, found

    deployments.run(main())


# What an instance began before it was told the replicas was never copied,
# however long it lived on.
def test_streams_begun_before_the_replicas_are_told_are_copied_later():
    async def main():
        names = tuple(f"e{n}" for n in range(1, 21))
        async with versions.deployed(*_behind(), names=names) as world:
            replicas = {
                r.address.partition(":")[0]
                for r in world.instances["e1"]._origins._replicas
            }
            began = next(n for n in names if n not in replicas)
            restart = asyncio.ensure_future(world.restart(began))
            keys = _keys(15)
            for key in keys:
                await world.clock.sleep_ms(100.0)
                if began in world.instances:
                    _record(world, began, [key])
            await restart
            memory = world.instances[began]._origins._memory
            keys = [record.key for record in memory.records()]
            assert keys
            await world.clock.sleep_ms(8_000.0)
            await versions.Callers(world).kill(began)
            known = {n: await _known(world, n, keys) for n in world.instances}
            assert set(known.values()) == {len(keys)}, known

    deployments.run(main())


# What began inside of a cut was copied to nobody after it.
def test_streams_begun_in_a_cut_are_copied_after_it():
    async def main():
        names = NAMES[:4]
        async with versions.deployed(*_behind(), names=names) as world:
            leaders = world.instances[world.leader].domain
            cut = next(d for d in versions.DOMAINS if d != leaders)
            for other in versions.DOMAINS:
                if other != cut:
                    world.network.cut(cut, other)
            await world.clock.sleep_ms(5_000.0)
            keys = _keys(10)
            (began,) = _of_domain(world, cut)
            _record(world, began, keys)
            await world.clock.sleep_ms(6_000.0)
            world.network.heal()
            await world.clock.sleep_ms(10_000.0)
            await versions.Callers(world).kill(began)
            known = {n: await _known(world, n, keys) for n in world.instances}
            assert set(known.values()) == {len(keys)}, known

    deployments.run(main())


# An instance that nobody had a link from was told of no replicas.
@pytest.mark.parametrize("has_links", [True, False])
def test_instance_that_restarts_without_a_leader_learns_of_replicas(has_links):
    async def main():
        names = tuple(f"e{n}" for n in range(1, 21))
        async with versions.deployed(*_behind(), names=names) as world:
            leaders = world.instances[world.leader].domain
            other = next(d for d in versions.DOMAINS if d != leaders)
            replicas = {
                r.address.partition(":")[0]
                for r in world.instances["e1"]._origins._replicas
            }
            began, restarted = [
                n for n in _of_domain(world, other) if n not in replicas
            ][:2]
            for domain in versions.DOMAINS:
                if domain != leaders:
                    world.network.cut(leaders, domain)
            keys = _keys(10)
            if has_links:
                _record(world, restarted, [b"opens its links."])
            await world.clock.sleep_ms(4_000.0)
            await world.restart(restarted)
            await world.clock.sleep_ms(6_000.0)
            _record(world, began, keys)
            await world.clock.sleep_ms(1_000.0)
            assert await _known(world, restarted, keys) == len(keys)

    deployments.run(main())


# Copies that replicas didn't keep, as they stood still, went to no other.
def test_streams_are_copied_to_others_while_replicas_stand_still():
    async def main():
        world = deployments.Deployment(*_behind())
        world.are_pausable = True
        names = tuple(f"e{n}" for n in range(1, 21))
        await world.start_together(versions.DOMAINS, *names)
        await world.clock.sleep_ms(4_000.0)
        replicas = {
            r.address.partition(":")[0]
            for r in world.instances["e1"]._origins._replicas
        }
        began, resumes = [
            n for n in names if n not in replicas and n != world.leader
        ][:2]
        order = world.instances[began]._origins._order
        for address in (*order.near[:2], *order.far[:3]):
            world.pause_instance(address.partition(":")[0], for_ms=8_000.0)
        keys = _keys(10)
        _record(world, began, keys)
        await world.clock.sleep_ms(3_000.0)
        await versions.Callers(world).kill(began)
        assert await _known(world, resumes, keys) == len(keys)
        await world.clock.sleep_ms(6_000.0)
        await world.stop()

    deployments.run(main())
