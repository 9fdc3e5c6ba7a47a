"""Bodies of calls through a peer, against the peer's account of memory."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

import pytest

from jujubewharf import clock as clocks
from jujubewharf.endpoint_paths import endpoint_paths
from jujubewharf.endpoint_paths import relay_peers
from jujubewharf.endpoint_paths import relay_streams
from jujubewharf.endpoint_paths import relayed_bodies
from jujubewharf.engines import client
from jujubewharf.forwarding import calls
from jujubewharf.held_memory import leases
from jujubewharf.held_memory import memory_account
from jujubewharf.leaving import shutdown
from jujubewharf.peers import counters
from jujubewharf.peers import handshake
from jujubewharf.peers import link_messages
from jujubewharf.peers import relay_messages
from jujubewharf.peers import streams
from tests import loopback
from tests.endpoint_paths import relay_standins

ENDPOINT = relay_standins.ENDPOINT
MB = 1_000_000
BODY_BYTES = 2 * MB
BOUND_BYTES = 20 * MB
# Bodies that fit into the part of the memory that peers may have.
FITTING = 2
# More than the buffers of two sockets hold.
BUFFERS_BYTES = 40 * MB
CAPABILITIES = (relay_messages.CAPABILITY, relay_messages.BODY_CAPABILITY)
Kind = leases.Kind


class _Backends:
    """Holds each call until it is let go."""

    def __init__(self):
        self.bodies = []
        self.received = asyncio.Semaphore(0)
        self.go_on = asyncio.Event()

    def listen(self, listener):
        pass

    @contextlib.asynccontextmanager
    async def send(self, endpoint, outbound):
        self.bodies.append(outbound.call.body)
        self.received.release()
        await self.go_on.wait()
        yield calls.Reply(200, (), _answer(), 2)


async def _answer():
    yield b"ok"


class _Pair:
    """An instance that asks a peer, over TCP.

    Attributes:
        relay: Has the peer make calls.
        backends: The peer's endpoints.
        held: The peer's account of memory.
        address: Address of the peer.
    """

    def __init__(self, capabilities):
        self.clock = clocks.Clock()
        self.transport = streams.TcpTransport(loopback.HOST, 0)
        self.backends = _Backends()
        self.held = memory_account.HeldMemory(
            self.clock, bound_bytes=BOUND_BYTES
        )
        self.hello = link_messages.Hello(
            "e2", "a", "", 1, capabilities=capabilities
        )
        self._server = self._paths(self.backends, self.hello, [])[1]

    async def start(self, stack):
        listener = await self.transport.listen(self._on_stream)
        stack.push_async_callback(listener.close)
        self.address = listener.address
        hello = dataclasses.replace(self.hello, instance="e1")
        paths, _ = self._paths(_Backends(), hello, [self.address])
        self.relay = paths.backends.relay
        return self

    def _paths(self, backends, hello, known):
        paths = endpoint_paths.EndpointPaths(backends, self.clock)
        server = paths.connect_peers(
            self.transport,
            hello,
            lambda: [relay_peers.PeerAddress(a) for a in known],
            relay_standins.OneEndpoint(),
            shutdown.AdmissionState(),
            lambda endpoint, notice: None,
            self.held,
        )
        return paths, server

    async def _on_stream(self, reader, writer):
        accepted = await handshake.Handshake(
            reader, writer, self.hello, lambda n: 0, counters.PeerCounters()
        ).accept()
        await self._server.serve(accepted.instance, reader, writer)

    async def send(self, size_bytes):
        """Sends a body; returns the answer's status, or the fault."""
        try:
            async with self.relay.send(ENDPOINT, _outbound(size_bytes)) as got:
                return got.status, [part async for part in got.body]
        except client.EngineError as error:
            return error.fault

    async def until(self, count):
        """Waits until the peer's endpoint has got calls."""
        async with asyncio.timeout(5.0):
            for _ in range(count):
                await self.backends.received.acquire()

    async def open(self):
        """Opens a stream for a call by hand."""
        reader, writer = await self.transport.dial(self.address)
        hello = dataclasses.replace(self.hello, instance="e1", is_relay=True)
        await handshake.Handshake(
            reader, writer, hello, lambda n: 0, counters.PeerCounters()
        ).dial_any()
        return relay_streams.RelayStream(reader, writer)


