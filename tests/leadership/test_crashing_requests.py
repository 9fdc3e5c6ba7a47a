"""Guards against a request that crashes every engine that runs it.

After three crashes the request is quarantined at all instances, also for
retries at other instances with new request ids.
"""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from jujubewharf import errors
from jujubewharf.forwarding import error_responses
from tests.forwarding import deployments

plain_endpoint = deployments.plain_endpoint
prefill_engine = deployments.prefill_engine
decode_engine = deployments.decode_engine

CRASHING = b"crashes each engine that runs it"
NAMES = ("e1", "e2", "e3", "e4", "e5", "e6")
# Crashes after which a request is quarantined.
MAX_CRASHES = 3
# One trial is granted, since only another run distinguishes an innocent request
# from the cause of the crashes. The requirement allows three.
TRIALS = 1
# Time in ms until all instances know of a crash; an attempt that is already in
# flight may still end in one.
PROPAGATION_MS = 200.0
# Time in ms within which reports of a crash reach all instances.
REPORTED_MS = 20.0
# Attempts that the requirement allows later than this many ms after the third
# crash.
SETTLED_MS = 3_000.0
MAX_LATER_ATTEMPTS = 3


def _backends():
    backends = [prefill_engine("p1"), prefill_engine("p2", "b")]
    backends += [decode_engine(f"d{n}", "abcd"[n % 4]) for n in range(6)]
    backends += [plain_endpoint(f"s{n}", "abcd"[n % 4]) for n in range(6)]
    for backend in backends:
        backend.memory_tokens = 400_000
    return backends


@contextlib.asynccontextmanager
async def _deployed(names=NAMES):
    world = deployments.Deployment(*_backends())
    world.revive_crashed()
    world.backends.crashing_bodies.add(CRASHING)
    await world.start_in("abcd", *names)
    await world.clock.sleep_ms(2_000.0)
    try:
        yield world
    finally:
        await world.stop()


async def _send_repeatedly(
    world, path: str, *, for_ms: float, every_ms: float = 300.0, body=CRASHING
) -> list[deployments.Answer]:
    """Sends the same request to the instances in turn."""
    asked: list[asyncio.Task] = []
    until_ms = world.clock.now_ms() + for_ms
    while world.clock.now_ms() < until_ms:
        names = sorted(world.instances)
        name = names[len(asked) % len(names)]
        ask = world.ask(
            path, instance=name, body=body, caller_timeout_ms=8_000.0
        )
        asked.append(asyncio.ensure_future(ask))
        await world.clock.sleep_ms(every_ms)
    return list(await asyncio.gather(*asked))


def _crash_times_ms(world, body=CRASHING) -> list[float]:
    return [c.at_ms for c in world.backends.crashes if c.body == body]


def _arrivals(world, *, after_ms: float, body=CRASHING) -> list:
    """Calls of a request that reached engines after a time."""
    return [
        asked
        for backend in world.backends.by_name.values()
        for asked in backend.received_requests
        if asked.body == body and asked.at_ms > after_ms
    ]


def _attempts(world, *, after_ms: float, body=CRASHING) -> set[str]:
    """Ids of the attempts that reached engines after a time."""
    later = _arrivals(world, after_ms=after_ms, body=body)
    return {asked.request_id for asked in later}


def _third_crash_ms(world, body=CRASHING) -> float:
    """Time of the third crash of a request."""
    times = _crash_times_ms(world, body)
    return times[MAX_CRASHES - 1] if len(times) >= MAX_CRASHES else 1e12


def _quarantined(answers: list[deployments.Answer]) -> list:
    kind = errors.ErrorKind.QUARANTINED
    return [a for a in answers if a.error is not None and a.error.kind is kind]


def _crash_elsewhere(world) -> None:
    """Records three crashes of the request at another instance."""
    call = world.call("/verdicts/1", body=CRASHING)
    for engine in ("x1", "x2", "x3"):
        world.instances["e3"].crashes.record_crash(call, engine, stage="run")


PATHS = ("/verdicts/1", "/once/1", "/lookup/1", "/sale/1")


