"""What other packages need of the peer links: ask, tell, handle.

A handler belongs to a message type. ``ask`` waits for the answer to its own
message; ``tell`` is fire and forget. Both are refused at once for a peer that
has no link, and the link's owner tries to dial again by itself.
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
    """Why a peer gave no answer.

    ``UNREACHABLE`` means that the message was not sent; ``LOST`` means that
    it may have been handled; ``REFUSED`` is the peer's own word.
    """

    UNREACHABLE = "unreachable"
    LOST = "lost"
    REFUSED = "refused"


class PeerError(Exception):
    """A peer gave no answer.

    Args:
        fault: Why.
        peer: Name of the instance.
    """

    def __init__(self, fault: PeerFault, peer: str) -> None:
        super().__init__(f"{peer}: {fault.value}")
        self.fault = fault
        self.peer = peer


class PeerNetwork(Protocol):
    """Messages to and from other instances."""

    @property
    def instance(self) -> str:
        """Name of this instance."""
        ...

    async def ask(
        self, peer: str, message: messages.Message, *, timeout_ms: float
    ) -> messages.Message:
        """Sends a message and waits for its answer.

        Raises:
            PeerError: There was none; see ``PeerFault``.
        """
        ...

    def tell(self, peer: str, message: messages.Message) -> bool:
        """Sends a message without an answer.

        Returns:
            Whether there was a link to send it on.
        """
        ...

    def handle(
        self, message_type: type[messages.Message], handler: Handler
    ) -> None:
        """Names the handler of a message type; called with the sender."""
        ...