def _outbound(size_bytes):
    body = bytes(range(256)) * (size_bytes // 256)
    call = calls.Call("r1", "POST", "h", "/", (), body, 0.0)
    return calls.OutboundRequest(call, 5_000.0)


def _run(play, capabilities=CAPABILITIES):
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            await play(await _Pair(capabilities).start(stack))

    asyncio.run(main())


def test_large_body_arrives_whole_and_is_counted_once():
    async def play(pair):
        sending = asyncio.ensure_future(pair.send(BODY_BYTES))
        await pair.until(1)
        held_bytes = pair.held.held[Kind.PEER_BODY]
        assert BODY_BYTES <= held_bytes < 1.3 * BODY_BYTES
        assert pair.backends.bodies == [_outbound(BODY_BYTES).call.body]
        pair.backends.go_on.set()
        assert await sending == (200, [b"ok"])
        await asyncio.sleep(0.05)
        assert pair.held.total_bytes == 0

    _run(play)


# A peer was sent as many bodies as its callers had, whatever room it had.
def test_bodies_beyond_the_peers_room_are_not_run():
    async def play(pair):
        sending = [
            asyncio.ensure_future(pair.send(BODY_BYTES)) for _ in range(12)
        ]
        done, held = await asyncio.wait(sending, timeout=2.0)
        assert len(held) == len(pair.backends.bodies) == FITTING
        assert {task.result() for task in done} == {
            client.EngineFault.UNREACHABLE
        }
        assert pair.held.total_bytes < BOUND_BYTES
        # Small ones are served beside them, also right after such a refusal.
        small = asyncio.ensure_future(pair.send(1_024))
        await pair.until(FITTING + 1)
        pair.backends.go_on.set()
        assert (await small)[0] == 200

    _run(play)


# A peer of an older build read such a body outside of its account.
def test_large_body_is_not_handed_to_an_older_build():
    async def play(pair):
        pair.backends.go_on.set()
        fault = await pair.send(BODY_BYTES)
        assert fault is client.EngineFault.UNREACHABLE
        assert not pair.backends.bodies
        assert (await pair.send(1_024))[0] == 200

    _run(play, capabilities=(relay_messages.CAPABILITY,))


@pytest.mark.parametrize("is_full", [False, True])
def test_body_in_one_message_of_an_older_build_is_counted(is_full):
    async def play(pair):
        pair.backends.go_on.set()
        if is_full:
            pair.held.add(pair.held.new(), Kind.BODY, BOUND_BYTES - 3 * MB)
        stream = await pair.open()
        message = relay_messages.RelayedSend(
            ENDPOINT.name, _outbound(BODY_BYTES)
        )
        await stream.send(message)
        answer = await stream.receive()
        stream.close()
        if is_full:
            assert answer.reason == relay_messages.RefusalReason.BUSY.value
            assert not pair.backends.bodies
        else:
            assert answer.status == 200
            assert len(pair.backends.bodies) == 1

    _run(play)


# A peer that ended while a body came was taken for one that may have sent it
# on, and a call that may run once was given up.
def test_stream_that_breaks_within_a_body_leaves_the_call_not_run():
    async def play(pair):
        writers = []

        async def on_stream(reader, writer):
            accepted = await handshake.Handshake(
                reader, writer, pair.hello, lambda n: 0, counters.PeerCounters()
            ).accept()
            assert accepted.is_relay
            stream = relay_streams.RelayStream(reader, writer)
            await stream.receive()
            await stream.send(relay_messages.RelayedBodyWanted())
            await stream.receive()
            writers.append(writer)
            writer.transport.abort()

        pair._on_stream = on_stream
        async with contextlib.AsyncExitStack() as stack:
            await pair.start(stack)
            fault = await pair.send(BUFFERS_BYTES)
        assert fault is client.EngineFault.UNREACHABLE
        assert len(writers) == 1

    _run(play)


# The memory of a call whose asking instance had gone was held on.
def test_memory_is_given_back_when_the_asking_instance_ends():
    async def play(pair):
        stream = await pair.open()
        message = relay_messages.RelayedSend(
            ENDPOINT.name, _outbound(0), BODY_BYTES
        )
        await stream.send(message)
        answer = await stream.receive()
        assert isinstance(answer, relay_messages.RelayedBodyWanted)
        assert pair.held.held[Kind.PEER_BODY]
        stream.close()
        await asyncio.sleep(0.1)
        assert pair.held.total_bytes == 0
        assert not pair.backends.bodies

    _run(play)


class _BreakingStream:
    """A stream to a peer that wants the body, and breaks as a part is sent."""

    def __init__(self, breaks_at: int) -> None:
        self._left = breaks_at

    async def receive(self):
        return relay_messages.RelayedBodyWanted()

    async def send(self, message) -> None:
        if isinstance(message, relay_messages.RelayedPart):
            self._left -= 1
            if not self._left:
                raise relay_streams.BrokenRelayError("lost")


# A stream broke while its last part was on its way, with which the peer had the
# whole body and made the call; its caller heard that it had not run.
@pytest.mark.parametrize("is_last", [False, True])
def test_call_whose_last_part_was_written_may_have_run(is_last):
    async def main():
        outbound = _outbound(BODY_BYTES)
        parts = -(-len(outbound.call.body) // 65_536)
        stream = _BreakingStream(parts if is_last else parts - 1)
        message = relay_messages.RelayedSend(ENDPOINT.name, outbound)
        expected = (
            relay_streams.BrokenRelayError
            if is_last
            else relayed_bodies.RefusedError
        )
        with pytest.raises(expected):
            await relayed_bodies.hand_over(stream, message, clocks.Clock())

    asyncio.run(main())
