"""Answers that come before their request is sent, and end within it."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf.engines import client
from jujubewharf.engines import endpoint_client
from jujubewharf.forwarding import calls
from tests.users_platform import engine_calls
from tests.users_platform import raw_server

LOST = client.EngineFault.LOST
# Long enough that most of it is still unsent when the answer comes.
_LONG_BODY = bytes(8_000_000)
_EARLY = engine_calls.good(length=False, body=b"part of it")


async def _serve_early(ends_by_reset_after_s: float | None, *, reads: bool):
    """Answers long uploads before they are read, and probes soundly."""

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"POST"):
            writer.write(raw_server.answer())
            await writer.drain()
            return
        if reads:
            await reader.readexactly(len(_LONG_BODY))
        writer.write(_EARLY)
        await writer.drain()
        if ends_by_reset_after_s != 0.0:
            writer.write_eof()
            await asyncio.sleep(ends_by_reset_after_s or 0.0)
        if ends_by_reset_after_s is not None:
            raw_server._reset(writer)
        writer.close()

    return await asyncio.start_server(serve, raw_server.HOST, 0)


async def _body_of_chunks():
    for at in range(0, len(_LONG_BODY), 65_536):
        yield _LONG_BODY[at : at + 65_536]


async def _upload(address: str) -> bytes:
    sending = calls.OutboundRequest(engine_calls.call(body=_LONG_BODY), 1_000.0)
    async with engine_calls.connected() as engines:
        async with engines.send(
            engine_calls.endpoint(address), sending
        ) as reply:
            return b"".join([part async for part in reply.body])


async def _own_upload(address: str) -> bytes:
    async with engine_calls.plain_client() as caller:
        endpoint = engine_calls.plain_endpoint(address)
        call = endpoint_client.PlainCall(
            "r1", "POST", "/", body=_body_of_chunks()
        )
        async with caller.call(endpoint, call) as reply:
            return b"".join([part async for part in reply.body])


# The part that an engine had sent before it reset the connection was passed on
# as its whole answer.
@pytest.mark.parametrize("upload", [_upload, _own_upload])
@pytest.mark.parametrize("reset_after_s", [0.0, 0.05, 0.3, None])
async def test_early_answer_cut_within_the_upload_is_lost(
    upload, reset_after_s
):
    server = await _serve_early(reset_after_s, reads=False)
    port = server.sockets[0].getsockname()[1]
    try:
        with pytest.raises(client.EngineError) as caught:
            await upload(f"{raw_server.HOST}:{port}")
    finally:
        server.close()
    assert caught.value.fault is LOST


async def test_answer_after_the_whole_upload_is_whole():
    server = await _serve_early(None, reads=True)
    port = server.sockets[0].getsockname()[1]
    try:
        assert await _upload(f"{raw_server.HOST}:{port}") == b"part of it"
    finally:
        server.close()
