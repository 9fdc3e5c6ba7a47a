"""Opens a link: both sides say who they are before anything else is read.

The dialling side sends its hello first and, once it has the other's, a
heartbeat. The accepting side takes the link for open only then. Without that
third step a one-way cut would look like a live peer to the side that can be
heard but can't hear: its answer vanishes and it would never know.
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

_Goodbye = link_messages.Goodbye


class RefusedHelloError(Exception):
    """One side refused the other's hello.

    Args:
        reason: A value of ``Goodbye``, or a newer peer's own word.
        incarnation: With ``replaced``: the newest incarnation known.
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
    """What both sides need for a handshake.

    Attributes:
        reader: Bytes from the other side.
        writer: Bytes to the other side.
        hello: What this side says of itself.
        newest_incarnation: Newest incarnation known of an instance, or 0.
        counts: Where to count.
    """

    reader: asyncio.StreamReader
    writer: streams.StreamWriter
    hello: link_messages.Hello
    newest_incarnation: Callable[[str], int]
    counts: counters.PeerCounters

    async def dial(self, expected: str) -> link_messages.Hello:
        """The dialling side, which means to reach one instance.

        Raises:
            RefusedHelloError: Either side refused.
            OSError: The stream was lost.
        """
        return await self.greet(expected=expected)

    async def greet(
        self, *, expected: str | None = None
    ) -> link_messages.Hello:
        """The dialling side, which may know only an address; as ``dial``."""
        self._send(self.hello)
        hello = await self._receive_hello()
        if expected is not None and hello.instance != expected:
            raise RefusedHelloError(_Goodbye.OTHER_INSTANCE.value)
        self._check(hello)
        self._send(link_messages.Heartbeat())
        return hello

    async def accept(self) -> link_messages.Hello:
        """The accepting side.

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
                raise RefusedHelloError(_Goodbye.BAD_HELLO.value)

    def refuse(self, error: RefusedHelloError) -> None:
        """Tells the other side why, unless it was the one to refuse."""
        if error.is_theirs:
            return
        self.counts.refuse(error.reason)
        self._send(link_messages.Farewell(error.reason, error.incarnation))

    def _check(self, hello: link_messages.Hello) -> None:
        if hello.instance == self.hello.instance:
            if hello.incarnation == self.hello.incarnation:
                raise RefusedHelloError(_Goodbye.OTHER_INSTANCE.value)
        names = tls.peer_names(self.writer)
        if names is not None and hello.instance not in names:
            raise RefusedHelloError(_Goodbye.STRANGER.value)
        spoken = min(hello.version, self.hello.version)
        oldest = max(hello.oldest_version, self.hello.oldest_version)
        if spoken < oldest:
            raise RefusedHelloError(_Goodbye.VERSION.value)
        newest = self.newest_incarnation(hello.instance)
        if hello.incarnation < newest:
            raise RefusedHelloError(_Goodbye.REPLACED.value, incarnation=newest)

    async def _receive_hello(self) -> link_messages.Hello:
        match await self._receive():
            case link_messages.Hello() as hello:
                return hello
            case link_messages.Farewell(reason=reason, incarnation=known):
                raise RefusedHelloError(
                    reason, incarnation=known, is_theirs=True
                )
            case _:
                raise RefusedHelloError(_Goodbye.BAD_HELLO.value)

    async def _receive(self) -> messages.Message | None:
        try:
            body = await codec.read_body(self.reader, max_bytes=MAX_HELLO_BYTES)
        except codec.BrokenStreamError as error:
            if error.reason is not None:
                self.counts.drop(error.reason)
            raise ConnectionResetError(str(error)) from error
        self.counts.received(codec.frame_bytes(body))
        try:
            frame = codec.decode(body)
        except codec.DroppedFrameError as error:
            self.counts.drop(error.reason)
            raise RefusedHelloError(_Goodbye.BAD_HELLO.value) from error
        if frame.unknown_fields:
            self.counts.drop(counters.Drop.UNKNOWN_FIELD)
        return frame.message

    def _send(self, message: messages.Message) -> None:
        data = codec.encode(codec.Frame(codec.FrameKind.TELL, 0, message))
        self.writer.write(data)
        self.counts.sent(len(data))
