"""Heads that are none in the protocol, at each reader and with both parsers."""

from __future__ import annotations

from aiohttp import client_proto
from aiohttp import http_parser
import pytest
from users_platform import store

from jujubewharf import clock as clocks
from jujubewharf.engines import client
from jujubewharf.engines import endpoint_client
from jujubewharf.engines import http
from jujubewharf.engines import liveness
from jujubewharf.engines import sessions
from jujubewharf.forwarding import calls
from jujubewharf.platform import epochs
from jujubewharf.platform import log
from tests.users_platform import engine_calls
from tests.users_platform import raw_server

LOST = client.EngineFault.LOST
_SOUND = b"Request-Id: r1\r\nServer-Seal: s\r\nContent-Length: 2\r\n"
_UNSOUND_STATUSES = [b"000", b"099", b"101", b"600", b"999"]
_UNSOUND_FIELDS = [
    b"X A: b",
    b"X-A : b",
    b"X\tA: b",
    b"X\x01A: b",
    b"X\x7fA: b",
    b"X\x00A: b",
    b"X\xe9A: b",
    b": b",
    b"X-A",
    b"X-A: \x00",
]
_HEADS = {
    **{
        f"status {status.decode()}": b"HTTP/1.1 %b OK\r\n" % status + _SOUND
        for status in _UNSOUND_STATUSES
    },
    **{
        f"field {field!r}": b"HTTP/1.1 200 OK\r\n%b\r\n" % field + _SOUND
        for field in _UNSOUND_FIELDS
    },
    **{
        f"interim {field!r}": b"HTTP/1.1 103 Hints\r\n%b\r\n\r\n" % field
        + b"HTTP/1.1 200 OK\r\n"
        + _SOUND
        for field in _UNSOUND_FIELDS
    },
}


@pytest.fixture(params=["native", "python"], autouse=True)
def _parser(request, monkeypatch):
    """Has answers read by either parser of the HTTP library."""
    parser = http_parser.HttpResponseParserPy
    if request.param == "native":
        parser = http_parser.HttpResponseParser
    monkeypatch.setattr(client_proto, "HttpResponseParser", parser)


async def _send(address: str) -> None:
    sending = calls.OutboundRequest(engine_calls.call(), 1e6)
    async with engine_calls.connected() as engines:
        async with engines.send(
            engine_calls.endpoint(address), sending
        ) as reply:
            assert not [part async for part in reply.body]


async def _prefill(address: str) -> None:
    sending = calls.OutboundRequest(engine_calls.call(), 1e6)
    async with engine_calls.connected() as engines:
        await engines.prefill(engine_calls.endpoint(address), sending)


async def _state(address: str) -> None:
    async with engine_calls.connected() as engines:
        await engines.is_changing(engine_calls.endpoint(address))


async def _own_plain_call(address: str) -> None:
    async with engine_calls.plain_client() as caller:
        endpoint = engine_calls.plain_endpoint(address)
        call = endpoint_client.PlainCall("r1", "GET", "/")
        async with caller.call(endpoint, call) as reply:
            assert not [part async for part in reply.body]


async def _own_engine(address: str) -> None:
    async with sessions.new_session() as session:
        engine = http.HttpEngineClient("e1", address, session, clocks.Clock())
        await engine.load()


async def _page_of_the_store(address: str) -> None:
    async with store.new_session() as session:
        calls_ = store.Store(
            address, session, clocks.Clock(), epochs.StoreEpoch()
        )
        table = store.StoreTable(calls_, "keyed.op", lambda key, value: value)
        await table.newest()


# Such an answer was passed on with its status 000, or as the engine's whole.
@pytest.mark.parametrize("name", _HEADS)
@pytest.mark.parametrize(
    "reader",
    [_send, _prefill, _state, _own_plain_call, _own_engine, _page_of_the_store],
)
async def test_answer_whose_head_is_unsound_is_lost(reader, name):
    def script(request):
        return [_HEADS[name] + b"\r\n{}"]

    async with raw_server.serving(script) as (_, address):
        with pytest.raises(
            (client.EngineError, log.LogUnavailableError)
        ) as caught:
            await reader(address)
    if isinstance(caught.value, client.EngineError):
        assert caught.value.fault is LOST


@pytest.mark.parametrize("name", _HEADS)
async def test_process_that_replies_unsoundly_is_not_taken_for_sound(name):
    def script(request):
        return [_HEADS[name] + b"\r\n{}"]

    async with raw_server.serving(script) as (_, address):
        async with engine_calls.connected() as engines:
            state = await engines.process_state(engine_calls.endpoint(address))
    assert state is not liveness.ProcessState.RUNNING


async def test_unsound_trailers_are_never_passed_on():
    chunked = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX A: b\r\n\r\n"
    )
    async with raw_server.serving(lambda r: [chunked]) as (_, address):
        async with engine_calls.connected() as engines:
            sending = calls.OutboundRequest(engine_calls.call(), 1e6)
            endpoint = engine_calls.endpoint(address)
            try:
                async with engines.send(endpoint, sending) as reply:
                    names = {name for name, _ in reply.headers}
                    body = b"".join([part async for part in reply.body])
            except client.EngineError as error:
                assert error.fault is LOST
            else:
                assert body == b"{}"
                assert names == {"Request-Id", "Server-Seal"}
