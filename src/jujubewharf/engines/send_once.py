"""Client middleware that prevents a call from being sent twice."""

from __future__ import annotations

import aiohttp


class SendOnce:
    """Client middleware that prevents a call from being sent twice.

    aiohttp resends GET, PUT and DELETE if the connection breaks before the
    response. A call that must not be repeated would then run twice unnoticed.
    Retries are left to ``requests.plain``.
    """

    def __init__(self) -> None:
        self._was_sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Forwards the first send and fails any further one."""
        if self._was_sent:
            raise aiohttp.ServerDisconnectedError
        self._was_sent = True
        return await handler(request)
