"""Steps of ``forwarding.feature``.

Guard against truncated answers, duplicate executions and false errors when the
store, the instances or the engines fail.
"""

from __future__ import annotations

import asyncio

import pytest
import pytest_bdd
from pytest_bdd import parsers

from jujubewharf import errors
from jujubewharf.experiments import virtual_time
from tests.forwarding import deployments

pytest_bdd.scenarios("forwarding.feature")

INSTANCES = ("e1", "e2", "e3")


class ForwardingScenario:
    """A deployment on a virtual-time event loop and the answers it gave."""

    def __init__(self) -> None:
        self.loop = virtual_time.VirtualLoop()
        self.deployment = deployments.Deployment(
            deployments.prefill_engine("p1", "a"),
            deployments.prefill_engine("p2", "b"),
            *(deployments.decode_engine(f"d{d}", d) for d in "abc"),
            deployments.plain_endpoint("s1", "a"),
            deployments.plain_endpoint("s2", "b"),
        )
        self.answers: list[deployments.Answer] = []
        self.holder = ""
        self.fence = 0
        self.last_held_ms = 0.0
        self.next_held_ms = 0.0

    def run(self, coroutine):
        """Runs a coroutine to completion."""
        return self.loop.run_until_complete(coroutine)

    def set_store(self, *, is_down: bool) -> None:
        """Makes the store unavailable or available again."""
        self.deployment.endpoints.is_down = is_down
        self.deployment.configurations.is_down = is_down
        cut_off = set(INSTANCES) if is_down else set()
        self.deployment.groups.cut_off = cut_off

    async def send(self, streams: int, sales: int, over_s: float) -> None:
        """Sends requests at a constant rate, round-robin over the instances."""
        self.answers = []
        paths = ["/verdicts/1"] * streams + ["/sale/1"] * sales
        requests = []
        for number, path in enumerate(paths):
            instance = INSTANCES[number % len(INSTANCES)]
            requests.append(
                asyncio.create_task(
                    self.deployment.ask(path, instance=instance)
                )
            )
            await self.deployment.clock.sleep_ms(over_s * 1_000.0 / len(paths))
        self.answers = list(await asyncio.gather(*requests))


@pytest.fixture
def scenario():
    state = ForwardingScenario()
    yield state
    state.run(state.deployment.stop())
    state.loop.close()


@pytest_bdd.given(
    "3 instances before 2 prefill engines, 3 decode engines and 2 tills"
)
def _(scenario):
    scenario.run(scenario.deployment.start(*INSTANCES))


@pytest_bdd.given("the holder of the orders is known")
def _(scenario):
    scenario.run(scenario.deployment.clock.sleep_ms(8_000.0))
    ((scenario.holder, scenario.fence),) = scenario.run(_holders(scenario))


@pytest_bdd.when("the store goes away")
def _(scenario):
    scenario.set_store(is_down=True)


@pytest_bdd.when("the store is back")
def _(scenario):
    scenario.set_store(is_down=False)
    scenario.run(scenario.deployment.clock.sleep_ms(1_500.0))


@pytest_bdd.when("all instances are killed and started anew")
def _(scenario):
    scenario.run(scenario.deployment.stop())
    scenario.deployment.instances.clear()
    scenario.run(scenario.deployment.start(*INSTANCES, declare=False))


@pytest_bdd.when(
    parsers.re(
        r"(?P<streams>\d+) streams and (?P<sales>\d+) sales are sent over "
        r"(?P<seconds>\d+) s(?P<dies> while a decode engine dies)?$"
    )
)
def _(scenario, streams, sales, seconds, dies):
    async def send():
        sending = asyncio.create_task(
            scenario.send(int(streams), int(sales), float(seconds))
        )
        if dies:
            await scenario.deployment.clock.sleep_ms(2_000.0)
            engine = scenario.deployment.backends.by_name["da"]
            engine.breaks_after = 1
            await scenario.deployment.clock.sleep_ms(300.0)
            engine.is_unreachable = True
        await sending

    scenario.run(send())


@pytest_bdd.when("the holder is cut off from the store for 20 s")
def _(scenario):
    async def watch():
        scenario.deployment.groups.cut_off = {scenario.holder}
        for _ in range(200):
            await scenario.deployment.clock.sleep_ms(100.0)
            for name, fence in await _holders(scenario):
                if name == scenario.holder:
                    scenario.last_held_ms = scenario.deployment.clock.now_ms()
                elif not scenario.next_held_ms:
                    scenario.next_held_ms = scenario.deployment.clock.now_ms()
                    assert fence > scenario.fence

    scenario.run(watch())


@pytest_bdd.then("every request was answered whole")
def _(scenario):
    assert scenario.answers
    for answer in scenario.answers:
        assert (answer.status, answer.error) == (200, None)
        if answer.numbers:
            assert answer.numbers == [1, 2, 3, 4, 5]


@pytest_bdd.then("every request was told to come back")
def _(scenario):
    for answer in scenario.answers:
        assert answer.error is not None
        assert answer.error.kind is errors.ErrorKind.NOT_READY
        assert answer.error.retry_after_ms is not None


@pytest_bdd.then("no sale ran twice")
def _(scenario):
    ran = [r.request_id for r in scenario.deployment.backends.runs]
    assert len(ran) == len(set(ran))


@pytest_bdd.then("no engine holds memory")
def _(scenario):
    async def settle():
        await scenario.deployment.clock.sleep_ms(3_000.0)
        scenario.deployment.backends.remove_expired_reservations()

    scenario.run(settle())
    for backend in scenario.deployment.backends.by_name.values():
        assert not backend.held


@pytest_bdd.then("another instance holds them, under a higher fencing token")
def _(scenario):
    ((name, fence),) = scenario.run(_holders(scenario))
    assert name != scenario.holder
    assert fence > scenario.fence


@pytest_bdd.then("there was a whole time to live between the two")
def _(scenario):
    gap_ms = scenario.next_held_ms - scenario.last_held_ms
    assert gap_ms >= scenario.deployment.groups.ttl_ms


async def _holders(scenario):
    return [
        (name, instance.share.lease.fence)
        for name, instance in scenario.deployment.instances.items()
        if instance.share.lease.fence is not None
    ]
