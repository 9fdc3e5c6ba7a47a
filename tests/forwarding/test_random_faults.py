"""Random faults and callers: checks invariants in every run.

Engines crash, hang, refuse, lose answers, change roles and drain; the store and
single instances are cut off. Some answers have no length and end with their
connection, as they also do if their engine crashes. Each seed is one
reproducible run on the virtual clock.
"""

from __future__ import annotations

import asyncio
import collections
import random

import pytest

from jujubewharf import errors
from jujubewharf.standins import backend_state
from tests.forwarding import deployments

RUN_MS = 20_000.0
DOMAINS = "abc"
PATHS = ("/verdicts/", "/once/", "/lookup/", "/sale/")
ONCE = ("/once/", "/sale/")
STREAMS = PATHS[:2]
# Share of the faults that affect the leader.
LEADER_PART = 0.35
# Events of a whole stream.
EVENTS = 5
# Crashed engines come back after this.
RESTART_MS = 1_000.0


def _behind() -> list[backend_state.StandInBackend]:
    found = []
    for number, domain in enumerate(DOMAINS):
        found.append(deployments.prefill_engine(f"p{number}", domain))
        found.append(deployments.decode_engine(f"d{number}", domain))
        found.append(deployments.plain_endpoint(f"s{number}", domain))
    for backend in found:
        backend.events = EVENTS
    return found


class _Chaos:
    """Switches random faults on and off."""

    def __init__(self, world: deployments.Deployment, seed: int) -> None:
        self._world = world
        self._rng = random.Random(seed)

    async def run_led(self) -> None:
        """Like ``run``, with additional faults of the leader."""
        clock = self._world.clock
        until_ms = clock.now_ms() + RUN_MS
        while clock.now_ms() < until_ms:
            await clock.sleep_ms(self._rng.uniform(50.0, 700.0))
            if self._rng.random() < LEADER_PART:
                self._strike_leader()
            else:
                self._strike()
        self._world.network.heal()

    def _strike_leader(self) -> None:
        rng, world = self._rng, self._world
        leader = world.leader or rng.choice(sorted(world.instances))
        match rng.randrange(4):
            case 0:
                # Resets all connections of the leader.
                world.network.drop_streams(leader)
            case 1:
                world.network.cut("a", "b", one_way=rng.random() < 0.5)
            case 2:
                world.network.heal()
            case 3:
                world.leaders.cut_off ^= {f"{leader}:1"}

    async def run(self) -> None:
        clock = self._world.clock
        until_ms = clock.now_ms() + RUN_MS
        while clock.now_ms() < until_ms:
            await clock.sleep_ms(self._rng.uniform(50.0, 900.0))
            self._strike()

    def _strike(self) -> None:
        rng = self._rng
        behind = list(self._world.backends.by_name.values())
        alive = [b for b in behind if not b.has_crashed.is_set()]
        victim = rng.choice(alive)
        match rng.randrange(14):
            case 0:
                victim.is_unreachable = not victim.is_unreachable
            case 1:
                victim.is_silent = not victim.is_silent
            case 2:
                victim.loses_answers = not victim.loses_answers
            case 3:
                victim.breaks_after = rng.choice([None, 1, 3])
            case 4:
                victim.stalls_after = rng.choice([None, 2, 4])
            case 5:
                victim.is_changing = not victim.is_changing
            case 6:
                victim.refuses_sources = not victim.refuses_sources
            case 7:
                drained = not victim.endpoint.drained
                self._world.register(victim, drained=drained)
            case 8:
                self._world.endpoints.is_down ^= True
                self._world.configurations.is_down ^= True
            case 9:
                self._world.groups.cut_off ^= {rng.choice(["e1", "e2"])}
            case 10 | 11:
                victim.is_framed = not victim.is_framed
            case 12 | 13:
                self._crash_inside_an_answer(victim)

    def _crash_inside_an_answer(
        self, victim: backend_state.StandInBackend
    ) -> None:
        """Crashes a backend, one that writes an answer if there is any."""
        behind = self._world.backends.by_name.values()
        writing = [
            backend
            for backend in behind
            if backend.running_requests and not backend.has_crashed.is_set()
        ]
        if writing:
            victim = self._rng.choice(writing)
        self._world.backends.crash(victim)


