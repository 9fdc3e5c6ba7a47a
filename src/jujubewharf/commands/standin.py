"""``jujubewharf standin``: stand-ins for engines and platform services."""

from __future__ import annotations

import asyncio
import json
import zlib

import aiohttp
from aiohttp import web
import numpy as np
import typer

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.standins import endpoint as endpoints
from jujubewharf.standins import engine as engines
from jujubewharf.standins import engine_http
from jujubewharf.standins import live_list
from jujubewharf.standins import log
from jujubewharf.standins import weights

app = typer.Typer(no_args_is_help=True, help=__doc__)


async def serve(application: web.Application, port: int) -> None:
    """Serves an application on loopback until cancelled.

    Prints the port as one line of JSON.
    """
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port)
    await site.start()
    print(json.dumps({"port": runner.addresses[0][1]}), flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()


@app.command("engine")
def engine(
    name: str,
    port: int = 0,
    role: str = resources.Role.BOTH.value,
    model: str = "",
    fencing: bool = True,
    slots: int = 20,
    step_ms: float = 20.0,
    step_ms_per_request: float = 1.0,
    prefill_ms_per_token: float = 0.2,
    report_lag_ms: float = 500.0,
) -> None:
    """Run a model engine."""
    capabilities = resources.Capabilities(checks_fencing=fencing)
    spec = engines.EngineSpec(
        role=role,
        model=model,
        capabilities=capabilities,
        slots=slots,
        step_base_ms=step_ms,
        step_ms_per_request=step_ms_per_request,
        prefill_ms_per_token=prefill_ms_per_token,
        report_lag_ms=report_lag_ms,
    )
    asyncio.run(_serve_engine(name, spec, port))


async def _serve_engine(name: str, spec: engines.EngineSpec, port: int) -> None:
    rng = np.random.default_rng(zlib.crc32(name.encode()))
    served = engines.Engine(name, spec, clocks.Clock(), rng)
    async with aiohttp.ClientSession() as session:
        await serve(engine_http.EngineServer(served, session).app(), port)


@app.command("endpoint")
def endpoint(name: str, port: int = 0, answer_ms: float = 5.0) -> None:
    """Run an endpoint of a plain service."""
    served = endpoints.PlainEndpoint(name, clocks.Clock(), answer_ms=answer_ms)
    asyncio.run(serve(served.app(), port))


@app.command("log")
def platform_log(port: int = 0, retention_ms: float | None = None) -> None:
    """Run the platform's log."""
    served = log.MemoryLog(clocks.Clock(), retention_ms=retention_ms)
    asyncio.run(serve(log.LogServer(served).app(), port))


@app.command("live-list")
def platform_live_list(port: int = 0, lag_ms: float = 0.0) -> None:
    """Run the platform's live list."""
    served = live_list.MemoryLiveList(clocks.Clock(), lag_ms=lag_ms)
    asyncio.run(serve(live_list.LiveListServer(served).app(), port))


@app.command("weight-store")
def platform_weights(port: int = 0) -> None:
    """Run the platform's weight store."""
    served = weights.MemoryWeightStore()
    asyncio.run(serve(weights.WeightStoreServer(served).app(), port))
