"""Three-way handshake in which both sides of a new link identify themselves.

The dialling side sends its hello, receives the other side's, and confirms it
with a heartbeat. The accepting side considers the link open only after the
heartbeat. Otherwise a one-way partition that loses the accepting side's hello
would leave it with a link that looks alive.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
from typing import TYPE_CHECKING

from jujubewharf.peers import codec
from jujubewharf.peers import counters
from jujubewharf.peers import link_messages
from jujubewharf.peers import messages
from jujubewharf.peers import tls

if TYPE_CHECKING:
    from jujubewharf.peers import streams

MAX_HELLO_BYTES = 4_096
HELLO_TIMEOUT_MS = 2_000.0

_CloseReason = link_messages.CloseReason


class RefusedHelloError(Exception):
    """One side refused the other side's hello.

    Args:
        reason: A value of ``CloseReason``, or a reason of a newer peer.
        incarnation: For the reason ``replaced``, the newest known incarnation.
        is_theirs: Whether the other side refused.
    """

    def __init__(
        self, reason: str, *, incarnation: int = 0, is_theirs: bool = False
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.incarnation = incarnation
        self.is_theirs = is_theirs


@dataclasses.dataclass(frozen=True, slots=True)
class Handshake:
    """Handshake on one stream, for either side.

    Attributes:
        reader: Reads from the other side.
        writer: Writes to the other side.
        hello: Hello of this side.
        newest_incarnation: Returns the newest known incarnation of an
            instance, 0 if none is known.
        counts: Counters of this instance.
    """

    reader: asyncio.StreamReader
    writer: streams.StreamWriter
    hello: link_messages.Hello
    newest_incarnation: Callable[[str], int]
    counts: counters.PeerCounters

    async def dial(self, expected: str) -> link_messages.Hello:
        """Runs the dialling side of a handshake with a known instance.

        Args:
            expected: Name of the instance.

        Raises:
            RefusedHelloError: Either side refused.
            OSError: The stream was lost.
        """
        return await self.dial_any(expected=expected)

    async def dial_any(
        self, *, expected: str | None = None, capability: str | None = None
    ) -> link_messages.Hello:
        """Runs the dialling side, where the peer's name may be unknown.

        Args:
            expected: Required name of the other side; ``None`` accepts any.
            capability: Required capability of the other side. Without it, the
                other side never gets the confirmation and closes the stream.

        Raises:
            RefusedHelloError: Either side refused.
            OSError: The stream was lost.
        """
        self._send(self.hello)
        hello = await self._receive_hello()
        if expected is not None and hello.instance != expected:
            raise RefusedHelloError(_CloseReason.OTHER_INSTANCE.value)
        self._check(hello)
        if capability is not None and capability not in hello.capabilities:
            raise RefusedHelloError(_CloseReason.VERSION.value)
        self._send(link_messages.Heartbeat())
        return hello

    async def accept(self) -> link_messages.Hello:
        """Runs the accepting side.

        Raises:
            RefusedHelloError: Either side refused.
            OSError: The stream was lost.
        """
        hello = await self._receive_hello()
        self._check(hello)
        self._send(self.hello)
        match await self._receive():
            case link_messages.Heartbeat():
                return hello
            case link_messages.Farewell(reason=reason, incarnation=known):
                raise RefusedHelloError(
                    reason, incarnation=known, is_theirs=True
                )
            case _:
                raise RefusedHelloError(_CloseReason.BAD_HELLO.value)

    def refuse(self, error: RefusedHelloError) -> None:
        """Sends the reason to the other side, unless it refused itself."""
        if error.is_theirs:
            return
        self.counts.count_refused_link(error.reason)
        self._send(link_messages.Farewell(error.reason, error.incarnation))

    def _check(self, hello: link_messages.Hello) -> None:
        if hello.instance == self.hello.instance:
            if hello.incarnation == self.hello.incarnation:
                raise RefusedHelloError(_CloseReason.OTHER_INSTANCE.value)
        names = tls.peer_names(self.writer)
        if names is not None and hello.instance not in names:
            raise RefusedHelloError(_CloseReason.STRANGER.value)
        spoken = min(hello.version, self.hello.version)
        oldest = max(hello.oldest_version, self.hello.oldest_version)
        if spoken < oldest:
            raise RefusedHelloError(_CloseReason.VERSION.value)
        newest = self.newest_incarnation(hello.instance)
        if hello.incarnation < newest:
            raise RefusedHelloError(
                _CloseReason.REPLACED.value, incarnation=newest
            )

    async def _receive_hello(self) -> link_messages.Hello:
        match await self._receive():
            case link_messages.Hello() as hello:
                return hello
            case link_messages.Farewell(reason=reason, incarnation=known):
                raise RefusedHelloError(
                    reason, incarnation=known, is_theirs=True
                )
            case _:
                raise RefusedHelloError(_CloseReason.BAD_HELLO.value)

    async def _receive(self) -> messages.Message | None:
        try:
            body = await codec.read_body(self.reader, max_bytes=MAX_HELLO_BYTES)
        except codec.BrokenStreamError as error:
            if error.reason is not None:
                self.counts.count_drop(error.reason)
            raise ConnectionResetError(str(error)) from error
        self.counts.count_received(codec.frame_bytes(body))
        try:
            frame = codec.decode(body)
        except codec.DroppedFrameError as error:
            self.counts.count_drop(error.reason)
            raise RefusedHelloError(_CloseReason.BAD_HELLO.value) from error
        if frame.unknown_fields:
            self.counts.count_drop(counters.DropReason.UNKNOWN_FIELD)
        return frame.message

    def _send(self, message: messages.Message) -> None:
        data = codec.encode(codec.Frame(codec.FrameKind.TELL, 0, message))
        self.writer.write(data)
        self.counts.count_sent(len(data))
