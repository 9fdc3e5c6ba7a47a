"""HTTP server of a stand-in engine, for ``engines.http``."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
from typing import Any

import aiohttp
from aiohttp import web

from jujubewharf.engines import client
from jujubewharf.engines import receivers
from jujubewharf.standins import engine as engines

_STATUS_OF_FAULT = 409


class _HttpKvSource:
    """KV source that pulls from another engine process over HTTP."""

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self._url = f"http://{address}/export_kv"
        self._session = session

    async def export_kv(self, attempt_id: str) -> int:
        body = {"attempt_id": attempt_id}
        async with self._session.post(self._url, json=body) as response:
            answer = await response.json()
        if "fault" in answer:
            raise client.EngineError(client.EngineFault(answer["fault"]))
        return int(answer["kv_bytes"])


class _Sources(dict[str, engines.KvSource]):
    """Creates a KV source for any address."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        super().__init__()
        self._session = session

    def get(self, key: str, default: Any = None) -> Any:
        return _HttpKvSource(key, self._session)


class EngineServer:
    """HTTP server of one engine.

    Args:
        engine: Engine that handles the calls.
        session: HTTP session for pulling KV cache from other engines.
    """

    def __init__(
        self, engine: engines.Engine, session: aiohttp.ClientSession
    ) -> None:
        self._engine = engine
        engine.sources = _Sources(session)

    def app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(
            client_max_size=64_000_000, middlewares=[self._refuse_misdirected]
        )
        app.router.add_post("/decode", self._decode)
        app.router.add_post("/{verb}", self._call)
        return app

    @web.middleware
    async def _refuse_misdirected(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        name = self._engine.name
        if receivers.is_meant_for_other(name, request.headers):
            return web.Response(
                status=receivers.MISDIRECTED_STATUS,
                headers={receivers.REFUSED_BY: name},
            )
        return await handler(request)

    async def _call(self, request: web.Request) -> web.Response:
        body = await request.json()
        try:
            answer = await self._answer(request.match_info["verb"], body)
        except client.EngineError as error:
            return _fault_response(error)
        return web.json_response(answer)

    async def _answer(self, verb: str, body: dict[str, Any]) -> Any:
        engine = self._engine
        match verb:
            case "reserve":
                await engine.reserve(_decode_attempt(body))
                return {}
            case "prefill":
                job = client.PrefillJob(
                    body["model"], body["prompt"], body["priority"]
                )
                done = await engine.prefill(_decode_attempt(body), job)
                return dataclasses.asdict(done)
            case "import_kv":
                kv_bytes = await engine.import_kv(
                    _decode_attempt(body), body["source_address"]
                )
                return {"kv_bytes": kv_bytes}
            case "export_kv":
                return {"kv_bytes": await engine.export_kv(body["attempt_id"])}
            case "release":
                await engine.release(body["attempt_id"])
                return {}
            case "load":
                return dataclasses.asdict(await engine.load())
            case "held":
                return [_encode_held(item) for item in await engine.held()]
            case "events":
                events = await engine.cache_events(body["after_sequence"])
                return [dataclasses.asdict(event) for event in events]
            case "counts":
                return _encode_counts(engine.counts)
            case "order":
                kind = client.OrderKind(body.pop("kind"))
                await engine.order(client.Order(kind=kind, **body))
                return {}
        raise web.HTTPNotFound

    async def _decode(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        attempt = _decode_attempt(body)
        job = client.DecodeJob(
            model=body["model"],
            prompt=body["prompt"],
            max_tokens=body["max_tokens"],
            first_index=body["first_index"],
            delivered=tuple(body["delivered"]),
            priority=body["priority"],
        )
        response = web.StreamResponse()
        try:
            async for chunk in self._engine.decode(attempt, job):
                if not response.prepared:
                    await response.prepare(request)
                line = json.dumps(dataclasses.asdict(chunk)) + "\n"
                await response.write(line.encode())
        except client.EngineError as error:
            if not response.prepared:
                return _fault_response(error)
            assert request.transport is not None
            request.transport.abort()
        return response


def _decode_attempt(body: dict[str, Any]) -> client.Attempt:
    return client.Attempt(body["attempt_id"], body["owner"])


def _encode_counts(counts: engines.Counts) -> dict[str, Any]:
    return {
        field.name: getattr(counts, field.name)
        for field in dataclasses.fields(counts)
    }


def _encode_held(item: client.HeldAttempt) -> dict[str, Any]:
    return dataclasses.asdict(item.attempt) | {"age_ms": item.age_ms}


def _fault_response(error: client.EngineError) -> web.Response:
    body = {"fault": error.fault.value}
    return web.json_response(body, status=_STATUS_OF_FAULT)
