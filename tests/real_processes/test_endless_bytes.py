"""Bytes that are no answer, without an end, at each reader of foreign bytes."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest
from users_platform import store

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.engines import endpoint_client
from jujubewharf.engines import http
from jujubewharf.engines import http_endpoint
from jujubewharf.engines import probe_session
from jujubewharf.engines import sessions
from jujubewharf.forwarding import calls
from jujubewharf.platform import epochs
from jujubewharf.platform import log
from tests.real_processes import children
from tests.real_processes import endless_endpoint
from tests.users_platform import engine_calls

LOST = client.EngineFault.LOST
NO_ANSWERS = [*endless_endpoint.HEADS, *endless_endpoint.FRAMINGS]
# Of one response; a turn of the loop reads a little beyond a bound.
MOST_FRAMING_BYTES = 300_000
MOST_BODY_BYTES = 5_000_000
# The caller of a test gives up here; nothing may last until then.
TEST_LIMIT_S = 20.0


@pytest.fixture
async def address(tmp_path):
    """Yields the address of a process that answers without an end."""
    started = children.Children(tmp_path)
    child = started.standin("endless", "endless_endpoint")
    yield await child.read_line()
    started.end_all()


@dataclasses.dataclass
class _Received:
    total_bytes: int = 0
    largest_turn_bytes: int = 0


@pytest.fixture
def received(monkeypatch):
    """Counts what all connections receive."""
    found = _Received()
    before = sessions.CheckedProtocol.data_received

    def data_received(self, data):
        found.total_bytes += len(data)
        found.largest_turn_bytes = max(found.largest_turn_bytes, len(data))
        before(self, data)

    monkeypatch.setattr(
        sessions.CheckedProtocol, "data_received", data_received
    )
    return found


async def _read_all(body) -> bytes:
    return b"".join([part async for part in body])


async def _request(address: str, kind: str) -> None:
    async with engine_calls.connected() as engines:
        call = engine_calls.call(path_query=f"/{kind}/")
        sending = calls.OutboundRequest(call, 1e6)
        endpoint = engine_calls.endpoint(address)
        async with engines.send(endpoint, sending) as reply:
            await _read_all(reply.body)


async def _prefill(address: str, kind: str) -> None:
    async with engine_calls.connected() as engines:
        call = engine_calls.call(path_query=f"/{kind}/")
        sending = calls.OutboundRequest(call, 1e6)
        await engines.prefill(engine_calls.endpoint(address), sending)


async def _plain_call(address: str, kind: str) -> None:
    probes = probe_session.ProbeSession()
    role = resources.Role.PLAIN
    endpoint = resources.Endpoint("s1", "shop", address, "a", role)
    call = endpoint_client.PlainCall("r1", "GET", f"/{kind}/")
    async with sessions.new_session() as session:
        endpoints = http_endpoint.HttpEndpointClient(
            session, probes, clocks.Clock()
        )
        async with endpoints.call(endpoint, call) as reply:
            await _read_all(reply.body)
    await probes.close()


async def _state_of_an_engine(address: str, kind: str) -> None:
    async with sessions.new_session() as session:
        engine = http.HttpEngineClient(
            "e1", f"{address}/{kind}", session, clocks.Clock()
        )
        await engine.load()


async def _page_of_the_store(address: str, kind: str) -> None:
    async with store.new_session() as session:
        calls_ = store.Store(
            f"{address}/{kind}", session, clocks.Clock(), epochs.StoreEpoch()
        )
        table = store.StoreTable(calls_, "keyed.op", lambda key, value: value)
        await table.newest()


async def _error(reader, address: str, kind: str) -> Exception:
    with pytest.raises((client.EngineError, log.LogUnavailableError)) as caught:
        async with asyncio.timeout(TEST_LIMIT_S):
            await reader(address, kind)
    return caught.value


# An instance read a gigabyte in seconds, and its loop did nothing else: callers
# of sound endpoints waited behind bytes that kept a parser in one state.
@pytest.mark.parametrize("kind", NO_ANSWERS)
@pytest.mark.parametrize(
    "reader",
    [_request, _prefill, _plain_call, _state_of_an_engine, _page_of_the_store],
)
async def test_bytes_that_are_no_answer(address, received, reader, kind):
    error = await _error(reader, address, kind)
    if isinstance(error, client.EngineError):
        assert error.fault is LOST
    assert received.total_bytes < MOST_FRAMING_BYTES
    assert received.largest_turn_bytes <= 16_384


# A body that is needed as a whole has no caller who reads it meanwhile.
@pytest.mark.parametrize("kind", endless_endpoint.BODIES)
@pytest.mark.parametrize(
    "reader", [_prefill, _state_of_an_engine, _page_of_the_store]
)
async def test_bodies_that_are_needed_as_a_whole(
    address, received, reader, kind
):
    await _error(reader, address, kind)
    assert received.total_bytes < MOST_BODY_BYTES
    assert received.largest_turn_bytes <= 16_384


# A body behind a sound head may be a long answer: it goes on as its caller
# reads, and ends when the caller leaves.
@pytest.mark.parametrize("kind", endless_endpoint.BODIES)
async def test_body_is_read_no_faster_than_its_caller_reads(
    address, received, kind
):
    async with engine_calls.connected() as engines:
        call = engine_calls.call(path_query=f"/{kind}/")
        endpoint = engine_calls.endpoint(address)
        sending = calls.OutboundRequest(call, 1e6)
        async with engines.send(endpoint, sending) as reply:
            await anext(reply.body)
            await asyncio.sleep(0.2)
        assert received.total_bytes < MOST_FRAMING_BYTES
    assert received.largest_turn_bytes <= 16_384
