"""Processor time and response sizes of calls from a coordinator to engines.

Starts a stand-in engine as a process on loopback and calls it with the
client of the daemon. ``python -m benchmarks.engine_calls``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import pathlib
import tempfile
import time

import aiohttp

from benchmarks import slopes
from jujubewharf import clock as clocks
from jujubewharf.demo import processes
from jujubewharf.engines import client
from jujubewharf.engines import http

_CALLS = 1_000
_HELD_COUNTS = (0, 5, 10, 20)
_US = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class CallCost:
    """Mean cost of one kind of call.

    Attributes:
        processor_us: Processor time at the caller.
        answer_bytes: Size of the response, headers included.
    """

    processor_us: float
    answer_bytes: float


async def _time_us(call: Callable[[], Awaitable[object]]) -> float:
    await call()
    began_s = time.process_time()
    for _ in range(_CALLS):
        await call()
    return (time.process_time() - began_s) * _US / _CALLS


async def _answer_bytes(port: int, verb: str) -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"POST /{verb} HTTP/1.1\r\nHost: 127.0.0.1:{port}\r\n"
        "Accept: */*\r\nAccept-Encoding: gzip, deflate\r\n"
        "User-Agent: Python/3.11 aiohttp/3\r\nContent-Length: 2\r\n"
        "Content-Type: application/json\r\nConnection: close\r\n\r\n{}".encode()
    )
    answer = await reader.read()
    writer.close()
    return len(answer)


async def _measure() -> None:
    with tempfile.TemporaryDirectory() as name:
        async with processes.Processes(pathlib.Path(name)) as children:
            child = await children.start("engine", "standin", "engine", "e1")
            assert child.process.stdout is not None
            line = await child.process.stdout.readline()
            port = int(json.loads(line)["port"])
            async with aiohttp.ClientSession() as session:
                engine = http.HttpEngineClient(
                    "e1", f"127.0.0.1:{port}", session, clocks.Clock()
                )
                load = CallCost(
                    await _time_us(engine.load),
                    await _answer_bytes(port, "load"),
                )
                _print_result("load", dataclasses.asdict(load))
                await _measure_held(engine, port)


async def _measure_held(engine: http.HttpEngineClient, port: int) -> None:
    reserved = 0
    times, sizes = [], []
    for count in _HELD_COUNTS:
        while reserved < count:
            attempt = client.Attempt(f"{reserved:032x}.1", "entry-1")
            await engine.reserve(attempt)
            reserved += 1
        times.append(await _time_us(engine.held))
        sizes.append(float(await _answer_bytes(port, "held")))
    for name, values in (("held_us", times), ("held_bytes", sizes)):
        _print_result(
            name, dataclasses.asdict(slopes.Slope.fit(_HELD_COUNTS, values))
        )


def _print_result(name: str, value: object) -> None:
    print(json.dumps({"part": name, "value": value}), flush=True)


if __name__ == "__main__":
    asyncio.run(_measure())
