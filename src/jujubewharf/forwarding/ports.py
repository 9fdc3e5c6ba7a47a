"""Interfaces to engines and instances that forwarding requires."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import Protocol

from jujubewharf.configuration import resources
from jujubewharf.engines import liveness
from jujubewharf.engines import notices
from jujubewharf.engines import process_watch
from jujubewharf.forwarding import calls
from jujubewharf.peers import streams
from jujubewharf.platform import groups


@dataclasses.dataclass(frozen=True, slots=True)
class RoleOrder:
    """An order to change an engine's role.

    Attributes:
        role: Requested role.
        holder: Name of the instance that holds the lease.
        fence: Fencing token of the lease.
    """

    role: resources.Role
    holder: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAdapters:
    """Interfaces for connecting instances with each other.

    Attributes:
        leaders: Group of the instances that can lead; its contacts are
            addresses.
        transport: Opens and accepts connections.
        address: Address on which this instance accepts connections.
    """

    leaders: groups.Group
    transport: streams.Transport
    address: str


class Backends(Protocol):
    """Client for engines and plain endpoints.

    All calls raise ``client.EngineError`` on failure; its fault tells whether
    the endpoint may have started to process the request.
    """

    def listen(self, listener: notices.Listener) -> None:
        """Registers a callback for notices in answers.

        The callback receives the notices of every answer, including refusals
        and answers to status calls, before the answer is returned.
        """
        ...

    def send(
        self, endpoint: resources.Endpoint, outbound: calls.OutboundRequest
    ) -> contextlib.AbstractAsyncContextManager[calls.Reply]:
        """Sends a request; leaving the context cancels it on the engine."""
        ...

    async def prefill(
        self, endpoint: resources.Endpoint, outbound: calls.OutboundRequest
    ) -> calls.PrefillSource:
        """Runs prefill only; the engine keeps the result for a short time."""
        ...

    async def drop_source(
        self, endpoint: resources.Endpoint, source: calls.PrefillSource
    ) -> None:
        """Frees a prefill result that will not be fetched."""
        ...

    async def reserve(
        self, endpoint: resources.Endpoint, *, tokens: int, ttl_ms: float
    ) -> str:
        """Reserves a slot and memory.

        Args:
            endpoint: The engine.
            tokens: Size of the memory in tokens.
            ttl_ms: Time until the reservation expires, in milliseconds.

        Returns:
            Name of the reservation.
        """
        ...

    async def drop_reservation(
        self, endpoint: resources.Endpoint, hold: str
    ) -> None:
        """Releases a reservation."""
        ...

    async def is_changing(self, endpoint: resources.Endpoint) -> bool:
        """Returns whether an engine is changing roles and accepts no work."""
        ...

    async def is_reachable(self, endpoint: resources.Endpoint) -> bool:
        """Returns whether a connection can be opened; sends nothing on it.

        Never raises.
        """
        ...

    async def has_crashed(self, endpoint: resources.Endpoint) -> bool:
        """Returns whether an endpoint's process no longer exists.

        Returns ``False`` if this cannot be determined. Never raises.
        """
        ...

    async def process_state(
        self, endpoint: resources.Endpoint
    ) -> liveness.ProcessState:
        """Returns whether an endpoint's process exists now. Never raises.

        It runs only if it replied; that a connection is accepted shows nothing.
        """
        ...

    def watch_process(
        self, endpoint: resources.Endpoint
    ) -> process_watch.ProcessWatch:
        """Watches the process of an endpoint that has begun an answer."""
        ...

    async def order_role(
        self, endpoint: resources.Endpoint, order: RoleOrder
    ) -> None:
        """Orders an engine to change its role; idempotent."""
        ...
