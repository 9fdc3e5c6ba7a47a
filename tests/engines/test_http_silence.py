"""An engine that stops sending within a response counts as lost."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web
import pytest

from jujubewharf import clock as clocks
from jujubewharf.engines import client
from jujubewharf.engines import http

JOB = client.DecodeJob("judge", "hi", 5)


async def test_silent_engine_raises_lost(monkeypatch):
    """The engine sends one token and then keeps the connection open.

    The caller must get an error instead of waiting for the request's deadline.
    """
    monkeypatch.setattr(http, "_SILENCE_CHECK_MS", 30.0)
    is_over = asyncio.Event()

    async def decode(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        line = b'{"first_index": 0, "tokens": ["a"], "is_last": false}'
        await response.write(line + b"\n")
        await is_over.wait()
        return response

    app = web.Application()
    app.router.add_post("/decode", decode)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    address = f"127.0.0.1:{runner.addresses[0][1]}"
    seen = []
    try:
        async with aiohttp.ClientSession() as session:
            engine = http.HttpEngineClient(
                "d1", address, session, clocks.Clock()
            )
            with pytest.raises(client.EngineError) as caught:
                async with asyncio.timeout(10):
                    attempt = client.Attempt("r1.1", "e1")
                    async for chunk in engine.decode(attempt, JOB):
                        seen.append(chunk.tokens)
    finally:
        is_over.set()
        await runner.cleanup()
    assert caught.value.fault is client.EngineFault.LOST
    assert seen == [("a",)]
