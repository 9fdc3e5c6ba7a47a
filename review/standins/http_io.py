"""Small HTTP/1.1 server and client on raw sockets, for stand-ins."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import urllib.parse

HOST = "127.0.0.1"


@dataclasses.dataclass
class Request:
    """A received request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    path: str = ""
    query: dict[str, str] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        self.path, _, query = self.target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))


@dataclasses.dataclass
class Response:
    """A response with a length."""

    status: int
    body: bytes
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


def json_response(value: object) -> Response:
    """Returns a response with a JSON body."""
    kind = {"Content-Type": "application/json"}
    return Response(200, json.dumps(value).encode(), kind)


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads a request with a length or in chunks; ``None`` at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *fields = head.decode("latin-1").strip().split("\r\n")
    headers = {}
    for field in fields:
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    method, target, _ = line.split(" ", 2)
    body = await _read_body(reader, headers)
    return Request(method, target, headers, body)


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if "chunked" in headers.get("transfer-encoding", "").lower():
        parts = []
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            if not size:
                await reader.readline()
                return b"".join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readline()
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode(response: Response) -> bytes:
    """Returns the bytes of a response."""
    lines = [f"HTTP/1.1 {response.status} X"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    lines.append(f"Content-Length: {len(response.body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + response.body


async def serve(
    handle: Callable[[Request], Awaitable[Response]], port: int = 0
) -> str:
    """Serves requests on kept connections; returns the address."""

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                writer.write(encode(await handle(request)))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The script ends; a raised error would be logged for each channel.
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, HOST, port)
    return f"{HOST}:{server.sockets[0].getsockname()[1]}"
