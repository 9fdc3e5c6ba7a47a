"""Stand-in for the platform's weight store."""

from __future__ import annotations

from aiohttp import web

from jujubewharf.platform import weights


class MemoryWeightStore:
    """In-process implementation of ``platform.weights.WeightStore``."""

    def __init__(self, rate_bytes_per_s: float = 2e9) -> None:
        self.is_down = False
        self.active_fetches = 0
        self._rate_bytes_per_s = rate_bytes_per_s

    async def status(self) -> weights.WeightStatus:
        """Returns rate and load; see ``weights.WeightStore``."""
        if self.is_down:
            raise weights.WeightStoreUnavailableError("weight store is down")
        return weights.WeightStatus(self._rate_bytes_per_s, self.active_fetches)


class WeightStoreServer:
    """HTTP server of a weight store."""

    def __init__(self, store: MemoryWeightStore) -> None:
        self._store = store

    def app(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application()
        app.router.add_get("/status", self._status)
        return app

    async def _status(self, request: web.Request) -> web.Response:
        status = await self._store.status()
        return web.json_response(
            {
                "rate_bytes_per_s": status.rate_bytes_per_s,
                "active_fetches": status.active_fetches,
            }
        )
