"""Calls to endpoints that a peer makes for another instance; 170 to 181.

Each stream carries one call. The calling instance sends one of the ``Relayed``
calls, and the peer answers with ``RelayRefused`` if it doesn't make it, else
with ``RelayedFault``, ``RelayedResult``, or ``RelayedHead`` and the parts of
the body up to ``RelayedEnd``. Closing the stream cancels the call.

A call states the size of a large body only. The peer answers with
``RelayedBodyWanted`` once it has memory for it, and the body follows in parts.
"""

from __future__ import annotations

import dataclasses
import enum

from jujubewharf.engines import notices as all_notices
from jujubewharf.forwarding import calls
from jujubewharf.peers import messages

# Capability of instances that make calls for peers, in their hellos.
CAPABILITY = "relay"
# Capability of instances that accept large bodies in parts.
BODY_CAPABILITY = "relay_bodies"
# Larger bodies follow in parts, once the peer has memory for them.
MAX_INLINE_BODY_BYTES = 65_536


class RefusalReason(enum.Enum):
    """Reason why a peer doesn't make a call; nothing was sent.

    ``CUT_OFF``: the peer reaches no endpoint of that kind itself.
    ``OUT_OF_REACH``: it reaches others, but not this one.
    ``MEMORY_FULL``: it has no memory for the body.
    """

    CUT_OFF = "cut_off"
    OUT_OF_REACH = "out_of_reach"
    UNKNOWN_ENDPOINT = "unknown_endpoint"
    DRAINING = "draining"
    BUSY = "busy"
    LEAVING = "leaving"
    MEMORY_FULL = "memory_full"


class CheckKind(enum.Enum):
    """Kind of a ``RelayedCheck``; see the methods of ``ports.Backends``."""

    CHANGING = "changing"
    CRASHED = "crashed"
    REACHABLE = "reachable"
    RUNNING = "running"


@messages.message(170)
@dataclasses.dataclass(frozen=True, slots=True)
class RelayedSend(messages.Message):
    """Sends a request to an endpoint.

    Attributes:
        endpoint: Name of the endpoint; the peer looks up its address.
        outbound: The request. Clock readings in it have no meaning.
        body_bytes: Size of a body that follows; 0 if the request has its body.
    """

    endpoint: str
    outbound: calls.OutboundRequest
    body_bytes: int = 0


@messages.message(171)
@dataclasses.dataclass(frozen=True, slots=True)
class RelayedPrefill(messages.Message):
    """Runs prefill only; attributes as in ``RelayedSend``."""

    endpoint: str
    outbound: calls.OutboundRequest
    body_bytes: int = 0


@messages.message(172)
@dataclasses.dataclass(frozen=True, slots=True)
class RelayedReservation(messages.Message):
    """Reserves a slot and memory on an engine.

    Attributes:
        endpoint: Name of the engine.
        tokens: Size of the memory in tokens.
        ttl_ms: Time until the reservation expires, in ms.
    """

    endpoint: str
    tokens: int
    ttl_ms: float


@messages.message(173)
@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRelease(messages.Message):
    """Releases a reservation or frees a prefill result.

    Attributes:
        endpoint: Name of the engine.
        hold: Name of the reservation; ``None`` to free a result.
        source: The prefill result; ``None`` to release a reservation.
    """

    endpoint: str
    hold: str | None = None
    source: calls.PrefillSource | None = None


@messages.message(174)
@dataclasses.dataclass(frozen=True, slots=True)
class RelayedCheck(messages.Message):
    """Checks the state of an endpoint."""

    endpoint: str
    kind: CheckKind


@messages.message(175)
@dataclasses.dataclass(frozen=True, slots=True)
class RelayRefused(messages.Message):
    """The peer doesn't make the call; nothing was sent.

    Attributes:
        reason: A value of ``RefusalReason``, or a reason of a newer build.
        addresses: Addresses of further instances that may make it.
    """

    reason: str
    addresses: tuple[str, ...] = ()


@messages.message(176)
@dataclasses.dataclass(frozen=True, slots=True)
class RelayedFault(messages.Message):
    """The call failed, or the body of its answer broke off.

    Attributes:
        fault: A value of ``engines.client.EngineFault``.
        detail: Details for logs.
        notices: What the endpoint said about its state.
    """

    fault: str
    detail: str = ""
    notices: tuple[all_notices.Notice, ...] = ()


@messages.message(177)
@dataclasses.dataclass(frozen=True, slots=True)
class RelayedHead(messages.Message):
    """Head of an endpoint's answer; its body follows in parts.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        length: Size of the body in bytes, if known.
        notices: What the endpoint said about its state.
        is_framed: Whether the end of the body shows that it is whole.
    """

    status: int
    headers: calls.Headers
    length: int | None = None
    notices: tuple[all_notices.Notice, ...] = ()
    is_framed: bool = True


@messages.message(178)
@dataclasses.dataclass(frozen=True, slots=True)
class RelayedPart(messages.Message):
    """Part of a body, of an answer as it arrived."""

    data: bytes


@messages.message(179)
@dataclasses.dataclass(frozen=True, slots=True)
class RelayedEnd(messages.Message):
    """The body is complete."""


@messages.message(180)
@dataclasses.dataclass(frozen=True, slots=True)
class RelayedResult(messages.Message):
    """Result of a call other than ``RelayedSend``.

    Attributes:
        hold: Name of a new reservation.
        source: A prefill result.
        is_true: Result of a check.
        notices: What the endpoint said about its state.
    """

    hold: str = ""
    source: calls.PrefillSource | None = None
    is_true: bool = False
    notices: tuple[all_notices.Notice, ...] = ()


@messages.message(181)
@dataclasses.dataclass(frozen=True, slots=True)
class RelayedBodyWanted(messages.Message):
    """The peer has memory for the body of the call, which may follow."""
