"""Steps of ``orders.feature``."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import dataclasses

import pytest
import pytest_bdd
from pytest_bdd import parsers

from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.orders import records
from jujubewharf.requests import model_request
from jujubewharf.standins import engine as engines
from tests.scenarios import steps

pytest_bdd.scenarios("orders.feature")

SERVICE = resources.Service(
    "verdict-llm", resources.ServiceKind.MODEL, model="judge"
)
MODEL = resources.Model("judge", ("1", "2"))


class OrdersWorld(steps.LoadedWorld):
    """A world with one pool of engines under a steady load.

    Attributes:
        endpoints: Endpoints of the pool, by name.
        ends: Last event of each request.
        serving: Samples of the number of engines that accept work.
        paused: Name of the paused instance.
    """

    def __init__(self) -> None:
        super().__init__()
        self.endpoints: dict[str, resources.Endpoint] = {}
        self.last_events: list[model_request.Event | None] = []
        self.serving_counts: list[int] = []
        self.paused_instance = ""
        self._request_count = 0

    def declare_version(self, version: str) -> None:
        for name, endpoint in self.endpoints.items():
            self.endpoints[name] = dataclasses.replace(
                endpoint, model_version=version
            )
        self.run(self.bench.declare(*self.endpoints.values()))

    def engines(self) -> list[engines.Engine]:
        return [self.bench.engine(name) for name in sorted(self.endpoints)]

    async def send_request(self) -> model_request.Event | None:
        self._request_count += 1
        names = sorted(self.bench.instances)
        request_id = f"r{self._request_count}"
        request = model_request.ModelRequest(
            request_id=request_id,
            key=request_id,
            body_digest=request_id,
            account="",
            service=SERVICE,
            prompt=f"answer_tokens=100 {request_id} " + "word " * 200,
            max_tokens=100,
            arrived_ms=self.bench.clock.now_ms(),
            deadline_ms=30_000.0,
        )
        instance = self.bench.instances[names[self._request_count % len(names)]]
        last: model_request.Event | None = None
        async for event in instance.answer(request):
            last = event
        return last

    async def load(self) -> None:
        while True:
            self.sent.append(asyncio.create_task(self._send_and_record()))
            self.serving_counts.append(self._serving_count())
            await self.bench.clock.sleep_ms(400)

    async def _send_and_record(self) -> None:
        self.last_events.append(await self.send_request())

    def _serving_count(self) -> int:
        cores = [i.core for i in self.bench.instances.values()]
        return min(
            sum(1 for v in core.fleet.views_of(SERVICE.name) if v.takes_work)
            for core in cores
        )


@pytest.fixture
def world() -> Iterator[OrdersWorld]:
    world = OrdersWorld()
    yield world
    world.close()


@pytest_bdd.given("3 instances in domain a")
def three_instances(world):
    for number in range(3):
        world.run(world.bench.start_instance(f"entry-{number}", "a"))


@pytest_bdd.given("4 engines of version 1 that ignore fencing numbers")
def four_engines(world):
    capabilities = resources.Capabilities(checks_fencing=False)
    spec = engines.EngineSpec(
        model="judge", model_version="1", capabilities=capabilities
    )
    for number in range(4):
        endpoint = resources.Endpoint(
            f"e{number}",
            SERVICE.name,
            f"127.0.0.1:e{number}",
            "a",
            resources.Role.BOTH,
            model="judge",
            capabilities=capabilities,
        )
        world.endpoints[endpoint.name] = endpoint
        world.bench.add_engine(endpoint, spec)
    world.run(world.bench.declare(MODEL, SERVICE))
    world.declare_version("1")
    world.wait_s(30)


@pytest_bdd.when("callers send requests all the while")
def load(world):
    world.start_load(world.load())
    world.wait_s(2)


@pytest_bdd.when(parsers.parse("operators declare version {version}"))
def declare(world, version):
    world.declare_version(version)


@pytest_bdd.when("operators declare engine e1 to decode only")
def declare_role(world):
    endpoint = dataclasses.replace(
        world.endpoints["e1"], role=resources.Role.DECODE
    )
    world.run(world.bench.declare(endpoint))


@pytest_bdd.when("the holder of an engine is paused before it orders")
def pause_holder(world):
    assert world.condition_met_within_s(20, lambda: _lease_holders(world))
    world.paused_instance = _lease_holders(world)[0]
    assert not any(engine.orders for engine in world.engines())
    world.call_in_loop(
        lambda: world.bench.pause_instance(world.paused_instance)
    )


@pytest_bdd.when("the paused instance goes on")
def resume_holder(world):
    world.call_in_loop(
        lambda: world.bench.resume_instance(world.paused_instance)
    )


@pytest_bdd.when(parsers.parse("{duration_s:d} seconds pass"))
def pass_time(world, duration_s):
    world.wait_s(duration_s)


@pytest_bdd.when("an order for version 1 under fence 0 reaches an engine")
def stale_order(world):
    order = client.Order(client.OrderKind.LOAD_MODEL, 0, "judge", "1")
    world.run(world.engines()[0].order(order))
    assert world.engines()[0].model_version == "1"


@pytest_bdd.when("the answers to the next 3 appends to the log are lost")
def lose_answers(world):
    world.run(world.bench.declare(MODEL))
    original = world.bench.log.append

    async def append(stream, payloads):
        if stream == records.STREAM and world.bench.log.lose_answers == 0:
            world.bench.log.lose_answers = int(len(lost_streams) < 3)
            lost_streams.append(stream)
        return await original(stream, payloads)

    lost_streams: list[str] = []
    world.bench.log.append = append


@pytest_bdd.when("the log goes down while an engine is held")
def log_down(world):
    assert world.condition_met_within_s(20, lambda: _lease_holders(world))
    world.bench.log.is_down = True


@pytest_bdd.when("the log comes back")
def log_back(world):
    world.bench.log.is_down = False


@pytest_bdd.when("the other engines are dead")
def kill_other_engines(world):
    for name in ("e1", "e2", "e3"):
        world.run(world.bench.kill_engine(name))
    world.wait_s(2)


@pytest_bdd.then(
    parsers.parse(
        "within {limit_s:d} seconds all engines have version {version}"
    )
)
def all_have_version(world, limit_s, version):
    def holds() -> bool:
        return all(e.model_version == version for e in world.engines())

    assert world.condition_met_within_s(limit_s, holds)


@pytest_bdd.then(
    parsers.parse("within {limit_s:d} seconds engine e1 decodes only")
)
def decodes_only(world, limit_s):
    engine = world.bench.engine("e1")
    assert world.condition_met_within_s(
        limit_s, lambda: engine.role == "decode"
    )


@pytest_bdd.then(
    "at every moment some engine was neither loading nor held back"
)
def some_engine_always_available(world):
    assert min(world.serving_counts) >= 1


@pytest_bdd.then("every answer came whole")
def all_answers_complete(world):
    # Few requests may precede the change, so send some more after it.
    world.wait_s(4)
    world.end_load()
    assert len(world.last_events) > 10
    assert {type(end) for end in world.last_events} == {model_request.Finished}
    assert {end.count for end in world.last_events} == {100}
    assert [e.counts.cut_by_orders for e in world.engines()] == [0] * 4


@pytest_bdd.then("a request is answered whole")
def one_answer_complete(world):
    end = world.run(world.send_request())
    assert isinstance(end, model_request.Finished)


@pytest_bdd.then("no engine obeyed an older holder after a newer one")
def fences_do_not_decrease(world):
    for engine in world.engines():
        fences = [order.fence for order in engine.orders]
        assert fences
        assert fences == sorted(fences)


@pytest_bdd.then(parsers.parse("no order is given for {duration_s:d} seconds"))
def no_order(world, duration_s):
    before = [len(engine.orders) for engine in world.engines()]
    world.wait_s(duration_s)
    assert [len(engine.orders) for engine in world.engines()] == before


@pytest_bdd.then("engine e0 still has version 1")
def version_unchanged(world):
    assert world.bench.engine("e0").model_version == "1"
    assert not world.bench.engine("e0").orders


def _lease_holders(world: OrdersWorld) -> list[str]:
    now_ms = world.loop.time() * 1_000
    for instance in world.bench.instances.values():
        held = instance.core.leases.ledger.held(now_ms)
        if held:
            return [entry.holder for entry in held.values()]
    return []
