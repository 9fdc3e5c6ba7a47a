"""Cost of recognizing requests that crash engines.

``python -m benchmarks.crash_checks`` prints the microseconds per check (a
request needs two to four) by recorded crashes and body size, the size of crash
messages and stored records, and the memory of a full history.
"""

from __future__ import annotations

import asyncio
import logging
import time
import tracemalloc

import structlog

from jujubewharf import clock as clocks
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import crash_records
from jujubewharf.forwarding import crash_table
from jujubewharf.forwarding import crashes
from jujubewharf.peers import codec
from jujubewharf.peers import crash_messages

_ROUNDS = 2_000
_BODY_SIZES_BYTES = (0, 5_000, 1_000_000)


def _call(path: str, body: bytes) -> calls.Call:
    return calls.Call("r1", "POST", "shop.example", path, (), body, 0.0)


def _check_us(history: crashes.CrashHistory, call: calls.Call) -> float:
    rounds = _ROUNDS if len(call.body) < 100_000 else 50
    began_s = time.perf_counter()
    for _ in range(rounds):
        history.check(call)
    return (time.perf_counter() - began_s) / rounds * 1e6


def _history(requests: int, *, crashes_each: int) -> crashes.CrashHistory:
    history = crashes.CrashHistory(clocks.Clock())
    for number in range(requests):
        call = _call(f"/verdicts/{number}", b"body %d" % number)
        for engine in range(crashes_each):
            name = f"i-{number:05x}{engine:05x}"
            history.record_crash(call, name, stage="run")
    return history


def _print_sizes() -> None:
    for count in (1, 20, 100):
        reports = _history(count, crashes_each=1).reports()
        message = crash_messages.CrashReports(reports)
        frame = codec.Frame(codec.FrameKind.TELL, 0, message)
        print(f"message of {count} requests: {len(codec.encode(frame))} bytes")
    kept = crash_records.encode(reports[0], wall_ms=1.7e12)
    print(f"record in the store: {len(kept)} bytes")
    for crashes_each in (1, 8):
        tracemalloc.start()
        history = _history(crash_table.MAX_RECORDS, crashes_each=crashes_each)
        size_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        print(
            f"{len(history)} requests, crashes of each {crashes_each}:"
            f" {size_bytes / 1e6:.2f} MB"
        )


async def main() -> None:
    """Prints check times by body size, then sizes and memory."""
    print("body bytes  nothing known  others known  looks alike")
    for size_bytes in _BODY_SIZES_BYTES:
        call = _call("/verdicts/1", b"a" * size_bytes)
        history = crashes.CrashHistory(clocks.Clock())
        empty_us = _check_us(history, call)
        for number in range(500):
            other = _call(f"/verdicts/{number + 2}", b"b" * size_bytes)
            history.record_crash(other, "engine", stage="run")
        others_us = _check_us(history, call)
        similar = _call("/verdicts/1", b"b" * size_bytes)
        history.record_crash(similar, "engine", stage="run")
        similar_us = _check_us(history, call)
        print(
            f"{size_bytes:10}  {empty_us:13.2f}  {others_us:12.2f}"
            f"  {similar_us:11.2f}"
        )
    _print_sizes()


if __name__ == "__main__":
    logs_off = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=logs_off)
    asyncio.run(main())
