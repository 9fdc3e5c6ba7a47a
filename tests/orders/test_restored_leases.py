"""Leases on a log that comes back from a copy."""

from __future__ import annotations

import pytest

from jujubewharf import clock as clocks
from jujubewharf.experiments import virtual_time
from jujubewharf.orders import leases
from jujubewharf.orders import records
from jujubewharf.standins import log as logs

# Longer than any lease, which an instance that starts waits for.
_LEASE_MS = 25_000.0


async def _claim(name: str, log: logs.MemoryLog, clock: clocks.Clock):
    service = leases.Leases(name, log, clock)
    await service.start()
    await clock.sleep_ms(_LEASE_MS)
    lease = await service.claim("d1", records.Purpose.LOAD)
    await service.stop()
    assert lease is not None
    return lease


@pytest.mark.parametrize("claims", [1, 4])
def test_fencing_token_rises_although_offsets_go_back(claims):
    """Engines refused all orders, since they had seen higher tokens."""

    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        log = logs.MemoryLog(clock)
        copy = log.copy()
        for number in range(claims):
            former = await _claim(f"e{number}", log, clock)
        log.restore(copy)
        later = await _claim("later", log, clock)
        assert later.fence <= former.fence
        assert later.fencing_token > former.fencing_token

    virtual_time.run(main())
