"""Latency overhead and throughput of an entry instance.

Each load runs twice: directly against the stand-in engines, with the same calls
that the entry instance makes, and through the entry instance. All are
processes on loopback. Run from the root of the repository:

    python -m benchmarks.overhead
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import sys
import time

import aiohttp
import numpy as np
import psutil

from benchmarks import deployment as deployments
from jujubewharf import clock as clocks
from jujubewharf.engines import client
from jujubewharf.engines import http as engine_http

_MS_PER_S = 1_000.0
_BYTES_PER_MB = 1e6
_PROMPT_WORDS = 100
_OK = 200
_PARTS = ("latency", "target", "capacity")

Send = Callable[[int], Awaitable["Timing"]]


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Latency of one request at the caller.

    Attributes:
        first_ms: Time to the first token.
        whole_ms: Time to the last token.
        tokens: Tokens of the answer.
    """

    first_ms: float
    whole_ms: float
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of a run.

    Attributes:
        in_flight: Concurrent requests.
        requests: Total number of requests.
        tokens: Tokens per answer.
        spread_s: Time over which the first requests start. Without it, answers
            of equal length end together and later requests come in waves.
    """

    in_flight: int
    requests: int
    tokens: int
    spread_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Result of a run.

    Attributes:
        timings: Latency of each request.
        took_s: Duration of the run.
    """

    timings: list[Timing]
    took_s: float

    def percentile(self, field: str, percent: float) -> float:
        """Returns a percentile of ``first_ms`` or ``whole_ms``."""
        values = [getattr(timing, field) for timing in self.timings]
        return float(np.percentile(values, percent))

    @property
    def tokens(self) -> int:
        """Total number of tokens."""
        return sum(timing.tokens for timing in self.timings)


class DirectSender:
    """Calls the engines directly, as the entry instance does."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        session: aiohttp.ClientSession,
        tokens: int,
    ) -> None:
        clock = clocks.Clock()
        self._tokens = tokens
        self._prefill_address = deployment.prefill.address
        self._prefill = _client(deployment.prefill, session, clock)
        self._decoders = itertools.cycle(
            [_client(e, session, clock) for e in deployment.decoders]
        )

    async def send(self, number: int) -> Timing:
        """Sends one request and returns its timing."""
        decode = next(self._decoders)
        attempt = client.Attempt(f"d{number}-{time.monotonic_ns()}.1", "x")
        prompt = _prompt(number, self._tokens)
        began_s = time.perf_counter()
        await decode.reserve(attempt)
        await self._prefill.prefill(attempt, client.PrefillJob("", prompt))
        await decode.import_kv(attempt, self._prefill_address)
        first_ms = 0.0
        count = 0
        job = client.DecodeJob("", prompt, self._tokens)
        async for chunk in decode.decode(attempt, job):
            first_ms = first_ms or _since_ms(began_s)
            count += len(chunk.tokens)
        return Timing(first_ms, _since_ms(began_s), count)


class EntrySender:
    """Calls the model service through the entry instance."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        session: aiohttp.ClientSession,
        tokens: int,
    ) -> None:
        self._url = f"{deployment.entry_url}/v1/completions"
        self._session = session
        self._tokens = tokens

    async def send(self, number: int) -> Timing:
        """Sends one request and returns its timing."""
        body = {
            "model": deployments.MODEL,
            "prompt": _prompt(number, self._tokens),
            "max_tokens": self._tokens,
            "stream": True,
        }
        began_s = time.perf_counter()
        first_ms = 0.0
        data = b""
        async with self._session.post(self._url, json=body) as answer:
            if answer.status != _OK:
                raise RuntimeError(await answer.text())
            async for part in answer.content.iter_any():
                first_ms = first_ms or _since_ms(began_s)
                data += part
        if not data.endswith(b"data: [DONE]\n\n"):
            raise RuntimeError("stream ended before [DONE]")
        whole_ms = _since_ms(began_s)
        count = int(data.rpartition(b'"token_count":')[2].split(b",")[0])
        return Timing(first_ms, whole_ms, count)


class Plain:
    """Calls the plain service, directly or through the entry instance."""

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self._url = url
        self._session = session

    async def send(self, number: int) -> Timing:
        """Sends one request and returns its timing."""
        began_s = time.perf_counter()
        async with self._session.get(f"{self._url}/stock/{number}") as answer:
            answer.raise_for_status()
            await answer.read()
        return Timing(_since_ms(began_s), _since_ms(began_s), 0)


async def run_load(send: Send, load: Load) -> Run:
    """Sends all requests of a load with its concurrency."""
    numbers = iter(range(load.requests))
    timings: list[Timing] = []

    async def worker(worker_index: int) -> None:
        await asyncio.sleep(load.spread_s * worker_index / load.in_flight)
        for number in numbers:
            timings.append(await send(number))

    began_s = time.perf_counter()
    await asyncio.gather(
        *(worker(worker_index) for worker_index in range(load.in_flight))
    )
    return Run(timings, time.perf_counter() - began_s)


@dataclasses.dataclass(slots=True)
class ResourceUsage:
    """Processor time and peak memory of the entry process."""

    cpu_s: float = 0.0
    peak_mb: float = 0.0


@contextlib.asynccontextmanager
async def measure_usage(pid: int) -> AsyncIterator[ResourceUsage]:
    """Measures a process while the context is active."""
    process = psutil.Process(pid)
    usage = ResourceUsage()

    async def sample() -> None:
        while True:
            usage.peak_mb = max(usage.peak_mb, _rss_mb(process))
            await asyncio.sleep(0.05)

    before = process.cpu_times()
    sampler = asyncio.create_task(sample())
    try:
        yield usage
    finally:
        sampler.cancel()
        after = process.cpu_times()
        usage.cpu_s = after.user + after.system - before.user - before.system


