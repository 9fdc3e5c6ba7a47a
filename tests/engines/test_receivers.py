"""Calls of the product's own protocols at an address that another one has."""

from __future__ import annotations

import inspect

import aiohttp
from aiohttp import test_utils
import numpy as np
import pytest

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.engines import endpoint_client
from jujubewharf.engines import http
from jujubewharf.engines import http_endpoint
from jujubewharf.engines import liveness
from jujubewharf.engines import probe_session
from jujubewharf.standins import endpoint as endpoints
from jujubewharf.standins import engine as engines
from jujubewharf.standins import engine_http

IDENTITY = client.EngineFault.REFUSED_IDENTITY
_ATTEMPT = client.Attempt("r1.1", "n1")
_ARGUMENTS = {
    "reserve": (_ATTEMPT,),
    "prefill": (_ATTEMPT, client.PrefillJob("m", "a b")),
    "import_kv": (_ATTEMPT, "127.0.0.1:1"),
    "decode": (_ATTEMPT, client.DecodeJob("m", "a b", 5)),
    "release": ("r1.1",),
    "load": (),
    "held": (),
    "cache_events": (0,),
    "order": (client.Order(client.OrderKind.CHANGE_ROLE, 1, "decode"),),
}


async def _call(engine: http.HttpEngineClient, name: str) -> None:
    result = getattr(engine, name)(*_ARGUMENTS[name])
    if inspect.isasyncgen(result):
        result = anext(result)
    await result


def test_each_call_to_an_engine_has_a_case():
    """A call that is added later must name its receiver, too."""
    interface = inspect.getmembers(client.EngineClient, inspect.isfunction)
    assert {n for n, _ in interface if n[0] != "_"} == set(_ARGUMENTS)


@pytest.mark.parametrize("name", _ARGUMENTS)
async def test_engine_does_nothing_that_is_meant_for_another(name):
    """The engine that took over an address carried out its calls."""
    clock = clocks.Clock()
    rng = np.random.default_rng(1)
    engine = engines.Engine("e2", engines.EngineSpec(), clock, rng)
    async with aiohttp.ClientSession() as session:
        app = engine_http.EngineServer(engine, session).app()
        async with test_utils.TestServer(app) as server:
            address = f"{server.host}:{server.port}"
            former = http.HttpEngineClient("e1", address, session, clock)
            with pytest.raises(client.EngineError) as caught:
                await _call(former, name)
    assert caught.value.fault is IDENTITY
    assert repr(engine) == "Engine('e2', 0 slots held)"
    assert not engine.orders


async def test_plain_endpoint_runs_nothing_that_is_meant_for_another():
    """A till that took over an address ran the lookups of the one before."""
    clock = clocks.Clock()
    other = endpoints.PlainEndpoint("till-2", clock)
    probes = probe_session.ProbeSession()
    async with test_utils.TestServer(other.app()) as server:
        former = resources.Endpoint(
            "till-1",
            "shop",
            f"{server.host}:{server.port}",
            "a",
            resources.Role.PLAIN,
        )
        async with aiohttp.ClientSession() as session:
            caller = http_endpoint.HttpEndpointClient(session, probes, clock)
            call = endpoint_client.PlainCall("r1", "POST", "/book")
            with pytest.raises(client.EngineError) as caught:
                async with caller.call(former, call):
                    pass
            state = await caller._watches.state(former)
    await probes.close()
    assert caught.value.fault is IDENTITY
    assert state is liveness.ProcessState.GONE
    assert not other.runs
