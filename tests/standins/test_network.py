"""Tests of the in-memory network: ordering, partitions and closing."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf import clock as clocks
from jujubewharf.experiments import virtual_time
from jujubewharf.standins import network


async def _pair():
    clock = clocks.Clock(wall_origin_ms=0.0)
    net = network.MemoryNetwork(clock)
    accepted: asyncio.Queue = asyncio.Queue()

    async def on_stream(reader, writer):
        accepted.put_nowait((reader, writer))

    listener = await net.transport("e2", "b").listen(on_stream)
    dialled = await net.transport("e1", "a").dial(listener.address)
    return clock, net, listener, dialled, await accepted.get()


def test_bytes_written_at_same_time_arrive_in_order():
    async def run():
        _, net, _, (_, writer), (reader, _) = await _pair()
        for index in range(50):
            writer.write(bytes([index]))
        data = await reader.readexactly(50)
        assert net.bytes_sent == {"e1": 50}
        return data

    assert virtual_time.run(run()) == bytes(range(50))


def test_partition_holds_bytes_back_until_healed():
    """Guards against bytes that are lost in a partition."""

    async def run():
        clock, net, listener, (here, writer), (there, back) = await _pair()
        net.cut("a", "b", one_way=True)
        writer.write(b"late")
        back.write(b"now")
        assert await here.readexactly(3) == b"now"
        with pytest.raises(OSError):
            await net.transport("e1", "a").dial(listener.address)
        net.heal()
        started_ms = clock.now_ms()
        assert await there.readexactly(4) == b"late"
        return clock.now_ms() - started_ms

    assert virtual_time.run(run()) == 2.0


def test_dead_instance_closes_streams_and_listeners():
    async def run():
        _, net, listener, (here, writer), _ = await _pair()
        net.drop_instance("e2")
        assert await here.read() == b""
        with pytest.raises(ConnectionResetError):
            await writer.drain()
        with pytest.raises(ConnectionRefusedError):
            await net.transport("e1", "a").dial(listener.address)

    virtual_time.run(run())
