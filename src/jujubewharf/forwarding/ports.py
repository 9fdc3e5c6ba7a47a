"""What forwarding needs of engines and of the platform's store."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import Protocol

from jujubewharf.configuration import resources
from jujubewharf.engines import notices
from jujubewharf.forwarding import calls
from jujubewharf.peers import streams
from jujubewharf.platform import groups


@dataclasses.dataclass(frozen=True, slots=True)
class RoleOrder:
    """An order to change role.

    Attributes:
        role: Role wanted.
        holder: Name of the instance that holds the lease.
        fence: Fencing token of the lease.
    """

    role: resources.Role
    holder: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAdapters:
    """What an instance needs to lead others or follow one.

    Attributes:
        leaders: The group of those who may lead; its contacts are addresses.
        transport: Dials and listens.
        address: Where this instance is dialled.
    """

    leaders: groups.Group
    transport: streams.Transport
    address: str


class Backends(Protocol):
    """Calls engines and plain endpoints.

    Every call raises ``client.EngineError``; its fault tells whether the
    endpoint may have begun to work.
    """

    def listen(self, listener: notices.Listener) -> None:
        """Calls back with what each answer says of its endpoint.

        Every answer counts, those to refused requests and to calls about an
        engine's state too. The listener hears of it before whoever asked.
        """
        ...

    def send(
        self, endpoint: resources.Endpoint, sending: calls.Sending
    ) -> contextlib.AbstractAsyncContextManager[calls.Reply]:
        """Sends a request; leaving the context ends the engine's work."""
        ...

    async def prefill(
        self, endpoint: resources.Endpoint, sending: calls.Sending
    ) -> calls.Source:
        """Reads the prompt only; the result waits there for a short time."""
        ...

    async def drop_source(
        self, endpoint: resources.Endpoint, source: calls.Source
    ) -> None:
        """Frees a prefill result that nobody will fetch."""
        ...

    async def reserve(
        self, endpoint: resources.Endpoint, *, tokens: int, ttl_ms: float
    ) -> str:
        """Reserves a slot and memory.

        Returns:
            The reservation's name.
        """
        ...

    async def drop_reservation(
        self, endpoint: resources.Endpoint, hold: str
    ) -> None:
        """Gives a reservation back."""
        ...

    async def is_changing(self, endpoint: resources.Endpoint) -> bool:
        """Whether an engine is carrying out an order, and so takes no work."""
        ...

    async def has_crashed(self, endpoint: resources.Endpoint) -> bool:
        """Whether no process is at an endpoint's address any more.

        ``False`` where that can't be told. Raises nothing.
        """
        ...

    async def order_role(
        self, endpoint: resources.Endpoint, order: RoleOrder
    ) -> None:
        """Asks an engine to change its role; again is harmless."""
        ...
