"""The log's client: what may be said of an append that was not acknowledged."""

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
    """A gateway answers 502 or 504 after the log has taken the records.

    Were that told as not reached, an operator would be told that a change
    did not run which is in force a moment later.
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
