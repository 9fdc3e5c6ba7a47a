"""Forwarding of plain requests over loopback, and its failures."""

from __future__ import annotations

import asyncio
import gzip

import aiohttp
from aiohttp import web
import multidict
import pytest

from jujubewharf.configuration import resources
from tests import loopback
from tests.users_platform import raw_server

BIG = bytes(range(256)) * 4_096


class _Shop:
    """A plain endpoint whose behavior depends on the path."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.seen: list[multidict.CIMultiDictProxy[str]] = []
        self.body_started = asyncio.Event()

    def app(self) -> web.Application:
        app = web.Application(client_max_size=64_000_000)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        path = request.match_info["path"]
        self.calls.append(f"{request.method} {path}")
        self.seen.append(request.headers)
        match path:
            case "sized":
                return web.Response(body=b"12345")
            case "empty":
                return web.Response(status=204)
            case "raw":
                return web.Response(body=await request.content.read())
            case "moved":
                raise web.HTTPFound("/elsewhere")
            case "hang-up":
                request.transport.abort()
                return web.Response()
            case "half":
                response = web.StreamResponse()
                await response.prepare(request)
                await response.write(b"half")
                request.transport.abort()
                return response
            case "upload":
                self.body_started.set()
        body = await request.read()
        headers = {"X-Shop": "open", "Connection": "X-Secret", "X-Secret": "1"}
        return web.Response(body=body, headers=headers)


async def _deploy(deployment: loopback.Loopback) -> _Shop:
    shop = _Shop()
    address = await deployment.listen(shop.app(), auto_decompress=False)
    await _declare(deployment, address)
    return shop


async def _declare(deployment: loopback.Loopback, address: str) -> None:
    """Declares an endpoint and waits until it is in force."""
    service = resources.Service(
        "photos", resources.ServiceKind.PLAIN, repeatable=False
    )
    endpoint = resources.Endpoint(
        "photo-1", "photos", address, "norte-a", resources.Role.PLAIN
    )
    await deployment.declare(service, endpoint)
    core = deployment.entry.core
    for _ in range(200):
        kind = resources.Kind.ENDPOINT
        if core.configuration.current.get(kind, "photo-1"):
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the configuration never came")


async def test_bodies_and_headers_are_forwarded_in_both_directions():
    async with loopback.deployed() as deployment:
        shop = await _deploy(deployment)
        url = f"{deployment.base}/s/photos"
        headers = {"Content-Encoding": "odd", "Authorization": "Bearer mine"}
        async with deployment.session.post(
            f"{url}/a%2Fb?x=%20y", data=BIG, headers=headers
        ) as answer:
            assert await answer.read() == BIG
            assert answer.headers["X-Shop"] == "open"
            assert "X-Secret" not in answer.headers
            assert answer.headers["X-Request-Id"]
        seen = shop.seen[0]
        assert seen["Content-Encoding"] == "odd"
        assert "Authorization" not in seen
        assert seen["X-Attempt"] == f"{seen['X-Request-Id']}.1"
        async with deployment.session.get(
            f"{url}/moved", allow_redirects=False
        ) as answer:
            assert answer.status == 302
            assert answer.headers["Location"] == "/elsewhere"


async def test_answers_without_a_body_keep_their_headers():
    async with loopback.deployed() as deployment:
        await _deploy(deployment)
        url = f"{deployment.base}/s/photos"
        async with deployment.session.head(f"{url}/sized") as answer:
            assert answer.status == 200
            assert answer.headers["Content-Length"] == "5"
        async with deployment.session.get(f"{url}/empty") as answer:
            assert answer.status == 204
            assert await answer.read() == b""
        async with deployment.session.get(f"{url}/sized") as answer:
            assert await answer.read() == b"12345"


async def test_compressed_body_is_forwarded_unchanged():
    async with loopback.deployed() as deployment:
        shop = await _deploy(deployment)
        packed = gzip.compress(b"stock " * 100)
        async with deployment.session.post(
            f"{deployment.base}/s/photos/raw",
            data=packed,
            headers={"Content-Encoding": "gzip"},
        ) as answer:
            assert await answer.read() == packed
        assert shop.seen[0]["Content-Encoding"] == "gzip"


async def test_request_is_not_resent_after_a_broken_connection():
    """A request whose connection breaks is sent once; its outcome is unknown.

    By default, aiohttp's client retries PUT and DELETE requests.
    """
    async with loopback.deployed() as deployment:
        shop = await _deploy(deployment)
        for method in ("PUT", "DELETE", "POST"):
            async with deployment.session.request(
                method, f"{deployment.base}/s/photos/hang-up"
            ) as answer:
                error = (await answer.json())["error"]
            assert answer.status == 504
            assert error["code"] == "outcome_unknown"
            assert answer.headers["X-Should-Retry"] == "false"
        assert shop.calls == ["PUT hang-up", "DELETE hang-up", "POST hang-up"]


async def test_truncated_response_is_not_completed():
    async with loopback.deployed() as deployment:
        await _deploy(deployment)
        with pytest.raises(aiohttp.ClientError):
            async with deployment.session.get(
                f"{deployment.base}/s/photos/half"
            ) as answer:
                assert answer.status == 200
                await answer.read()


# Such an answer ends with its connection; a part of it looked whole.
@pytest.mark.parametrize("end", [raw_server.RESET, raw_server.CRASH])
async def test_response_without_length_that_is_cut_is_not_completed(end):
    part = raw_server.answer(body=b"half", length=False)
    async with raw_server.serving(lambda r: [part, end]) as (_, address):
        async with loopback.deployed() as deployment:
            await _declare(deployment, address)
            with pytest.raises(aiohttp.ClientError):
                async with deployment.session.get(
                    f"{deployment.base}/s/photos/any"
                ) as answer:
                    assert answer.status == 200
                    await answer.read()


async def test_response_without_length_arrives_whole():
    whole = raw_server.answer(body=b"all of it", length=False)
    async with raw_server.serving(lambda r: [whole]) as (_, address):
        async with loopback.deployed() as deployment:
            await _declare(deployment, address)
            async with deployment.session.get(
                f"{deployment.base}/s/photos/any"
            ) as answer:
                assert await answer.read() == b"all of it"


async def test_stalled_request_body_is_refused_and_frees_the_endpoint():
    """A caller that stops in the middle of its body gets a 408.

    The endpoint has received a part, so the request may have run.
    """
    async with loopback.deployed(body_timeout_ms=100) as deployment:
        shop = await _deploy(deployment)

        async def half():
            yield b"half"
            await shop.body_started.wait()
            await asyncio.sleep(30)

        async with deployment.session.post(
            f"{deployment.base}/s/photos/upload", data=half()
        ) as answer:
            error = (await answer.json())["error"]
        assert answer.status == 408
        assert error["code"] == "slow_body"
        assert error["ran"] == "unknown"
        assert deployment.entry.core.plain_limits.in_flight("photos") == 0


async def test_disconnected_caller_ends_the_call():
    async with loopback.deployed() as deployment:
        shop = await _deploy(deployment)
        host, port = deployment.base.removeprefix("http://").split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        head = "POST /s/photos/upload HTTP/1.1\r\nHost: x\r\n"
        writer.write(f"{head}Content-Length: 9\r\n\r\nhalf".encode())
        await asyncio.wait_for(shop.body_started.wait(), 5)
        limits = deployment.entry.core.plain_limits
        assert limits.in_flight("photos") == 1
        writer.transport.abort()
        for _ in range(200):
            if not limits.in_flight("photos"):
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the call is still in flight")
