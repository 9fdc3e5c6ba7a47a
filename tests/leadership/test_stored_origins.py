"""What the store keeps of streams: written, read, removed and restored."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.standins import store as stores
from tests.forwarding import deployments
from tests.leadership import stream_versions as versions

NAMES = ("e1", "e2", "e3", "e4", "e5", "e6")
UNKNOWN = errors.ErrorKind.STREAM_ORIGIN_UNKNOWN
# Time within which the store has what began.
WRITTEN_MS = 300.0
# Time within which a request hears that nobody knows.
REFUSED_WITHIN_MS = 1_600.0
# After streams can't be taken up any more, and their records were removed.
LONG_MS = 200_000.0


def _behind(*names):
    behind = []
    for name in names:
        behind.append(versions.prefill_engine(name))
        behind += versions.decode_engines(name)
    return behind


def _deployed(*names, is_first_start=False):
    return versions.deployed(
        *_behind(*names), names=NAMES, is_first_start=is_first_start
    )


async def _restart_all(world):
    callers = versions.Callers(world)
    domains = {n: i.domain for n, i in world.instances.items()}
    for name in NAMES:
        await callers.kill(name)
    await asyncio.gather(
        *(
            world.start(name, domain=domains[name], declare=False, is_led=True)
            for name in NAMES
        )
    )


async def _begin(world, number):
    return await world.ask(
        "/verdicts/1",
        instance=NAMES[number % len(NAMES)],
        request_id=f"s{number}",
    )


async def _begin_all(world, numbers):
    return await asyncio.gather(*(_begin(world, n) for n in numbers))


async def _resume(world, began_by, instance="e1"):
    return await world.ask(
        "/verdicts/1", instance=instance, last_event=3, began_by=began_by
    )


def _versions_of(answer):
    lines = answer.body.decode().split("\n")
    return {line.split(" ")[-1] for line in lines if line.startswith("data")}


# After a kill of all nobody remembered where a stream had begun.
def test_stream_goes_on_at_its_version_after_a_kill_of_all():
    async def main():
        async with _deployed("v1", "v2") as world:
            begun = [await _begin(world, number) for number in range(12)]
            await world.clock.sleep_ms(WRITTEN_MS)
            await _restart_all(world)
            for number, former in enumerate(begun):
                answer = await _resume(world, f"s{number}", NAMES[number % 6])
                assert answer.numbers == list(range(4, 21))
                assert _versions_of(answer) == _versions_of(former)
            assert (await _resume(world, "never")).error.kind is UNKNOWN

    deployments.run(main())


# A service with one version refused each stream of callers that name no request
# for as long as streams last.
def test_lone_version_is_known_right_after_a_kill_of_all():
    async def main():
        async with _deployed("v1", is_first_start=True) as world:
            await world.clock.sleep_ms(WRITTEN_MS)
            await _restart_all(world)
            assert (await _resume(world, None)).numbers == list(range(4, 21))

    deployments.run(main())


# A version began streams before the store named it; after a kill of all they
# would have gone on at the version that it did name.
def test_no_stream_begins_at_a_version_that_the_store_does_not_name():
    async def main():
        async with _deployed("v1", is_first_start=True) as world:
            await world.clock.sleep_ms(WRITTEN_MS)
            world.origins.is_down = True
            for number in range(4):
                new = versions.engine(f"n{number}", "v2", resources.Role.DECODE)
                world.backends.by_name[new.name] = new
                world.endpoints.put(new.name, new.endpoint)
            await world.clock.sleep_ms(4_000.0)
            answers = await _begin_all(world, range(12))
            assert {v for a in answers for v in _versions_of(a)} == {"v1"}
            world.origins.is_down = False
            await world.clock.sleep_ms(2_000.0)
            answers = await _begin_all(world, range(20, 44))
            assert {v for a in answers for v in _versions_of(a)} == {"v1", "v2"}
            # Both may have begun the stream of a caller that names no request.
            await _restart_all(world)
            assert (await _resume(world, None)).error.kind is UNKNOWN

    deployments.run(main())


# A version that has gone was named for ever, and a lone version never known.
def test_version_that_has_gone_is_no_longer_named():
    async def main():
        async with _deployed("v1", "v2", is_first_start=True) as world:
            await world.clock.sleep_ms(WRITTEN_MS)
            for name in list(world.backends.by_name):
                if name.endswith("v1"):
                    world.endpoints.put(name, None)
            await world.clock.sleep_ms(LONG_MS)
            await _restart_all(world)
            assert (await _resume(world, None)).numbers == list(range(4, 21))

    deployments.run(main())


# A restored store had lost a version, and the one that it named was taken for
# the only one.
def test_store_restored_while_all_are_killed_names_no_lone_version():
    async def main():
        async with _deployed("v1", is_first_start=True) as world:
            await world.clock.sleep_ms(WRITTEN_MS)
            copy = world.store.copy()
            await world.clock.sleep_ms(500.0)
            callers = versions.Callers(world)
            domains = {n: i.domain for n, i in world.instances.items()}
            for name in NAMES:
                await callers.kill(name)
            world.store.restore(copy)
            for name in NAMES:
                domain = domains[name]
                await world.start(
                    name, domain=domain, declare=False, is_led=True
                )
            assert (await _resume(world, None)).error.kind is UNKNOWN

    deployments.run(main())


# What a restored store had lost was lost to all if it took nothing at first.
@pytest.mark.parametrize("away_ms", [0.0, 1_000.0])
def test_restored_store_gets_again_what_was_written(away_ms):
    async def main():
        async with _deployed("v1", "v2") as world:
            copy = world.store.copy()
            begun = await _begin(world, 1)
            await world.clock.sleep_ms(WRITTEN_MS)
            world.store.restore(copy)
            world.origins.is_down = True
            await world.clock.sleep_ms(away_ms)
            world.origins.is_down = False
            await world.clock.sleep_ms(3_000.0)
            await _restart_all(world)
            answer = await _resume(world, "s1")
            assert _versions_of(answer) == _versions_of(begun)

    deployments.run(main())


# Records piled up in the store.
def test_records_that_are_over_are_removed():
    async def main():
        async with _deployed("v1", "v2") as world:
            for number in range(30):
                await _begin(world, number)
            await world.clock.sleep_ms(WRITTEN_MS)
            await _restart_all(world)
            await world.clock.sleep_ms(LONG_MS)
            page = await world.origins.newest()
            assert len(page.records) <= 2

    deployments.run(main())


# A request waited for a store that doesn't answer.
def test_silent_store_holds_no_request():
    async def main():
        async with _deployed("v1", "v2") as world:
            world.store.outage = stores.Outage.SILENT
            answer = await _resume(world, "never")
            assert answer.error.kind is UNKNOWN
            assert answer.took_ms < REFUSED_WITHIN_MS

    deployments.run(main())


# Made-up ids had the store read once each.
def test_many_unknown_streams_share_few_reads():
    async def main():
        async with _deployed("v1", "v2") as world:
            before = world.store.calls.total()
            await asyncio.gather(
                *(_resume(world, f"never{n}") for n in range(200))
            )
            read = world.store.calls["origins.changes"]
            read += world.store.calls["origins.newest"]
            assert read < 30, (before, world.store.calls)

    deployments.run(main())
