"""Tests of the faults that the bench can inject."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import processes
from jujubewharf.experiments import virtual_time
from jujubewharf.platform import log as platform_log
from jujubewharf.requests import model_request
from jujubewharf.standins import engine as engines

_SERVICE = resources.Service(
    "verdict-llm", resources.ServiceKind.MODEL, model="judge"
)


async def _bench(domains: tuple[str, ...] = ("a",)) -> benches.Bench:
    """One engine in the first domain and one instance in each domain."""
    bench = benches.Bench()
    await bench.declare(_SERVICE)
    endpoint = resources.Endpoint(
        "d1", "verdict-llm", "127.0.0.1:1", domains[0], resources.Role.BOTH
    )
    bench.add_engine(endpoint, engines.EngineSpec(model="judge"))
    await bench.declare(endpoint)
    for domain in domains:
        await bench.start_instance(f"e-{domain}", domain)
    await bench.clock.sleep_ms(1_000)
    return bench


def _request(bench: benches.Bench, *, tokens: int = 100):
    return model_request.ModelRequest(
        request_id="r1",
        key="r1",
        body_digest="",
        account="",
        service=_SERVICE,
        prompt=f"answer_tokens={tokens} " + "word " * 100,
        max_tokens=500,
        arrived_ms=bench.clock.now_ms(),
        deadline_ms=60_000,
    )


async def _ask(bench: benches.Bench, instance: str, seen: list, **options):
    request = _request(bench, **options)
    async for event in bench.instances[instance].answer(request):
        seen.append(event)


def test_killed_instance_runs_no_clean_up():
    """Guards against code of a dead process that runs or reaches the engine.

    The caller's stream breaks, while the engine keeps decoding.
    """

    async def run():
        bench = await _bench()
        engine = bench.engine("d1")
        process = bench.instances["e-a"].process
        heard: list[str] = []

        async def goodbye():
            try:
                await bench.clock.sleep_ms(1_200)
                heard.append("timer")
            finally:
                heard.append("clean-up")

        process.create_task(goodbye())
        seen: list = []
        caller = asyncio.create_task(_ask(bench, "e-a", seen))
        await bench.clock.sleep_ms(1_000)
        bench.kill_instance("e-a")
        with pytest.raises(processes.InstanceLostError):
            await caller
        written = engine.counts.decoded_tokens
        assert len(await engine.held()) == 1
        await bench.clock.sleep_ms(500)
        assert engine.counts.decoded_tokens > written
        assert heard == []
        with pytest.raises(asyncio.CancelledError):
            await process.call_remote(engine.release("r1.1"))
        assert len(await engine.held()) == 1
        with pytest.raises(processes.InstanceLostError):
            await _ask(bench, "e-a", [])

    virtual_time.run(run())


def test_restarted_instance_has_no_state():
    async def run():
        bench = await _bench()
        first = bench.instances["e-a"]
        second = await bench.restart_instance("e-a")
        assert first.process.is_dead
        assert second.core is not first.core
        await bench.clock.sleep_ms(1_000)
        seen: list = []
        await _ask(bench, "e-a", seen)
        await bench.stop()
        return seen

    assert isinstance(virtual_time.run(run())[-1], model_request.Finished)


def test_paused_instance_runs_no_timers():
    """Guards against timers and answers of a paused instance that proceed.

    The engine and the caller are not paused.
    """

    async def run():
        bench = await _bench()
        process = bench.instances["e-a"].process
        woken_ms: list[float] = []

        async def nap():
            await bench.clock.sleep_ms(1_000)
            woken_ms.append(bench.clock.now_ms())

        process.create_task(nap())
        seen: list = []
        caller = asyncio.create_task(_ask(bench, "e-a", seen, tokens=50))
        await bench.clock.sleep_ms(500)
        before = len(seen)
        assert before > 0
        bench.pause_instance("e-a")
        await bench.clock.sleep_ms(4_500)
        assert len(seen) == before
        assert woken_ms == []
        assert bench.engine("d1").counts.decoded_tokens == 50
        bench.resume_instance("e-a")
        await caller
        assert isinstance(seen[-1], model_request.Finished)
        await bench.stop()
        return woken_ms

    assert virtual_time.run(run()) == [6_000.0 + 5.0 * 2]


def test_partitioned_domain_reaches_no_engine_elsewhere_until_healed():
    """Connecting across a partition fails; answers are held back."""

    async def run():
        bench = await _bench(("a", "b"))
        attempt = client.Attempt("r9.1", "e-b")
        far = bench._remote_engine(
            bench.instances["e-b"].process,
            resources.Endpoint(
                "d1", "verdict-llm", "127.0.0.1:1", "a", resources.Role.BOTH
            ),
        )
        call = asyncio.create_task(far.reserve(attempt))
        await bench.clock.sleep_ms(1)
        bench.cut_domain("b")
        with pytest.raises(client.EngineError) as failed:
            await far.held()
        assert failed.value.fault is client.EngineFault.UNREACHABLE
        assert len(await bench.engine("d1").held()) == 1
        assert not call.done()
        bench.heal()
        await call
        assert len(await far.held()) == 1
        await bench.stop()

    virtual_time.run(run())


def test_partition_from_log_loses_answer_of_append_in_flight():
    async def run():
        bench = await _bench()
        seen_log = bench.instances["e-a"].log
        append = asyncio.create_task(seen_log.append("s", [b"x"]))
        await bench.clock.sleep_ms(1)
        bench.cut_domain("a")
        with pytest.raises(platform_log.AppendUnknownError):
            await append
        with pytest.raises(platform_log.LogUnavailableError):
            await seen_log.append("s", [b"y"])
        page = await bench.log.read("s", 0)
        await bench.stop()
        return [record.payload for record in page.records]

    assert virtual_time.run(run()) == [b"x"]


def test_crashed_engine_loses_answer_and_restarts_without_state():
    async def run():
        bench = await _bench()
        seen: list = []
        caller = asyncio.create_task(_ask(bench, "e-a", seen))
        await bench.clock.sleep_ms(1_000)
        await bench.kill_engine("d1")
        await bench.clock.sleep_ms(100)
        bench.restart_engine("d1")
        assert await bench.engine("d1").held() == ()
        caller.cancel()
        await bench.stop()
        return len(seen)

    assert virtual_time.run(run()) > 0


def test_stalled_link_completes_no_transfer():
    async def run():
        bench = await _bench()
        bench.stall_link("d1")
        carry = asyncio.create_task(bench.engine("d1").link.transfer(1_000))
        await bench.clock.sleep_ms(5_000)
        assert not carry.done()
        bench.stall_link("d1", is_stalled=False)
        await carry
        await bench.stop()

    virtual_time.run(run())


def test_drain_completes_running_answers():
    """Guards against a drain that interrupts a running answer."""

    async def run():
        bench = await _bench()
        seen: list = []
        caller = asyncio.create_task(_ask(bench, "e-a", seen))
        await bench.clock.sleep_ms(500)
        await bench.stop_instance("e-a")
        await caller
        assert bench.instances["e-a"].process.is_dead
        return seen[-1]

    assert isinstance(virtual_time.run(run()), model_request.Finished)
