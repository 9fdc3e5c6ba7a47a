"""Stand-in for the platform's live list, with a configurable lag."""

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
    """In-process implementation of ``platform.live_list.LiveList``.

    Args:
        clock: Clock of the simulation.
        lag_ms: Time until a published list becomes visible.

    Attributes:
        is_down: Whether all calls fail.
        lag_ms: Time until a published list becomes visible.
    """

    def __init__(self, clock: clocks.Clock, *, lag_ms: float = 0.0) -> None:
        self.is_down = False
        self._clock = clock
        self.lag_ms = lag_ms
        self._versions: list[_Version] = []

    def publish(self, members: tuple[live_list.LiveMember, ...]) -> None:
        """Publishes the members; readers see them after ``lag_ms``."""
        at_ms = self._clock.now_ms() if self._versions else float("-inf")
        self._versions.append(_Version(at_ms, members))

    async def fetch(self) -> tuple[live_list.LiveMember, ...]:
        """Fetches the members; see ``live_list.LiveList``."""
        if self.is_down:
            raise live_list.LiveListUnavailableError("live list is down")
        until_ms = self._clock.now_ms() - self.lag_ms
        visible: tuple[live_list.LiveMember, ...] = ()
        for version in self._versions:
            if version.at_ms <= until_ms:
                visible = version.members
        return visible


class LiveListServer:
    """HTTP server of a live list; ``POST /list`` publishes members."""

    def __init__(self, memory_list: MemoryLiveList) -> None:
        self._list = memory_list

    def app(self) -> web.Application:
        """Returns the aiohttp application."""
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
