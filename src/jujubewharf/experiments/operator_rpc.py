"""Benchmarks the operator interface on loopback with real processes.

Run ``python -m jujubewharf.experiments.operator_rpc``. It starts the platform
stand-ins and two entry instances and prints a table with the latency until a
change is applied at the called instance and at the other one, and with the
throughput and CPU time of changes, gets and lists. It needs psutil from the
``dev`` extra.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import pathlib
import socket
import tempfile
import time

import numpy as np
import psutil
from rich import console as consoles
from rich import table as tables
import typer

from jujubewharf import bearer
from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.demo import processes
from jujubewharf.operators import call_errors
from jujubewharf.operators import client as clients

_TOKEN = "measuring"
_UNLIMITED_PER_S = 1e6
_READY_TIMEOUT_S = 30.0
_SERVICE = resources.Service("measured", resources.ServiceKind.PLAIN)

Call = Callable[[int], Awaitable[object]]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Results of one benchmark.

    Attributes:
        operation: Name of the benchmark.
        calls: Number of calls.
        in_flight: Number of concurrent calls.
        p50_ms: Median latency.
        p99_ms: 99th percentile of the latency.
        per_s: Calls per second.
        here_ms: CPU time per call of the called instance.
        there_ms: CPU time per call of the other instance.
    """

    operation: str
    calls: int
    in_flight: int
    p50_ms: float
    p99_ms: float
    per_s: float
    here_ms: float
    there_ms: float


def main(calls: int = 400, endpoints: int = 1_000) -> None:
    """Runs all benchmarks and prints the table."""
    table = tables.Table(
        "matter",
        "calls",
        "in flight",
        "p50",
        "p99",
        "1/s",
        "CPU here",
        "CPU there",
    )
    for row in asyncio.run(_measure(calls, endpoints)):
        table.add_row(
            row.operation,
            str(row.calls),
            str(row.in_flight),
            f"{row.p50_ms:.2f} ms",
            f"{row.p99_ms:.2f} ms",
            f"{row.per_s:.0f}",
            f"{row.here_ms:.2f} ms",
            f"{row.there_ms:.2f} ms",
        )
    consoles.Console().print(table)


async def _measure(calls: int, endpoints: int) -> list[Row]:
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        async with processes.Processes(directory) as running:
            addresses, entries = await _start(running, directory)
            here = clients.OperatorClient(addresses[:1], _TOKEN)
            there = clients.OperatorClient(addresses[1:], _TOKEN)
            async with here, there:
                await _wait_until_ready(here)
                await _wait_until_ready(there)
                return await _rows(here, there, entries, calls, endpoints)


async def _rows(
    here: clients.OperatorClient,
    there: clients.OperatorClient,
    entries: list[psutil.Process],
    calls: int,
    endpoints: int,
) -> list[Row]:
    await here.create(_SERVICE)

    async def change(index: int) -> None:
        await here.apply([_endpoint(index % endpoints, slots=index + 1)])

    async def change_and_read_there(index: int) -> None:
        wanted = _endpoint(index % endpoints, slots=2 * calls + index)
        reply = await here.apply([wanted])
        await there.get(
            resources.Kind.ENDPOINT,
            wanted.name,
            not_before_offset=reply.applied_offset,
        )

    async def get(index: int) -> None:
        await here.get(resources.Kind.ENDPOINT, _name(index % endpoints))

    async def list_page(index: int) -> None:
        await here.list_page(resources.Kind.ENDPOINT, page_size=100)

    async def apply_all(index: int) -> None:
        await here.apply(
            [_endpoint(n, slots=10 * calls + index) for n in range(endpoints)]
        )

    plan: list[tuple[str, Call, int, int]] = [
        (f"apply of {endpoints} endpoints", apply_all, 5, 1),
        ("change, in force here", change, calls, 1),
        ("change, in force at both", change_and_read_there, calls, 1),
        ("change, in force here", change, calls, 16),
        ("get", get, 5 * calls, 1),
        ("get", get, 5 * calls, 16),
        ("list of 100", list_page, calls, 1),
        ("list of 100", list_page, calls, 16),
    ]
    return [await _row(*line, entries) for line in plan]


async def _row(
    operation: str,
    call: Call,
    count: int,
    in_flight: int,
    entries: list[psutil.Process],
) -> Row:
    durations_ms: list[float] = []
    numbers = iter(range(count))

    async def work() -> None:
        for index in numbers:
            started_s = time.perf_counter()
            await call(index)
            durations_ms.append((time.perf_counter() - started_s) * 1000.0)

    before_ms = [_cpu_ms(process) for process in entries]
    started_s = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(in_flight)))
    elapsed_s = time.perf_counter() - started_s
    p50_ms, p99_ms = np.percentile(durations_ms, [50, 99])
    here_ms, there_ms = (
        (_cpu_ms(process) - before) / count
        for process, before in zip(entries, before_ms, strict=True)
    )
    return Row(
        operation,
        count,
        in_flight,
        float(p50_ms),
        float(p99_ms),
        count / elapsed_s,
        here_ms,
        there_ms,
    )


def _cpu_ms(process: psutil.Process) -> float:
    used = process.cpu_times()
    return (used.user + used.system) * clocks.MS_PER_S


async def _start(
    running: processes.Processes, directory: pathlib.Path
) -> tuple[list[str], list[psutil.Process]]:
    log, live_list, weights = [
        await running.start_standin(name, name)
        for name in ("log", "live-list", "weight-store")
    ]
    addresses: list[str] = []
    entries: list[psutil.Process] = []
    for name in ("e1", "e2"):
        port = _free_port()
        settings = {
            "instance": name,
            "region": "norte",
            "domain": "norte-a",
            "platform": {
                "log_url": f"http://{log}",
                "live_list_url": f"http://{live_list}",
                "weight_store_url": f"http://{weights}",
            },
            "operators": {
                "port": port,
                "bootstrap_token_sha256": bearer.token_digest(_TOKEN),
                "max_changes_per_s": _UNLIMITED_PER_S,
                "max_reads_per_s": _UNLIMITED_PER_S,
            },
        }
        path = directory / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        child = await running.start(name, "entry", "--settings", str(path))
        entries.append(psutil.Process(child.process.pid))
        addresses.append(f"127.0.0.1:{port}")
    return addresses, entries


async def _wait_until_ready(client: clients.OperatorClient) -> None:
    async with asyncio.timeout(_READY_TIMEOUT_S):
        while True:
            try:
                await client.status()
                return
            except (call_errors.OperatorError, call_errors.UnreachableError):
                await asyncio.sleep(0.1)


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def _name(index: int) -> str:
    return f"endpoint-{index:05}"


def _endpoint(index: int, *, slots: int) -> resources.Endpoint:
    return resources.Endpoint(
        _name(index),
        _SERVICE.name,
        f"127.0.0.1:{20_000 + index}",
        "norte-a",
        resources.Role.PLAIN,
        slots=slots,
    )


if __name__ == "__main__":
    typer.run(main)
