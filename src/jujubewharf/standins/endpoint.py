"""Stand-in endpoint of a plain service that echoes and counts requests."""

from __future__ import annotations

import collections

from aiohttp import web

from jujubewharf import clock as clocks
from jujubewharf.engines import receivers

_RUN_HEADER = "X-Request-Id"


class PlainEndpoint:
    """HTTP endpoint that echoes each request.

    Args:
        name: Name of the endpoint.
        clock: Clock that times the answers.
        answer_ms: Response time.

    Attributes:
        runs: Number of requests, by request id.
    """

    def __init__(
        self, name: str, clock: clocks.Clock, *, answer_ms: float = 5.0
    ) -> None:
        self.name = name
        self.runs: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._answer_ms = answer_ms

    def app(self) -> web.Application:
        """Returns the application; ``GET /-/runs`` returns the counts."""
        app = web.Application(client_max_size=64_000_000)
        app.router.add_get("/-/runs", self._runs)
        app.router.add_route("*", "/{path:.*}", self._echo)
        return app

    async def _runs(self, request: web.Request) -> web.Response:
        return web.json_response(self.runs)

    async def _echo(self, request: web.Request) -> web.Response:
        if receivers.is_meant_for_other(self.name, request.headers):
            return web.Response(
                status=receivers.MISDIRECTED_STATUS,
                headers={receivers.REFUSED_BY: self.name},
            )
        body = await request.text()
        self.runs[request.headers.get(_RUN_HEADER, "")] += 1
        await self._clock.sleep_ms(self._answer_ms)
        return web.json_response(
            {
                "endpoint": self.name,
                "method": request.method,
                "path": request.path_qs,
                "body": body,
            }
        )
