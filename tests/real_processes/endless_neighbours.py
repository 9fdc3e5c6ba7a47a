"""Measures what callers of a sound endpoint get beside endless bytes.

Started by hand: ``python -m tests.real_processes.endless_neighbours``. Half of
the endpoints answer without an end, in every kind at once.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import tempfile
import time

from jujubewharf.engines import sessions
from jujubewharf.forwarding import calls
from tests.real_processes import children
from tests.real_processes import endless_endpoint
from tests.users_platform import engine_calls

_RUN_S = 2.0
_CALLERS = 16
_LEFT_MS = 3_000.0
_PAUSE_S = 0.01


async def _call(engines, address: str, kind: str) -> None:
    call = engine_calls.call(path_query=f"/{kind}/")
    sending = calls.OutboundRequest(call, _LEFT_MS)
    endpoint = engine_calls.endpoint(address)
    async with asyncio.timeout(_LEFT_MS / 1e3):
        async with engines.send(endpoint, sending) as reply:
            async for _ in reply.body:
                pass


async def _call_again_and_again(
    engines, address: str, kind: str, until: float, took_ms: list[float]
) -> None:
    while (began := time.perf_counter()) < until:
        try:
            await _call(engines, address, kind)
        except Exception:
            # Answers without an end fail; those of the sound one count.
            pass
        took_ms.append((time.perf_counter() - began) * 1e3)
        await asyncio.sleep(_PAUSE_S)


async def _measure(kinds: list[str], addresses: list[str]) -> None:
    received = 0
    data_received = sessions.CheckedProtocol.data_received

    def count(self, data):
        nonlocal received
        received += len(data)
        data_received(self, data)

    sessions.CheckedProtocol.data_received = count
    took_ms: list[float] = []
    until = time.perf_counter() + _RUN_S
    async with engine_calls.connected() as engines:
        await asyncio.gather(
            *(
                _call_again_and_again(
                    engines, addresses[0], "sound", until, took_ms
                )
                for _ in range(_CALLERS)
            ),
            *(
                _call_again_and_again(engines, addresses[1], kind, until, [])
                for kind in kinds
            ),
        )
    sessions.CheckedProtocol.data_received = data_received
    took_ms.sort()
    count_ = len(took_ms)
    print(
        f"{len(kinds)} endless {kinds[:1]}: {count_} answers,"
        f" p50 {took_ms[count_ // 2]:.1f} ms,"
        f" p99 {took_ms[count_ * 99 // 100]:.1f} ms,"
        f" {received / 1e6:.1f} MB received"
    )


async def _main() -> None:
    started = children.Children(pathlib.Path(tempfile.mkdtemp()))
    addresses = [
        await started.standin(name, "endless_endpoint").read_line()
        for name in ("sound", "endless")
    ]
    no_answers = [*endless_endpoint.HEADS, *endless_endpoint.FRAMINGS]
    await _measure([], addresses)
    await _measure(no_answers, addresses)
    for kind in endless_endpoint.BODIES if "--bodies" in sys.argv else ():
        await _measure([kind], addresses)
    for kind in no_answers if "--each" in sys.argv else ():
        await _measure([kind], addresses)
    started.end_all()


if __name__ == "__main__":
    asyncio.run(_main())
