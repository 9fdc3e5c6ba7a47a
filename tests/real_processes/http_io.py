"""HTTP/1.1 over asyncio streams for stand-in processes and callers.

Only the standard library is used, so that a process starts in milliseconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import dataclasses
import json
import urllib.parse

HOST = "127.0.0.1"
_HEAD_END = b"\r\n\r\n"
# New connections that a server lets wait.
BACKLOG = 1_024
_LIMIT_BYTES = 1 << 22

Fields = Mapping[str, object]


class ClosedError(Exception):
    """The connection ended before the message did."""


@dataclasses.dataclass(frozen=True)
class Request:
    """A received request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, object]:
        return json.loads(self.body) if self.body else {}


@dataclasses.dataclass(frozen=True)
class Head:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: dict[str, str]


class Connection:
    """One connection, on either side."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @property
    def is_closed_by_peer(self) -> bool:
        return self.reader.at_eof() or self.writer.is_closing()

    async def send(self, data: bytes) -> None:
        try:
            self.writer.write(data)
            await self.writer.drain()
        except OSError as error:
            raise ClosedError from error

    async def read_request(self) -> Request | None:
        """Returns the next request, or ``None`` at the end."""
        try:
            line, headers = await self._read_head()
        except ClosedError:
            return None
        method, target, _ = line.split(" ", 2)
        path, _, query = target.partition("?")
        parsed = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        parts = [part async for part in self.body_parts(headers)]
        return Request(method, path, parsed, headers, b"".join(parts))

    async def read_response_head(self) -> Head:
        """Reads status and headers.

        Raises:
            ClosedError: The connection ended first.
        """
        line, headers = await self._read_head()
        return Head(int(line.split(" ")[1]), headers)

    async def body_parts(self, headers: dict[str, str]):
        """Yields the parts of a body with a length or in chunks.

        Raises:
            ClosedError: The connection ended first.
        """
        if headers.get("transfer-encoding", "").lower() != "chunked":
            size = int(headers.get("content-length", "0"))
            if size:
                yield await self._read(self.reader.readexactly(size))
            return
        while True:
            line = await self._read(self.reader.readuntil(b"\r\n"))
            size = int(line.strip(), 16)
            chunk = await self._read(self.reader.readexactly(size + 2))
            if not size:
                return
            yield chunk[:-2]

    async def _read_head(self) -> tuple[str, dict[str, str]]:
        head = await self._read(self.reader.readuntil(_HEAD_END))
        line, *lines = head.decode("latin-1").strip().split("\r\n")
        pairs = [field.partition(":") for field in lines]
        return line, {name.lower(): text.strip() for name, _, text in pairs}

    async def _read(self, reading: Awaitable[bytes]) -> bytes:
        try:
            return await reading
        except (OSError, asyncio.IncompleteReadError) as error:
            raise ClosedError from error

    async def close(self) -> None:
        self.writer.close()
        with contextlib.suppress(OSError):
            await self.writer.wait_closed()


def head(first_line: str, headers: Fields) -> bytes:
    """Returns the bytes of a head."""
    lines = [first_line, *(f"{name}: {v}" for name, v in headers.items())]
    return "\r\n".join(lines).encode("latin-1") + _HEAD_END


def response(status: int, body: bytes = b"", **headers: object) -> bytes:
    """Returns a response with a length; ``_`` in names stands for ``-``."""
    fields = {name.replace("_", "-"): v for name, v in headers.items()}
    fields["Content-Length"] = len(body)
    return head(f"HTTP/1.1 {status} X", fields) + body


def json_response(value: object, status: int = 200, **headers: object) -> bytes:
    """Returns a response with a JSON body."""
    body = json.dumps(value).encode()
    return response(status, body, Content_Type="application/json", **headers)


def chunk(data: bytes) -> bytes:
    """Returns one chunk of a body; the last one is empty."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def open_connection(address: str) -> Connection:
    """Opens a connection.

    Raises:
        OSError: Nothing listens there.
    """
    host, _, port = address.rpartition(":")
    return Connection(*await asyncio.open_connection(host, int(port)))


async def call(
    address: str, method: str, target: str, body: bytes = b"", **fields: object
) -> tuple[int, bytes]:
    """Makes a call on a new connection.

    Returns:
        Status and body of the response.

    Raises:
        ClosedError: The connection ended first.
        OSError: Nothing listens there.
    """
    connection = await open_connection(address)
    try:
        headers = {"Host": "standin", "Content-Length": len(body)} | fields
        await connection.send(head(f"{method} {target} HTTP/1.1", headers))
        await connection.send(body)
        received = await connection.read_response_head()
        parts = [part async for part in connection.body_parts(received.headers)]
        return received.status, b"".join(parts)
    finally:
        await connection.close()


async def serve(
    handle: Callable[[Request, Connection], Awaitable[None]],
) -> tuple[asyncio.Server, str]:
    """Serves requests on an ephemeral port.

    Args:
        handle: Answers a request on its connection.

    Returns:
        The server and its address.
    """

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        try:
            while (request := await connection.read_request()) is not None:
                await handle(request, connection)
        except ClosedError:
            pass
        finally:
            await connection.close()

    server = await asyncio.start_server(
        on_connection, HOST, 0, limit=_LIMIT_BYTES, backlog=BACKLOG
    )
    port = server.sockets[0].getsockname()[1]
    return server, f"{HOST}:{port}"
