"""What the end of an answer without a length means."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.engines import answer_ends
from jujubewharf.engines import client
from jujubewharf.engines import liveness
from jujubewharf.experiments import virtual_time

ENDPOINT = resources.Endpoint(
    "s1", "shop", "127.0.0.1:1", "a", resources.Role.PLAIN
)
State = liveness.ProcessState


class _Process:
    """A process whose state is looked for.

    Args:
        clock: Time source.
        states: What each look finds; the last holds on.
        look_ms: Time that a look takes.
    """

    def __init__(self, clock, *states, look_ms: float = 0.0) -> None:
        self.began_ms = clock.now_ms()
        self.looked_ms: list[float] = []
        self.parts = 0
        self._clock = clock
        self._states = list(states)
        self._look_ms = look_ms

    def on_part(self):
        self.parts += 1

    async def state(self):
        self.looked_ms.append(self._clock.now_ms())
        await self._clock.sleep_ms(self._look_ms)
        return self._states.pop(0) if self._states[1:] else self._states[0]


async def _parts():
    yield b"a part "
    yield b"of it"


async def _read(*states, look_ms: float = 0.0, limit_ms=None):
    """Reads an answer; returns the process, its body, the time, the fault."""
    clock = clocks.Clock()
    process = _Process(clock, *states, look_ms=look_ms)
    began_ms = clock.now_ms()
    found = []
    fault = None
    body = answer_ends.whole_body(
        _parts(), ENDPOINT, process, clock, limit_ms=limit_ms
    )
    try:
        async for part in body:
            found.append(part)
    except client.EngineError as error:
        assert error.engine == ENDPOINT.name
        fault = error.fault
    return process, b"".join(found), clock.now_ms() - began_ms, fault


def _run(*states, look_ms: float = 0.0, limit_ms=None):
    return virtual_time.run(_read(*states, look_ms=look_ms, limit_ms=limit_ms))


# A sound endpoint may leave the length out, and each such answer would be lost.
def test_answer_is_whole_if_the_process_runs_on():
    process, body, took_ms, fault = _run(State.RUNNING)
    assert (body, fault) == (b"a part of it", None)
    assert len(process.looked_ms) == 1
    assert process.parts == 2
    assert took_ms == 0.0


# The kernel of a killed process closes its connections as if it had ended.
def test_answer_is_lost_if_the_process_is_gone():
    process, body, _, fault = _run(State.GONE)
    assert (body, fault) == (b"a part of it", client.EngineFault.LOST)
    assert len(process.looked_ms) == 1


# What accepts or resets connections may be the kernel that ends the process;
# how long that takes differs from machine to machine.
@pytest.mark.parametrize("silent_looks", [1, 10, 100])
@pytest.mark.parametrize("end", [State.RUNNING, State.GONE])
def test_process_is_looked_for_until_it_is_certain(silent_looks, end):
    states = [State.SILENT] * silent_looks
    process, _, _, fault = _run(*states, end)
    assert len(process.looked_ms) == silent_looks + 1
    assert (fault is None) == (end is State.RUNNING)


# The caller's time is over before anything is certain.
def test_look_ends_with_the_time_of_the_request():
    _, _, took_ms, fault = _run(State.SILENT, limit_ms=3_000.0)
    assert fault is client.EngineFault.LOST
    assert took_ms == pytest.approx(3_000.0, abs=1.0)


# Each look costs a request; a sound endpoint at its limit would get many.
def test_pauses_between_looks_grow():
    process, _, _, _ = _run(State.SILENT, limit_ms=3_000.0)
    assert 10 < len(process.looked_ms) < 50


# A host that went dark tells neither, and a part would pass for the whole.
def test_answer_is_lost_if_nobody_can_tell():
    process, _, took_ms, fault = _run(State.UNKNOWN, look_ms=150.0)
    assert fault is client.EngineFault.LOST
    assert len(process.looked_ms) > 1
    assert took_ms < 1_000.0


# A lost SYN is sent again only after a second, and a whole answer was lost.
def test_one_unclear_look_is_followed_by_another():
    _, _, _, fault = _run(State.UNKNOWN, State.RUNNING, look_ms=150.0)
    assert fault is None


# A peer that is asked may hang; the caller waits for no other answer meanwhile.
def test_endless_look_ends():
    _, _, took_ms, fault = _run(State.RUNNING, look_ms=1e9)
    assert fault is client.EngineFault.LOST
    assert took_ms < 1_000.0


def test_caller_that_has_left_starts_no_look():
    async def main():
        clock = clocks.Clock()
        process = _Process(clock, State.RUNNING)
        body = answer_ends.whole_body(_parts(), ENDPOINT, process, clock)
        await anext(body)
        await body.aclose()
        await clock.sleep_ms(1_000.0)
        assert process.looked_ms == []

    virtual_time.run(main())


def test_fault_of_a_body_is_passed_on_without_a_look():
    async def main():
        async def broken():
            yield b"a part"
            raise client.EngineError(client.EngineFault.LOST, "s1", "reset")

        clock = clocks.Clock()
        process = _Process(clock, State.RUNNING)
        body = answer_ends.whole_body(broken(), ENDPOINT, process, clock)
        with pytest.raises(client.EngineError) as caught:
            async for _ in body:
                await asyncio.sleep(0)
        assert caught.value.detail == "reset"
        assert process.looked_ms == []

    virtual_time.run(main())
