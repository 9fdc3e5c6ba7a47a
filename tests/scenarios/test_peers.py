"""Steps of ``peers.feature``."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import re

import pytest
import pytest_bdd
from pytest_bdd import parsers

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.peers import messages
from jujubewharf.requests import model_request
from jujubewharf.standins import engine as engines
from tests.scenarios import steps

pytest_bdd.scenarios("peers.feature")

_ORIGIN_MS = 1e9
_SERVICE = resources.Service(
    "verdict-llm", resources.ServiceKind.MODEL, model="judge"
)


@messages.message(9_101)
@dataclasses.dataclass(frozen=True, slots=True)
class Who(messages.Message):
    incarnation: int = 0


@pytest.fixture
def world() -> Iterator[steps.World]:
    world = steps.World()
    yield world
    world.close()


def _resolve_names(world: steps.World, expression: str) -> list[str]:
    """Resolves 'all', 'all but x', 'those in a' or a name to names."""
    all_names = sorted(world.bench.instances)
    if expression == "all":
        return all_names
    if expression.startswith("all but "):
        return [
            n for n in all_names if n != expression.removeprefix("all but ")
        ]
    if expression.startswith("those in "):
        domain = expression.removeprefix("those in ")
        return [
            n for n in all_names if world.bench.instances[n].domain == domain
        ]
    return [expression]


def _present(world: steps.World, name: str) -> set[str]:
    view = world.bench.instances[name].core.membership
    return {member.instance for member in view.present()}


def _start_instance(
    world: steps.World, name: str, skew_ms: float = 0.0
) -> None:
    async def start() -> None:
        clock = clocks.Clock(skew_ms=skew_ms, wall_origin_ms=_ORIGIN_MS)
        instance = await world.bench.start_instance(name, name[0], clock=clock)
        mesh = instance.core.peers

        async def who(peer: str, question: Who) -> Who:
            return Who(mesh.incarnation)

        mesh.handle(Who, who)

    world.run(start())


@pytest_bdd.given("3 instances in each of the domains a, b and c")
def three_domains(world):
    for domain in "abc":
        for number in (1, 2, 3):
            _start_instance(world, f"{domain}{number}")
    world.wait_s(10)
    for name in _resolve_names(world, "all"):
        assert _present(world, name) == set(_resolve_names(world, "all"))


@pytest_bdd.given(parsers.parse("the list lies {lag_s:d} seconds behind"))
def list_lags(world, lag_s):
    world.wait_s(lag_s)
    world.bench.live_list.lag_ms = lag_s * 1_000


@pytest_bdd.given("the list is down")
def list_down(world):
    world.bench.live_list.is_down = True


@pytest_bdd.when(parsers.re(r"(?P<name>\w+) starts in domain \w"))
def starts(world, name):
    _start_instance(world, name)


@pytest_bdd.when(
    parsers.re(
        r"(?P<name>\w+) starts in domain \w with a clock "
        r"(?P<skew_s>\d+) seconds (?P<side>behind|ahead)"
    )
)
def starts_with_skew(world, name, skew_s, side):
    sign = 1 if side == "ahead" else -1
    skew_ms = sign * float(skew_s) * 1_000
    _start_instance(world, name, skew_ms)


@pytest_bdd.when(parsers.parse("{name} dies"))
def dies(world, name):
    world.call_in_loop(lambda: world.bench.kill_instance(name))


@pytest_bdd.when(parsers.parse("{name} is paused"))
def is_paused(world, name):
    world.call_in_loop(lambda: world.bench.pause_instance(name))


@pytest_bdd.when(parsers.parse("{name} goes on"))
def resumes(world, name):
    world.call_in_loop(lambda: world.bench.resume_instance(name))


@pytest_bdd.when(parsers.parse("{name} begins to leave"))
def leaves(world, name):
    world.call_in_loop(world.bench.instances[name].core.membership.leave)


@pytest_bdd.when("domain b is no longer heard in domain a")
def one_way_cut(world):
    world.bench.network.cut("b", "a", one_way=True)


@pytest_bdd.when("domain a is cut off from domains b and c")
def cut_off(world):
    world.bench.network.cut("a", "b")
    world.bench.network.cut("a", "c")


@pytest_bdd.given("a model engine in each of the domains a, b and c")
def engines_everywhere(world):
    async def declare() -> None:
        await world.bench.declare(_SERVICE)
        for domain in "abc":
            endpoint = resources.Endpoint(
                f"engine-{domain}",
                _SERVICE.name,
                f"127.0.0.1:{domain}",
                domain,
                resources.Role.BOTH,
            )
            spec = engines.EngineSpec(model=_SERVICE.model)
            world.bench.add_engine(endpoint, spec)
            await world.bench.declare(endpoint)

    world.run(declare())
    world.wait_s(3)


@pytest_bdd.when("domain a is cut off from peers, log and list")
def cut_off_from_all(world):
    world.call_in_loop(lambda: world.bench.cut_domain("a"))


@pytest_bdd.when(parsers.parse("{duration_s:d} seconds pass"))
def time_passes(world, duration_s):
    world.wait_s(duration_s)


@pytest_bdd.then(
    parsers.re(
        r"(?P<name>\w+) answers a request whole, "
        r"with (the|an) engine of (?P<where>.+)"
    )
)
def answers_whole(world, name, where):
    domains = re.findall(r"\b[abc]\b", where) or [name[0]]
    request = model_request.ModelRequest(
        request_id=f"from-{name}",
        key=f"from-{name}",
        body_digest="",
        account="",
        service=_SERVICE,
        prompt="answer_tokens=9 " + "word " * 50,
        max_tokens=50,
        arrived_ms=world.call_in_loop(world.bench.clock.now_ms),
        deadline_ms=10_000,
    )
    generated = {
        domain: world.bench.engine(f"engine-{domain}").counts.decoded_tokens
        for domain in "abc"
    }

    async def ask() -> list[model_request.Event]:
        instance = world.bench.instances[name]
        return [event async for event in instance.answer(request)]

    last = world.run(ask())[-1]
    assert isinstance(last, model_request.Finished)
    assert last.count == 9
    used = [
        domain
        for domain in "abc"
        if world.bench.engine(f"engine-{domain}").counts.decoded_tokens
        > generated[domain]
    ]
    assert len(used) == 1
    assert used[0] in domains


@pytest_bdd.then("no engine holds memory")
def no_memory_held(world):
    for engine in world.bench.engines.values():
        assert world.run(engine.held()) == ()


@pytest_bdd.when("the cut heals")
def heal_network(world):
    world.call_in_loop(world.bench.heal)


@pytest_bdd.then(
    parsers.re(
        r"within (?P<limit_s>\d+) seconds (?P<watchers>.+) "
        r"pass over (?P<others>.+)"
    )
)
def are_absent(world, limit_s, watchers, others):
    def holds() -> bool:
        absent = set(_resolve_names(world, others))
        return not any(
            _present(world, name) & absent - {name}
            for name in _resolve_names(world, watchers)
        )

    assert world.condition_met_within_s(float(limit_s), holds)


@pytest_bdd.then(
    parsers.re(
        r"within (?P<limit_s>\d+) seconds (?P<watchers>.+) see (?P<others>.+)"
    )
)
def see_within(world, limit_s, watchers, others):
    def holds() -> bool:
        seen = set(_resolve_names(world, others))
        return all(
            seen <= _present(world, name)
            for name in _resolve_names(world, watchers)
        )

    assert world.condition_met_within_s(float(limit_s), holds)


@pytest_bdd.then(parsers.re(r"(?P<watchers>(all|those).*) see (?P<others>.+)"))
def see(world, watchers, others):
    see_within(world, "0", watchers, others)


@pytest_bdd.then(
    parsers.parse("{name} passes over nobody for {duration_s:d} seconds")
)
def sees_everyone(world, name, duration_s):
    def is_alone() -> bool:
        return len(_present(world, name)) < len(world.bench.instances)

    assert not world.condition_met_within_s(duration_s, is_alone)


@pytest_bdd.then(
    parsers.parse("within {limit_s:d} seconds all reach the new {name}")
)
def all_reach_new(world, limit_s, name):
    newest = world.bench.instances[name].core.peers

    async def ask(asker: str) -> int:
        mesh = world.bench.instances[asker].core.peers
        answer = await mesh.ask(name, Who(), timeout_ms=3_000)
        return answer.incarnation

    world.wait_s(limit_s)
    for asker in _resolve_names(world, f"all but {name}"):
        assert world.run(ask(asker)) == newest.incarnation
