"""Streams are known without a leader, and after kills, cuts and restarts."""

from __future__ import annotations

import asyncio

import pytest

from tests.forwarding import deployments
from tests.leadership import stream_versions as versions

NAMES = tuple(f"e{n}" for n in range(1, 13))


def _behind():
    behind = [versions.prefill_engine("v1"), versions.prefill_engine("v2")]
    for version in ("v1", "v2"):
        behind += versions.decode_engines(version, count=3)
    return behind


async def _begin(world, instance: str, count: int) -> list[str]:
    """Begins streams that their callers leave; returns their ids."""
    ids = [f"{instance}-{n}" for n in range(count)]
    answers = await asyncio.gather(
        *(
            world.ask(
                "/verdicts/1",
                instance=instance,
                request_id=request_id,
                leave_after_ms=900.0,
            )
            for request_id in ids
        )
    )
    assert all(len(answer.numbers) >= 2 for answer in answers)
    return ids


async def _went_on(world, instance: str, ids: list[str]) -> int:
    answers = await asyncio.gather(
        *(
            world.ask(
                "/verdicts/1",
                instance=instance,
                last_event=2,
                began_by=request_id,
            )
            for request_id in ids
        )
    )
    return sum(bool(answer.numbers) for answer in answers)


def _cut_off(world, domain: str) -> None:
    for other in versions.DOMAINS:
        if other != domain:
            world.network.cut(domain, other)


def _of_domain(world, domain: str) -> list[str]:
    return sorted(
        name
        for name, instance in world.instances.items()
        if instance.domain == domain
    )


def _domains(world) -> tuple[str, str]:
    """The leader's failure domain and another one."""
    leaders = world.instances[world.leader].domain
    return leaders, next(d for d in versions.DOMAINS if d != leaders)


# A leader that was cut off with its domain kept its lease, and the others
# refused all streams of each other.
@pytest.mark.parametrize("kept_domain", [True, False])
def test_streams_go_on_while_the_leaders_domain_is_cut_off(kept_domain):
    async def main():
        async with versions.deployed(*_behind(), names=NAMES) as world:
            leaders, other = _domains(world)
            _cut_off(world, leaders)
            await world.clock.sleep_ms(4_000.0)
            domain = leaders if kept_domain else other
            began, resumes = _of_domain(world, domain)[:2]
            ids = await _begin(world, began, 10)
            await versions.Callers(world).kill(began)
            assert await _went_on(world, resumes, ids) == len(ids)

    deployments.run(main())


# A stream told to the silent leader only was lost with the instance that told.
def test_streams_go_on_while_the_leader_stands_still():
    async def main():
        world = deployments.Deployment(*_behind())
        world.are_pausable = True
        await world.start_together(versions.DOMAINS, *NAMES)
        await world.clock.sleep_ms(4_000.0)
        leader = world.leader
        began, resumes = [n for n in NAMES if n != leader][:2]
        world.pause_instance(leader, for_ms=4_000.0)
        ids = await _begin(world, began, 10)
        await versions.Callers(world).kill(began)
        assert await _went_on(world, resumes, ids) == len(ids)
        await world.clock.sleep_ms(5_000.0)
        await world.stop()

    deployments.run(main())


# A whole failure domain was lost, and its streams with it.
def test_streams_of_a_lost_domain_go_on_elsewhere():
    async def main():
        async with versions.deployed(*_behind(), names=NAMES) as world:
            _, lost = _domains(world)
            names = _of_domain(world, lost)
            ids = await _begin(world, names[0], 10)
            callers = versions.Callers(world)
            await asyncio.gather(*(callers.kill(name) for name in names))
            resumes = next(n for n in NAMES if n in world.instances)
            assert await _went_on(world, resumes, ids) == len(ids)

    deployments.run(main())


# Each replica starts anew in a rolling restart, and remembers nothing.
def test_streams_go_on_after_all_instances_have_restarted_in_turn():
    async def main():
        async with versions.deployed(*_behind(), names=NAMES) as world:
            ids = await _begin(world, "e1", 10)
            for name in NAMES:
                await world.restart(name)
                await world.clock.sleep_ms(1_500.0)
            assert await _went_on(world, "e2", ids) == len(ids)

    deployments.run(main())


# An instance that started while its domain was cut off from the leader knew
# nobody to ask.
def test_restarted_instance_learns_of_replicas_without_a_leader():
    async def main():
        async with versions.deployed(*_behind(), names=NAMES) as world:
            leaders, other = _domains(world)
            began, restarted = _of_domain(world, other)[:2]
            # It has links to replicas, which notice that it is gone.
            await _begin(world, restarted, 1)
            _cut_off(world, leaders)
            await world.clock.sleep_ms(4_000.0)
            await world.restart(restarted)
            await world.clock.sleep_ms(4_000.0)
            ids = await _begin(world, began, 10)
            assert await _went_on(world, restarted, ids) == len(ids)

    deployments.run(main())
