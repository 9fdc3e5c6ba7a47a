"""Reads of the registered endpoints on demand."""

from __future__ import annotations

import asyncio

from jujubewharf import clock as clocks
from jujubewharf.endpoint_load import endpoint_state
from jujubewharf.forwarding import view_refresh
from jujubewharf.standins import backends
from tests.forwarding import deployments


class _Reads:
    """Reads that take some time, or all of it."""

    def __init__(self, clock: clocks.Clock, *, took_ms: float) -> None:
        self.count = 0
        self._clock = clock
        self._took_ms = took_ms

    async def read(self) -> None:
        self.count += 1
        await self._clock.sleep_ms(self._took_ms)


def _new(clock: clocks.Clock, *, took_ms: float = 20.0):
    reads = _Reads(clock, took_ms=took_ms)
    behind = backends.StandInBackends(clock, ())
    state = endpoint_state.EndpointState(clock, behind.for_instance("e1"))
    refresh = view_refresh.ViewRefresh(state.registry, reads.read, clock)
    return reads, state.registry, refresh


def test_all_that_wait_share_a_read():
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        reads, _, refresh = _new(clock)
        await asyncio.gather(*(refresh.refresh() for _ in range(50)))
        assert reads.count == 1
        assert clock.now_ms() >= 20.0

    deployments.run(main())


# A read that brings nothing would be repeated for each request.
def test_reads_keep_their_distance():
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        reads, _, refresh = _new(clock)
        for _ in range(300):
            await refresh.refresh()
            await clock.sleep_ms(10.0)
        assert reads.count in (2, 3)

    deployments.run(main())


def test_wait_for_a_store_without_an_answer_is_bounded():
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        _, _, refresh = _new(clock, took_ms=60_000.0)
        began_ms = clock.now_ms()
        await refresh.refresh()
        assert clock.now_ms() - began_ms <= 510.0

    deployments.run(main())


def test_store_that_is_away_is_not_read():
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        reads, registry, refresh = _new(clock)
        registry.mark_store_unavailable()
        await refresh.refresh()
        assert reads.count == 0

    deployments.run(main())


# A caller that gives up would have ended the read for all others.
def test_caller_that_leaves_does_not_end_the_read():
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        reads, _, refresh = _new(clock)
        leaving = asyncio.ensure_future(refresh.refresh())
        staying = asyncio.ensure_future(refresh.refresh())
        await clock.sleep_ms(5.0)
        leaving.cancel()
        await staying
        assert reads.count == 1
        assert clock.now_ms() >= 20.0

    deployments.run(main())
