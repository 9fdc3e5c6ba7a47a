"""What the fleet costs an instance when no request runs.

Run ``python -m jujubewharf.experiments.control_cost``: real entry cores on
the bench, in one process and on virtual time, at several sizes. Bytes are
those that the cores write to their peer links; the share of a core is this
process's time over instances and virtual seconds, the stand-ins' and the
loop's own work included.
"""

from __future__ import annotations

import dataclasses
import itertools
import statistics
import time
from typing import Annotated

import rich.console
import rich.table
import structlog
import typer

from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import virtual_time
from jujubewharf.membership import facts

SIZES = (6, 12, 24, 48)
DOMAINS = 3

SETTLE_S = 20.0

_STEP_MS = 50.0
_PATIENCE_MS = 20_000.0
# Headers of one TCP segment over IPv4 with timestamps, and of its
# acknowledgement; a worked-out allowance, for the bench has no packets.
_SEGMENT_BYTES = 104
_LEAST_FOR_SLOPE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What one run gave, for each instance and second.

    Attributes:
        size: Number of instances.
        churn_per_min: Replacements a minute in the whole fleet.
        links: Mean number of open links.
        bytes_per_s: Mean bytes written to peers.
        max_bytes_per_s: The same of the instance that wrote most.
        frames_per_s: Mean messages written to peers.
        core_percent: Share of a processor core.
        spread_ms: Time until a fact was known to all.
    """

    size: int
    churn_per_min: float
    links: float
    bytes_per_s: float
    max_bytes_per_s: float
    frames_per_s: float
    core_percent: float
    spread_ms: float

    @property
    def wire_bytes_per_s(self) -> float:
        """Bytes with an allowance for TCP, a segment for each message."""
        return self.bytes_per_s + self.frames_per_s * _SEGMENT_BYTES


async def measure(
    size: int,
    *,
    domains: int,
    duration_s: float,
    churn_per_min: float,
    settle_s: float = SETTLE_S,
) -> Cost:
    """Runs a fleet and measures it.

    Args:
        size: Number of instances.
        domains: Number of failure domains.
        duration_s: Virtual seconds to measure over.
        churn_per_min: Instances killed and started anew a minute.
        settle_s: Virtual seconds after the start that are left out.
    """
    bench = benches.Bench()
    for number in range(size):
        await bench.start_instance(f"e{number:03}", f"d{number % domains}")
    await bench.clock.sleep_ms(settle_s * 1_000)
    links = statistics.mean(
        instance.core.peers.link_count()
        for instance in bench.instances.values()
    )
    sent_before = dict(bench.network.bytes_sent)
    frames_before = _frames(bench)
    started_s = time.process_time()
    frames_of_gone = await _run(bench, duration_s, churn_per_min)
    spent_s = time.process_time() - started_s
    frames = _frames(bench) + frames_of_gone - frames_before
    sent = [
        (bench.network.bytes_sent[name] - sent_before[name]) / duration_s
        for name in bench.instances
    ]
    spread_ms = await _spread(bench)
    await bench.stop()
    return Cost(
        size=size,
        churn_per_min=churn_per_min,
        links=links,
        bytes_per_s=statistics.mean(sent),
        max_bytes_per_s=max(sent),
        frames_per_s=frames / size / duration_s,
        core_percent=100 * spent_s / size / duration_s,
        spread_ms=spread_ms,
    )


async def _run(
    bench: benches.Bench, duration_s: float, churn_per_min: float
) -> int:
    """Lets time pass; returns the messages of instances killed meanwhile."""
    frames_of_gone = 0
    if churn_per_min == 0:
        await bench.clock.sleep_ms(duration_s * 1_000)
        return frames_of_gone
    until_ms = bench.clock.now_ms() + duration_s * 1_000
    pause_ms = 60_000 / churn_per_min
    for name in itertools.cycle(sorted(bench.instances)):
        if bench.clock.now_ms() + pause_ms > until_ms:
            break
        await bench.clock.sleep_ms(pause_ms)
        gone = bench.instances[name].core
        frames_of_gone += gone.peers.counts.frames_out
        await bench.restart_instance(name)
    await bench.clock.sleep_until_ms(until_ms)
    return frames_of_gone


async def _spread(bench: benches.Bench) -> float:
    """Publishes a fact and waits until all know it."""
    cores = [instance.core for instance in bench.instances.values()]
    topic = facts.Topic.ENDPOINT_LEAVING
    started_ms = bench.clock.now_ms()
    cores[0].facts.publish(topic, "probe", version=1, ttl_ms=60_000)
    while not all(core.facts.get(topic, "probe") for core in cores):
        if bench.clock.now_ms() > started_ms + _PATIENCE_MS:
            return float("inf")
        await bench.clock.sleep_ms(_STEP_MS)
    return bench.clock.now_ms() - started_ms


def _frames(bench: benches.Bench) -> int:
    return sum(
        instance.core.peers.counts.frames_out
        for instance in bench.instances.values()
    )


def slope(costs: list[Cost], field: str) -> float:
    """Least-squares growth of a field for each further instance."""
    sizes = [cost.size for cost in costs]
    values = [getattr(cost, field) for cost in costs]
    return statistics.linear_regression(sizes, values).slope


def _print(costs: list[Cost]) -> None:
    table = rich.table.Table()
    for field in dataclasses.fields(Cost):
        table.add_column(field.name, justify="right")
    table.add_column("wire_bytes_per_s", justify="right")
    for cost in costs:
        values = [*dataclasses.astuple(cost), cost.wire_bytes_per_s]
        table.add_row(*(f"{value:.4g}" for value in values))
    console = rich.console.Console(width=140)
    console.print(table)
    if len(costs) < _LEAST_FOR_SLOPE:
        return
    for name in ("bytes_per_s", "frames_per_s", "core_percent"):
        console.print(f"{name}: {slope(costs, name):+.4g} an instance")


def main(
    sizes: Annotated[list[int] | None, typer.Argument()] = None,
    domains: int = DOMAINS,
    duration_s: float = 60.0,
    churn_per_min: float = 0.0,
    settle_s: float = SETTLE_S,
) -> None:
    """Measures the cost of control, idle or under churn."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    costs = [
        virtual_time.run(
            measure(
                size,
                domains=domains,
                duration_s=duration_s,
                churn_per_min=churn_per_min,
                settle_s=settle_s,
            )
        )
        for size in sizes or SIZES
    ]
    _print(costs)


if __name__ == "__main__":
    typer.run(main)
