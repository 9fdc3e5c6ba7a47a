"""Only a reply of the process itself shows that it runs."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from unittest import mock

import pytest

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import liveness
from jujubewharf.engines import probe_session
from jujubewharf.engines import process_watch

HOST = "127.0.0.1"
State = liveness.ProcessState
REPLY = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
OTHER = REPLY.replace(b"400", b"421")


class _Server:
    """Sends one reply to each request, or does something else.

    Attributes:
        act: What is done with a connection.
        connections: Number of connections so far.
        requests: Number of requests so far.
    """

    def __init__(self) -> None:
        self.act = self.reply
        self.connections = 0
        self.requests = 0
        self.drops_kept = False
        self.answer = REPLY
        self.writers: list[asyncio.StreamWriter] = []
        self.address = ""

    async def serve(self, reader, writer) -> None:
        self.connections += 1
        self.writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await self.act(reader, writer)
        writer.close()

    async def reply(self, reader, writer) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            if self.drops_kept and self.requests == 2:
                await self.reset(reader, writer)
                return
            writer.write(self.answer)

    async def reply_once(self, reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            REPLY.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        )

    async def reset(self, reader, writer) -> None:
        sock = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    async def close(self, reader, writer) -> None:
        pass

    async def stay_silent(self, reader, writer) -> None:
        await reader.read()

    async def send_without_end(self, reader, writer) -> None:
        while True:
            writer.write(b"\r\n" * 10_000)
            await writer.drain()


@contextlib.asynccontextmanager
async def _watched():
    """Yields a server, its endpoint and watches of it."""
    server = _Server()
    listener = await asyncio.start_server(server.serve, HOST, 0)
    server.address = f"{HOST}:{listener.sockets[0].getsockname()[1]}"
    session = probe_session.ProbeSession()
    request = process_watch.ProbeRequest(
        "GET",
        "/",
        lambda e: [],
        lambda e, response, body: response.status < 421,
    )
    watches = process_watch.ProcessWatches(session, request, clocks.Clock())
    role = resources.Role.PLAIN
    endpoint = resources.Endpoint("s1", "shop", server.address, "a", role)
    try:
        yield server, endpoint, watches, listener
    finally:
        await session.close()
        listener.close()


async def _until(is_true) -> None:
    for _ in range(2_000):
        if is_true():
            return
        await asyncio.sleep(0.005)
    raise AssertionError("not seen")


# A kernel accepts and resets connections for a process that has gone.
@pytest.mark.parametrize(
    ("act", "state"),
    [
        ("reply", State.RUNNING),
        ("reset", State.SILENT),
        ("close", State.SILENT),
        ("stay_silent", State.UNKNOWN),
    ],
)
async def test_state_of_a_process(act, state):
    async with _watched() as (server, endpoint, watches, _):
        server.act = getattr(server, act)
        assert await watches.state(endpoint) is state


async def test_nothing_that_listens_is_gone():
    async with _watched() as (_, endpoint, watches, listener):
        listener.close()
        await listener.wait_closed()
        assert await watches.state(endpoint) is State.GONE


async def test_another_process_at_the_address_is_gone():
    async with _watched() as (server, endpoint, watches, _):
        server.answer = OTHER
        assert await watches.state(endpoint) is State.GONE


async def test_host_that_is_not_reached_is_unknown():
    async with _watched() as (_, endpoint, watches, _):
        with mock.patch.object(
            asyncio.get_running_loop(), "sock_connect", side_effect=OSError
        ):
            assert await watches.state(endpoint) is State.UNKNOWN


# A reply on the way when the answer ends may be older than the end.
async def test_only_requests_sent_after_the_end_count():
    async with _watched() as (server, endpoint, watches, _):
        watch = watches.watch(endpoint)
        await _until(lambda: server.requests > 0)
        assert await watch.state() is State.RUNNING
        assert server.requests == 2


# An endpoint that leaves says so with each reply, and its answers were lost.
async def test_connection_that_ends_with_its_reply_is_no_witness():
    async with _watched() as (server, endpoint, watches, _):
        server.act = server.reply_once
        for _ in range(20):
            watch = watches.watch(endpoint)
            await asyncio.sleep(0.01)
            assert await watch.state() is State.RUNNING


# An endpoint may drop idle connections without a word: what is sent next on
# one is reset, and a whole answer was lost.
async def test_witness_that_was_dropped_without_notice_is_replaced():
    async with _watched() as (server, endpoint, watches, _):
        assert await watches.state(endpoint) is State.RUNNING
        server.drops_kept = True
        watch = watches.watch(endpoint)
        await _until(lambda: server.requests == 3)
        await asyncio.sleep(0.05)
        assert await watch.state() is State.RUNNING
        assert server.connections == 2


# Each look of each answer would cost the endpoint a request and a connection.
async def test_answers_that_end_together_share_a_look_and_a_connection():
    async with _watched() as (server, endpoint, watches, _):
        assert await watches.state(endpoint) is State.RUNNING
        several = [watches.watch(endpoint) for _ in range(20)]
        states = await asyncio.gather(*(w.state() for w in several))
        assert set(states) == {State.RUNNING}
        assert server.requests == 3
        assert server.connections == 1


# The next process replies under the same name, but the answer was the former's.
async def test_reply_on_a_new_connection_is_not_the_former_process():
    async with _watched() as (server, endpoint, watches, _):
        assert await watches.state(endpoint) is State.RUNNING
        watch = watches.watch(endpoint)
        server.writers[0].close()
        assert await watch.state() is State.GONE
        assert await watches.state(endpoint) is State.RUNNING


# An endpoint closes idle connections; its answer goes on, and is not lost.
async def test_answer_that_goes_on_shows_that_only_a_connection_ended():
    async with _watched() as (server, endpoint, watches, _):
        assert await watches.state(endpoint) is State.RUNNING
        watch = watches.watch(endpoint)
        await _until(lambda: server.requests == 2)
        server.writers[0].close()
        await asyncio.sleep(0.05)
        watch.on_part()
        await _until(lambda: server.requests == 3)
        await asyncio.sleep(0.05)
        assert await watch.state() is State.RUNNING
        assert server.connections == 2


# The connection was closed here, so its end shows nothing.
async def test_idle_connection_that_is_closed_here_shows_nothing():
    async with _watched() as (server, endpoint, watches, _):
        assert await watches.state(endpoint) is State.RUNNING
        watch = watches.watch(endpoint)
        await _until(lambda: watch._witness.was_closed_here)
        assert await watch.state() is State.RUNNING
        assert server.connections == 2


# Bytes that are no reply, without an end, show nothing and are not read on.
async def test_bytes_without_end_are_no_reply():
    async with _watched() as (server, endpoint, watches, _):
        server.act = server.send_without_end
        with mock.patch.object(process_watch, "_LOOK_TIMEOUT_MS", 300.0):
            watch = watches.watch(endpoint)
            state = await watch.state()
        assert not state.is_certain
