"""Dispatches messages to handlers, including those an instance sends itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jujubewharf.peers import counters
from jujubewharf.peers import link as links
from jujubewharf.peers import messages
from jujubewharf.peers import network

if TYPE_CHECKING:
    from jujubewharf import clock as clocks


class Handlers:
    """Message handlers of one instance.

    Args:
        instance: Name of the instance.
        clock: Source of time.
        counts: Counters of the instance.
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
        """Registers the handler of a message type."""
        self._handlers[message_type] = handler

    async def dispatch(
        self, peer: str, message: messages.Message
    ) -> messages.Message | None:
        """Passes a message to its handler.

        Args:
            peer: Name of the sending instance.
            message: The message.

        Returns:
            The handler's reply, ``None`` if it has none.

        Raises:
            HandlerMissingError: No handler is registered for the type.
        """
        handler = self._handlers.get(type(message))
        if handler is None:
            raise links.HandlerMissingError
        return await handler(peer, message)

    async def ask_local(
        self, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        """Handles a request that this instance sends to itself.

        Raises:
            PeerError: The handler gave no reply in time.
        """
        refusal = network.PeerError(network.PeerFault.REFUSED, self._instance)
        try:
            async with self._clock.timeout_ms(timeout_ms):
                reply = await self.dispatch(self._instance, message)
        except TimeoutError as error:
            raise network.PeerError(
                network.PeerFault.LOST, self._instance
            ) from error
        except links.HandlerMissingError as error:
            raise refusal from error
        if reply is None:
            raise refusal
        return reply

    async def tell_local(self, message: messages.Message) -> None:
        """Handles a one-way message that this instance sends to itself."""
        try:
            await self.dispatch(self._instance, message)
        except links.HandlerMissingError:
            self._counts.count_drop(counters.DropReason.NO_HANDLER)
