"""A crashed engine is distinguished from a broken connection."""

from __future__ import annotations

import asyncio
import socket
from unittest import mock

from jujubewharf import clock as clocks
from jujubewharf.engines import liveness

HOST = "127.0.0.1"


async def test_closed_port_is_refused():
    with socket.socket() as bound:
        bound.bind((HOST, 0))
        port = bound.getsockname()[1]
    assert await liveness.refuses_connections(f"{HOST}:{port}", clocks.Clock())


async def test_closed_connection_is_not_refused():
    server = await asyncio.start_server(lambda r, w: w.close(), HOST, 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        assert not await liveness.refuses_connections(
            f"{HOST}:{port}", clocks.Clock()
        )


async def test_timeout_is_not_refused():
    """During a network partition each engine would else count as crashed."""

    async def silent(host, port):
        await asyncio.sleep(1e9)

    with mock.patch.object(liveness, "_CONNECT_TIMEOUT_MS", 10.0):
        with mock.patch.object(asyncio, "open_connection", silent):
            assert not await liveness.refuses_connections(
                "10.0.0.1:1", clocks.Clock()
            )


# Only an accepted connection shows that an engine can be reached again.
async def test_only_accepted_connections_count_as_accepted():
    server = await asyncio.start_server(lambda r, w: w.close(), HOST, 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        address = f"{HOST}:{port}"
        assert await liveness.accepts_connections(address, clocks.Clock())
    assert not await liveness.accepts_connections(address, clocks.Clock())
