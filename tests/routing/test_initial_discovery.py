"""A new instance is not ready before an engine is known to accept work.

Otherwise it would reject its first requests with "no fitting engine".
"""

from __future__ import annotations

import pytest

from jujubewharf.configuration import resources
from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import virtual_time
from jujubewharf.routing import initial_discovery
from jujubewharf.standins import engine as engines

SERVICE = resources.Service(
    "verdict-llm", resources.ServiceKind.MODEL, model="judge"
)


@pytest.mark.parametrize("is_dead", [False, True])
def test_ready_when_engine_accepts_work_or_after_timeout(is_dead):
    async def scenario() -> None:
        bench = benches.Bench()
        endpoint = resources.Endpoint(
            "e1", SERVICE.name, "127.0.0.1:e1", "a", resources.Role.BOTH
        )
        spec = engines.EngineSpec(model="judge")
        engine = bench.add_engine(endpoint, spec)
        if is_dead:
            await engine.die()
        await bench.declare(SERVICE, endpoint)
        core = (await bench.start_instance("entry-1", "a")).core
        discovery = initial_discovery.InitialDiscovery(
            core.configuration, core.fleet, bench.clock
        )
        await core.configuration.caught_up.wait()
        was_usable = _is_usable(core)
        assert discovery.is_set() == was_usable
        await bench.clock.sleep_ms(1_000)
        assert discovery.is_set() == (not is_dead)
        await bench.clock.sleep_ms(1_000)
        assert discovery.is_set()
        await bench.stop()

    virtual_time.run(scenario())


def _is_usable(core) -> bool:
    return any(view.takes_work for view in core.fleet.views_of(SERVICE.name))
