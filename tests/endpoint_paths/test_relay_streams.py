"""Calls through a peer over real TCP streams."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from jujubewharf import clock as clocks
from jujubewharf.endpoint_paths import endpoint_paths
from jujubewharf.endpoint_paths import relay_peers
from jujubewharf.engines import client
from jujubewharf.forwarding import calls
from jujubewharf.held_memory import memory_account
from jujubewharf.leadership import followers
from jujubewharf.leaving import shutdown
from jujubewharf.peers import counters
from jujubewharf.peers import handshake
from jujubewharf.peers import link_messages
from jujubewharf.peers import relay_messages
from jujubewharf.peers import streams
from tests import loopback
from tests.endpoint_paths import relay_standins

ENDPOINT = relay_standins.ENDPOINT
PART = b"x" * 65_536
# Far more than the buffers of two sockets hold.
PART_COUNT = 400


class _Backends:
    """Sends parts as fast as they are read."""

    def __init__(self):
        self.status = 200
        self.sent = 0
        self.is_ended = asyncio.Event()

    def listen(self, listener):
        pass

    @contextlib.asynccontextmanager
    async def send(self, endpoint, outbound):
        try:
            yield calls.Reply(self.status, (("A", "b"),), self._body())
        finally:
            self.is_ended.set()

    async def _body(self):
        for _ in range(PART_COUNT):
            self.sent += 1
            yield PART


def _paths(name, address, transport, known, clock):
    backends = _Backends()
    paths = endpoint_paths.EndpointPaths(backends, clock)
    hello = link_messages.Hello(
        name, "a", address, 1, capabilities=(relay_messages.CAPABILITY,)
    )
    server = paths.connect_peers(
        transport,
        hello,
        lambda: [relay_peers.PeerAddress(a) for a in known],
        relay_standins.OneEndpoint(),
        shutdown.AdmissionState(),
        lambda endpoint, notice: None,
        memory_account.HeldMemory(clock),
    )

    async def on_stream(reader, writer):
        accepted = await handshake.Handshake(
            reader, writer, hello, lambda n: 0, counters.PeerCounters()
        ).accept()
        assert accepted.is_relay
        await server.serve(accepted.instance, reader, writer)

    return paths, backends, on_stream


async def _connected(stack):
    """A client whose only peer is a server on a loopback address."""
    clock = clocks.Clock()
    transport = streams.TcpTransport(loopback.HOST, 0)
    _, backends, on_stream = _paths("e2", "", transport, [], clock)
    listener = await transport.listen(on_stream)
    stack.push_async_callback(listener.close)
    client, _, _ = _paths("e1", "", transport, [listener.address], clock)
    return client.backends.relay, backends


def _outbound():
    call = calls.Call("r1", "GET", "h", "/", (), b"", 0.0)
    return calls.OutboundRequest(call, 10_000.0)


# A slow caller's answer piled up in the memory of two instances.
def test_body_waits_for_a_slow_reader_and_arrives_whole():
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            relay, backends = await _connected(stack)
            async with relay.send(ENDPOINT, _outbound()) as reply:
                size = len(await anext(reply.body))
                while True:
                    sent = backends.sent
                    await asyncio.sleep(0.1)
                    if backends.sent == sent:
                        break
                assert backends.sent < PART_COUNT / 2
                async for part in reply.body:
                    size += len(part)
            assert size == len(PART) * PART_COUNT
            assert reply.headers == (("A", "b"),)

    asyncio.run(main())


# A peer of an older build passed on an answer whose status was 000.
@pytest.mark.parametrize("status", [0, 99, 101, 600, 999])
def test_status_that_is_none_makes_a_peers_answer_lost(status):
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            relay, backends = await _connected(stack)
            backends.status = status
            with pytest.raises(client.EngineError) as caught:
                async with relay.send(ENDPOINT, _outbound()):
                    pass
            assert caught.value.fault is client.EngineFault.LOST

    asyncio.run(main())


# The endpoint worked on after the caller had left in the middle of a body.
def test_closed_stream_ends_the_call_at_the_peer():
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            relay, backends = await _connected(stack)
            async with relay.send(ENDPOINT, _outbound()) as reply:
                await anext(reply.body)
            await asyncio.wait_for(backends.is_ended.wait(), 5.0)
            assert backends.sent < PART_COUNT

    asyncio.run(main())


def test_other_streams_to_an_instance_that_does_not_lead_are_refused():
    async def main():
        writers = []

        class _Writer:
            def close(self):
                writers.append(self)

        await followers._refuse_relay("e1", asyncio.StreamReader(), _Writer())
        assert len(writers) == 1

    asyncio.run(main())
