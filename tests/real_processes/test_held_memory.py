"""Bursts of large bodies against the memory of a machine, as processes."""

from __future__ import annotations

import asyncio

import pytest

from tests.real_processes import callers as all_callers
from tests.real_processes import checks
from tests.real_processes import deployment as deployments
from tests.real_processes import machine_memory
from tests.real_processes import uploaders as all_uploaders
from tests.real_processes import uploads

SEED = 1
_SIZE = deployments.Size(prefill=0, decode=(0, 0), plain=(3, 2), instances=2)
_MEMORY_MB = 150.0
_SMALL = 6
_UPLOADERS = 50
_BURST_S = 4.0
# How the bodies of a burst come, and whether an instance is stopped beside it.
_BURSTS = {
    "whole": (("whole",), False),
    "chunked": (("chunked",), False),
    "trickled": (("trickled", "whole"), False),
    "left": (("left halfway", "whole"), False),
    "drain": (all_uploaders.KINDS, True),
}


async def _play(burst: str) -> tuple[uploads.Play, machine_memory.Watch, dict]:
    kinds, has_drain = _BURSTS[burst]
    async with deployments.deployed(_SIZE, memory_mb=_MEMORY_MB) as deployment:
        await uploads.allow_large_bodies(deployment)
        watch = machine_memory.Watch(deployment, _MEMORY_MB)
        watching = asyncio.ensure_future(watch.run())
        playing = uploads.Play(deployment, SEED)
        playing.begin(all_callers.Caller, _SMALL)
        playing.begin(all_uploaders.Uploader, _UPLOADERS, kinds)
        await asyncio.sleep(_BURST_S / 2)
        if has_drain:
            await deployment.instances[0].stop()
            deployment.instances[0].start()
        await asyncio.sleep(_BURST_S / 2)
        await playing.end()
        watching.cancel()
        return playing, watch, deployment.runs()


# Nothing bounded what an instance holds for its callers: a burst of large
# bodies took it over its machine's memory, and it was killed.
@pytest.mark.parametrize("burst", _BURSTS)
async def test_burst_of_large_bodies_ends_no_instance(burst):
    playing, watch, runs = await _play(burst)
    assert not watch.kills, watch.peaks_mb
    small = checks.check(playing.small, runs, pauses=[])
    large = checks.check(playing.large, runs, pauses=[])
    assert not small.violations, "\n".join([str(small), *small.violations])
    assert not large.violations, "\n".join([str(large), *large.violations])
    assert large.whole
    # What the burst is refused, it is refused before it has run, and is told
    # when to come back; small requests are served beside it.
    for exchange in playing.large:
        if exchange.status == 503:
            assert exchange.retry_after
            assert exchange.request_id not in runs
    # An instance that is stopped refuses all requests; nothing else may.
    allowed = {"shutting_down"} if burst == "drain" else set()
    refused = {e.reason for e in playing.small if e.status == 503}
    assert refused <= allowed
