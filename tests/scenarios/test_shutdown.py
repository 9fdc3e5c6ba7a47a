"""Steps of ``shutdown.feature``."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import dataclasses
import itertools

import pytest
import pytest_bdd
from pytest_bdd import parsers

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.leaving import shutdown
from jujubewharf.platform import live_list
from jujubewharf.requests import model_request
from jujubewharf.requests import plain
from jujubewharf.standins import engine as engines
from tests.scenarios import steps

pytest_bdd.scenarios("shutdown.feature")

SERVICE = resources.Service(
    "verdict-llm", resources.ServiceKind.MODEL, model="judge"
)
PLAIN_SERVICE = resources.Service("shop-api", resources.ServiceKind.PLAIN)


class ShutdownWorld(steps.LoadedWorld):
    """A world with both pools under a steady load on the ready instances."""

    def __init__(self) -> None:
        super().__init__()
        self.endpoints: dict[str, resources.Endpoint] = {}
        self.last_events: list[model_request.Event | None] = []
        self.plain_answers: list[bytes] = []
        self.summary: shutdown.Summary | None = None
        self.long_request: asyncio.Task[model_request.Event | None] | None = (
            None
        )
        self._count = 0

    def request(self, tokens: int) -> model_request.ModelRequest:
        self._count += 1
        request_id = f"r{self._count}"
        return model_request.ModelRequest(
            request_id=request_id,
            key=request_id,
            body_digest=request_id,
            account="",
            service=SERVICE,
            prompt=f"answer_tokens={tokens} {request_id} " + "word " * 200,
            max_tokens=tokens,
            arrived_ms=self.bench.clock.now_ms(),
            deadline_ms=60_000.0,
        )

    def ready_instances(self) -> list[str]:
        return [
            name
            for name, instance in sorted(self.bench.instances.items())
            if not instance.process.is_dead and instance.core.admission.is_ready
        ]

    async def send_request(
        self, name: str, tokens: int
    ) -> model_request.Event | None:
        last: model_request.Event | None = None
        instance = self.bench.instances[name]
        async for event in instance.answer(self.request(tokens)):
            last = event
        return last

    async def load(self) -> None:
        for turn in itertools.count():
            names = self.ready_instances()
            name = names[turn % len(names)]
            self.sent.append(asyncio.create_task(self._send_and_record(name)))
            self.sent.append(asyncio.create_task(self._call_plain(name)))
            await self.bench.clock.sleep_ms(300)

    async def _send_and_record(self, name: str) -> None:
        self.last_events.append(await self.send_request(name, 80))

    async def _call_plain(self, name: str) -> None:
        self._count += 1
        call = plain.PlainRequest(
            request_id=f"p{self._count}",
            service=PLAIN_SERVICE,
            method="GET",
            path_query="/stock",
            arrived_ms=self.bench.clock.now_ms(),
            deadline_ms=10_000.0,
            is_repeatable=True,
        )
        self.plain_answers.append(
            await self.bench.instances[name].call_plain(call)
        )

    def shut_down(self, name: str, force_after_s: float | None = None) -> None:
        async def drain() -> None:
            core = self.bench.instances[name].core
            leaving = core.new_shutdown()
            task = asyncio.create_task(leaving.run())
            if force_after_s is not None:
                await self.bench.clock.sleep_ms(force_after_s * 1_000)
                leaving.force()
            self.summary = await task

        self.run(drain())


@pytest.fixture
def world() -> Iterator[ShutdownWorld]:
    world = ShutdownWorld()
    yield world
    world.close()


@pytest_bdd.given("6 instances in the domains a and b")
def six_instances(world):
    world.bench.live_list.lag_ms = 0.0
    for domain in "ab":
        for number in (1, 2, 3):
            name = f"entry-{domain}{number}"
            world.run(world.bench.start_instance(name, domain))
    world.wait_s(5)
    world.bench.live_list.lag_ms = 30_000.0


@pytest_bdd.given("4 engines and 2 tills")
def pools(world):
    for number in range(4):
        endpoint = resources.Endpoint(
            f"e{number}",
            SERVICE.name,
            f"127.0.0.1:e{number}",
            "ab"[number % 2],
            resources.Role.BOTH,
            model="judge",
        )
        spec = engines.EngineSpec(model="judge")
        world.bench.add_engine(endpoint, spec)
        world.endpoints[endpoint.name] = endpoint
    for number in range(2):
        endpoint = resources.Endpoint(
            f"till-{number}",
            PLAIN_SERVICE.name,
            f"127.0.0.1:till{number}",
            "ab"[number],
            resources.Role.PLAIN,
        )
        world.endpoints[endpoint.name] = endpoint
    declared = world.endpoints.values()
    world.run(world.bench.declare(SERVICE, PLAIN_SERVICE, *declared))
    world.wait_s(5)


@pytest_bdd.when("callers send requests all the while")
def load(world):
    world.start_load(world.load())
    world.wait_s(3)


@pytest_bdd.when(
    "every instance is replaced, with a change of configuration each time"
)
def replace_all(world):
    for number, name in enumerate(sorted(world.bench.instances)):
        world.run(world.bench.declare(resources.Model(f"model-{number}")))
        world.shut_down(name)
        assert world.summary.cut == 0
        world.run(world.bench.stop_instance(name))
        world.run(world.bench.restart_instance(name))
        core = world.bench.instances[name].core
        assert world.condition_met_within_s(
            20, core.configuration.caught_up.is_set
        )
        world.wait_s(5)


@pytest_bdd.when("a caller asks entry-a1 for a long answer")
def ask_long(world):
    async def start() -> None:
        world.long_request = asyncio.create_task(
            world.send_request("entry-a1", 1_000)
        )

    world.run(start())
    world.wait_s(2)


@pytest_bdd.when("entry-a1 is shut down and hastened after 1 second")
def force_shutdown(world):
    world.shut_down("entry-a1", force_after_s=1.0)


@pytest_bdd.when("entry-a1 is shut down")
def shut_down(world):
    world.shut_down("entry-a1")


@pytest_bdd.when("a caller asks entry-a1")
def ask_one(world):
    world.last_events.append(world.run(world.send_request("entry-a1", 5)))


@pytest_bdd.when(
    parsers.re(
        r"the (?P<source>engine|operator) says that (?P<name>\S+) leaves"
    )
)
def mark_leaving(world, source, name):
    if source == "engine":
        world.bench.engine(name).is_leaving = True
    else:
        drained = dataclasses.replace(world.endpoints[name], drained=True)
        world.run(world.bench.declare(drained))


@pytest_bdd.when(parsers.re(r"one list reader says that (?P<name>\S+) leaves"))
def reader_reports_leaving(world, name):
    """Only entry-b2 reads the current live list; the others lag behind."""
    endpoint = world.endpoints[name]
    member = live_list.LiveMember(
        name,
        endpoint.address,
        endpoint.domain,
        is_entry=False,
        state=live_list.LiveState.LEAVING,
    )
    core = world.bench.instances["entry-b2"].core
    core.departing_endpoints.listed = lambda: (member,)


@pytest_bdd.then("every answer came whole")
def all_answers_complete(world):
    world.end_load()
    assert len(world.last_events) > 10
    assert {type(end) for end in world.last_events} == {model_request.Finished}
    assert {end.count for end in world.last_events} == {80}
    assert len(world.plain_answers) > 10


@pytest_bdd.then("every instance knows all 6 changes")
def all_know_changes(world):
    for instance in world.bench.instances.values():
        state = instance.core.configuration.current
        for number in range(6):
            name = f"model-{number}"
            assert state.get(resources.Kind.MODEL, name) is not None


@pytest_bdd.then("no engine holds memory")
def no_memory_held(world):
    world.wait_s(5)
    for engine in world.bench.engines.values():
        assert world.run(engine.held()) == ()


@pytest_bdd.then("the shutdown cut 1 request")
def one_request_cut(world):
    assert world.summary.cut == 1


@pytest_bdd.then("the caller is told to come back and that nothing ran")
def caller_told_to_retry(world):
    end = world.last_events[-1]
    assert isinstance(end, model_request.Failed)
    assert end.kind is errors.ErrorKind.SHUTTING_DOWN
    assert end.ran is errors.Ran.NO
    assert end.retry_after_ms > 0


@pytest_bdd.then(parsers.re(r"3 seconds later (?P<name>\S+) gets no new work"))
def no_new_work(world, name):
    world.wait_s(3)
    before = _work_count(world, name)
    world.wait_s(15)
    assert _work_count(world, name) == before


def _work_count(world: ShutdownWorld, name: str) -> int:
    if name.startswith("till"):
        return len(world.bench.endpoints.runs.get(name, ()))
    return len(world.bench.engine(name).counts.dispatches)
