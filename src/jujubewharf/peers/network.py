"""Peer network interface used by other packages.

``ask`` sends a request and waits for its reply; ``tell`` sends a one-way
message; ``handle`` registers the handler of a message type. Both kinds of
sending fail at once for a peer that is known to be unreachable.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import enum
from typing import Any
from typing import Protocol

from jujubewharf.peers import messages

Handler = Callable[[str, Any], Awaitable[messages.Message | None]]


class PeerFault(enum.Enum):
    """Reason why a request got no reply.

    ``UNREACHABLE``: the request was not sent. ``LOST``: the request was sent
    and may have been handled. ``REFUSED``: the peer refused the request.
    """

    UNREACHABLE = "unreachable"
    LOST = "lost"
    REFUSED = "refused"


class PeerError(Exception):
    """A request to a peer got no reply.

    Args:
        fault: Reason of the failure.
        peer: Name of the peer.
    """

    def __init__(self, fault: PeerFault, peer: str) -> None:
        super().__init__(f"{peer}: {fault.value}")
        self.fault = fault
        self.peer = peer


class PeerNetwork(Protocol):
    """Sends messages to other instances and receives theirs."""

    @property
    def instance(self) -> str:
        """Name of this instance."""
        ...

    async def ask(
        self, peer: str, message: messages.Message, *, timeout_ms: float
    ) -> messages.Message:
        """Sends a request and waits for its reply.

        Raises:
            PeerError: There was no reply; see ``PeerFault``.
        """
        ...

    def tell(self, peer: str, message: messages.Message) -> bool:
        """Sends a one-way message.

        Returns:
            Whether the message was queued. Delivery is not guaranteed.
        """
        ...

    def handle(
        self, message_type: type[messages.Message], handler: Handler
    ) -> None:
        """Registers the handler of a message type.

        The handler is called with the sender's name and the message.
        """
        ...
