"""Sends and receives the messages of one relayed call on its stream."""

from __future__ import annotations

import asyncio
import contextlib

from jujubewharf.peers import codec
from jujubewharf.peers import messages
from jujubewharf.peers import streams

_DISCARD_BYTES = 65_536


class BrokenRelayError(Exception):
    """The stream ended or carried something else than was due."""


class TooLargeError(Exception):
    """A message can't be encoded in a frame of a peer; nothing was sent."""


class RelayStream:
    """A stream that carries one relayed call.

    Args:
        reader: Reads from the other side.
        writer: Writes to the other side.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: streams.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    async def send(self, message: messages.Message) -> None:
        """Sends a message, and waits while the other side reads too slowly.

        Raises:
            BrokenRelayError: The stream is lost.
            TooLargeError: The message is too large, or can't be encoded.
        """
        frame = codec.Frame(codec.FrameKind.TELL, 0, message)
        try:
            data = codec.encode(frame)
        except codec.UnencodableError as error:
            raise TooLargeError from error
        if codec.body_bytes(data) > codec.MAX_FRAME_BYTES:
            raise TooLargeError
        self._writer.write(data)
        try:
            await self._writer.drain()
        except OSError as error:
            raise BrokenRelayError(str(error)) from error

    async def receive(self) -> messages.Message:
        """Returns the next message.

        Raises:
            BrokenRelayError: The stream ended, or the message is unknown.
        """
        return await self.receive_sized(await self.receive_size())

    async def receive_size(self) -> int:
        """Returns the size of the next message, which isn't read yet.

        Raises:
            BrokenRelayError: The stream ended, or the message is too large.
        """
        try:
            return await codec.read_size(self._reader)
        except codec.BrokenStreamError as error:
            raise BrokenRelayError(str(error)) from error

    async def receive_sized(self, size_bytes: int) -> messages.Message:
        """Returns the message whose size was received.

        Raises:
            BrokenRelayError: The stream ended, or the message is unknown.
        """
        try:
            body = await codec.read_sized(self._reader, size_bytes)
            frame = codec.decode(body)
        except (codec.BrokenStreamError, codec.DroppedFrameError) as error:
            raise BrokenRelayError(str(error)) from error
        if frame.message is None:
            raise BrokenRelayError("empty frame")
        return frame.message

    async def discard(self) -> None:
        """Reads and drops what still comes, until the other side closes.

        A connection that is closed with unread bytes is reset, and the other
        side might lose the answer that was sent before.
        """
        with contextlib.suppress(OSError):
            while await self._reader.read(_DISCARD_BYTES):
                pass

    async def wait_until_closed(self) -> None:
        """Waits until the other side closes, after its only message."""
        try:
            await self._reader.read(1)
        except OSError:
            return

    def close(self) -> None:
        """Closes the stream once everything written is sent."""
        self._writer.close()
