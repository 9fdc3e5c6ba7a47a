"""Processor time that log lines add to a request.

Run: ``python -m benchmarks.log_cost``. An instance answers requests, or
refuses them for lack of engine memory, on stand-ins and a virtual clock,
without HTTP. Each outcome runs with log lines written to the null device and
without log lines. The log rate limiter, which uses real time, is disabled.
"""

from __future__ import annotations

import dataclasses
import enum
import io
import os
import random
import time

from benchmarks import forwarding_parts
from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import entry
from jujubewharf.forwarding import routes
from jujubewharf.platform import epochs
from jujubewharf.standins import backend_state
from jujubewharf.standins import backends
from jujubewharf.standins import tables
from jujubewharf.telemetry import line_writer
from jujubewharf.telemetry import logs

_REQUESTS = 2_000
_ROUNDS = 3
_SETTLE_MS = 1_100.0
_WORK = calls.ModelWork(5_000, 10_000, 5_000)
_TRAITS = routes.EngineTraits(12, 80_000, 500.0, 6_000.0, 2_000.0)
_US_PER_S = 1e6


class Outcome(enum.Enum):
    """Outcome of all requests of a run."""

    ANSWERED = "answered"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Mean cost per request of a run.

    Attributes:
        request_us: Processor time per request.
        lines: Log lines per request.
    """

    request_us: float
    lines: float


class _CountedLines(io.TextIOBase):
    """Writes to the null device and counts the lines."""

    def __init__(self) -> None:
        self.count = 0
        self._file = open(os.devnull, "w", encoding="utf-8")

    def write(self, text: str) -> int:
        self.count += text.count("\n")
        return self._file.write(text)

    def close(self) -> None:
        self._file.close()
        super().close()


def measure(outcome: Outcome, *, has_lines: bool, requests: int) -> Cost:
    """Runs requests one after the other.

    Args:
        outcome: Outcome of the requests.
        has_lines: Whether log lines are written.
        requests: Number of requests.
    """
    counted = _CountedLines()
    writer = line_writer.LineWriter(counted, max_queued=requests * 10)
    logs.configure(
        "info" if has_lines else "critical",
        instance="e1",
        stream=writer,
    )
    try:
        took_s = virtual_time.run(_run(outcome, requests))
    finally:
        writer.close()
        counted.close()
        logs.configure()
    return Cost(took_s / requests * _US_PER_S, counted.count / requests)


async def _run(outcome: Outcome, requests: int) -> float:
    clock = clocks.Clock(wall_origin_ms=0.0)
    instance = _instance(outcome, clock)
    await instance.start()
    await clock.sleep_ms(_SETTLE_MS)
    began_s = time.process_time()
    for number in range(requests):
        await forwarding_parts.send_request(
            instance, number, arrived_ms=clock.now_ms(), work=_WORK
        )
    took_s = time.process_time() - began_s
    await instance.stop()
    return took_s


def _instance(outcome: Outcome, clock: clocks.Clock) -> entry.ForwardingEntry:
    engines = [
        backend_state.StandInBackend(
            resources.Endpoint(
                name, forwarding_parts.SERVICE, f"{name}:1", "a", role
            )
        )
        for name, role in (
            ("p1", resources.Role.PREFILL),
            ("d1", resources.Role.DECODE),
        )
    ]
    if outcome is Outcome.REFUSED:
        for engine in engines:
            engine.memory_tokens = 0
    configurations = tables.StandInTable[routes.RoutingConfiguration | None](
        clock
    )
    services = {
        forwarding_parts.SERVICE: routes.RoutedService(
            forwarding_parts.SERVICE, _TRAITS
        )
    }
    configurations.put(
        "config",
        routes.RoutingConfiguration(1, (forwarding_parts.ROUTE,), services),
    )
    endpoints = tables.StandInTable[resources.Endpoint](clock)
    for engine in engines:
        endpoints.put(engine.name, engine.endpoint)
    adapters = entry.Adapters(
        backends.StandInBackends(clock, engines),
        configurations,
        endpoints,
        tables.StandInGroups(clock).member("e1"),
        epochs.StoreEpoch(),
    )
    return entry.ForwardingEntry(
        forwarding_parts.settings("e1"), clock, adapters, random.Random(1)
    )


def main() -> None:
    """Prints the best round for each outcome, with and without lines."""
    for outcome in Outcome:
        best: dict[bool, Cost] = {}
        for _ in range(_ROUNDS):
            for has_lines in (False, True):
                cost = measure(outcome, has_lines=has_lines, requests=_REQUESTS)
                known = best.get(has_lines)
                if known is None or cost.request_us < known.request_us:
                    best[has_lines] = cost
        print(
            f"{outcome.value}: {best[False].request_us:.0f} us a request "
            f"without lines, {best[True].request_us:.0f} us with "
            f"{best[True].lines:.2f} lines"
        )


if __name__ == "__main__":
    main()
