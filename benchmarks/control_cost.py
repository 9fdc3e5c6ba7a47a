"""Control traffic and processor time per instance by fleet size.

Runs 6 to 48 entry cores on one virtual clock: idle, under load or under churn.
Bytes are those of peer streams. Processor time is that of the whole process,
stand-ins included, divided by the number of instances; it excludes the cost of
sockets. ``python -m benchmarks.control_cost``.
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Coroutine
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import enum
import itertools
import json
import statistics
import time
from typing import Any

from benchmarks import slopes
from jujubewharf.configuration import resources
from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import runner
from jujubewharf.experiments import virtual_time
from jujubewharf.membership import facts
from jujubewharf.requests import model_request
from jujubewharf.standins import engine as engines

_DOMAINS = 3
_SETTLE_S = 10.0
_DURATION_S = 20.0
_CHURN_PER_MIN = 30.0
_REQUESTS_PER_S = 2.0
_SERVICE = resources.Service("m", resources.ServiceKind.MODEL, model="x")
_STEP_MS = 50.0
_TIMEOUT_MS = 20_000.0
# Headers of a TCP segment over IPv4 with timestamps, and of its
# acknowledgement. The bench doesn't model packets.
_SEGMENT_BYTES = 104
_FITTED_FIELDS = (
    "control_bytes_per_s",
    "wire_bytes_per_s",
    "frames_per_s",
    "processor_ms_per_s",
)
_MIN_POINTS = 2


class State(enum.StrEnum):
    """Activity of the fleet during the measurement."""

    IDLE = "idle"
    LOAD = "load"
    CHURN = "churn"


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a measurement.

    Attributes:
        state: Activity of the fleet.
        engines_per_instance: Engines per instance.
        domains: Number of failure domains.
        settle_s: Virtual seconds between start and measurement.
        duration_s: Virtual seconds of the measurement.
        churn_per_min: Instances of the fleet killed and restarted per minute
            under churn.
    """

    state: State
    engines_per_instance: int = 1
    domains: int = _DOMAINS
    settle_s: float = _SETTLE_S
    duration_s: float = _DURATION_S
    churn_per_min: float = _CHURN_PER_MIN


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Mean cost per instance and second.

    Attributes:
        instances: Number of instances.
        state: Activity of the fleet.
        links: Mean number of open links before the measurement.
        control_bytes_per_s: Mean bytes written to peers.
        max_bytes_per_s: Bytes written by the instance that wrote most.
        frames_per_s: Mean messages written to peers.
        processor_ms_per_s: Processor time.
        spread_ms: Time until a fact reached all instances; infinite if it
            took longer than 20 s.
    """

    instances: int
    state: State
    links: float
    control_bytes_per_s: float
    max_bytes_per_s: float
    frames_per_s: float
    processor_ms_per_s: float
    spread_ms: float

    @property
    def wire_bytes_per_s(self) -> float:
        """Bytes including TCP headers, at one segment per message."""
        return self.control_bytes_per_s + self.frames_per_s * _SEGMENT_BYTES

    def to_json(self) -> str:
        """Returns all values as one line of JSON."""
        figures = dataclasses.asdict(self)
        figures["wire_bytes_per_s"] = self.wire_bytes_per_s
        return json.dumps(
            {
                name: round(value, 3) if isinstance(value, float) else value
                for name, value in figures.items()
            }
        )


async def measure(instances: int, plan: Plan) -> Cost:
    """Runs a fleet and measures its cost per instance."""
    bench = await _start_bench(instances, plan)
    links = statistics.mean(
        instance.core.peers.link_count()
        for instance in bench.instances.values()
    )
    sent_before = dict(bench.network.bytes_sent)
    frames_before = _total_frames(bench)
    began_s = time.process_time()
    stopped_frames = await _run(bench, plan)
    spent_s = time.process_time() - began_s
    frames = _total_frames(bench) + stopped_frames - frames_before
    sent = [
        (bench.network.bytes_sent[name] - sent_before[name]) / plan.duration_s
        for name in bench.instances
    ]
    spread_ms = await _spread_ms(bench)
    await bench.stop()
    return Cost(
        instances=instances,
        state=plan.state,
        links=links,
        control_bytes_per_s=statistics.mean(sent),
        max_bytes_per_s=max(sent),
        frames_per_s=frames / instances / plan.duration_s,
        processor_ms_per_s=spent_s * 1_000 / instances / plan.duration_s,
        spread_ms=spread_ms,
    )


async def _start_bench(instances: int, plan: Plan) -> benches.Bench:
    bench = benches.Bench()
    await bench.declare(_SERVICE)
    for number in range(instances * plan.engines_per_instance):
        endpoint = resources.Endpoint(
            f"m{number}",
            "m",
            f"127.0.0.1:{number + 1}",
            f"d{number % plan.domains}",
            resources.Role.BOTH,
        )
        spec = engines.EngineSpec(model="x", chunk_tokens=8)
        bench.add_engine(endpoint, spec)
        await bench.declare(endpoint)
    for number in range(instances):
        await bench.start_instance(f"e{number}", f"d{number % plan.domains}")
    await bench.clock.sleep_ms(plan.settle_s * 1_000)
    return bench


async def _run(bench: benches.Bench, plan: Plan) -> int:
    """Runs the plan; returns the messages sent by killed instances."""
    duration_ms = plan.duration_s * 1_000
    if plan.state is State.CHURN:
        return await _restart_instances(bench, duration_ms, plan.churn_per_min)
    work = [
        asyncio.create_task(coroutine)
        for coroutine in _load_tasks(bench, plan.state)
    ]
    await bench.clock.sleep_ms(duration_ms)
    for task in work:
        task.cancel()
    return 0


def _load_tasks(
    bench: benches.Bench, state: State
) -> Iterator[Coroutine[Any, Any, None]]:
    if state is State.LOAD:
        for name in bench.instances:
            yield _send_requests(bench, name)


async def _send_requests(bench: benches.Bench, name: str) -> None:
    rng = bench.rng(f"asks {name}")
    for number in range(10_000):
        await bench.clock.sleep_ms(rng.exponential(1_000 / _REQUESTS_PER_S))
        asyncio.create_task(_send_request(bench, name, number))


async def _send_request(bench: benches.Bench, name: str, number: int) -> None:
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


async def _restart_instances(
    bench: benches.Bench, duration_ms: float, churn_per_min: float
) -> int:
    stopped_frames = 0
    deadline_ms = bench.clock.now_ms() + duration_ms
    pause_ms = 60_000 / churn_per_min
    for name in itertools.cycle(sorted(bench.instances)):
        if bench.clock.now_ms() + pause_ms > deadline_ms:
            break
        await bench.clock.sleep_ms(pause_ms)
        stopped_core = bench.instances[name].core
        stopped_frames += stopped_core.peers.counts.frames_out
        await bench.restart_instance(name)
    await bench.clock.sleep_until_ms(deadline_ms)
    return stopped_frames


async def _spread_ms(bench: benches.Bench) -> float:
    """Publishes a fact and waits until it reaches all instances."""
    cores = [instance.core for instance in bench.instances.values()]
    topic = facts.Topic.ENDPOINT_LEAVING
    began_ms = bench.clock.now_ms()
    cores[0].facts.publish(topic, "probe", version=1, ttl_ms=60_000)
    while not all(core.facts.get(topic, "probe") for core in cores):
        if bench.clock.now_ms() > began_ms + _TIMEOUT_MS:
            return float("inf")
        await bench.clock.sleep_ms(_STEP_MS)
    return bench.clock.now_ms() - began_ms


def _total_frames(bench: benches.Bench) -> int:
    return sum(
        instance.core.peers.counts.frames_out
        for instance in bench.instances.values()
    )


def slope(costs: Sequence[Cost], field: str) -> slopes.Slope:
    """Fits a field of the costs against the number of instances."""
    sizes = [cost.instances for cost in costs]
    return slopes.Slope.fit(sizes, [getattr(cost, field) for cost in costs])


def main() -> None:
    """Measures all states at all fleet sizes and fits lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", default="6,12,24,48")
    parser.add_argument("--states", default="idle,load,churn")
    parser.add_argument(
        "--engines", type=int, default=1, help="engines per instance"
    )
    parser.add_argument("--domains", type=int, default=_DOMAINS)
    parser.add_argument("--settle-s", type=float, default=_SETTLE_S)
    parser.add_argument("--duration-s", type=float, default=_DURATION_S)
    parser.add_argument("--churn-per-min", type=float, default=_CHURN_PER_MIN)
    options = parser.parse_args()
    counts = [int(count) for count in options.instances.split(",")]
    runner.suppress_logs()
    for name in options.states.split(","):
        plan = Plan(
            State(name),
            options.engines,
            options.domains,
            options.settle_s,
            options.duration_s,
            options.churn_per_min,
        )
        costs = []
        for count in counts:
            costs.append(virtual_time.run(measure(count, plan)))
            print(costs[-1].to_json(), flush=True)
        if len(costs) >= _MIN_POINTS:
            _print_slopes(costs)


def _print_slopes(costs: Sequence[Cost]) -> None:
    for field in _FITTED_FIELDS:
        line = {"state": costs[0].state, "of": field}
        line |= dataclasses.asdict(slope(costs, field))
        print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
