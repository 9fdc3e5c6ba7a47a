"""Streams of a new version, resumed at an instance that was out of step."""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from jujubewharf.standins import store as stores
from tests.forwarding import deployments
from tests.leadership import stream_versions as versions

NAMES = ("e1", "e2", "e3", "e4", "e5", "e6")
SEEDS = range(6)
# While the instance is out of step, and a while after it is back.
_AWAY_MS = 3_000.0
_AFTER_MS = 1_500.0


async def _join(world) -> None:
    """Starts engines of a new version, beside those of the old one."""
    for backend in (
        versions.prefill_engine("v2"),
        *versions.decode_engines("v2", count=3),
    ):
        world.backends.by_name[backend.name] = backend
        world.endpoints.put(backend.name, backend.endpoint)
        await world.clock.sleep_ms(50.0)


@contextlib.asynccontextmanager
async def _out_of_step(world, name: str, kind: str):
    """Has an instance hear nothing of the others for the block."""
    is_away = True

    async def drop_streams() -> None:
        while is_away:
            world.network.drop_streams(name)
            await world.clock.sleep_ms(100.0)

    if kind == "paused":
        world.pause_instance(name, for_ms=_AWAY_MS)
        yield
        return
    if kind != "unlinked":
        world.store.cut_off[name] = stores.Outage.RESET
    dropping = None
    if kind != "cut from the store":
        dropping = asyncio.ensure_future(drop_streams())
    try:
        yield
    finally:
        is_away = False
        world.store.cut_off.pop(name, None)
        if dropping is not None:
            await dropping


async def _play(kind: str, seed: int) -> list[versions.Stream]:
    rng = random.Random(seed)
    behind = [
        versions.prefill_engine("v1"),
        *versions.decode_engines("v1", count=3),
    ]
    async with _deployed(*behind, is_pausable=kind == "paused") as world:
        callers = versions.Callers(world)
        others = [name for name in NAMES if name != world.leader]
        away = rng.choice(others)
        healthy = [name for name in NAMES if name != away]
        asked = []

        async def ask(for_ms: float) -> None:
            until_ms = world.clock.now_ms() + for_ms
            while world.clock.now_ms() < until_ms:
                first = rng.choice(healthy)
                stream = callers.stream([first, away, away, *healthy])
                asked.append(asyncio.ensure_future(stream))
                if rng.random() < 0.5:
                    delay_ms = rng.uniform(50.0, 400.0)
                    at_ms = world.clock.now_ms() + delay_ms
                    world.clock.call_at_ms(
                        at_ms, lambda name=first: callers.reset(name)
                    )
                await world.clock.sleep_ms(rng.uniform(30.0, 90.0))

        async with _out_of_step(world, away, kind):
            joining = asyncio.ensure_future(_join(world))
            await ask(_AWAY_MS)
            await joining
        await ask(_AFTER_MS)
        return list(await asyncio.gather(*asked))


@contextlib.asynccontextmanager
async def _deployed(*behind, is_pausable: bool):
    world = deployments.Deployment(*behind)
    world.are_pausable = is_pausable
    await world.start_in(versions.DOMAINS, *NAMES)
    await world.clock.sleep_ms(8_000.0)
    try:
        yield world
    finally:
        await world.stop()


# During a release, streams that had begun on engines which one instance didn't
# know yet were taken up there, and went on at an engine of another version.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "kind", ["cut off", "cut from the store", "unlinked", "paused"]
)
def test_streams_taken_up_out_of_step_stay_at_their_version(kind, seed):
    streams = deployments.run(_play(kind, seed))
    assert [s for s in streams if s.is_mixed] == []
    assert all(s.is_in_order for s in streams)
    # Guards against a run in which nothing of the new version broke.
    assert any(s.versions and s.versions[0] == "v2" for s in streams)
    assert any(s.resumptions for s in streams)