async def latency(step_ms: float, scale: float) -> None:
    """Compares latency at 1, 16 and 128 requests in flight."""
    tokens = 25
    async with deployments.running(step_ms=step_ms) as deployment:
        process = psutil.Process(deployment.entry_pid)
        print(f"\nentry idle: {_rss_mb(process):.1f} MB resident")
        print(f"{tokens} tokens an answer, {step_ms:g} ms a token")
        for in_flight, requests in ((1, 20), (16, 320), (128, 1_536)):
            load = Load(
                in_flight,
                max(in_flight, int(requests * scale)),
                tokens,
                spread_s=tokens * step_ms / _MS_PER_S,
            )
            async with _session() as session:
                direct = await run_load(
                    DirectSender(deployment, session, tokens).send, load
                )
                async with measure_usage(deployment.entry_pid) as usage:
                    through = await run_load(
                        EntrySender(deployment, session, tokens).send, load
                    )
            _print_ratio(load, direct, through, usage)


async def target() -> None:
    """Runs the target load: 163 concurrent answers, 64 ms per token."""
    tokens = 200
    async with deployments.running(step_ms=64.0) as deployment:
        load = Load(163, 163, tokens)
        async with _session() as session:
            send = EntrySender(deployment, session, tokens).send
            async with measure_usage(deployment.entry_pid) as usage:
                run = await run_load(send, load)
        _print_capacity("target load", load, run, usage)


async def capacity(scale: float) -> None:
    """Measures tokens and requests per second of a saturated entry."""
    async with deployments.running(step_ms=1.0) as deployment:
        print("\nmaximum throughput:")
        for name, load in (
            ("long answers", Load(128, int(1_024 * scale), 200)),
            ("one token", Load(64, int(2_048 * scale), 1)),
        ):
            async with _session() as session:
                async with measure_usage(deployment.entry_pid) as usage:
                    run = await run_load(
                        EntrySender(deployment, session, load.tokens).send, load
                    )
            _print_capacity(name, load, run, usage)
        await _plain(deployment, Load(32, int(3_000 * scale), 0))


async def _plain(deployment: deployments.Deployment, load: Load) -> None:
    direct_url = f"http://{deployment.plain_endpoint.address}"
    through_url = f"{deployment.entry_url}/s/{deployments.PLAIN}"
    async with _session() as session:
        direct = await run_load(Plain(direct_url, session).send, load)
        async with measure_usage(deployment.entry_pid) as usage:
            through = await run_load(Plain(through_url, session).send, load)
    _print_ratio(load, direct, through, usage)
    _print_capacity("plain", load, through, usage)


def _print_ratio(
    load: Load, direct: Run, through: Run, usage: ResourceUsage
) -> None:
    cells = [f"{load.in_flight:4d} in flight, {load.requests} requests:"]
    for field in ("first_ms", "whole_ms"):
        for percent in (50, 99):
            before = direct.percentile(field, percent)
            after = through.percentile(field, percent)
            cells.append(
                f"{field} p{percent} {before:.1f} -> {after:.1f} "
                f"(x{after / before:.3f})"
            )
    print("  ".join(cells))
    rate_per_s = through.tokens / through.took_s
    print(
        f"     {rate_per_s:.0f} tokens/s, "
        f"{usage.cpu_s / through.took_s:.2f} cores, "
        f"peak {usage.peak_mb:.1f} MB"
    )


def _print_capacity(
    name: str, load: Load, run: Run, usage: ResourceUsage
) -> None:
    requests_per_core_s = load.requests / usage.cpu_s
    tokens_per_core_s = run.tokens / usage.cpu_s
    print(
        f"  {name}: {load.requests / run.took_s:.0f} requests/s, "
        f"{run.tokens / run.took_s:.0f} tokens/s at "
        f"{usage.cpu_s / run.took_s:.2f} cores; a core: "
        f"{requests_per_core_s:.0f} requests/s, "
        f"{tokens_per_core_s:.0f} tokens/s; peak {usage.peak_mb:.1f} MB"
    )


def _client(
    endpoint: deployments.resources.Endpoint,
    session: aiohttp.ClientSession,
    clock: clocks.Clock,
) -> engine_http.HttpEngineClient:
    return engine_http.HttpEngineClient(
        endpoint.name, endpoint.address, session, clock
    )


def _session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(limit=0)
    return aiohttp.ClientSession(connector=connector)


def _prompt(number: int, tokens: int) -> str:
    words = " ".join(f"w{number}" for _ in range(_PROMPT_WORDS))
    return f"answer_tokens={tokens} {words}"


def _since_ms(began_s: float) -> float:
    return (time.perf_counter() - began_s) * _MS_PER_S


def _rss_mb(process: psutil.Process) -> float:
    return float(process.memory_info().rss) / _BYTES_PER_MB


async def _main(arguments: argparse.Namespace) -> None:
    if "latency" in arguments.parts:
        await latency(arguments.step_ms, arguments.scale)
    if "target" in arguments.parts:
        await target()
    if "capacity" in arguments.parts:
        await capacity(arguments.scale)


def main() -> None:
    """Runs the selected parts."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", default=_PARTS)
    parser.add_argument("--step-ms", type=float, default=20.0)
    parser.add_argument("--scale", type=float, default=1.0)
    asyncio.run(_main(parser.parse_args(sys.argv[1:])))


if __name__ == "__main__":
    main()
