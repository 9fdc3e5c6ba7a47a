"""Steps of ``requests.feature``."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest
import pytest_bdd
from pytest_bdd import parsers

from jujubewharf import errors
from jujubewharf.experiments import processes
from jujubewharf.experiments import virtual_time
from jujubewharf.requests import model_request
from tests.requests import deployments

pytest_bdd.scenarios("requests.feature")

INSTANCES = {"e1": "a", "e2": "b", "e3": "c"}
TOKENS = 120
_TIMEOUT_MS = 25_000


@dataclasses.dataclass
class Attempt:
    """An attempt of the caller and the events it received."""

    request_id: str
    events: list
    task: asyncio.Task


class RequestScenario:
    """Collects the actions of a scenario and runs them on virtual time."""

    def __init__(self):
        self.actions = []
        self.attempts = []
        self.is_repeatable = True
        self.is_executed = False
        self.held = None

    def execute(self):
        """Runs the collected actions once and keeps the results."""
        if not self.is_executed:
            self.is_executed = True
            virtual_time.run(self._execute())

    async def _execute(self):
        self.cluster = await deployments.Deployment(
            INSTANCES, prefillers=2, decoders=3
        ).start()
        for after_ms, action in self.actions:
            await self.cluster.clock.sleep_ms(after_ms)
            await action()
        await asyncio.wait(
            [attempt.task for attempt in self.attempts],
            timeout=_TIMEOUT_MS / 1_000,
        )
        for _ in range(5):
            if self.is_outcome_known():
                break
            await self.send("e3")
            await asyncio.wait([self.attempts[-1].task])
        await self.cluster.clock.sleep_ms(20_000)
        self.held = await self.cluster.held()
        self.dispatches = self.cluster.dispatches()
        self.dispatched_ids = {
            attempt_id.rpartition(".")[0]
            for engine in self.cluster.bench.engines.values()
            for attempt_id in engine.counts.dispatches
        }
        await self.cluster.bench.stop()

    def last_events(self):
        return [s.events[-1] for s in self.attempts if s.events]

    def has_answer(self):
        return any(
            isinstance(e, model_request.Finished) for e in self.last_events()
        )

    def is_unknown(self):
        unknown = (errors.Ran.UNKNOWN, errors.Ran.YES)
        return any(deployments.ran_of(e) in unknown for e in self.last_events())

    def is_outcome_known(self):
        if self.has_answer():
            return True
        return not self.is_repeatable and self.is_unknown()

    async def send(self, name):
        request = self.cluster.request(
            tokens=TOKENS,
            key="k",
            is_repeatable=self.is_repeatable,
            deadline_ms=20_000,
        )
        events = []

        async def read():
            try:
                instance = self.cluster.bench.instances[name]
                async for event in instance.answer(request):
                    events.append(event)
            except processes.InstanceLostError:
                return

        task = asyncio.ensure_future(read())
        self.attempts.append(Attempt(request.request_id, events, task))

    async def fail(self, failure):
        bench = self.cluster.bench
        match failure.split():
            case ["nothing", "fails"]:
                return
            case ["the", "caller", "hangs", "up"]:
                self.attempts[0].task.cancel()
            case [*names, "die" | "dies"] if names[0].startswith("e"):
                for name in names[::2]:
                    bench.kill_instance(name)
            case [*names, "die" | "dies", "and", "come" | "comes", "back"]:
                for name in names[::2]:
                    await bench.restart_instance(name)
            case [name, "is", "paused"]:
                bench.pause_instance(name)
            case ["the", "engines", "in", "use", "die"]:
                for name in await self._engines_in_use():
                    await bench.kill_engine(name)
            case ["all", "links", "stall"]:
                for engine in bench.engines.values():
                    bench.stall_link(engine.name)
            case ["every", "engine", "loses", "an", "answer"]:
                for engine in bench.engines.values():
                    for call in ("reserve", "import_kv", "decode", "release"):
                        engine.lose_answers[call] = 1
            case ["the", "log", "is", "down"]:
                bench.log.is_down = True
            case ["the", "log", "loses", "its", "next", "answers"]:
                bench.log.lose_answers = 2
            case ["domain", domain, "is", "cut", "off"]:
                bench.cut_domain(domain)
            case _:
                raise AssertionError(failure)

    async def _engines_in_use(self):
        in_use = {item.partition(":")[0] for item in await self.cluster.held()}
        return sorted(in_use)

    async def repair_all(self):
        bench = self.cluster.bench
        bench.heal()
        bench.log.is_down = False
        bench.log.lose_answers = 0
        for name in INSTANCES:
            if bench.instances[name].process.is_dead:
                await bench.restart_instance(name)
            elif bench.instances[name].process.is_paused:
                bench.resume_instance(name)
        for engine in list(bench.engines.values()):
            engine.lose_answers.clear()
            bench.stall_link(engine.name, is_stalled=False)
            if engine.is_dead:
                bench.restart_engine(engine.name)


@pytest.fixture
def scenario():
    return RequestScenario()


@pytest_bdd.given(
    "instances e1, e2 and e3 in domains a, b and c before five engines"
)
def deployment(scenario):
    assert not scenario.actions


@pytest_bdd.given(parsers.re(r"a request that may (?P<no>not )?be repeated"))
def marked_request(scenario, no):
    scenario.is_repeatable = not no


@pytest_bdd.when(parsers.parse("the caller sends it to {name}"))
def sends(scenario, name):
    scenario.actions.append((0, lambda: scenario.send(name)))


@pytest_bdd.when(
    parsers.re(r"after (?P<at>\d+) ms the caller sends it to (?P<name>e\d)")
)
def sends_later(scenario, at, name):
    scenario.actions.append((float(at), lambda: scenario.send(name)))


@pytest_bdd.when(
    parsers.re(r"after (?P<at>\d+) ms (?P<failure>(?!the caller sends).+)")
)
def fails(scenario, at, failure):
    scenario.actions.append((float(at), lambda: scenario.fail(failure)))


@pytest_bdd.when("after 9 seconds everything is put right")
def repair_all(scenario):
    scenario.actions.append((9_000.0, scenario.repair_all))


@pytest_bdd.then("the caller gets the whole answer")
def complete_answer(scenario):
    scenario.execute()
    assert scenario.has_answer(), scenario.last_events()


@pytest_bdd.then(
    "the caller gets the whole answer or is told that it is unknown"
)
def complete_or_unknown(scenario):
    scenario.execute()
    assert scenario.is_outcome_known(), scenario.last_events()


@pytest_bdd.then("it was dispatched at most once")
def dispatched_once(scenario):
    assert scenario.dispatches <= 1


@pytest_bdd.then("it was dispatched at most once unless it may be repeated")
def dispatched_once_if_marked(scenario):
    assert scenario.is_repeatable or scenario.dispatches <= 1


@pytest_bdd.then(
    "no answer is broken, and nothing that ran is said not to have run"
)
def no_answer_broken(scenario):
    expected_text = deployments.expected(TOKENS)
    for attempt in scenario.attempts:
        text = deployments.text_of(attempt.events)
        assert expected_text.startswith(text)
        end = attempt.events[-1] if attempt.events else None
        if isinstance(end, model_request.Finished):
            assert text == expected_text
        if deployments.ran_of(end) is errors.Ran.NO:
            assert attempt.request_id not in scenario.dispatched_ids


@pytest_bdd.then("within 20 seconds no engine holds memory")
def no_memory_held(scenario):
    assert scenario.held == []
