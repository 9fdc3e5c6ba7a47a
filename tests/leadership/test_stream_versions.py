"""Streams go on only at engines of the version that began them."""

from __future__ import annotations

import asyncio
import random

import pytest

from tests.forwarding import deployments
from tests.leadership import stream_versions as versions

NAMES = ("e1", "e2", "e3", "e4", "e5", "e6")
# Streams of one run.
COUNT = 60


async def _break_engines(world, rng: random.Random, *, times: int) -> None:
    """Crashes engines one after the other; each is back as another one."""
    for _ in range(times):
        await world.clock.sleep_ms(rng.uniform(300.0, 600.0))
        running = [
            backend
            for backend in world.backends.by_name.values()
            if backend.running_requests and not backend.has_crashed.is_set()
        ]
        if running:
            world.backends.crash(rng.choice(running))


async def _kill_instances(world, callers, rng: random.Random) -> None:
    """Kills instances one after the other; each starts again."""
    for _ in range(5):
        await world.clock.sleep_ms(rng.uniform(500.0, 900.0))
        await callers.restart(rng.choice(sorted(world.instances)))


async def _streams(world, callers, rng: random.Random):
    asked = []
    for _ in range(COUNT):
        names = rng.sample(NAMES, len(NAMES))
        asked.append(asyncio.ensure_future(callers.stream(names)))
        await world.clock.sleep_ms(rng.uniform(20.0, 140.0))
    return await asyncio.gather(*asked)


# A stream that broke went on at any engine, so its caller got events of two
# software versions, which don't fit together.
@pytest.mark.parametrize("broken_by", ["engines", "instances"])
def test_stream_goes_on_at_its_version_only(broken_by):
    async def main():
        rng = random.Random(1)
        behind = [versions.prefill_engine("v1"), versions.prefill_engine("v2")]
        behind += versions.decode_engines("v1", count=3)
        behind += versions.decode_engines("v2", count=3)
        async with versions.deployed(*behind, names=NAMES) as world:
            world.revive_crashed()
            callers = versions.Callers(world)
            if broken_by == "engines":
                trouble = _break_engines(world, rng, times=10)
            else:
                trouble = _kill_instances(world, callers, rng)
            streams, _ = await asyncio.gather(
                _streams(world, callers, rng), trouble
            )
            mixed = [s for s in streams if s.is_mixed]
            assert all(s.is_in_order for s in streams)
            assert mixed == []
            # Guards against a run in which nothing broke.
            assert _went_on(world, streams) >= 5

    deployments.run(main())


def _went_on(world, streams) -> int:
    """Number of streams that went on at another engine."""
    by_request = [run.request_id for run in world.backends.runs]
    within = len(by_request) - len(set(by_request))
    over_tries = sum(t.events > 0 for s in streams for t in s.resumptions)
    return within + over_tries
