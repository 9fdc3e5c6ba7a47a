"""Control bytes and processor time of an instance over the fleet's size.

Runs 6 to 48 real cores on one virtual clock. Bytes are those of peer streams.
Processor time is that of the whole process, stand-ins included, shared out
over the instances: an upper bound for code, without the sockets' own cost.
``python -m benchmarks.control_cost``.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import json
import time

from benchmarks import slopes
from jujubewharf.configuration import resources
from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import runner
from jujubewharf.experiments import virtual_time
from jujubewharf.requests import model_request
from jujubewharf.standins import engine as engines

_DOMAINS = 3
_SETTLE_MS = 10_000.0
_MEASURED_MS = 20_000.0
_REQUESTS_PER_S = 2.0
_CHURN_EVERY_MS = 2_000.0
_SERVICE = resources.Service("m", resources.ServiceKind.MODEL, model="x")


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What one instance costs a second, the mean of all."""

    instances: int
    state: str
    control_bytes_per_s: float
    processor_ms_per_s: float


async def _run(instances: int, state: str, engines_each: int) -> Cost:
    bench = benches.Bench()
    await bench.declare(_SERVICE)
    for number in range(instances * engines_each):
        endpoint = resources.Endpoint(
            f"m{number}",
            "m",
            f"127.0.0.1:{number + 1}",
            f"d{number % _DOMAINS}",
            resources.Role.BOTH,
        )
        spec = engines.EngineSpec(model="x", chunk_tokens=8)
        bench.add_engine(endpoint, spec)
        await bench.declare(endpoint)
    for number in range(instances):
        await bench.start_instance(f"e{number}", f"d{number % _DOMAINS}")
    await bench.clock.sleep_ms(_SETTLE_MS)
    work = [
        asyncio.create_task(coroutine)
        for coroutine in _work(bench, instances, state)
    ]
    sent = sum(bench.network.bytes_sent.values())
    began_s = time.process_time()
    await bench.clock.sleep_ms(_MEASURED_MS)
    spent_s = time.process_time() - began_s
    sent = sum(bench.network.bytes_sent.values()) - sent
    for task in work:
        task.cancel()
    seconds = _MEASURED_MS / 1_000 * instances
    return Cost(
        instances,
        state,
        round(sent / seconds, 1),
        round(spent_s * 1_000 / seconds, 3),
    )


def _work(bench: benches.Bench, instances: int, state: str):  # type: ignore[no-untyped-def]
    match state:
        case "load":
            for number in range(instances):
                yield _ask_on(bench, f"e{number}")
        case "churn":
            yield _restart_on(bench)


async def _ask_on(bench: benches.Bench, name: str) -> None:
    rng = bench.rng(f"asks {name}")
    for number in range(10_000):
        await bench.clock.sleep_ms(rng.exponential(1_000 / _REQUESTS_PER_S))
        asyncio.create_task(_ask(bench, name, number))


async def _ask(bench: benches.Bench, name: str, number: int) -> None:
    request = model_request.ModelRequest(
        request_id=f"{name}-{number}",
        key=f"{name}-{number}",
        body_digest="",
        account="",
        service=_SERVICE,
        prompt=f"{name} {number} " + "w " * 200 + "answer_tokens=100",
        max_tokens=100,
        arrived_ms=bench.clock.now_ms(),
        deadline_ms=30_000,
    )
    async for _ in bench.instances[name].answer(request):
        pass


async def _restart_on(bench: benches.Bench) -> None:
    names = sorted(bench.instances)
    for number in range(10_000):
        await bench.clock.sleep_ms(_CHURN_EVERY_MS)
        await bench.restart_instance(names[number % len(names)])


def main() -> None:
    """Measures all states at all sizes and fits lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", default="6,12,24,48")
    parser.add_argument("--states", default="idle,load,churn")
    parser.add_argument("--engines", type=int, default=1, help="an instance")
    options = parser.parse_args()
    counts = [int(count) for count in options.instances.split(",")]
    runner.quiet_logs()
    for state in options.states.split(","):
        costs = []
        for count in counts:
            costs.append(virtual_time.run(_run(count, state, options.engines)))
            print(json.dumps(dataclasses.asdict(costs[-1])), flush=True)
        for field in ("control_bytes_per_s", "processor_ms_per_s"):
            values = [getattr(cost, field) for cost in costs]
            slope = slopes.Slope.fit(counts, values)
            line = {"state": state, "of": field} | dataclasses.asdict(slope)
            print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
