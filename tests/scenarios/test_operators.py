"""Steps of ``operators.feature``: the operator service, called in process."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import dataclasses

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from jujubewharf import errors
from jujubewharf.configuration import records
from jujubewharf.configuration import resources
from jujubewharf.operators import service as services
from jujubewharf.operators import values
from tests.operators import deployments
from tests.scenarios import steps

scenarios("operators.feature")

_NAMES = ("e1", "e2", "e3")
_SERVICE = resources.Kind.SERVICE
_ANA = values.Identity("ana", resources.OperatorRole.OPERATOR)


@dataclasses.dataclass(slots=True)
class OperatorsScenario:
    """The world and the results of the latest operator calls."""

    world: steps.World
    accepted: resources.Resource | None = None
    outcomes: list[values.ChangeDone | errors.WharfError] = dataclasses.field(
        default_factory=list
    )

    def service_at(self, name: str) -> services.OperatorService:
        return self.world.bench.instances[name].operators

    def stored(self, name: str, key: tuple[resources.Kind, str]):
        core = self.world.bench.instances[name].core
        return core.configuration.current.get(*key)

    def call_all(self, *calls) -> None:
        """Makes calls concurrently and records their results."""

        async def together():
            return await asyncio.gather(*calls, return_exceptions=True)

        self.outcomes = self.world.run(together())

    def change(self, name: str, bound: int):
        entry = self.stored(name, (_SERVICE, "shop-api"))
        wanted = dataclasses.replace(entry.resource, max_queued=bound)
        return self.service_at(name).editor.change(
            _ANA, wanted, expected_generation=entry.generation
        )


@pytest.fixture
def scenario() -> Iterator[OperatorsScenario]:
    world = steps.World()
    yield OperatorsScenario(world)
    world.close()


@given("instances e1, e2 and e3")
def _(scenario: OperatorsScenario):
    for name in _NAMES:
        scenario.world.run(scenario.world.bench.start_instance(name, "a"))
    scenario.world.wait_s(5)


@given("the service shop-api")
def _(scenario: OperatorsScenario):
    scenario.call_all(
        scenario.service_at("e1").editor.create(_ANA, deployments.SHOP)
    )
    scenario.world.wait_s(1)


@given("an endpoint till-1 and an endpoint till-2 of shop-api")
def _(scenario: OperatorsScenario):
    second = dataclasses.replace(deployments.TILL, name="till-2")
    call = scenario.service_at("e1").editor.apply(
        _ANA, [deployments.TILL, second]
    )
    scenario.call_all(call)
    scenario.world.wait_s(1)


@when("operators change shop-api at e1, e2 and e3 at once")
def _(scenario: OperatorsScenario):
    bounds = range(1, 1 + len(_NAMES))
    scenario.call_all(*map(scenario.change, _NAMES, bounds))
    for bound, outcome in zip(bounds, scenario.outcomes, strict=True):
        if isinstance(outcome, values.ChangeDone):
            scenario.accepted = dataclasses.replace(
                deployments.SHOP, max_queued=bound
            )


@then(
    parsers.parse("one change is accepted and {count:d} are refused as {kind}")
)
def _(scenario: OperatorsScenario, count: int, kind: str):
    refused = [
        outcome.kind.value
        for outcome in scenario.outcomes
        if isinstance(outcome, errors.WharfError)
    ]
    assert refused == [kind] * count
    assert len(scenario.outcomes) == count + 1


@then(
    parsers.parse(
        "within {limit_s:d} seconds all instances hold the accepted change"
    )
)
def _(scenario: OperatorsScenario, limit_s: int):
    def holds() -> bool:
        entries = [
            scenario.stored(name, (_SERVICE, "shop-api")) for name in _NAMES
        ]
        return all(entry.resource == scenario.accepted for entry in entries)

    assert scenario.accepted is not None
    assert scenario.world.condition_met_within_s(limit_s, holds)


@when("ana drains till-1 at e1")
def _(scenario: OperatorsScenario):
    call = scenario.service_at("e1").editor.set_drained(
        _ANA, "till-1", drained=True
    )
    scenario.call_all(call)


@then(
    parsers.parse(
        "within {limit_s:d} seconds till-1 is drained at all instances"
    )
)
def _(scenario: OperatorsScenario, limit_s: int):
    key = (resources.Kind.ENDPOINT, "till-1")
    assert scenario.world.condition_met_within_s(
        limit_s,
        lambda: all(
            scenario.stored(name, key).resource.drained for name in _NAMES
        ),
    )


@then("the history at e3 names ana")
def _(scenario: OperatorsScenario):
    call = scenario.service_at("e3").queries.history(
        _ANA, resources.Kind.ENDPOINT, "till-1"
    )
    newest = scenario.world.run(call).entries[0]
    assert (newest.actor, newest.effect) == ("ana", values.Effect.CHANGE)


@when(parsers.parse("the log is down for {duration_s:d} seconds"))
def _(scenario: OperatorsScenario, duration_s: int):
    scenario.world.bench.log.is_down = True
    scenario.world.wait_s(duration_s)


@when("the log is back")
def _(scenario: OperatorsScenario):
    scenario.world.bench.log.is_down = False


@when("the log loses its next answer")
def _(scenario: OperatorsScenario):
    scenario.world.bench.log.lose_answers = 1


@then(parsers.parse("a change at {name} is refused as {kind} and did not run"))
def _(scenario: OperatorsScenario, name: str, kind: str):
    scenario.call_all(scenario.change(name, 77))
    [refused] = scenario.outcomes
    assert isinstance(refused, errors.WharfError)
    assert (refused.kind.value, refused.ran) == (kind, errors.Ran.NO)


@then(parsers.parse("shop-api can be read at {name}"))
def _(scenario: OperatorsScenario, name: str):
    call = scenario.service_at(name).queries.get(_ANA, _SERVICE, "shop-api")
    assert scenario.world.run(call).resource == deployments.SHOP


@then(parsers.parse("a change at {name} is accepted"))
def _(scenario: OperatorsScenario, name: str):
    scenario.call_all(scenario.change(name, 78))
    [done] = scenario.outcomes
    assert isinstance(done, values.ChangeDone), done
    scenario.accepted = dataclasses.replace(deployments.SHOP, max_queued=78)


@then("the log holds that change once")
def _(scenario: OperatorsScenario):
    [done] = scenario.outcomes
    assert isinstance(done, values.ChangeDone)
    read = scenario.world.bench.log.read(records.STREAM, 0)
    found = [
        records.decode(record.payload).operation_id
        for record in scenario.world.run(read).records
    ]
    assert found.count(done.operation_id) == 1


@when(
    parsers.parse(
        "the operation {operation_id} is sent to e1, e2 and e3 at once"
    )
)
def _(scenario: OperatorsScenario, operation_id: str):
    scenario.call_all(
        *(
            scenario.service_at(name).editor.create(
                _ANA, deployments.MODEL, operation_id=operation_id
            )
            for name in _NAMES
        )
    )


@then("all three get the same generation")
def _(scenario: OperatorsScenario):
    assert all(isinstance(one, values.ChangeDone) for one in scenario.outcomes)
    assert len({one.generation for one in scenario.outcomes}) == 1
