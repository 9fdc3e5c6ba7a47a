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
class Story:
    """The world and the results of the latest operator calls."""

    world: steps.World
    accepted: resources.Resource | None = None
    outcomes: list[values.ChangeDone | errors.WharfError] = dataclasses.field(
        default_factory=list
    )

    def at(self, name: str) -> services.OperatorService:
        return self.world.bench.instances[name].operators

    def held(self, name: str, key: tuple[resources.Kind, str]):
        core = self.world.bench.instances[name].core
        return core.configuration.current.get(*key)

    def attempt(self, *calls) -> None:
        """Makes calls concurrently and records their results."""

        async def together():
            return await asyncio.gather(*calls, return_exceptions=True)

        self.outcomes = self.world.run(together())

    def change(self, name: str, bound: int):
        entry = self.held(name, (_SERVICE, "shop-api"))
        wanted = dataclasses.replace(entry.resource, max_queued=bound)
        return self.at(name).editor.change(
            _ANA, wanted, expected_generation=entry.generation
        )


@pytest.fixture
def story() -> Iterator[Story]:
    world = steps.World()
    yield Story(world)
    world.close()


@given("instances e1, e2 and e3")
def _(story: Story):
    for name in _NAMES:
        story.world.run(story.world.bench.start_instance(name, "a"))
    story.world.wait_s(5)


@given("the service shop-api")
def _(story: Story):
    story.attempt(story.at("e1").editor.create(_ANA, deployments.SHOP))
    story.world.wait_s(1)


@given("an endpoint till-1 and an endpoint till-2 of shop-api")
def _(story: Story):
    second = dataclasses.replace(deployments.TILL, name="till-2")
    call = story.at("e1").editor.apply(_ANA, [deployments.TILL, second])
    story.attempt(call)
    story.world.wait_s(1)


@when("operators change shop-api at e1, e2 and e3 at once")
def _(story: Story):
    bounds = range(1, 1 + len(_NAMES))
    story.attempt(*map(story.change, _NAMES, bounds))
    for bound, outcome in zip(bounds, story.outcomes, strict=True):
        if isinstance(outcome, values.ChangeDone):
            story.accepted = dataclasses.replace(
                deployments.SHOP, max_queued=bound
            )


@then(
    parsers.parse("one change is accepted and {count:d} are refused as {kind}")
)
def _(story: Story, count: int, kind: str):
    refused = [
        outcome.kind.value
        for outcome in story.outcomes
        if isinstance(outcome, errors.WharfError)
    ]
    assert refused == [kind] * count
    assert len(story.outcomes) == count + 1


@then(
    parsers.parse(
        "within {limit_s:d} seconds all instances hold the accepted change"
    )
)
def _(story: Story, limit_s: int):
    def holds() -> bool:
        entries = [story.held(name, (_SERVICE, "shop-api")) for name in _NAMES]
        return all(entry.resource == story.accepted for entry in entries)

    assert story.accepted is not None
    assert story.world.holds_within_s(limit_s, holds)


@when("ana drains till-1 at e1")
def _(story: Story):
    call = story.at("e1").editor.set_drained(_ANA, "till-1", drained=True)
    story.attempt(call)


@then(
    parsers.parse(
        "within {limit_s:d} seconds till-1 is drained at all instances"
    )
)
def _(story: Story, limit_s: int):
    key = (resources.Kind.ENDPOINT, "till-1")
    assert story.world.holds_within_s(
        limit_s,
        lambda: all(story.held(name, key).resource.drained for name in _NAMES),
    )


@then("the history at e3 names ana")
def _(story: Story):
    call = story.at("e3").queries.history(
        _ANA, resources.Kind.ENDPOINT, "till-1"
    )
    newest = story.world.run(call).entries[0]
    assert (newest.actor, newest.effect) == ("ana", values.Effect.CHANGE)


@when(parsers.parse("the log is down for {duration_s:d} seconds"))
def _(story: Story, duration_s: int):
    story.world.bench.log.is_down = True
    story.world.wait_s(duration_s)


@when("the log is back")
def _(story: Story):
    story.world.bench.log.is_down = False


@when("the log loses its next answer")
def _(story: Story):
    story.world.bench.log.lose_answers = 1


@then(parsers.parse("a change at {name} is refused as {kind} and did not run"))
def _(story: Story, name: str, kind: str):
    story.attempt(story.change(name, 77))
    [refused] = story.outcomes
    assert isinstance(refused, errors.WharfError)
    assert (refused.kind.value, refused.ran) == (kind, errors.Ran.NO)


@then(parsers.parse("shop-api can be read at {name}"))
def _(story: Story, name: str):
    call = story.at(name).queries.get(_ANA, _SERVICE, "shop-api")
    assert story.world.run(call).resource == deployments.SHOP


@then(parsers.parse("a change at {name} is accepted"))
def _(story: Story, name: str):
    story.attempt(story.change(name, 78))
    [done] = story.outcomes
    assert isinstance(done, values.ChangeDone), done
    story.accepted = dataclasses.replace(deployments.SHOP, max_queued=78)


@then("the log holds that change once")
def _(story: Story):
    [done] = story.outcomes
    assert isinstance(done, values.ChangeDone)
    read = story.world.bench.log.read(records.STREAM, 0)
    found = [
        records.decode(record.payload).operation_id
        for record in story.world.run(read).records
    ]
    assert found.count(done.operation_id) == 1


@when(
    parsers.parse(
        "the operation {operation_id} is sent to e1, e2 and e3 at once"
    )
)
def _(story: Story, operation_id: str):
    story.attempt(
        *(
            story.at(name).editor.create(
                _ANA, deployments.MODEL, operation_id=operation_id
            )
            for name in _NAMES
        )
    )


@then("all three get the same generation")
def _(story: Story):
    assert all(isinstance(one, values.ChangeDone) for one in story.outcomes)
    assert len({one.generation for one in story.outcomes}) == 1
