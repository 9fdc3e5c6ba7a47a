"""Steps of ``policy.feature``: slot coordinators and their grants.

Guard against instances with stale load reports all choosing the same engine,
and against lost answers when a coordinator fails.
"""

from __future__ import annotations

import asyncio

import pytest
import pytest_bdd
from pytest_bdd import parsers

from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.requests import model_request
from jujubewharf.routing import coordinators
from jujubewharf.standins import engine as engines
from tests.scenarios import steps

pytest_bdd.scenarios("policy.feature")

_SERVICE = resources.Service(
    "verdict-llm",
    resources.ServiceKind.MODEL,
    model="judge",
    first_answer_target_ms=20_000,
)
_TOKENS = 40


class PolicyScenario:
    """A world, its engines and the last event of each request."""

    def __init__(self):
        self.world = steps.World()
        self.bench = self.world.bench
        self.world.run(self.bench.declare(_SERVICE))
        self.last_events = []
        self.refused_full = 0

    def add_engine(self, name, domain, role, *, capabilities=None, lag_ms=500):
        capabilities = capabilities or resources.Capabilities()
        endpoint = resources.Endpoint(
            name,
            _SERVICE.name,
            f"127.0.0.1:{name}",
            domain,
            resources.Role(role),
            slots=4,
            capabilities=capabilities,
        )
        spec = engines.EngineSpec(
            slots=4,
            role=role,
            model="judge",
            capabilities=capabilities,
            report_lag_ms=lag_ms,
        )

        def add():
            engine = self.bench.add_engine(endpoint, spec)
            self._count_refusals(engine)

        self.world.call_in_loop(add)
        self.world.run(self.bench.declare(endpoint))

    def _count_refusals(self, engine):
        reserve = engine.reserve

        async def counting_reserve(attempt):
            try:
                await reserve(attempt)
            except client.EngineError as error:
                full = client.EngineFault.REFUSED_FULL
                self.refused_full += error.fault is full
                raise

        engine.reserve = counting_reserve

    async def send_request(self, instance, number):
        request = model_request.ModelRequest(
            request_id=f"r-{instance.name}-{number}",
            key=f"k-{instance.name}-{number}",
            body_digest="",
            account="",
            service=_SERVICE,
            prompt=f"answer_tokens={_TOKENS} " + "word " * 400,
            max_tokens=_TOKENS,
            arrived_ms=self.bench.clock.now_ms(),
            deadline_ms=40_000,
        )
        answer = instance.core.answer(request)
        self.last_events.append([event async for event in answer][-1])

    def living(self):
        return [
            instance
            for instance in self.bench.instances.values()
            if not instance.process.is_dead
        ]

    def send_requests(self, count, over_s):
        async def work():
            requests = []
            for number in range(count):
                for instance in self.living():
                    name = number + 100 * len(self.last_events)
                    requests.append(
                        asyncio.ensure_future(self.send_request(instance, name))
                    )
                await self.bench.clock.sleep_ms(over_s * 1_000 / count)
            await asyncio.gather(*requests)

        self.world.run(work())


@pytest.fixture
def scenario():
    state = PolicyScenario()
    yield state
    state.world.close()


@pytest_bdd.given("two decode engines of 4 slots whose reports are 5 s old")
def two_decode_engines(scenario):
    for name, domain in (("d1", "a"), ("d2", "b")):
        scenario.add_engine(name, domain, "decode", lag_ms=5_000)
    scenario.add_engine("p1", "a", "prefill", lag_ms=5_000)


@pytest_bdd.given('a decode engine "d1" that can\'t import KV cache')
def no_import(scenario):
    capabilities = resources.Capabilities(kv_import=False)
    scenario.add_engine("d1", "a", "both", capabilities=capabilities)


@pytest_bdd.given('a prefill engine "p1" that can\'t export KV cache')
def no_export(scenario):
    capabilities = resources.Capabilities(kv_export=False)
    scenario.add_engine("p1", "b", "prefill", capabilities=capabilities)


@pytest_bdd.given('3 instances in each of domains "a" and "b"')
def instances(scenario):
    for domain in ("a", "b"):
        for number in range(3):
            name = f"e-{domain}{number}"
            scenario.world.run(scenario.bench.start_instance(name, domain))
    scenario.world.wait_s(8)


@pytest_bdd.when("every instance is asked 3 questions at once")
def ask_at_once(scenario):
    scenario.send_requests(3, 0)


@pytest_bdd.when(
    parsers.parse("every living instance is asked {count:d} questions over 6 s")
)
def ask_over_time(scenario, count):
    scenario.send_requests(count, 6)


@pytest_bdd.when('the keeper of "d1" dies')
def coordinator_dies(scenario):
    core = scenario.living()[0].core
    endpoint = core.fleet.view("d1").endpoint
    coordinator = coordinators.coordinator_of(
        endpoint, core.membership.present()
    )
    scenario.world.call_in_loop(
        lambda: scenario.bench.kill_instance(coordinator)
    )


@pytest_bdd.when('the peers of domain "a" are cut off')
def cut_peers(scenario):
    scenario.world.call_in_loop(
        lambda: scenario.bench.cut_domain(
            "a", from_log=False, from_list=False, from_engines_elsewhere=False
        )
    )


@pytest_bdd.when('the instances are told that "d1" is leaving')
def engine_marked_leaving(scenario):
    for instance in scenario.living():
        instance.core.fleet.mark_leaving("d1", True)


@pytest_bdd.then("no engine refused a reservation for lack of slots")
def no_reservation_refused(scenario):
    assert scenario.refused_full == 0


@pytest_bdd.then("no prompt was read in vain")
def no_wasted_prefill(scenario):
    for engine in scenario.bench.engines.values():
        assert engine.counts.wasted_prefill_tokens == 0


@pytest_bdd.then("every question is answered whole")
def all_answers_complete(scenario):
    kinds = [type(end) for end in scenario.last_events]
    assert kinds == [model_request.Finished] * len(kinds)
    assert all(end.count == _TOKENS for end in scenario.last_events)


@pytest_bdd.then("no slot stays held")
def no_slot_held(scenario):
    scenario.world.wait_s(1)
    for engine in scenario.bench.engines.values():
        assert scenario.world.run(engine.held()) == ()


@pytest_bdd.then(parsers.parse('"{name}" wrote nothing'))
def decoded_nothing(scenario, name):
    assert scenario.bench.engine(name).counts.decoded_tokens == 0


@pytest_bdd.then(parsers.parse('"{name}" read nothing'))
def prefilled_nothing(scenario, name):
    assert scenario.bench.engine(name).counts.prefilled_tokens == 0
