"""Calls to an address that is another service's endpoint by now."""

from __future__ import annotations

import inspect

import pytest

from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import ports
from tests.users_platform import engine_calls
from tests.users_platform import raw_server


async def _send(engines, endpoint):
    sending = calls.OutboundRequest(engine_calls.call(), 1_000.0)
    async with engines.send(endpoint, sending):
        pass


def _prefill(engines, endpoint):
    sending = calls.OutboundRequest(engine_calls.call(), 1_000.0)
    return engines.prefill(endpoint, sending)


def _drop_source(engines, endpoint):
    source = calls.PrefillSource(endpoint.address, "h1")
    return engines.drop_source(endpoint, source)


def _reserve(engines, endpoint):
    return engines.reserve(endpoint, tokens=10, ttl_ms=100.0)


def _order_role(engines, endpoint):
    order = ports.RoleOrder(resources.Role.PREFILL, "n1", 1)
    return engines.order_role(endpoint, order)


# How each call about an endpoint is made.
_CALLS = {
    "send": _send,
    "prefill": _prefill,
    "drop_source": _drop_source,
    "reserve": _reserve,
    "drop_reservation": lambda e, endpoint: e.drop_reservation(endpoint, "r1"),
    "is_changing": lambda e, endpoint: e.is_changing(endpoint),
    "is_reachable": lambda e, endpoint: e.is_reachable(endpoint),
    "has_crashed": lambda e, endpoint: e.has_crashed(endpoint),
    "process_state": lambda e, endpoint: e.process_state(endpoint),
    "watch_process": lambda e, endpoint: e.watch_process(endpoint).state(),
    "order_role": _order_role,
}
# Calls that send nothing on their connection.
_CONNECTS = {"is_reachable", "has_crashed"}


def _other_service(request: raw_server.Received) -> list[object]:
    """A plain endpoint, which runs any call that doesn't name another."""
    if "expect-instance" not in request.headers:
        return [engine_calls.good(Request_Id=request.headers["request-id"])]
    return [raw_server.answer("421 Other", Instance_Id="i-2", Not_Executed="1")]


def test_each_call_about_an_endpoint_has_a_case():
    """A call that is added later must name its receiver, too."""
    interface = inspect.getmembers(ports.Backends, inspect.isfunction)
    names = {name for name, _ in interface if not name.startswith("_")}
    assert names - {"listen"} == set(_CALLS)


@pytest.mark.parametrize("name", _CALLS)
async def test_other_service_at_an_engines_address_runs_nothing(name):
    """It ran the release of a reservation that the engine before it held."""
    async with raw_server.serving(_other_service) as (server, address):
        async with engine_calls.connected() as engines:
            endpoint = engine_calls.endpoint(address)
            if name in _CONNECTS or "process" in name:
                await _CALLS[name](engines, endpoint)
            else:
                with pytest.raises(client.EngineError) as caught:
                    await _CALLS[name](engines, endpoint)
                fault = caught.value.fault
                assert fault is client.EngineFault.REFUSED_IDENTITY
    assert bool(server.received) is (name not in _CONNECTS)
    for received in server.received:
        assert received.headers["expect-instance"] == "i-1"


async def test_state_calls_of_two_instances_have_different_ids():
    """Both count their calls; an engine would take one for the other's."""
    async with raw_server.serving(_other_service) as (server, address):
        endpoint = engine_calls.endpoint(address)
        for _ in range(2):
            async with engine_calls.connected() as engines:
                with pytest.raises(client.EngineError):
                    await engines.drop_reservation(endpoint, "r1")
    first, second = (r.headers["request-id"] for r in server.received)
    assert first != second
