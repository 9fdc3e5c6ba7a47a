"""Ends of answers over real connections, of engines and plain endpoints."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.endpoint_paths import endpoint_paths
from jujubewharf.engines import client
from jujubewharf.engines import endpoint_client
from jujubewharf.engines import http_endpoint
from jujubewharf.engines import probe_session
from jujubewharf.engines import sessions
from jujubewharf.forwarding import calls
from tests.users_platform import engine_calls
from tests.users_platform import raw_server

LOST = client.EngineFault.LOST
PART = engine_calls.good(length=False, body=b"part of it")


async def _forward(address: str) -> bytes | client.EngineFault:
    """Reads an answer as the platform's instances do."""
    sending = calls.OutboundRequest(engine_calls.call(), 1_000.0)
    endpoint = engine_calls.endpoint(address)
    async with engine_calls.connected() as engines:
        paths = endpoint_paths.EndpointPaths(engines, clocks.Clock())
        try:
            async with paths.backends.send(endpoint, sending) as reply:
                return b"".join([part async for part in reply.body])
        except client.EngineError as error:
            return error.fault


async def _forward_plain(address: str) -> bytes | client.EngineFault:
    """Reads an answer as the instances with an own edge do."""
    role = resources.Role.PLAIN
    endpoint = resources.Endpoint("s1", "shop", address, "a", role)
    call = endpoint_client.PlainCall("r1", "GET", "/x")
    probes = probe_session.ProbeSession()
    async with sessions.new_session() as session:
        endpoints = http_endpoint.HttpEndpointClient(
            session, probes, clocks.Clock()
        )
        try:
            async with endpoints.call(endpoint, call) as reply:
                return b"".join([part async for part in reply.body])
        except client.EngineError as error:
            return error.fault
        finally:
            await probes.close()


@pytest.mark.parametrize("forward", [_forward, _forward_plain])
@pytest.mark.parametrize(
    ("steps", "found"),
    [
        ([PART], b"part of it"),
        # A killed process ends its connections as one that has written all.
        ([PART, raw_server.CRASH], LOST),
        ([PART, raw_server.RESET], LOST),
        ([engine_calls.good()[:-1]], LOST),
        ([engine_calls.good()[:-1], raw_server.CRASH], LOST),
        # With a length the end shows by itself that the answer is whole.
        ([engine_calls.good(), raw_server.CRASH], b"ok"),
        # These have no body, so their head is their end.
        (
            [
                engine_calls.good(
                    status="204 No Content", body=b"", length=False
                ),
                raw_server.CRASH,
            ],
            b"",
        ),
    ],
)
async def test_end_of_an_answer(forward, steps, found):
    async with raw_server.serving(lambda r: steps) as (_, address):
        assert await forward(address) == found


# Beyond their number of connections endpoints reset further ones; a whole
# answer was lost as if its process were gone.
async def test_endpoint_that_resets_further_connections_is_no_crash():
    def script(request):
        return [PART]

    async with raw_server.serving(script) as (server, address):
        server.most_connections = 1
        forwarding = asyncio.ensure_future(_forward(address))
        await asyncio.wait_for(server.has_reset.wait(), 5.0)
        await asyncio.sleep(0.1)
        assert not forwarding.done()
        # The others that it serves have gone.
        server.most_connections = None
        assert await forwarding == b"part of it"


# A kernel that ends a process resets connections, too, without an end in sight.
async def test_endpoint_that_resets_all_connections_is_not_taken_for_sound():
    def script(request):
        return [PART]

    async with raw_server.serving(script) as (server, address):
        server.most_connections = 1
        assert await _forward(address) is LOST
        assert server.has_reset.is_set()
