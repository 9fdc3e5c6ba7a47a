"""The caller edge near the bound of what it holds for callers."""

from __future__ import annotations

import asyncio
import contextlib

from users_platform import edge

from jujubewharf import clock as clocks
from jujubewharf.connections import table
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import routes
from jujubewharf.held_memory import memory_account

HOST = "127.0.0.1"
LARGE_BYTES = 400_000
# One large body fits, with what its connection reads ahead; two don't.
BOUND_BYTES = 1_000_000


class _Forwarding:
    """Answers each call once it is let go."""

    def __init__(self, held) -> None:
        self.held = held
        self.is_ready = True
        self.limits = routes.CallerLimits()
        self.bodies: list[int] = []
        self.begun = asyncio.Event()
        self.go_on = asyncio.Event()
        self.was_left = asyncio.Event()

    @contextlib.asynccontextmanager
    async def run(self, call: calls.Call):
        self.bodies.append(len(call.body))
        self.begun.set()
        try:
            if len(call.body) == LARGE_BYTES:
                await self.go_on.wait()
        except asyncio.CancelledError:
            self.was_left.set()
            raise
        yield calls.Reply(200, (), _body(), 2)


async def _body():
    yield b"ok"


class _Edge:
    """An edge with little memory, and its callers."""

    def __init__(self, port: int, held, forwarding) -> None:
        self.held = held
        self.forwarding = forwarding
        self._port = port

    async def call(
        self, size: int, *, is_chunked: bool = False
    ) -> tuple[int, dict[str, str], bytes]:
        """Sends a body on a new connection; returns the answer."""
        reader, writer = await asyncio.open_connection(HOST, self._port)
        framing = f"Content-Length: {size}"
        body = b"x" * size
        if is_chunked:
            framing = "Transfer-Encoding: chunked"
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (size, body)
        head = f"POST /a HTTP/1.1\r\nHost: a\r\nRequest-Id: r\r\n{framing}"
        try:
            writer.write(head.encode() + b"\r\n\r\n" + body)
            answer = await reader.readuntil(b"\r\n\r\n")
            line, *fields = answer.decode().strip().split("\r\n")
            headers = dict(field.lower().split(": ") for field in fields)
            text = await reader.readexactly(int(headers["content-length"]))
            return int(line.split()[1]), headers, text
        finally:
            writer.close()


@contextlib.asynccontextmanager
async def _served():
    clock = clocks.Clock()
    held = memory_account.HeldMemory(clock, bound_bytes=BOUND_BYTES)
    forwarding = _Forwarding(held)
    server = edge.CallerEdge(forwarding, clock).new_server(table.Connections())
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, HOST, 0)
    try:
        yield _Edge(listener.sockets[0].getsockname()[1], held, forwarding)
    finally:
        listener.close()


# Such a caller is told that its request didn't run, and when to come back.
async def test_body_that_does_not_fit_is_refused_before_it_runs():
    async with _served() as served:
        first = asyncio.ensure_future(served.call(LARGE_BYTES))
        await served.forwarding.begun.wait()
        for is_chunked in (False, True):
            status, headers, text = await served.call(
                LARGE_BYTES, is_chunked=is_chunked
            )
            assert (status, text) == (503, b"memory_full")
            assert 0 < float(headers["retry-after"]) <= 1
            assert headers["connection"] == "close"
        assert served.forwarding.bodies == [LARGE_BYTES]
        served.forwarding.go_on.set()
        assert (await first)[0] == 200


async def test_small_requests_pass_and_all_is_given_back():
    async with _served() as served:
        first = asyncio.ensure_future(served.call(LARGE_BYTES))
        await served.forwarding.begun.wait()
        for size in (0, 600, 60_000):
            assert (await served.call(size))[0] == 200
        served.forwarding.go_on.set()
        assert (await first)[0] == 200
        assert (await served.call(LARGE_BYTES))[0] == 200
        assert served.held.total_bytes == served.held.arrived_bytes == 0


# A caller that leaves, before or while its request runs, gives all back.
async def test_callers_that_leave_give_their_memory_back():
    async with _served() as served:
        first = asyncio.ensure_future(served.call(LARGE_BYTES))
        await served.forwarding.begun.wait()
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        await served.forwarding.was_left.wait()
        await asyncio.sleep(0)
        assert served.held.total_bytes == served.held.arrived_bytes == 0
