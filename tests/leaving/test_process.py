"""Guards against requests cut off by SIGTERM, in a real process.

The request in flight completes and the process exits with 0. A second signal
cuts the request off, and the exit code shows it.
"""

from __future__ import annotations

import asyncio
import json
import signal

import aiohttp
import pytest

from jujubewharf import clock as clocks
from jujubewharf.configuration import records
from jujubewharf.configuration import resources
from jujubewharf.demo import processes
from jujubewharf.leaving import process
from jujubewharf.platform import http_log
from jujubewharf.standins import declarations

SERVICE = resources.Service("shop-api", resources.ServiceKind.PLAIN)
ANSWER_MS = 1_500


@pytest.mark.parametrize(
    "signals, exit_code",
    [(1, process.ExitCode.DRAINED), (2, process.ExitCode.CUT)],
)
async def test_request_in_flight_on_sigterm(tmp_path, signals, exit_code):
    async with (
        processes.Processes(tmp_path) as running,
        aiohttp.ClientSession() as session,
    ):
        child, base = await _start(running, tmp_path, session)
        call = asyncio.create_task(_call(session, base))
        await asyncio.sleep(0.5)
        for _ in range(signals):
            child.send(signal.SIGTERM)
            await asyncio.sleep(0.2)
        code = await child.process.wait()
        assert code == exit_code, child.log_path.read_text()
        if signals == 1:
            assert await call == 200
        else:
            with pytest.raises(aiohttp.ClientError):
                await call


async def _call(session: aiohttp.ClientSession, base: str) -> int:
    async with session.get(f"{base}/s/shop-api/stock") as answer:
        await answer.read()
        return answer.status


async def _start(running, tmp_path, session):
    starts = (
        ("log", "log"),
        ("list", "live-list"),
        ("weights", "weight-store"),
        ("till", "endpoint", "till", "--answer-ms", str(ANSWER_MS)),
    )
    log, live_list, weights, till = await asyncio.gather(
        *[running.start_standin(*one) for one in starts]
    )
    endpoint = resources.Endpoint(
        "till", SERVICE.name, till, "norte-a", resources.Role.PLAIN
    )
    platform_log = http_log.HttpLog(f"http://{log}", session, clocks.Clock())
    payloads = [
        declarations.put(resource, f"op-{resource.name}")
        for resource in (SERVICE, endpoint)
    ]
    await platform_log.append(records.STREAM, payloads)
    settings = {
        "instance": "entry-1",
        "region": "norte",
        "domain": "norte-a",
        "platform": {
            "log_url": f"http://{log}",
            "live_list_url": f"http://{live_list}",
            "weight_store_url": f"http://{weights}",
        },
        "drain_ms": 10_000,
        "balancer_grace_ms": 100,
    }
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(settings))
    child = await running.start("entry-1", "entry", "--settings", str(path))
    base = f"http://127.0.0.1:{await _port(child)}"
    for _ in range(300):
        async with session.get(f"{base}/readyz") as answer:
            if answer.status == 200:
                break
        await asyncio.sleep(0.05)
    return child, base


async def _port(child: processes.Child) -> int:
    """Returns the port for callers from the process's log."""
    for _ in range(300):
        for line in child.log_path.read_text().splitlines():
            event = json.loads(line)
            if event.get("event") == "callers_listening":
                return event["port"]
        await asyncio.sleep(0.05)
    raise AssertionError(child.log_path.read_text())
