"""What happens to instances, links, engines and the store in histories."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
import dataclasses

from jujubewharf.configuration import resources
from jujubewharf.standins import store as stores
from tests.leadership import resumption_world as worlds
from tests.leadership import stream_versions as versions

CUT_MS = 7_000.0
# Time from the beginning of a cut to the first kill in it.
_KILLED_AFTER_MS = 1_500.0
# Each instance resets its callers' connections about this often.
RESET_INTERVAL_MS = 2_500.0
# Delay of a one-way trip between failure domains over a slow link.
SLOW_MS = 400.0
# Time after its start from which an instance has to serve as any other.
STABLE_MS = 4_000.0
# Time in which the streams of an engine that drains end.
_DRAIN_MS = 3_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Trouble:
    """What happens in a history.

    Attributes:
        run: Makes it happen.
        max_attempts: Attempts at engines that an answer may take.
        max_resumptions: How often callers resume a stream.
    """

    run: Callable[[worlds.ResumptionWorld], Awaitable[None]]
    max_attempts: int = 2
    max_resumptions: int = 1


async def reset_callers(world: worlds.ResumptionWorld) -> None:
    """Resets all callers' connections of one instance after the other."""
    while True:
        mean_ms = RESET_INTERVAL_MS / len(world.names)
        await world.clock.sleep_ms(mean_ms * world.rng.uniform(0.5, 1.5))
        world.reset_callers(world.rng.choice(world.names))


