"""A request that crashes the engines it runs on."""

from __future__ import annotations

import asyncio

from jujubewharf.experiments import virtual_time
from tests.requests import deployments

MOST_CRASHES = 3
_DECODERS = 8
_POLL_INTERVAL_MS = 5.0


async def _crash_decoding_engines(d, crashed: set[str]) -> None:
    """Ends each decode engine soon after it starts to decode an answer."""
    while True:
        for number in range(1, _DECODERS + 1):
            name = f"d{number}"
            engine = d.engine(name)
            if name not in crashed and sum(engine.counts.dispatches.values()):
                crashed.add(name)
                await engine.die()
        await d.clock.sleep_ms(_POLL_INTERVAL_MS)


def test_one_request_crashes_three_engines_at_most():
    """A request that crashes engines must not be retried without limit."""

    async def main():
        d = await deployments.Deployment(decoders=_DECODERS).start()
        crashed: set[str] = set()
        crashing = asyncio.ensure_future(_crash_decoding_engines(d, crashed))
        await d.ask(d.request(tokens=2_000, deadline_ms=15_000))
        crashing.cancel()
        await d.bench.stop()
        assert len(crashed) <= MOST_CRASHES

    virtual_time.run(main())
