"""A TCP server that responds to each request with scripted bytes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import socket
import struct

HOST = "127.0.0.1"
RESET = object()
SILENCE = object()
CRASH = object()
# Time from the end of a crashed process's connections to that of its listener.
LISTENS_ON_S = 0.005


@dataclasses.dataclass(frozen=True)
class Received:
    """A received request.

    Attributes:
        line: Request line.
        headers: Headers by lower-case name.
        body: Request body.
        connection: Number of the connection.
    """

    line: str
    headers: dict[str, str]
    body: bytes
    connection: int


Script = Callable[[Received], list[object]]


class RawServer:
    """Serves one scripted response per connection.

    A script returns the steps: bytes to send, ``RESET``, ``SILENCE``, or
    ``CRASH``, which ends connections and listener as the kernel does when the
    process is killed.
    """

    def __init__(self, script: Script) -> None:
        self.received: list[Received] = []
        self.connections = 0
        self.ended = asyncio.Event()
        self.listener: asyncio.Server | None = None
        self.has_reset = asyncio.Event()
        # Further connections are reset.
        self.most_connections: int | None = None
        self._script = script
        self._has_crashed = False
        self._stopped = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._has_crashed:
            # A kernel has accepted it: nobody answers, and it ends with the
            # listener.
            await self._stopped.wait()
            writer.close()
            return
        self.connections += 1
        most = self.most_connections
        if most is not None and self.connections > most:
            _reset(writer)
            self.has_reset.set()
            return
        try:
            await self._answer(reader, writer, self.connections)
        finally:
            self.ended.set()
            writer.close()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: int,
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return
        line, *fields = head.decode().strip().split("\r\n")
        headers = {
            name.lower(): value
            for name, _, value in (field.partition(": ") for field in fields)
        }
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request = Received(line, headers, body, connection)
        self.received.append(request)
        for step in self._script(request):
            if step is RESET:
                _reset(writer)
                return
            if step is CRASH:
                self._has_crashed = True
                loop = asyncio.get_running_loop()
                loop.call_later(LISTENS_ON_S, self._stop_listening)
                return
            if step is SILENCE:
                await reader.read()
                return
            assert isinstance(step, bytes)
            writer.write(step)
            await writer.drain()
            await asyncio.sleep(0.01)

    def _stop_listening(self) -> None:
        if self.listener is not None:
            self.listener.close()
        self._stopped.set()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@contextlib.asynccontextmanager
async def serving(script: Script):
    """Yields a running server and its address."""
    server = RawServer(script)
    listener = await asyncio.start_server(server.serve, HOST, 0)
    server.listener = listener
    port = listener.sockets[0].getsockname()[1]
    try:
        yield server, f"{HOST}:{port}"
    finally:
        listener.close()


def answer(
    status: str = "200 OK", body: bytes = b"ok", *, length: bool = True, **more
) -> bytes:
    """Builds an HTTP response; keywords are headers, with _ for -."""
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{n.replace('_', '-')}: {v}" for n, v in more.items()]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
