"""Stand-in backends that are paused, hang, crash in a pause or go dark."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from jujubewharf.engines import client
from jujubewharf.forwarding import calls
from jujubewharf.standins import backend_processes
from jujubewharf.standins import endpoint_cuts
from tests.forwarding import deployments

PAUSE_MS = 1_300.0


def _world(*behind):
    """A deployment without instances, whose stand-ins are called directly."""
    return deployments.Deployment(
        *(behind or (deployments.decode_engine("d"),))
    )


def _outbound(world, **more) -> calls.OutboundRequest:
    return calls.OutboundRequest(world.call("/verdicts/1"), 9_000.0, **more)


def _endpoint(world, name: str = "d"):
    return world.backends.by_name[name].endpoint


async def _read_ms(world, outbound) -> list[float]:
    """Reads a stream; returns when each event arrived, in clock ms."""
    times_ms = []
    async with world.backends.send(_endpoint(world), outbound) as reply:
        async for _ in reply.body:
            times_ms.append(world.clock.now_ms())
    return times_ms


# A pause that lost or doubled events, or let them through, would have the
# histories judge instances by an engine that no machine has.
def test_a_stream_goes_on_behind_its_last_event_after_a_pause():
    async def test():
        world = _world()
        reading = asyncio.ensure_future(_read_ms(world, _outbound(world)))
        await world.clock.sleep_ms(120.0)
        world.pause(["d"], for_ms=PAUSE_MS)
        assert world.backends.by_name["d"].is_paused
        assert await world.backends.is_reachable(_endpoint(world))
        assert not await world.backends.has_crashed(_endpoint(world))
        assert await reading == [50.0, 100.0, 1_420.0, 1_470.0, 1_520.0]

    deployments.run(test())


# The system accepts connections for a paused process, which answers later.
def test_a_paused_engine_answers_runs_when_it_resumes():
    async def test():
        world = _world()
        world.pause(["d"], for_ms=PAUSE_MS)
        times_ms = await _read_ms(world, _outbound(world))
        assert times_ms[0] == PAUSE_MS + 50.0
        assert world.backends.runs[0].at_ms == PAUSE_MS

    deployments.run(test())


# What a paused process was sent is not undone by closing the connection.
def test_a_paused_engine_reads_the_calls_whose_callers_gave_up():
    async def test():
        world = _world(deployments.decode_engine("d"))
        world.pause(["d"], for_ms=PAUSE_MS)
        with pytest.raises(client.EngineError) as raised:
            await world.backends.reserve(
                _endpoint(world), tokens=100, ttl_ms=2_000.0
            )
        assert raised.value.fault is client.EngineFault.LOST
        now_ms = world.clock.now_ms()
        assert now_ms == backend_processes.STATE_TIMEOUT_MS
        with contextlib.suppress(TimeoutError):
            async with world.clock.timeout_ms(100.0):
                await _read_ms(world, _outbound(world))
        backend = world.backends.by_name["d"]
        assert not backend.held and not world.backends.runs
        await world.clock.sleep_ms(PAUSE_MS)
        assert list(backend.held.values()) == [100]
        assert len(world.backends.runs) == 1
        assert not backend.running_requests

    deployments.run(test())


def test_a_paused_engine_holds_a_run_until_it_reads_the_closed_connection():
    async def test():
        world = _world()
        hold = await world.backends.reserve(
            _endpoint(world), tokens=100, ttl_ms=2_000.0
        )
        reading = asyncio.ensure_future(
            _read_ms(world, _outbound(world, hold=hold))
        )
        await world.clock.sleep_ms(120.0)
        world.pause(["d"], for_ms=PAUSE_MS)
        reading.cancel()
        await world.clock.sleep_ms(10.0)
        backend = world.backends.by_name["d"]
        assert backend.running_requests and backend.held
        await world.clock.sleep_ms(PAUSE_MS)
        assert not backend.running_requests and not backend.held

    deployments.run(test())


def test_a_prefill_beside_a_pause_is_given_up_in_time():
    async def test():
        world = _world(deployments.prefill_engine("p"))
        world.pause(["p"], for_ms=None)
        with pytest.raises(client.EngineError) as raised:
            await world.backends.prefill(
                _endpoint(world, "p"), _outbound(world)
            )
        assert raised.value.fault is client.EngineFault.LOST
        now_ms = world.clock.now_ms()
        assert now_ms == backend_processes.PREFILL_TIMEOUT_MS

    deployments.run(test())


# A kill ends the pause: the system closes the connections at once.
def test_a_crash_in_a_pause_ends_streams_at_once():
    async def test():
        world = _world()
        reading = asyncio.ensure_future(_read_ms(world, _outbound(world)))
        await world.clock.sleep_ms(120.0)
        world.pause(["d"], for_ms=None)
        await world.clock.sleep_ms(500.0)
        world.backends.crash(world.backends.by_name["d"])
        with pytest.raises(client.EngineError):
            await reading
        assert world.clock.now_ms() == 620.0
        assert await world.backends.has_crashed(_endpoint(world))

    deployments.run(test())


# A machine that is gone sends no FIN and refuses nothing.
def test_a_dark_engine_hangs_and_can_not_be_reached():
    async def test():
        world = _world()
        reading = asyncio.ensure_future(_read_ms(world, _outbound(world)))
        await world.clock.sleep_ms(120.0)
        backend = world.backends.by_name["d"]
        backend.go_dark()
        backend.resume()
        began_ms = world.clock.now_ms()
        with pytest.raises(client.EngineError) as raised:
            await world.backends.reserve(
                _endpoint(world), tokens=100, ttl_ms=2_000.0
            )
        assert raised.value.fault is client.EngineFault.UNREACHABLE
        took_ms = world.clock.now_ms() - began_ms
        assert took_ms == endpoint_cuts.CONNECT_TIMEOUT_MS
        assert not await world.backends.is_reachable(_endpoint(world))
        assert not await world.backends.has_crashed(_endpoint(world))
        await world.clock.sleep_ms(10_000.0)
        assert not reading.done()
        reading.cancel()

    deployments.run(test())
