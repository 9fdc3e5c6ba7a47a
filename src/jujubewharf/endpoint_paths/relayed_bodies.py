"""Hands the bodies of relayed calls over, within the memory of the peer.

A large body is sent only once the peer has taken memory for it: a peer that was
sent bodies unasked would exceed its machine's memory and end with its own
callers' requests.
"""

from __future__ import annotations

import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.endpoint_paths import relay_streams
from jujubewharf.forwarding import calls
from jujubewharf.held_memory import bodies
from jujubewharf.held_memory import leases
from jujubewharf.peers import messages
from jujubewharf.peers import relay_messages

# Time within which a peer's call must have arrived after the handshake.
_CALL_TIMEOUT_MS = 2_000.0
# Time for a peer to take memory, longer than it lets a body wait for it.
_ANSWER_TIMEOUT_MS = 600.0
# A larger message has a large body in it, as builds without parts send it.
_MAX_INLINE_CALL_BYTES = 2 * relay_messages.MAX_INLINE_BODY_BYTES
# Copies of a message while it is decoded.
_DECODING_COPIES = 2
_PART_BYTES = 65_536

MEMORY_FULL = relay_messages.RelayRefused(
    relay_messages.RefusalReason.MEMORY_FULL.value
)

CallWithBody = relay_messages.RelayedSend | relay_messages.RelayedPrefill


class RefusedError(Exception):
    """A peer doesn't make a call, so nothing was sent to the endpoint.

    Args:
        refusal: The peer's answer.
    """

    def __init__(self, refusal: relay_messages.RelayRefused) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal

    @property
    def is_for_memory(self) -> bool:
        """Whether the peer makes calls with smaller bodies."""
        return self.refusal.reason == MEMORY_FULL.reason


def needs_parts(message: messages.Message) -> bool:
    """Returns whether a call has a body that is sent in parts."""
    if not isinstance(message, CallWithBody):
        return False
    size_bytes = len(message.outbound.call.body)
    return size_bytes > relay_messages.MAX_INLINE_BODY_BYTES


async def hand_over(
    stream: relay_streams.RelayStream,
    message: messages.Message,
    clock: clocks.Clock,
) -> None:
    """Sends a call, and its body once the peer wants it.

    Raises:
        RefusedError: The peer doesn't make the call.
        BrokenRelayError: The stream is lost; the peer may make the call.
        TooLargeError: The call without its body is too large.
    """
    if not isinstance(message, CallWithBody) or not needs_parts(message):
        await stream.send(message)
        return
    body = message.outbound.call.body
    # The peer makes the call once it has the last part.
    last_at = len(body) - 1 - (len(body) - 1) % _PART_BYTES
    try:
        await _ask_for_body(stream, message, clock)
        for at in range(0, last_at, _PART_BYTES):
            await _send_part(stream, body, at)
    except (relay_streams.BrokenRelayError, TimeoutError):
        raise RefusedError(MEMORY_FULL) from None
    await _send_part(stream, body, last_at)


async def _ask_for_body(
    stream: relay_streams.RelayStream,
    message: CallWithBody,
    clock: clocks.Clock,
) -> None:
    """Sends a call without its body; returns once the peer wants that."""
    await stream.send(
        dataclasses.replace(
            message,
            outbound=_with_body(message.outbound, b""),
            body_bytes=len(message.outbound.call.body),
        )
    )
    async with clock.timeout_ms(_ANSWER_TIMEOUT_MS):
        answer = await stream.receive()
    match answer:
        case relay_messages.RelayedBodyWanted():
            return
        case relay_messages.RelayRefused():
            raise RefusedError(answer)
        case _:
            raise relay_streams.BrokenRelayError("unexpected answer")


async def _send_part(
    stream: relay_streams.RelayStream, body: bytes, at: int
) -> None:
    part = body[at : at + _PART_BYTES]
    await stream.send(relay_messages.RelayedPart(part))


async def receive_call(
    stream: relay_streams.RelayStream,
    lease: leases.Lease,
    clock: clocks.Clock,
) -> messages.Message:
    """Returns a call, of which a large body has yet to come.

    Args:
        stream: Stream of the call.
        lease: What the call is counted in.
        clock: Clock for the timeout.

    Raises:
        BrokenRelayError: The stream ended, or the message is unknown.
        TimeoutError: The call didn't arrive in time.
        WharfError: ``MEMORY_FULL``.
    """
    async with clock.timeout_ms(_CALL_TIMEOUT_MS):
        size_bytes = await stream.receive_size()
        if size_bytes > _MAX_INLINE_CALL_BYTES:
            await lease.take(_DECODING_COPIES * size_bytes)
        else:
            await lease.take(min(size_bytes, _PART_BYTES))
        return await stream.receive_sized(size_bytes)


async def receive_body(
    stream: relay_streams.RelayStream,
    call: CallWithBody,
    lease: leases.Lease,
    clock: clocks.Clock,
) -> CallWithBody:
    """Returns a call with its body, for which memory is taken first.

    Raises:
        BrokenRelayError: The stream ended within the body.
        WharfError: ``MEMORY_FULL`` or ``SLOW_BODY``; nothing may be sent on.
    """
    size_bytes = call.body_bytes
    if not size_bytes:
        return call
    lease.caller_timeout_ms = call.outbound.left_ms
    await lease.take(size_bytes + bodies.READ_AHEAD_BYTES)
    await stream.send(relay_messages.RelayedBodyWanted())
    body = await bodies.read_body(
        _Parts(stream, size_bytes),
        clock,
        max_bytes=size_bytes,
        timeout_ms=call.outbound.left_ms,
        lease=lease,
        expected_bytes=size_bytes,
    )
    return dataclasses.replace(
        call, outbound=_with_body(call.outbound, body), body_bytes=0
    )


class _Parts:
    """Reads a body from its parts; see ``bodies.Content``."""

    def __init__(
        self, stream: relay_streams.RelayStream, size_bytes: int
    ) -> None:
        self._stream = stream
        self._left_bytes = size_bytes

    async def read(self, n: int = -1) -> bytes:
        """Returns the next part; none at the end of the body."""
        if self._left_bytes <= 0:
            return b""
        part = await self._stream.receive()
        if not isinstance(part, relay_messages.RelayedPart) or not part.data:
            raise relay_streams.BrokenRelayError("no part of the body")
        self._left_bytes -= len(part.data)
        return part.data


def _with_body(
    outbound: calls.OutboundRequest, body: bytes
) -> calls.OutboundRequest:
    call = dataclasses.replace(outbound.call, body=body)
    return dataclasses.replace(outbound, call=call)
