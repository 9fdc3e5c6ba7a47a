"""What it costs to know a request that crashes engines by its body.

``python -m benchmarks.crash_checks``: microseconds a check, of which each
request needs two to four, by what is remembered and by the size of its body.
"""

from __future__ import annotations

import asyncio
import logging
import time

import structlog

from jujubewharf import clock as clocks
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import crashes

_ROUNDS = 2_000
_SIZES_BYTES = (0, 5_000, 1_000_000)


def _call(path: str, body: bytes) -> calls.Call:
    return calls.Call("r1", "POST", "shop.example", path, (), body, 0.0)


def _check_us(history: crashes.CrashHistory, call: calls.Call) -> float:
    rounds = _ROUNDS if len(call.body) < 100_000 else 50
    began_s = time.perf_counter()
    for _ in range(rounds):
        history.check(call)
    return (time.perf_counter() - began_s) / rounds * 1e6


async def main() -> None:
    """Prints a row a size."""
    print("body bytes  nothing known  others known  looks alike")
    for size_bytes in _SIZES_BYTES:
        call = _call("/verdicts/1", b"a" * size_bytes)
        history = crashes.CrashHistory(clocks.Clock())
        nothing_us = _check_us(history, call)
        for number in range(500):
            other = _call(f"/verdicts/{number + 2}", b"b" * size_bytes)
            history.crashed(other, "engine", stage="run")
        others_us = _check_us(history, call)
        alike = _call("/verdicts/1", b"b" * size_bytes)
        history.crashed(alike, "engine", stage="run")
        alike_us = _check_us(history, call)
        print(
            f"{size_bytes:10}  {nothing_us:13.2f}  {others_us:12.2f}"
            f"  {alike_us:11.2f}"
        )


if __name__ == "__main__":
    logs_off = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=logs_off)
    asyncio.run(main())
