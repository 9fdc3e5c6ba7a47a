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
_PATIENCE_MS = 25_000


@dataclasses.dataclass
class Sending:
    """An attempt of the caller and the events it received."""

    request_id: str
    events: list
    task: asyncio.Task


class Story:
    """Collects the actions of a scenario and runs them on virtual time."""

    def __init__(self):
        self.acts = []
        self.sendings = []
        self.is_repeatable = True
        self.is_played = False
        self.held = None

    def play(self):
        """Runs the collected actions once and keeps the results."""
        if not self.is_played:
            self.is_played = True
            virtual_time.run(self._play())

    async def _play(self):
        self.d = await deployments.Deployment(
            INSTANCES, prefillers=2, decoders=3
        ).start()
        for after_ms, act in self.acts:
            await self.d.clock.sleep_ms(after_ms)
            await act()
        await asyncio.wait(
            [sending.task for sending in self.sendings],
            timeout=_PATIENCE_MS / 1_000,
        )
        for _ in range(5):
            if self.ends_known():
                break
            await self.send("e3")
            await asyncio.wait([self.sendings[-1].task])
        await self.d.clock.sleep_ms(20_000)
        self.held = await self.d.held()
        self.dispatches = self.d.dispatches()
        self.dispatched_ids = {
            attempt_id.rpartition(".")[0]
            for engine in self.d.bench.engines.values()
            for attempt_id in engine.counts.dispatches
        }
        await self.d.bench.stop()

    def ends(self):
        return [s.events[-1] for s in self.sendings if s.events]

    def has_answer(self):
        return any(isinstance(e, model_request.Finished) for e in self.ends())

    def is_unknown(self):
        unknown = (errors.Ran.UNKNOWN, errors.Ran.YES)
        return any(deployments.ran_of(e) in unknown for e in self.ends())

    def ends_known(self):
        if self.has_answer():
            return True
        return not self.is_repeatable and self.is_unknown()

    async def send(self, name):
        request = self.d.request(
            tokens=TOKENS,
            key="k",
            is_repeatable=self.is_repeatable,
            deadline_ms=20_000,
        )
        events = []

        async def read():
            try:
                instance = self.d.bench.instances[name]
                async for event in instance.answer(request):
                    events.append(event)
            except processes.InstanceLostError:
                return

        task = asyncio.ensure_future(read())
        self.sendings.append(Sending(request.request_id, events, task))

    async def fail(self, failure):
        bench = self.d.bench
        match failure.split():
            case ["nothing", "fails"]:
                return
            case ["the", "caller", "hangs", "up"]:
                self.sendings[0].task.cancel()
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
        in_use = {item.partition(":")[0] for item in await self.d.held()}
        return sorted(in_use)

    async def put_right(self):
        bench = self.d.bench
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
def story():
    return Story()


@pytest_bdd.given(
    "instances e1, e2 and e3 in domains a, b and c before five engines"
)
def deployment(story):
    assert not story.acts


@pytest_bdd.given(parsers.re(r"a request that may (?P<no>not )?be repeated"))
def marked_request(story, no):
    story.is_repeatable = not no


@pytest_bdd.when(parsers.parse("the caller sends it to {name}"))
def sends(story, name):
    story.acts.append((0, lambda: story.send(name)))


@pytest_bdd.when(
    parsers.re(r"after (?P<at>\d+) ms the caller sends it to (?P<name>e\d)")
)
def sends_later(story, at, name):
    story.acts.append((float(at), lambda: story.send(name)))


@pytest_bdd.when(
    parsers.re(r"after (?P<at>\d+) ms (?P<failure>(?!the caller sends).+)")
)
def fails(story, at, failure):
    story.acts.append((float(at), lambda: story.fail(failure)))


@pytest_bdd.when("after 9 seconds everything is put right")
def put_right(story):
    story.acts.append((9_000.0, story.put_right))


@pytest_bdd.then("the caller gets the whole answer")
def whole_answer(story):
    story.play()
    assert story.has_answer(), story.ends()


@pytest_bdd.then(
    "the caller gets the whole answer or is told that it is unknown"
)
def whole_or_unknown(story):
    story.play()
    assert story.ends_known(), story.ends()


@pytest_bdd.then("it was dispatched at most once")
def dispatched_once(story):
    assert story.dispatches <= 1


@pytest_bdd.then("it was dispatched at most once unless it may be repeated")
def dispatched_once_if_marked(story):
    assert story.is_repeatable or story.dispatches <= 1


@pytest_bdd.then(
    "no answer is broken, and nothing that ran is said not to have run"
)
def nothing_broken(story):
    whole = deployments.expected(TOKENS)
    for sending in story.sendings:
        text = deployments.text_of(sending.events)
        assert whole.startswith(text)
        end = sending.events[-1] if sending.events else None
        if isinstance(end, model_request.Finished):
            assert text == whole
        if deployments.ran_of(end) is errors.Ran.NO:
            assert sending.request_id not in story.dispatched_ids


@pytest_bdd.then("within 20 seconds no engine holds memory")
def no_memory_held(story):
    assert story.held == []
