"""Bounds of one connection, and what is served within them."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket

from aiohttp import web
import pytest

from jujubewharf.connections import bounded_server
from jujubewharf.connections import listening
from jujubewharf.connections import table

HOST = "127.0.0.1"
LIMITS = bounded_server.ConnectionLimits(max_header_bytes=8_192)
_POST = b"POST / HTTP/1.1\r\nHost: h\r\n"
_CHUNKED = _POST + b"Transfer-Encoding: chunked\r\n\r\n"
# What a server may read of a client that it refuses.
_MOST_BYTES = 1_000_000
_TEST_LIMIT_S = 20.0


@dataclasses.dataclass
class _Edge:
    port: int
    connections: table.Connections
    sizes: list[int]
    go_on: asyncio.Event

    async def open(self):
        return await asyncio.open_connection(HOST, self.port)


@contextlib.asynccontextmanager
async def _serving(limits=LIMITS, *, max_count: int = 1_000):
    connections = table.Connections(table.Bounds(max_count, 10_000_000))
    sizes: list[int] = []
    go_on = asyncio.Event()
    go_on.set()

    async def handle(request: web.BaseRequest) -> web.Response:
        sizes.append(len(await request.read()))
        await go_on.wait()
        return web.Response(text=str(sizes[-1]))

    server = bounded_server.BoundedServer(
        handle,
        bounded_server.Room.of(connections, table.Kind.CALLERS),
        lambda: limits,
        access_log=None,
    )
    listener = await listening.listen(server, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    try:
        async with asyncio.timeout(_TEST_LIMIT_S):
            yield _Edge(port, connections, sizes, go_on)
    finally:
        listener.close()
        await server.shutdown(0.1)


async def _answer(reader) -> tuple[int, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    status = int(head.split(b" ")[1])
    length = next(
        int(line.split(b":")[1])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length")
    )
    return status, await reader.readexactly(length)


async def _send_without_end(writer, unit: bytes) -> int:
    """Sends until the connection ends; returns how much was taken."""
    block = unit * (16_384 // len(unit))
    sent_bytes = 0
    with contextlib.suppress(OSError):
        while sent_bytes < 100_000_000:
            writer.write(block)
            await writer.drain()
            sent_bytes += len(block)
            await asyncio.sleep(0)
    return sent_bytes


# aiohttp bounds lines and fields only. The rest was read for as long as the
# client sent, and each part of what is no request was answered.
@pytest.mark.parametrize(
    ("start", "unit"),
    [
        (b"", b"\x00\xff"),
        (b"", b"\r\n"),
        (b"", b"\n"),
        (b"GET /", b"a"),
        (_POST + b"X-A: ", b"a"),
        (_POST, b"a"),
        (_POST, b"X-A: a\r\n"),
        (_POST, b"X-A: " + b"a" * 8_000 + b"\r\n"),
        (_CHUNKED, b"0"),
        (_CHUNKED + b"1;", b"a"),
        (_CHUNKED + b"0\r\n", b"X-A: a\r\n"),
    ],
)
async def test_bytes_without_end_end_their_connection(start, unit):
    async with _serving() as edge:
        _, writer = await edge.open()
        writer.write(start)
        taken_bytes = await _send_without_end(writer, unit)
        assert taken_bytes < 10 * _MOST_BYTES
        reader, writer = await edge.open()
        writer.write(_POST + b"Content-Length: 2\r\n\r\nok")
        assert await _answer(reader) == (200, b"2")


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"no request\r\n\r\n", 400),
        (_POST + b"X A: b\r\n\r\n", 400),
        (b"\r\n" * 20_000, 431),
    ],
)
async def test_refusal_tells_nothing_of_what_was_sent(head, status):
    """Each refused client got its own bytes back, and its reader kept them."""
    async with _serving() as edge:
        reader, writer = await edge.open()
        writer.write(head)
        assert await _answer(reader) == (status, b"")
        assert await reader.read() == b""


async def test_body_in_chunks_of_a_byte_is_served():
    count = 20_000
    async with _serving() as edge:
        reader, writer = await edge.open()
        writer.write(_CHUNKED + b"1\r\na\r\n" * count + b"0\r\n\r\n")
        assert await _answer(reader) == (200, str(count).encode())


async def test_large_head_is_served_that_comes_in_many_parts():
    value = b"a" * 8_000
    async with _serving() as edge:
        reader, writer = await edge.open()
        for part in (b"GET / HTTP/1.1\r\nX-A: ", value[:4_000], value[4_000:]):
            writer.write(part)
            await asyncio.sleep(0.01)
        writer.write(b"\r\nHost: h\r\n\r\n")
        assert await _answer(reader) == (200, b"0")


async def test_large_body_is_served_whole():
    body = bytes(900_000)
    async with _serving() as edge:
        reader, writer = await edge.open()
        writer.write(_POST + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        assert await _answer(reader) == (200, b"900000")
        writer.write(_POST + b"Content-Length: 2\r\n\r\nok")
        assert await _answer(reader) == (200, b"2")


async def test_requests_sent_one_behind_the_other_are_answered_in_order():
    count = 40
    async with _serving() as edge:
        reader, writer = await edge.open()
        for size in range(count):
            head = _POST + b"Content-Length: %d\r\n\r\n" % size
            writer.write(head + bytes(size))
        answers = [await _answer(reader) for _ in range(count)]
    assert answers == [(200, str(size).encode()) for size in range(count)]


async def test_time_of_a_head_ends_no_request():
    """A request that began while the time ran lost its answer."""
    limits = dataclasses.replace(LIMITS, head_timeout_ms=50.0)
    async with _serving(limits) as edge:
        edge.go_on.clear()
        reader, writer = await edge.open()
        writer.write(_POST)
        await asyncio.sleep(0.02)
        writer.write(b"Content-Length: 2\r\n\r\nok")
        await asyncio.sleep(0.1)
        edge.go_on.set()
        assert await _answer(reader) == (200, b"2")


async def test_crowd_of_silent_connections_makes_room():
    async with _serving(max_count=40) as edge:
        silent = [await edge.open() for _ in range(60)]
        reader, writer = await edge.open()
        writer.write(_POST + b"Content-Length: 2\r\n\r\nok")
        assert await _answer(reader) == (200, b"2")
        for _, other in silent:
            other.close()


async def test_connections_give_their_bytes_back():
    async with _serving() as edge:
        for _ in range(5):
            _, writer = await edge.open()
            writer.write(_POST + b"X-A: " + bytes(100))
            await asyncio.sleep(0.01)
            writer.close()
        await asyncio.sleep(0.05)
        assert edge.connections.held_bytes == 0
        assert not len(edge.connections.turns)


async def test_body_that_comes_as_its_request_begins_times_no_head():
    """An idle connection was closed after the time of a head."""
    limits = dataclasses.replace(LIMITS, head_timeout_ms=100.0)

    async def handle(request: web.BaseRequest) -> web.Response:
        return web.Response(body=await request.read())

    connections = table.Connections(table.Bounds(100, 10_000_000))
    room = bounded_server.Room.of(connections, table.Kind.CALLERS)
    server = bounded_server.BoundedServer(
        handle, room, lambda: limits, access_log=None
    )
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    loop = asyncio.get_running_loop()
    _, protocol = await loop.connect_accepted_socket(server, theirs)
    protocol.data_received(_POST + b"Content-Length: 2\r\n\r\n")
    await asyncio.sleep(0)
    # The request has been taken, and its handler hasn't begun.
    assert not protocol._messages
    assert protocol._current_request is None
    protocol.data_received(b"ok")
    await asyncio.sleep(0.3)
    assert b"200 OK" in await loop.sock_recv(ours, 65_536)
    assert protocol.transport is not None
    protocol.force_close()
    ours.close()
