"""The platform's live list in miniature, lagging behind the truth."""

from __future__ import annotations

import dataclasses

from aiohttp import web

from jujubewharf import clock as clocks
from jujubewharf.platform import live_list


@dataclasses.dataclass(frozen=True, slots=True)
class _Version:
    at_ms: float
    members: tuple[live_list.LiveMember, ...]


class MemoryLiveList:
    """Speaks ``platform.live_list.LiveList`` in process.

    Args:
        clock: Time.
        lag_ms: How far the list lies behind.

    Attributes:
        is_down: Refuses everything while true.
        lag_ms: How far the list lies behind.
    """

    def __init__(self, clock: clocks.Clock, *, lag_ms: float = 0.0) -> None:
        self.is_down = False
        self._clock = clock
        self.lag_ms = lag_ms
        self._versions: list[_Version] = []

    def publish(self, members: tuple[live_list.LiveMember, ...]) -> None:
        """Sets the truth; readers see it after the lag."""
        at_ms = self._clock.now_ms() if self._versions else float("-inf")
        self._versions.append(_Version(at_ms, members))

    async def fetch(self) -> tuple[live_list.LiveMember, ...]:
        """Reads the list; see ``live_list.LiveList``."""
        if self.is_down:
            raise live_list.LiveListUnavailableError("down")
        until_ms = self._clock.now_ms() - self.lag_ms
        seen: tuple[live_list.LiveMember, ...] = ()
        for version in self._versions:
            if version.at_ms <= until_ms:
                seen = version.members
        return seen


class LiveListFace:
    """The HTTP face; ``POST /list`` publishes."""

    def __init__(self, memory_list: MemoryLiveList) -> None:
        self._list = memory_list

    def app(self) -> web.Application:
        """The aiohttp application."""
        app = web.Application()
        app.router.add_get("/list", self._get)
        app.router.add_post("/list", self._post)
        return app

    async def _get(self, request: web.Request) -> web.Response:
        try:
            members = await self._list.fetch()
        except live_list.LiveListUnavailableError:
            return web.Response(status=503)
        return web.json_response(
            [
                dataclasses.asdict(member) | {"state": member.state.value}
                for member in members
            ]
        )

    async def _post(self, request: web.Request) -> web.Response:
        items = await request.json()
        members = tuple(
            live_list.LiveMember(
                **item | {"state": live_list.LiveState(item["state"])}
            )
            for item in items
        )
        self._list.publish(members)
        return web.json_response({})