@pytest.mark.parametrize("path", PATHS)
def test_request_is_quarantined_after_three_crashes(path):
    """Streams and plain requests, idempotent or not."""

    async def main():
        async with _deployed() as world:
            answers = await _send_repeatedly(world, path, for_ms=20_000.0)
            third_crash_ms = _third_crash_ms(world)
            later = _attempts(world, after_ms=third_crash_ms + PROPAGATION_MS)
            assert len(later) <= TRIALS
            assert len(_crash_times_ms(world)) <= MAX_CRASHES + 1 + TRIALS
            for answer in answers[-10:]:
                assert answer.error is not None
                assert answer.error.kind is errors.ErrorKind.QUARANTINED
                assert answer.error.ran is not errors.Ran.NO
                assert error_responses.status_of(answer.error) == 500
                assert error_responses.headers_of(answer.error) == {}
                assert answer.took_ms < 50.0

    deployments.run(main())


def test_single_instance_quarantines_by_itself():
    async def main():
        async with deployments.deployed(*_backends()) as world:
            world.backends.crashing_bodies.add(CRASHING)
            world.revive_crashed()
            await _send_repeatedly(world, "/verdicts/1", for_ms=10_000.0)
            assert (
                len(_attempts(world, after_ms=_third_crash_ms(world))) <= TRIALS
            )
            assert len(_crash_times_ms(world)) <= MAX_CRASHES + TRIALS

    deployments.run(main())


def test_new_instance_learns_of_quarantine():
    async def main():
        async with _deployed() as world:
            await _send_repeatedly(world, "/verdicts/1", for_ms=5_000.0)
            await world.start("e7", declare=False, is_led=True)
            await world.clock.sleep_ms(2_000.0)
            began_ms = world.clock.now_ms()
            for _ in range(3):
                await world.ask("/verdicts/1", instance="e7", body=CRASHING)
            assert _arrivals(world, after_ms=began_ms) == []

    deployments.run(main())


def test_quarantine_survives_restart_of_all():
    """Only the records in the store are left."""

    async def main():
        async with _deployed() as world:
            await _send_repeatedly(world, "/verdicts/1", for_ms=5_000.0)
            for _ in range(3):
                await asyncio.gather(*(world.restart(n) for n in NAMES))
                await world.clock.sleep_ms(SETTLED_MS)
                await _send_repeatedly(world, "/verdicts/1", for_ms=5_000.0)
            settled_ms = _third_crash_ms(world) + SETTLED_MS
            assert (
                len(_arrivals(world, after_ms=settled_ms)) <= MAX_LATER_ATTEMPTS
            )

    deployments.run(main())


@pytest.mark.parametrize("waited_ms", [50.0, 58.0, 66.0, 74.0, 82.0, 90.0])
def test_waiting_attempt_is_not_placed(waited_ms):
    """Memory becomes free just after the reports of the third crash arrive.

    Placement retries at its own interval, so the crash falls at any time
    between two retries.
    """

    async def main():
        async with _deployed() as world:
            for backend in world.backends.by_name.values():
                backend.memory_tokens = 0
            waiting = asyncio.ensure_future(
                world.ask(
                    "/verdicts/1", body=CRASHING, caller_timeout_ms=14_000.0
                )
            )
            await world.clock.sleep_ms(waited_ms)
            waiting_ms = world.clock.now_ms()
            _crash_elsewhere(world)
            await world.clock.sleep_ms(REPORTED_MS)
            for backend in world.backends.by_name.values():
                backend.memory_tokens = 400_000 if backend.name == "d0" else 0
            answer = await waiting
            assert answer.error is not None
            assert world.clock.now_ms() - waiting_ms < PROPAGATION_MS
            assert _arrivals(world, after_ms=0.0) == []

    deployments.run(main())


@pytest.mark.parametrize("instance", NAMES[:2])
def test_waiting_attempt_is_refused_at_once(instance):
    """Attempts in the wait queue of an instance or the leader are refused.

    Otherwise the caller would wait for seconds for a certain refusal.
    """

    async def main():
        async with _deployed() as world:
            for backend in world.backends.by_name.values():
                backend.memory_tokens = 0
            waiting = asyncio.ensure_future(
                world.ask(
                    "/verdicts/1",
                    instance=instance,
                    body=CRASHING,
                    caller_timeout_ms=14_000.0,
                )
            )
            await world.clock.sleep_ms(50.0)
            waiting_ms = world.clock.now_ms()
            _crash_elsewhere(world)
            answer = await waiting
            assert answer.error is not None
            assert answer.error.kind is errors.ErrorKind.QUARANTINED
            assert world.clock.now_ms() - waiting_ms < PROPAGATION_MS

    deployments.run(main())


