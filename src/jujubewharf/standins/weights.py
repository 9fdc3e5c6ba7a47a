"""The platform's weight store in miniature: a rate, shared by fetches."""

from __future__ import annotations

from aiohttp import web

from jujubewharf.platform import weights


class MemoryWeightStore:
    """Speaks ``platform.weights.WeightStore`` in process."""

    def __init__(self, rate_bytes_per_s: float = 2e9) -> None:
        self.is_down = False
        self.active_fetches = 0
        self._rate_bytes_per_s = rate_bytes_per_s

    async def status(self) -> weights.WeightStatus:
        """Reads rate and load; see ``weights.WeightStore``."""
        if self.is_down:
            raise weights.WeightStoreUnavailableError("down")
        return weights.WeightStatus(self._rate_bytes_per_s, self.active_fetches)


class WeightStoreFace:
    """The HTTP face."""

    def __init__(self, store: MemoryWeightStore) -> None:
        self._store = store

    def app(self) -> web.Application:
        """The aiohttp application."""
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