async def _callers(
    world: deployments.Deployment, seed: int, names=("e1", "e2")
):
    """Sends random requests; returns path, id and answer of each."""
    rng = random.Random(seed + 1)
    asked = []
    began_ms = world.clock.now_ms()
    while world.clock.now_ms() < began_ms + RUN_MS:
        await world.clock.sleep_ms(rng.expovariate(1 / 120.0))
        path = rng.choice(PATHS)
        request_id = f"q{len(asked)}"
        leaves = rng.choice([None, None, None, rng.uniform(10.0, 900.0)])
        task = asyncio.create_task(
            world.ask(
                path,
                instance=rng.choice(names),
                request_id=request_id,
                leave_after_ms=leaves,
                caller_timeout_ms=14_000.0,
            )
        )
        asked.append((path, request_id, task))
    return [(path, rid, await task) for path, rid, task in asked]


@pytest.mark.parametrize("seed", range(24))
def test_invariants(seed):
    async def main():
        world = deployments.Deployment(*_behind())
        world.revive_crashed(after_ms=RESTART_MS)
        await world.start("e1", "e2")
        chaos = asyncio.create_task(_Chaos(world, seed).run())
        asked = await _callers(world, seed)
        await chaos
        await world.clock.sleep_ms(20_000.0)
        _check(world, asked)
        await world.stop()

    deployments.run(main())


@pytest.mark.parametrize("seed", range(24))
def test_invariants_with_a_leader(seed):
    """The invariants hold while leaders are cut off and lose their lease."""

    async def main():
        world = deployments.Deployment(*_behind())
        world.revive_crashed(after_ms=RESTART_MS)
        await world.start("e1", "e2", is_led=True)
        await world.start("e3", domain="b", declare=False, is_led=True)
        chaos = asyncio.create_task(_Chaos(world, seed).run_led())
        asked = await _callers(world, seed, names=("e1", "e2", "e3"))
        await chaos
        await world.clock.sleep_ms(20_000.0)
        _check(world, asked)
        leading = [i for i in world.instances.values() if i.fleet.is_leading]
        assert len(leading) <= 1
        await world.stop()

    deployments.run(main())


def _check(world, asked) -> None:
    runs = collections.defaultdict(list)
    for ran in world.backends.runs:
        runs[ran.request_id].append(ran)
    served = 0
    for path, request_id, answer in asked:
        ran = runs[request_id]
        _check_repeats(path, ran)
        _check_answer(path, request_id, ran, answer)
        served += answer.status == 200 and answer.error is None
    assert served > len(asked) / 10
    world.backends.remove_expired_reservations()
    for backend in world.backends.by_name.values():
        # No work or reservation remains for callers that are gone.
        assert not backend.running_requests, backend.name
        assert not backend.held, backend.name


def _check_repeats(path: str, ran: list[backend_state.StartedRun]) -> None:
    if path in ONCE:
        assert len(ran) <= 1
    assert len({r.engine for r in ran}) <= 2


def _check_answer(path, request_id, ran, answer) -> None:
    timeout_ms = 14_000.0 if path in PATHS[:2] else 2_000.0
    assert answer.took_ms <= timeout_ms + 500.0
    if answer.error is not None:
        if answer.error.ran is errors.Ran.NO and path in ONCE:
            assert ran == [], f"{request_id} was said not to have run"
        return
    numbers = answer.numbers
    assert numbers == list(range(1, len(numbers) + 1))
    if not answer.is_ended or answer.status != 200:
        return
    # A part of an answer doesn't end like a whole one.
    if path in STREAMS:
        assert len(numbers) == EVENTS, f"{request_id} isn't whole"
    else:
        assert answer.body == request_id.encode(), f"{request_id} isn't whole"