@pytest.mark.parametrize("are_alike", [True, False])
@pytest.mark.parametrize("path", PATHS)
def test_other_requests_on_crashed_engines_are_served(path, are_alike):
    """Requests that ran on a crashed engine are not to blame.

    Many callers send the same body, or each one a body of its own.
    """

    async def main():
        async with _deployed() as world:
            sending = asyncio.ensure_future(
                _send_repeatedly(world, path, for_ms=12_000.0)
            )
            other_answers = await world.flood(
                path, for_ms=12_000.0, are_alike=are_alike
            )
            assert _quarantined(other_answers) == []
            await sending
            await world.clock.sleep_ms(SETTLED_MS)
            # The same requests as before: none of them may stay in quarantine.
            answers = await world.flood(
                path, for_ms=2_000.0, are_alike=are_alike
            )
            assert {a.status for a in answers} == {200}

    deployments.run(main())


def test_popular_request_is_served_despite_unrelated_crashes():
    """The same body runs on each engine that crashes for other reasons."""

    async def main():
        async with _deployed() as world:
            flood = asyncio.ensure_future(
                world.flood("/lookup/1", for_ms=20_000.0)
            )
            for number in range(6):
                await world.clock.sleep_ms(2_500.0)
                for backend in list(world.backends.by_name.values()):
                    if backend.name.startswith(f"s{number}"):
                        world.backends.crash(backend)
            answers = await flood
            served = [a for a in answers if a.status == 200]
            assert len(served) >= 0.97 * len(answers)

    deployments.run(main())


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_respect_quarantine(seed):
    """Random kills, partitions and lost links under repeated requests.

    Attempts by instances that were disturbed recently don't count.
    """

    async def main():
        rng = random.Random(seed)
        path = rng.choice(PATHS)
        async with _deployed() as world:
            disturbed_ms: dict[str, float] = {}
            sending = asyncio.ensure_future(
                _send_repeatedly(world, path, for_ms=60_000.0, every_ms=211.0)
            )
            flood = asyncio.ensure_future(
                world.flood(
                    "/lookup/2",
                    for_ms=60_000.0,
                    every_ms=90.0,
                    are_alike=seed % 2 == 0,
                )
            )
            while not sending.done():
                await world.clock.sleep_ms(rng.uniform(3_000.0, 9_000.0))
                for name in await _disturb(world, rng):
                    disturbed_ms[name] = world.clock.now_ms()
            settled_ms = _third_crash_ms(world) + SETTLED_MS
            later = [
                asked
                for asked in _arrivals(world, after_ms=settled_ms)
                if asked.at_ms
                > disturbed_ms.get(asked.instance, -1e12) + SETTLED_MS
            ]
            assert len(later) <= MAX_LATER_ATTEMPTS
            world.network.heal()
            assert _quarantined(await flood) == []
            await world.clock.sleep_ms(SETTLED_MS)
            answers = await world.flood("/lookup/2", for_ms=1_000.0)
            assert {a.status for a in answers} == {200}

    deployments.run(main())


async def _disturb(world, rng: random.Random) -> list[str]:
    """Disturbs instances at random and returns their names."""
    names = sorted(world.instances)
    name = rng.choice(names)
    match rng.choice(["kill", "kill_all", "leader", "cut", "unlink", "heal"]):
        case "kill":
            await world.restart(name)
            return [name]
        case "kill_all":
            await asyncio.gather(*(world.restart(n) for n in names))
            return names
        case "leader" if world.leader is not None:
            leader = world.leader
            await world.restart(leader)
            return [leader]
        case "cut":
            domain = rng.choice("bcd")
            world.network.cut("a", domain)
            await world.clock.sleep_ms(rng.uniform(500.0, 4_000.0))
            world.network.heal()
            of_name = world.instances
            return [n for n in names if of_name[n].domain in ("a", domain)]
        case "unlink":
            link = world.instances[name].fleet.link._link
            if link is not None:
                link.close()
            return [name]
        case _:
            world.network.heal()
            return []
