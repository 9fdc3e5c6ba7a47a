"""Who handles which message here; also serves what is sent to oneself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubewharf.peers import counters
from jujubewharf.peers import link as links
from jujubewharf.peers import messages
from jujubewharf.peers import network

if TYPE_CHECKING:
    from jujubewharf import clock as clocks


class Handlers:
    """The handlers of one instance.

    Args:
        instance: Its name.
        clock: Time.
        counts: Where to count.
    """

    def __init__(
        self,
        instance: str,
        clock: clocks.Clock,
        counts: counters.PeerCounters,
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._counts = counts
        self._handlers: dict[type[messages.Message], network.Handler] = {}

    def add(
        self, message_type: type[messages.Message], handler: network.Handler
    ) -> None:
        """Names the handler of a message type."""
        self._handlers[message_type] = handler

    async def dispatch(
        self, peer: str, message: messages.Message
    ) -> messages.Message | None:
        """Has a message handled.

        Raises:
            HandlerMissingError: Nobody handles it here.
        """
        handler = self._handlers.get(type(message))
        if handler is None:
            raise links.HandlerMissingError
        return await handler(peer, message)

    async def ask_myself(
        self, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Answers what this instance asks itself.

        Raises:
            PeerError: There was no answer.
        """
        refused = network.PeerError(network.PeerFault.REFUSED, self._instance)
        try:
            async with self._clock.timeout_ms(timeout_ms):
                answer = await self.dispatch(self._instance, message)
        except TimeoutError as error:
            raise network.PeerError(
                network.PeerFault.LOST, self._instance
            ) from error
        except links.HandlerMissingError as error:
            raise refused from error
        if answer is None:
            raise refused
        return answer

    async def tell_myself(self, message: messages.Message) -> None:
        """Handles what this instance tells itself."""
        try:
            await self.dispatch(self._instance, message)
        except links.HandlerMissingError:
            self._counts.drop(counters.Drop.NO_HANDLER)
