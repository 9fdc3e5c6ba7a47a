"""Fixtures for tests of the engine client: requests and responses."""

from __future__ import annotations

import contextlib
from unittest import mock

from users_platform import engines

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import http_endpoint
from jujubewharf.engines import probe_session
from jujubewharf.engines import sessions
from jujubewharf.forwarding import calls
from tests.users_platform import raw_server


def good(**more) -> bytes:
    """Returns a successful response of an engine, with further headers."""
    given = {"Request_Id": "r1", "Server_Seal": "s"} | more
    return raw_server.answer(**given)


def endpoint(address: str) -> resources.Endpoint:
    """Returns an engine at an address."""
    role = resources.Role.DECODE
    return resources.Endpoint("i-1", "svc", address, "a", role)


def call(**more) -> calls.Call:
    """Returns a request, with the given fields replaced."""
    given = {
        "request_id": "r1",
        "method": "POST",
        "host": "shop.example",
        "path_query": "/a%20b/?x=%2F",
        "headers": (("Model", "m"), ("X-Own", "1")),
        "body": b"body",
        "arrived_ms": 0.0,
    }
    return calls.Call(**(given | more))


# Longer than in production, so that a busy machine does not make tests fail.
_CONNECT_S = 30.0


@contextlib.asynccontextmanager
async def connected():
    """Yields an engine client whose sessions are closed at the end."""
    with mock.patch.object(sessions, "_CONNECT_TIMEOUT_S", _CONNECT_S):
        kept = sessions.new_session(keep_alive=True)
        session = sessions.new_session()
    probes = probe_session.ProbeSession()
    try:
        async with session, kept:
            yield engines.Engines(session, kept, probes, clocks.Clock())
    finally:
        await probes.close()


@contextlib.asynccontextmanager
async def plain_client():
    """Yields a client of plain endpoints, as the own edge has it."""
    probes = probe_session.ProbeSession()
    try:
        async with sessions.new_session() as session:
            yield http_endpoint.HttpEndpointClient(
                session, probes, clocks.Clock()
            )
    finally:
        await probes.close()


def plain_endpoint(address: str) -> resources.Endpoint:
    """Returns a plain endpoint at an address."""
    role = resources.Role.PLAIN
    return resources.Endpoint("s1", "shop", address, "a", role)
