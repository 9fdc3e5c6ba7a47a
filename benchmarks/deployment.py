"""Starts an entry instance and stand-in engines as local processes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import pathlib
import socket
import tempfile

import aiohttp

from jujubewharf import clock as clocks
from jujubewharf.configuration import records
from jujubewharf.configuration import resources
from jujubewharf.demo import processes
from jujubewharf.platform import http_log
from jujubewharf.standins import declarations

MODEL = "verdict-llm"
PLAIN = "shop-api"
_DOMAIN = "norte-a"
_DECODERS = 4
_SLOTS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A running deployment.

    Attributes:
        entry_url: URL of the entry instance for callers.
        entry_pid: Process ID of the entry instance.
        prefill: The prefill engine.
        decoders: The decode engines.
        plain_endpoint: The plain endpoint.
    """

    entry_url: str
    entry_pid: int
    prefill: resources.Endpoint
    decoders: tuple[resources.Endpoint, ...]
    plain_endpoint: resources.Endpoint


@contextlib.asynccontextmanager
async def running(*, step_ms: float) -> AsyncIterator[Deployment]:
    """Starts all processes and ends them when the context exits.

    Args:
        step_ms: Time between two tokens of an answer.
    """
    async with contextlib.AsyncExitStack() as stack:
        directory = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        group = await stack.enter_async_context(processes.Processes(directory))
        log_address = await group.start_standin("log", "log")
        live_list = await group.start_standin("live-list", "live-list")
        store = await group.start_standin("weight-store", "weight-store")
        engines = await _start_engines(group, step_ms)
        till_address = await group.start_standin("till", "endpoint", "till")
        plain_endpoint = _endpoint("till", till_address, resources.Role.PLAIN)
        await _declare(log_address, [*engines, plain_endpoint])
        port = _free_port()
        settings = {
            "instance": "e1",
            "region": "norte",
            "domain": _DOMAIN,
            "platform": {
                "log_url": f"http://{log_address}",
                "live_list_url": f"http://{live_list}",
                "weight_store_url": f"http://{store}",
            },
            "callers": {"port": port},
            "telemetry": {"log_level": "warning", "metrics_port": 0},
        }
        path = directory / "settings.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        child = await group.start("entry", "entry", "--settings", str(path))
        url = f"http://127.0.0.1:{port}"
        await _wait_until_ready(url)
        yield Deployment(
            url,
            child.process.pid,
            engines[0],
            tuple(engines[1:]),
            plain_endpoint,
        )


async def _start_engines(
    group: processes.Processes, step_ms: float
) -> list[resources.Endpoint]:
    engines = []
    for number in range(_DECODERS + 1):
        role = resources.Role.DECODE if number else resources.Role.PREFILL
        name = f"{role.value}-{number}"
        address = await group.start_standin(
            name,
            "engine",
            name,
            f"--role={role.value}",
            f"--slots={_SLOTS}",
            f"--step-ms={step_ms}",
            "--step-ms-per-request=0",
            "--prefill-ms-per-token=0.001",
            "--report-lag-ms=10",
        )
        engines.append(_endpoint(name, address, role))
    return engines


def _endpoint(
    name: str, address: str, role: resources.Role
) -> resources.Endpoint:
    service = PLAIN if role is resources.Role.PLAIN else MODEL
    return resources.Endpoint(
        name,
        service,
        address,
        _DOMAIN,
        role,
        slots=_SLOTS,
        link_bytes_per_s=1e12,
    )


async def _declare(
    log_address: str, endpoints: list[resources.Endpoint]
) -> None:
    declared: list[resources.Resource] = [
        resources.Service(
            MODEL,
            resources.ServiceKind.MODEL,
            first_answer_target_ms=60_000.0,
            completion_target_ms=120_000.0,
            deadline_ms=120_000.0,
            max_in_flight=4_096,
        ),
        resources.Service(PLAIN, resources.ServiceKind.PLAIN),
        *endpoints,
    ]
    async with aiohttp.ClientSession() as session:
        log = http_log.HttpLog(f"http://{log_address}", session, clocks.Clock())
        payloads = [
            declarations.put(resource, f"op-{resource.name}")
            for resource in declared
        ]
        await log.append(records.STREAM, payloads)


async def _wait_until_ready(url: str) -> None:
    body = {"model": MODEL, "prompt": "hi", "max_tokens": 1}
    async with aiohttp.ClientSession() as session:
        for _ in range(300):
            with contextlib.suppress(aiohttp.ClientError):
                async with session.post(
                    f"{url}/v1/completions", json=body
                ) as answer:
                    if answer.status == 200:
                        return
            await asyncio.sleep(0.1)
    raise TimeoutError("entry instance did not answer a model request in time")


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port
