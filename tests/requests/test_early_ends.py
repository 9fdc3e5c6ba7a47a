"""Answers of sound engines that pause, and what ends them before."""

from __future__ import annotations

import asyncio
import contextlib
import types

import aiohttp
from aiohttp import web
import pytest

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import http
from jujubewharf.requests import answer as answers
from jujubewharf.requests import model_request
from jujubewharf.requests import request_runner
from jujubewharf.routing import jobs

SERVICE = resources.Service("svc", resources.ServiceKind.MODEL, model="judge")
SILENCE_CHECK_MS = 30.0
# Several checks long.
PAUSE_S = 0.3


@contextlib.asynccontextmanager
async def _paused_engine():
    """An engine that pauses between its two tokens; yields its address."""

    async def reserve(request: web.Request) -> web.Response:
        return web.json_response({})

    async def decode(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        first = b'{"first_index": 0, "tokens": ["a"], "is_last": false}\n'
        await response.write(first)
        await asyncio.sleep(PAUSE_S)
        last = b'{"first_index": 1, "tokens": ["b"], "is_last": true}\n'
        await response.write(last)
        return response

    app = web.Application()
    app.router.add_post("/decode", decode)
    for operation in ("reserve", "release"):
        app.router.add_post(f"/{operation}", reserve)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    try:
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        yield f"127.0.0.1:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()


class _OneEngine:
    """Fleet and placer of one engine."""

    def __init__(self, endpoint, client) -> None:
        self._endpoint = endpoint
        self._view = types.SimpleNamespace(
            endpoint=endpoint, client=client, report=None
        )

    def view(self, name):
        return self._view

    @contextlib.asynccontextmanager
    async def place(self, job):
        yield jobs.Choice(self._endpoint)

    def record_failure(self, engine, fault):
        pass


async def _answer(address: str, *, is_repeatable: bool) -> answers.Answer:
    clock = clocks.Clock()
    endpoint = resources.Endpoint(
        "d1", "svc", address, "a", resources.Role.BOTH
    )
    async with aiohttp.ClientSession() as session:
        client = http.HttpEngineClient("d1", address, session, clock)
        engine = _OneEngine(endpoint, client)
        runner = request_runner.RequestRunner("e1", engine, engine, clock)
        request = model_request.ModelRequest(
            request_id="r1",
            key="r1",
            body_digest="",
            account="",
            service=SERVICE,
            prompt="hi",
            max_tokens=2,
            arrived_ms=clock.now_ms(),
            deadline_ms=20_000.0,
            is_repeatable=is_repeatable,
        )
        answer = answers.Answer(clock)
        await runner.run(request, answer)
        await runner.releaser.flush(5_000.0)
    return answer


@pytest.mark.parametrize("is_repeatable", [True, False])
async def test_silence_of_the_only_engine_ends_no_answer(
    monkeypatch, is_repeatable
):
    """Nothing else can take the answer over, and its engine goes on.

    One that isn't repeatable can't go on anywhere else at all; of one that is,
    the third silence would count as the third crash.
    """
    monkeypatch.setattr(http, "_SILENCE_CHECK_MS", SILENCE_CHECK_MS)
    async with _paused_engine() as address:
        answer = await _answer(address, is_repeatable=is_repeatable)
    assert answer.texts == ["a", "b"]
    assert isinstance(answer.end, model_request.Finished)
