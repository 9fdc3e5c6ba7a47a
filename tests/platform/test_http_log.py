"""Errors of the log client for appends that were not acknowledged."""

from __future__ import annotations

import aiohttp
from aiohttp import web
import pytest

from jujubewharf import clock as clocks
from jujubewharf.platform import http_log
from jujubewharf.platform import log


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (400, log.LogUnavailableError),
        (503, log.LogUnavailableError),
        (500, log.AppendUnknownError),
        (502, log.AppendUnknownError),
        (504, log.AppendUnknownError),
    ],
)
async def test_only_a_refusal_means_that_nothing_was_appended(status, error):
    """Only a refusal is reported as not appended.

    After a 5xx of a gateway the records may still have been appended.
    """

    async def refuse(_: web.Request) -> web.Response:
        return web.Response(status=status)

    app = web.Application()
    app.router.add_post("/append", refuse)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    url = f"http://127.0.0.1:{runner.addresses[0][1]}"
    try:
        async with aiohttp.ClientSession() as session:
            client = http_log.HttpLog(url, session, clocks.Clock())
            with pytest.raises(error):
                await client.append("stream", [b"record"])
    finally:
        await runner.cleanup()
