"""Streams that callers resume in domains that are cut off from the leader."""

from __future__ import annotations

import asyncio
import contextlib
import random

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.standins import store as stores
from jujubewharf.stream_versions import version_history
from tests.forwarding import deployments
from tests.leadership import stream_versions as versions

NAMES = tuple(f"e{number}" for number in range(1, 9))
# The store is read every four seconds by an instance without a leader.
LEAVING_WITHIN_MS = 10_000.0
# Longer than streams may be taken up.
SETTLED_MS = 76_000.0
CUT_MS = 10_000.0
# Time after which the instances on the other side have given the leader up.
LEADER_LOST_MS = 3_000.0
# Time within which a store that doesn't answer leads to a refusal.
REFUSED_WITHIN_MS = 550.0
UNKNOWN = errors.ErrorKind.STREAM_ORIGIN_UNKNOWN


@contextlib.asynccontextmanager
async def _cut_deployment():
    """A service with one version, and instances that have lost their leader.

    Yields:
        The deployment, and the names of these instances.
    """
    behind = [versions.prefill_engine("v1")]
    behind += versions.decode_engines("v1", count=4)
    world = deployments.Deployment(*behind)
    world.leaving_within_ms = LEAVING_WITHIN_MS
    await world.start_in(versions.DOMAINS, *NAMES)
    try:
        await world.clock.sleep_ms(SETTLED_MS)
        leader_domain = world.instances[world.leader].domain
        for domain in versions.DOMAINS:
            if domain != leader_domain:
                world.network.cut(leader_domain, domain)
        await world.clock.sleep_ms(LEADER_LOST_MS)
        yield (
            world,
            [
                name
                for name, instance in world.instances.items()
                if instance.domain != leader_domain
            ],
        )
    finally:
        await world.stop()


async def _resume(world, instance: str):
    return await world.ask("/verdicts/1", instance=instance, last_event=3)


async def _resume_at_all(world, names):
    return await asyncio.gather(*(_resume(world, name) for name in names))


async def _begin(world, instance: str):
    return await world.ask("/verdicts/1", instance=instance)


async def _at_random_moments(world, rng, ask, names, *, count: int):
    async def one():
        await world.clock.sleep_ms(rng.uniform(0.0, CUT_MS))
        return await ask(world, rng.choice(names))

    return await asyncio.gather(*(one() for _ in range(count)))


def _data_versions(answer) -> set[str]:
    lines = answer.body.decode().split("\n")
    return {line.split(" ")[-1] for line in lines if line.startswith("data")}


def _start_engine(world, version: str) -> None:
    started = versions.engine(f"late-{version}", version, resources.Role.DECODE)
    world.backends.by_name[started.name] = started
    world.endpoints.put(started.name, started.endpoint)


# The view of a cut domain was too old to tell that there is one version only:
# streams began there, and most that were to go on were refused.
def test_streams_of_one_version_resume_without_a_leader():
    async def main():
        rng = random.Random(1)
        async with _cut_deployment() as (world, names):
            begun, resumed = await asyncio.gather(
                _at_random_moments(world, rng, _begin, names, count=40),
                _at_random_moments(world, rng, _resume, names, count=40),
            )
        assert [a.error for a in begun if a.error is not None] == []
        assert [a.error for a in resumed if a.error is not None] == []
        assert all(a.numbers == list(range(4, 21)) for a in resumed)

    deployments.run(main())


# Streams of a new version would have gone on at the old one, wherever the new
# one hadn't been read yet.
def test_version_that_appeared_since_the_last_read_is_seen():
    async def main():
        async with _cut_deployment() as (world, names):
            for answer in await _resume_at_all(world, names):
                assert _data_versions(answer) == {"v1"}
            _start_engine(world, "v2")
            await world.clock.sleep_ms(version_history.NEW_VERSION_MS)
            ages_ms = [world.instances[n].registry.age_ms for n in names]
            assert max(ages_ms) > version_history.NEW_VERSION_MS
            for answer in await _resume_at_all(world, names):
                assert answer.error is not None
                assert answer.error.kind is UNKNOWN

    deployments.run(main())


# Each read is a call to a store that is shared by all.
def test_many_resumptions_share_one_read():
    async def main():
        async with _cut_deployment() as (world, names):
            asked = names[0]
            await _resume(world, asked)
            await world.clock.sleep_ms(1_600.0)
            world.store.delays_ms[asked] = 100.0
            before = world.store.calls["endpoints.changes"]
            resuming = [
                asyncio.ensure_future(_resume(world, asked)) for _ in range(20)
            ]
            await world.clock.sleep_ms(50.0)
            assert world.store.calls["endpoints.changes"] - before == 1
            answers = await asyncio.gather(*resuming)
            assert all(answer.error is None for answer in answers)

    deployments.run(main())


# A request that can't be served must not wait for its deadline.
def test_store_that_does_not_answer_refuses_within_half_a_second():
    async def main():
        async with _cut_deployment() as (world, names):
            await world.clock.sleep_ms(4_000.0)
            for name in names:
                world.store.cut_off[name] = stores.Outage.SILENT
            await world.clock.sleep_ms(1_600.0)
            for answer in await _resume_at_all(world, names):
                assert answer.error.kind is UNKNOWN
                assert answer.error.ran is errors.Ran.NO
                assert answer.took_ms < REFUSED_WITHIN_MS

    deployments.run(main())
