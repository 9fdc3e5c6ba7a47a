"""Measures log traffic of engine leases and propagation of engine departures.

    python -m jujubewharf.experiments.order_costs

It runs in virtual time, so the results are the same on every machine and do
not include CPU time.
"""

from __future__ import annotations

import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import virtual_time
from jujubewharf.orders import records
from jujubewharf.platform import live_list
from jujubewharf.standins import engine as engines

_SERVICE = resources.Service("pool", resources.ServiceKind.MODEL, model="judge")
_STEP_MS = 50.0
_LIMIT_MS = 3_600_000.0
_DOMAINS = "abcdef"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseCost:
    """Cost of a rolling update of all engines to a new model version."""

    engines: int
    duration_ms: float
    appends: int
    record_bytes: int

    def __str__(self) -> str:
        seconds = self.duration_ms / clocks.MS_PER_S
        return (
            f"{self.engines} engines: rolled in {seconds:.0f} s, "
            f"{self.appends} appends ({self.appends / seconds:.2f}/s), "
            f"{self.record_bytes / seconds:.0f} bytes/s of records, "
            f"{self.appends / self.engines:.1f} appends an engine"
        )


async def lease_cost(engine_count: int, instance_count: int) -> LeaseCost:
    """Measures a rolling update of a pool of engines to a new version."""
    bench = await _deployment(engine_count, instance_count)
    start_ms = bench.clock.now_ms()
    wanted = [
        dataclasses.replace(endpoint, model_version="2")
        for endpoint in _endpoints(engine_count)
    ]
    await bench.declare(*wanted)
    pool = bench.engines.values()
    while any(engine.model_version != "2" for engine in pool):
        await bench.clock.sleep_ms(_STEP_MS)
        if bench.clock.now_ms() - start_ms > _LIMIT_MS:
            raise TimeoutError("rolling update of the pool timed out")
    duration_ms = bench.clock.now_ms() - start_ms
    page = await bench.log.read(records.STREAM, 0, limit=1_000_000)
    size_bytes = sum(len(record.payload) for record in page.records)
    await bench.stop()
    return LeaseCost(engine_count, duration_ms, len(page.records), size_bytes)


async def departure_propagation_ms(instance_count: int, source: str) -> float:
    """Measures the time until no instance dispatches to a leaving engine.

    Args:
        instance_count: Number of instances, spread over six domains.
        source: Source of the departure: ``engine``, ``operator`` or ``list``;
            the list is read by one instance only.
    """
    bench = await _deployment(6, instance_count)
    endpoint = _endpoints(6)[0]
    start_ms = bench.clock.now_ms()
    match source:
        case "engine":
            bench.engine(endpoint.name).is_leaving = True
        case "operator":
            await bench.declare(dataclasses.replace(endpoint, drained=True))
        case "list":
            bench.live_list.lag_ms = _LIMIT_MS
            _mark_leaving_at_one_instance(bench, endpoint)
    while any(
        view is not None and view.takes_work
        for view in (
            instance.core.fleet.view(endpoint.name)
            for instance in bench.instances.values()
        )
    ):
        await bench.clock.sleep_ms(_STEP_MS)
    duration_ms = bench.clock.now_ms() - start_ms
    await bench.stop()
    return duration_ms


def _mark_leaving_at_one_instance(
    bench: benches.Bench, endpoint: resources.Endpoint
) -> None:
    leaving = live_list.LiveMember(
        endpoint.name,
        endpoint.address,
        endpoint.domain,
        is_entry=False,
        state=live_list.LiveState.LEAVING,
    )
    first = next(iter(bench.instances.values()))
    first.core.departing_endpoints.listed = lambda: (leaving,)


async def _deployment(engine_count: int, instance_count: int) -> benches.Bench:
    bench = benches.Bench()
    spec = engines.EngineSpec(model="judge", model_version="1")
    endpoints = _endpoints(engine_count)
    for endpoint in endpoints:
        bench.add_engine(endpoint, spec)
    model = resources.Model("judge", ("1", "2"))
    await bench.declare(model, _SERVICE, *endpoints)
    for number in range(instance_count):
        domain = _DOMAINS[number % len(_DOMAINS)]
        await bench.start_instance(f"entry-{number}", domain)
    await bench.clock.sleep_ms(30_000)
    return bench


def _endpoints(count: int) -> list[resources.Endpoint]:
    return [
        resources.Endpoint(
            f"e{number}",
            _SERVICE.name,
            f"127.0.0.1:e{number}",
            _DOMAINS[number % len(_DOMAINS)],
            resources.Role.BOTH,
            model="judge",
            model_version="1",
        )
        for number in range(count)
    ]


def main() -> None:
    """Runs all measurements and prints them."""
    for engine_count in (6, 24, 96):
        print(virtual_time.run(lease_cost(engine_count, 6)), flush=True)
    for source in ("engine", "operator", "list"):
        for instance_count in (6, 12, 24):
            time_ms = virtual_time.run(
                departure_propagation_ms(instance_count, source)
            )
            print(
                f"{instance_count} instances, told by {source}: "
                f"{time_ms:.0f} ms",
                flush=True,
            )


if __name__ == "__main__":
    main()
