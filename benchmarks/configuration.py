"""Cost of configuration per instance, and propagation time of a change.

Run from the root of the repository, one case at a time:

    python -m benchmarks.configuration size
    python -m benchmarks.configuration spread --instances 12
    python -m benchmarks.configuration spread --instances 12 --cut
    python -m benchmarks.configuration wire
    python -m benchmarks.configuration loopback --instances 12
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import gc
import hashlib
import time
import tracemalloc

import aiohttp
from aiohttp import web
import numpy as np
import typer

from jujubewharf import clock as clocks
from jujubewharf import core as cores
from jujubewharf.configuration import changes as changes_lib
from jujubewharf.configuration import follower as followers
from jujubewharf.configuration import records
from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources
from jujubewharf.configuration import snapshot as snapshots
from jujubewharf.configuration import state as states
from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import virtual_time
from jujubewharf.platform import http_log
from jujubewharf.platform import log as logs
from jujubewharf.standins import log as standin_log

app = typer.Typer(help=__doc__)

_SERVICES = 40
_ENDPOINTS = 5_900
_ACCOUNTS = 3_700
_CHANGES = 5_000
_CHANGES_PER_S = 0.4
_SPREAD_CHANGES = 40
_DOMAINS = 3


def _service(number: int) -> resources.Service:
    return resources.Service(f"service-{number}", resources.ServiceKind.PLAIN)


def _endpoint(number: int, *, slots: int = 20) -> resources.Endpoint:
    return resources.Endpoint(
        name=f"endpoint-{number:05}",
        service=f"service-{number % _SERVICES}",
        address=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000",
        domain=f"norte-{number % 15}",
        role=resources.Role.PLAIN,
        slots=slots,
    )


def _account(number: int) -> resources.Account:
    token = hashlib.sha256(str(number).encode()).hexdigest()
    return resources.Account(f"account-{number:05}", token)


def _change(resource: resources.Resource, number: int) -> records.Change:
    return records.Change(
        operation_id=f"01hf{number:022}",
        actor="operator-one",
        verb=records.Verb.PUT,
        kind=resources.KIND_OF[type(resource)].value,
        name=resource.name,
        expected_generation=None,
        body=resource_codec.dump(resource),
        wall_ms=1e12 + number,
    )


class _StateBuilder:
    """Applies resources to a state and measures the cost of each batch."""

    def __init__(self) -> None:
        self.state = states.State()
        self._number = 0

    def add(self, added: Iterator[resources.Resource]) -> tuple[float, float]:
        """Applies resources to the state.

        Returns:
            Mean bytes and processor microseconds per resource.
        """
        payloads = []
        for resource in added:
            payloads.append(records.encode(_change(resource, self._number)))
            self._number += 1
        gc.collect()
        before_bytes = tracemalloc.get_traced_memory()[0]
        began_s = time.process_time()
        for payload in payloads:
            self.state.apply(logs.LogRecord(self.state.next_offset, payload))
        took_s = time.process_time() - began_s
        gc.collect()
        grown = tracemalloc.get_traced_memory()[0] - before_bytes
        return grown / len(payloads), took_s / len(payloads) * 1e6


def _measure_ms(call: Callable[[], object]) -> tuple[object, float]:
    began_s = time.process_time()
    found = call()
    return found, (time.process_time() - began_s) * 1e3


@app.command()
def size() -> None:
    """Measures memory, processor time and snapshot at the target size."""
    tracing = _StateBuilder()
    tracemalloc.start()
    tracing.add(_service(number) for number in range(_SERVICES))
    # Fill the bounded history first, so that it isn't counted as endpoints.
    history = tracing.add(_endpoint(0, slots=n + 1) for n in range(2_048))
    endpoints = tracing.add(_endpoint(n) for n in range(1, _ENDPOINTS))
    accounts = tracing.add(_account(n) for n in range(_ACCOUNTS))
    tracemalloc.stop()
    timing = _StateBuilder()
    timing.add(_service(number) for number in range(_SERVICES))
    timing.add(_endpoint(n) for n in range(_ENDPOINTS))
    timing.add(_account(n) for n in range(_ACCOUNTS))
    change = timing.add(_endpoint(n, slots=7) for n in range(_CHANGES))
    typer.echo(f"bytes: a history item {history[0]:.0f}")
    typer.echo(f"bytes: an endpoint {endpoints[0]:.0f}")
    typer.echo(f"bytes: an account {accounts[0]:.0f}")
    typer.echo(f"processor: a change {change[1]:.0f} us")
    encoded, took_ms = _measure_ms(lambda: snapshots.encode(timing.state))
    assert isinstance(encoded, snapshots.Snapshot)
    total = sum(len(chunk) for chunk in encoded.chunks)
    raw = sum(
        len(chunk) for chunk in snapshots.Encoder(timing.state).raw_chunks()
    )
    typer.echo(
        f"snapshot: {raw} B, {total} B compressed,"
        f" {len(encoded.chunks)} chunks, made in {took_ms:.0f} ms"
    )
    _, took_ms = _measure_ms(
        lambda: snapshots.decode(encoded, newest_rules_version=1)
    )
    typer.echo(f"snapshot: read in {took_ms:.0f} ms")
    record = records.encode(_change(_endpoint(1), 1))
    typer.echo(f"record: {len(record)} B")


@app.command()
def spread(instances: int = 6, cut: bool = False) -> None:
    """Measures propagation time to all instances on a virtual clock."""
    virtual_time.run(_spread(instances, cut))


async def _spread(count: int, is_cut: bool) -> None:
    bench = benches.Bench()
    names = [f"i{number:02}" for number in range(count)]
    for index, name in enumerate(names):
        await bench.start_instance(name, f"d{index % _DOMAINS}")
    await bench.clock.sleep_ms(15_000)
    if is_cut:
        bench.cut_domain("d2", from_peers=False)
        await bench.clock.sleep_ms(10_000)
    await bench.declare(_service(0), _endpoint(0))
    await bench.clock.sleep_ms(10_000)
    idle = await _costs(bench, 0)
    delays_ms: list[float] = []
    busy = await _costs(bench, _SPREAD_CHANGES, delays_ms)
    await bench.stop()
    p50, p99 = np.percentile(delays_ms, [50, 99])
    typer.echo(
        f"{count} instances{', one domain without log' if is_cut else ''}:"
        f" p50 {p50 / 1e3:.3f} s, p99 {p99 / 1e3:.3f} s,"
        f" max {max(delays_ms) / 1e3:.3f} s in force"
    )
    for label, costs in (("idle", idle), ("0.4 changes/s", busy)):
        typer.echo(
            f"  {label}: {costs[0] / count:.2f} ms processor and"
            f" {costs[1] / count:.0f} B to peers a second an instance"
        )


async def _costs(
    bench: benches.Bench, changes: int, delays_ms: list[float] | None = None
) -> tuple[float, float]:
    """Returns processor ms and peer bytes per second of all instances."""
    began_ms = bench.clock.now_ms()
    began_s = time.process_time()
    before = sum(bench.network.bytes_sent.values())
    reachable = [one for one in bench.instances.values() if not one.log.is_cut]
    waiting = []
    for number in range(changes):
        change = _change(_endpoint(0, slots=number + 21), number)
        one = reachable[number % len(reachable)]
        waiting.append(
            asyncio.ensure_future(
                _propagation_delays_ms(bench, one.core, change)
            )
        )
        await bench.clock.sleep_ms(clocks.MS_PER_S / _CHANGES_PER_S)
    if not changes:
        await bench.clock.sleep_ms(30_000)
    for delays in await asyncio.gather(*waiting):
        assert delays_ms is not None
        delays_ms.extend(delays)
    took_s = (bench.clock.now_ms() - began_ms) / clocks.MS_PER_S
    sent = sum(bench.network.bytes_sent.values()) - before
    used_ms = (time.process_time() - began_s) * 1e3
    return used_ms / took_s, sent / took_s


async def _propagation_delays_ms(
    bench: benches.Bench,
    core: cores.EntryCore,
    change: records.Change,
) -> list[float]:
    """Returns the ms from acceptance until each instance applied a change."""
    waiting = {name: one.core for name, one in bench.instances.items()}
    done_ms: dict[str, float] = {}

    def watch(name: str, other: cores.EntryCore) -> None:
        def on_state(_: states.State) -> None:
            if other.changes.operation(change.operation_id):
                done_ms.setdefault(name, bench.clock.now_ms())

        other.configuration.listen(on_state)

    for name, other in waiting.items():
        watch(name, other)
    verdict = (await core.changes.submit([change]))[0]
    assert verdict.is_accepted
    accepted_ms = bench.clock.now_ms()
    while len(done_ms) < len(waiting):
        await bench.clock.sleep_ms(10)
    return [max(0.0, at_ms - accepted_ms) for at_ms in done_ms.values()]


@app.command()
def wire(seconds: float = 20.0) -> None:
    """Measures traffic between an instance and an HTTP log, idle and busy."""
    asyncio.run(_wire(seconds))


async def _wire(seconds: float) -> None:
    clock = clocks.Clock()
    log = standin_log.MemoryLog(clock)
    runner = web.AppRunner(standin_log.LogServer(log).app())
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    port = runner.addresses[0][1]
    counts = {"in": 0, "out": 0}
    server = await asyncio.start_server(
        lambda reader, writer: _relay(reader, writer, port, counts),
        "127.0.0.1",
        0,
    )
    counted = server.sockets[0].getsockname()[1]
    async with aiohttp.ClientSession() as session:
        http_logs = http_log.HttpLog(
            f"http://127.0.0.1:{counted}", session, clock
        )
        follower = followers.ConfigurationFollower(http_logs, clock)
        await follower.start()
        await follower.caught_up.wait()
        for label, rate in (("idle", 0.0), ("0.4 changes/s", 0.4)):
            before = dict(counts)
            await _append_changes(log, rate, seconds)
            sent = (counts["out"] - before["out"]) / seconds
            got = (counts["in"] - before["in"]) / seconds
            typer.echo(f"{label}: {sent:.0f} B/s to, {got:.0f} B/s from log")
        await follower.stop()
    server.close()
    await runner.cleanup()


@app.command()
def loopback(instances: int = 6) -> None:
    """Measures propagation time over HTTP, with all readers in one process."""
    asyncio.run(_loopback(instances))


async def _loopback(count: int) -> None:
    clock = clocks.Clock()
    log = standin_log.MemoryLog(clock)
    runner = web.AppRunner(standin_log.LogServer(log).app())
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    url = f"http://127.0.0.1:{runner.addresses[0][1]}"
    sessions = [aiohttp.ClientSession() for _ in range(count)]
    http_logs = [http_log.HttpLog(url, session, clock) for session in sessions]
    config_followers = [
        followers.ConfigurationFollower(one, clock) for one in http_logs
    ]
    changes = changes_lib.ChangeSubmitter(
        config_followers[0], http_logs[0], clock
    )
    for one in config_followers:
        await one.start()
        await one.caught_up.wait()
    submit_ms: list[float] = []
    delays_ms: list[float] = []
    for number in range(_SPREAD_CHANGES):
        began_ms = clock.now_ms()
        change = _change(_service(number), number)
        verdict = (await changes.submit([change]))[0]
        accepted_ms = clock.now_ms()
        submit_ms.append(accepted_ms - began_ms)
        for one in config_followers:
            await _wait_until_applied(one, verdict.offset)
            delays_ms.append(clock.now_ms() - accepted_ms)
    for one in config_followers:
        await one.stop()
    for session in sessions:
        await session.close()
    await runner.cleanup()
    typer.echo(
        f"{count} instances: accepted after p50 {np.median(submit_ms):.1f} ms,"
        f" max {max(submit_ms):.1f} ms; in force p50"
        f" {np.median(delays_ms):.1f} ms, max {max(delays_ms):.1f} ms later"
    )


async def _wait_until_applied(
    follower: followers.ConfigurationFollower, offset: int
) -> None:
    applied = asyncio.Event()

    def check(state: states.State) -> None:
        if state.next_offset > offset:
            applied.set()

    follower.listen(check)
    check(follower.current)
    await applied.wait()


async def _append_changes(
    log: standin_log.MemoryLog, rate_per_s: float, seconds: float
) -> None:
    if not rate_per_s:
        await asyncio.sleep(seconds)
        return
    for number in range(int(seconds * rate_per_s)):
        change = _change(_endpoint(0, slots=number + 1), number)
        await log.append(records.STREAM, [records.encode(change)])
        await asyncio.sleep(1 / rate_per_s)


async def _relay(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    port: int,
    counts: dict[str, int],
) -> None:
    far_reader, far_writer = await asyncio.open_connection("127.0.0.1", port)
    await asyncio.gather(
        _pump(reader, far_writer, counts, "out"),
        _pump(far_reader, writer, counts, "in"),
    )


async def _pump(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    counts: dict[str, int],
    direction: str,
) -> None:
    while data := await reader.read(65_536):
        counts[direction] += len(data)
        writer.write(data)
    writer.close()


if __name__ == "__main__":
    app()
