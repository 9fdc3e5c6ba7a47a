"""Streams that callers resume after an outage of the store."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf.standins import store as stores
from tests.forwarding import deployments
from tests.leadership import stream_versions as versions

NAMES = tuple(f"e{number}" for number in range(1, 9))
# Longer than streams may be taken up.
SETTLED_MS = 76_000.0
# Time after an outage from which the users' rules hold again.
STABLE_MS = 3_000.0


async def _count_served(world, **more) -> int:
    answers = await asyncio.gather(
        *(world.ask("/verdicts/1", instance=name, **more) for name in NAMES)
    )
    return sum(answer.error is None for answer in answers)


# No registration was missed, as all changes were read afterwards. Yet one
# version wasn't known for twice the route's timeout, and streams that were to
# go on were refused, while new ones began.
@pytest.mark.parametrize("away_ms", [4_000.0, 8_000.0, 20_000.0])
def test_streams_of_one_version_resume_after_an_outage(away_ms):
    async def main():
        behind = [versions.prefill_engine("v1")]
        behind += versions.decode_engines("v1", count=4)
        world = deployments.Deployment(*behind)
        await world.start_in(versions.DOMAINS, *NAMES)
        try:
            await world.clock.sleep_ms(SETTLED_MS)
            world.store.outage = stores.Outage.RESET
            await world.clock.sleep_ms(away_ms)
            world.store.outage = None
            await world.clock.sleep_ms(STABLE_MS)
            began = await _count_served(world)
            went_on = await _count_served(world, last_event=3)
        finally:
            await world.stop()
        assert began == len(NAMES)
        assert went_on >= began / 2

    deployments.run(main())