async def _kill_some(
    world: worlds.ResumptionWorld, *, spared: Collection[str] = ()
) -> None:
    """Restarts a sixth of the instances, one after the other."""
    for _ in range(max(1, len(world.names) // 6)):
        found = [
            name
            for name in world.running
            if name != world.deployment.leader and name not in spared
        ]
        world.begin_restart(world.rng.choice(found))
        await world.clock.sleep_ms(200.0)


async def _kills(world: worlds.ResumptionWorld) -> None:
    await _kill_some(world)
    await world.clock.sleep_ms(3_000.0)
    await _kill_some(world)
    await world.clock.sleep_ms(3_000.0)


async def _kill_leader_too(world: worlds.ResumptionWorld) -> None:
    world.begin_restart(world.leader, after_ms=3_000.0)
    await _kill_some(world)
    await world.clock.sleep_ms(CUT_MS)


async def _kill_herd(world: worlds.ResumptionWorld) -> None:
    for name in world.running:
        if world.rng.random() < 0.6:
            world.begin_restart(name, after_ms=3_000.0)
    await world.clock.sleep_ms(CUT_MS)


def _cut_off(
    world: worlds.ResumptionWorld, domain: str, *, one_way: bool = False
) -> None:
    for other in versions.DOMAINS.replace(domain, ""):
        world.deployment.network.cut(domain, other, one_way=one_way)


async def _cut(world: worlds.ResumptionWorld, *domains: str) -> None:
    """Cuts domains off from all others, and kills instances meanwhile."""
    for domain in domains:
        _cut_off(world, domain)
    await _kill_in_cut(world)


async def _cut_leader_domain(world: worlds.ResumptionWorld) -> None:
    await _cut(world, world.domain_of(world.leader))


async def _cut_leader_domain_and_store(world: worlds.ResumptionWorld) -> None:
    domain = world.domain_of(world.leader)
    store_cut = world.without_store(world.names_in(domain), CUT_MS)
    await asyncio.gather(store_cut, _cut(world, domain))


async def _cut_other_domains(world: worlds.ResumptionWorld) -> None:
    """Cuts each domain off but the leader's, one after the other."""
    leaders = world.domain_of(world.leader)
    for domain in versions.DOMAINS.replace(leaders, ""):
        _cut_off(world, domain)
        await world.clock.sleep_ms(3_000.0)
        world.deployment.network.heal()
        await _kill_some(world)


async def _cut_two_domains(world: worlds.ResumptionWorld) -> None:
    domain = world.domain_of(world.leader)
    other = world.rng.choice(versions.DOMAINS.replace(domain, ""))
    await _cut(world, domain, other)


async def _cut_with_herd(world: worlds.ResumptionWorld) -> None:
    _cut_off(world, world.domain_of(world.leader))
    await world.clock.sleep_ms(_KILLED_AFTER_MS)
    await _kill_herd(world)
    world.deployment.network.heal()


async def _cut_from_leader(world: worlds.ResumptionWorld) -> None:
    """Holds back what the leader's domain sends to the others."""
    _cut_off(world, world.domain_of(world.leader), one_way=True)
    await _kill_in_cut(world)


async def _cut_to_leader(world: worlds.ResumptionWorld) -> None:
    """Holds back what the others send to the leader's domain."""
    domain = world.domain_of(world.leader)
    for other in versions.DOMAINS.replace(domain, ""):
        world.deployment.network.cut(other, domain, one_way=True)
    await _kill_in_cut(world)


async def _kill_in_cut(world: worlds.ResumptionWorld) -> None:
    """Kills instances in a cut, and ends it."""
    await world.clock.sleep_ms(_KILLED_AFTER_MS)
    await _kill_some(world)
    await world.clock.sleep_ms(CUT_MS - _KILLED_AFTER_MS)
    world.deployment.network.heal()


async def _slow_links(world: worlds.ResumptionWorld) -> None:
    world.deployment.network.set_delays(far_ms=SLOW_MS)
    await world.clock.sleep_ms(1_000.0)
    await _kill_some(world)
    await world.clock.sleep_ms(CUT_MS)
    world.deployment.network.set_delays()


async def _lossy_links(world: worlds.ResumptionWorld) -> None:
    """Holds back bytes between two domains for moments, again and again."""
    until_ms = world.clock.now_ms() + CUT_MS
    await _kill_some(world)
    while world.clock.now_ms() < until_ms:
        domain, other = world.rng.sample(versions.DOMAINS, 2)
        world.deployment.network.cut(domain, other)
        await world.clock.sleep_ms(world.rng.uniform(100.0, 700.0))
        world.deployment.network.heal()
        await world.clock.sleep_ms(world.rng.uniform(20.0, 200.0))


async def _pause_leader(world: worlds.ResumptionWorld) -> None:
    leader = world.leader
    paused_ms = world.rng.uniform(4_000.0, 6_000.0)
    world.pause(leader, for_ms=paused_ms)
    await world.clock.sleep_ms(300.0)
    await _kill_some(world, spared=(leader,))
    await world.clock.sleep_ms(paused_ms + 1_000.0)


async def _cut_leader_from_store(world: worlds.ResumptionWorld) -> None:
    cut = world.without_store([world.leader], CUT_MS)
    await asyncio.gather(cut, _kill_some(world))


async def _restart_beside_cut(world: worlds.ResumptionWorld) -> None:
    """Restarts instances in a cut, whose callers resume there later."""
    _cut_off(world, world.domain_of(world.leader))
    count = max(1, len(world.names) // 6)
    others = [name for name in world.running if name != world.leader]
    chosen = world.rng.sample(others, count)
    await asyncio.gather(*(world.restart(name) for name in chosen))
    await world.clock.sleep_ms(STABLE_MS)
    world.preferred = chosen
    await world.clock.sleep_ms(4_000.0)
    world.deployment.network.heal()
    world.preferred = []


async def _end_outage(world: worlds.ResumptionWorld, after_ms: float) -> None:
    """Ends the outage of the store after a time, in which all lack it."""
    intervals = [world.storeless.begin(name) for name in world.names]
    world.deployment.store.outage = stores.Outage.SILENT
    await world.clock.sleep_ms(after_ms)
    world.deployment.store.outage = None
    for interval in intervals:
        interval.end_ms = world.clock.now_ms()


async def _store_away(world: worlds.ResumptionWorld) -> None:
    outage = _end_outage(world, world.rng.uniform(4_000.0, 8_000.0))
    await asyncio.gather(outage, _kill_later(world))


async def _kill_later(world: worlds.ResumptionWorld) -> None:
    await world.clock.sleep_ms(2_000.0)
    await _kill_some(world)


async def _store_away_leader_killed(world: worlds.ResumptionWorld) -> None:
    outage = _end_outage(world, world.rng.uniform(4_000.0, 8_000.0))
    await asyncio.gather(outage, _kill_leader_later(world))


async def _kill_leader_later(world: worlds.ResumptionWorld) -> None:
    await world.clock.sleep_ms(1_000.0)
    world.begin_restart(world.leader)
    await world.clock.sleep_ms(1_500.0)
    await _kill_some(world)


async def _crash_engines(world: worlds.ResumptionWorld) -> None:
    """Crashes three in ten engines at once, several times."""
    for _ in range(4):
        engines = world.decode_engines()
        for backend in world.rng.sample(engines, len(engines) * 3 // 10):
            world.deployment.backends.crash(backend)
        await world.clock.sleep_ms(2_500.0)


async def _crash_engines_in_cut(world: worlds.ResumptionWorld) -> None:
    _cut_off(world, world.domain_of(world.leader))
    await world.clock.sleep_ms(_KILLED_AFTER_MS)
    await _crash_engines(world)
    world.deployment.network.heal()


async def _release(world: worlds.ResumptionWorld) -> None:
    """Replaces half of the engines of a version, and then goes back."""
    count = len(world.decode_engines()) // 4
    for leaving, coming in (worlds.VERSIONS, worlds.VERSIONS[::-1]):
        for number in range(count):
            await _replace_engine(world, leaving, coming, number)
        await _kill_some(world)
        await world.clock.sleep_ms(2_000.0)


async def _replace_engine(
    world: worlds.ResumptionWorld, leaving: str, coming: str, number: int
) -> None:
    name = f"next{number}-{coming}"
    worlds.start_engine(world, name, coming, resources.Role.DECODE)
    await world.clock.sleep_ms(300.0)
    found = [
        engine
        for engine in world.decode_engines()
        if engine.software_version == leaving
    ]
    engine = world.rng.choice(found)
    world.deployment.register(engine, drained=True)
    world.clock.call_at_ms(
        world.clock.now_ms() + _DRAIN_MS,
        lambda: world.deployment.endpoints.put(engine.name, None),
    )
    await world.clock.sleep_ms(200.0)


TROUBLES = {
    "kills": Trouble(_kills),
    "kills_resumed_thrice": Trouble(_kills, max_resumptions=3),
    "leader_killed": Trouble(_kill_leader_too),
    "herd_killed": Trouble(_kill_herd),
    "leader_domain_cut": Trouble(_cut_leader_domain),
    "leader_domain_cut_thrice": Trouble(_cut_leader_domain, max_resumptions=3),
    "leader_domain_and_store_cut": Trouble(_cut_leader_domain_and_store),
    "leader_domain_cut_herd_killed": Trouble(_cut_with_herd),
    "other_domains_cut": Trouble(_cut_other_domains),
    "two_domains_cut": Trouble(_cut_two_domains),
    "cut_from_leader": Trouble(_cut_from_leader),
    "cut_to_leader": Trouble(_cut_to_leader),
    "slow_links": Trouble(_slow_links),
    "lossy_links": Trouble(_lossy_links),
    "leader_paused": Trouble(_pause_leader),
    "leader_without_store": Trouble(_cut_leader_from_store),
    "restarts_beside_cut": Trouble(_restart_beside_cut),
    "store_away": Trouble(_store_away),
    "store_away_leader_killed": Trouble(_store_away_leader_killed),
    "engines_crash": Trouble(_crash_engines, max_attempts=1),
    "engines_crash_in_cut": Trouble(_crash_engines_in_cut, max_attempts=1),
    "release": Trouble(_release),
}
