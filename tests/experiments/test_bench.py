"""Tests of the bench: requests are answered deterministically."""

from __future__ import annotations

from jujubewharf.configuration import resources
from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import virtual_time
from jujubewharf.requests import model_request
from jujubewharf.standins import engine as engines


async def _one_request() -> tuple[float, list[model_request.Event]]:
    bench = benches.Bench()
    service = resources.Service(
        "verdict-llm", resources.ServiceKind.MODEL, model="judge"
    )
    await bench.declare(service)
    for name, role in (
        ("p1", resources.Role.PREFILL),
        ("d1", resources.Role.DECODE),
    ):
        endpoint = resources.Endpoint(
            name, "verdict-llm", f"127.0.0.1:{name}", "a", role
        )
        bench.add_engine(
            endpoint, engines.EngineSpec(role=role.value, model="judge")
        )
        await bench.declare(endpoint)
    instance = await bench.start_instance("e1", "a")
    await bench.clock.sleep_ms(1_000)
    request = model_request.ModelRequest(
        request_id="r1",
        key="r1",
        body_digest="",
        account="",
        service=service,
        prompt="answer_tokens=9 " + "word " * 500,
        max_tokens=50,
        arrived_ms=bench.clock.now_ms(),
        deadline_ms=10_000,
    )
    events = [event async for event in instance.core.answer(request)]
    await bench.clock.sleep_ms(100)
    for engine in bench.engines.values():
        assert await engine.held() == ()
    ended_ms = bench.clock.now_ms()
    await bench.stop()
    return ended_ms, events


def test_request_is_answered_deterministically():
    first = virtual_time.run(_one_request())
    second = virtual_time.run(_one_request())
    assert first == second
    assert isinstance(first[1][-1], model_request.Finished)
    assert first[1][-1].count == 9
