"""Seeded histories of engines that fall silent and of those that die.

    .venv/bin/python -m tests.leadership.silence_histories 50 [FIRST]

plays seeds from FIRST on, by default from 0, and prints those that break a
bound, and when streams of dead engines went on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import contextlib
import itertools
import logging
import random
import sys

import structlog

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.forwarding import calls
from tests.forwarding import deployments
from tests.leadership import silence_checks as checks
from tests.leadership import silence_faults as faults
from tests.leadership import silence_world

NAMES = ("e1", "e2", "e3", "e4")
DOMAINS = "ab"
LENGTH_MS = 9_000.0
SPARSE_LENGTH_MS = 15_000.0
# Memory of an engine for four of these requests.
LITTLE_TOKENS = 10_000
# Until all calls, reservations and reported runs have ended.
ENDED_MS = 6_000.0
WORK = calls.ModelWork(checks.PROMPT_TOKENS, 400, 400)
# What callers ask for, by weight.
_RESUMABLE = "/verdicts/1"
PATHS = {
    _RESUMABLE: 5,
    "/last/1": 2,
    "/once/1": 1,
    "/feed/1": 1,
    "/lookup/1": 2,
    "/sale/1": 1,
}
# Callers leave a stream after the longest of these: a time without an event,
# a multiple of its route's target, and one of its longest gap so far.
LEAST_PATIENCE_MS = 2_000.0
PATIENCE_TARGETS = 4.0
PATIENCE_GAPS = 8.0
_WATCH_MS = 100.0
# Retries of the fleet in ten seconds that suffice for all streams of an engine.
_PLENTY = 200


class History:
    """One history.

    Args:
        seed: Fixes all that happens.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._has_little_memory = random.Random(f"memory {seed}").random() < 0.3
        self._asked: list[checks.Asked] = []
        self._reading: dict[str, set[asyncio.Task[None]]] = {}
        self._budgets: list[tuple[float, dict[tuple[str, str], float]]] = []
        self.resumptions: list[checks.Resumption] = []

    async def play(self) -> dict[str, list[str]]:
        """Plays the history and returns what broke a bound, by bound."""
        rng = self._rng
        is_sparse = rng.random() < 0.4
        world = deployments.Deployment(*silence_world.backends())
        world.are_pausable = True
        # Plenty where streams must go on, else little or none.
        slack = _PLENTY if is_sparse else rng.choice((40, 40, 0))
        world.retries = world.retries | {"slack": slack}
        if rng.random() < 0.4:
            world.older_builds.add(rng.choice(NAMES))
        if self._has_little_memory and not is_sparse:
            for backend in world.backends.by_name.values():
                backend.memory_tokens = LITTLE_TOKENS
        self._world = world
        await world.start_in(DOMAINS, *NAMES)
        changes = silence_world.Changes(world, rng)
        await world.clock.sleep_ms(4_000.0)
        try:
            await self._disturb(changes, is_sparse=is_sparse)
            return self._check()
        finally:
            await world.stop()

    async def _disturb(
        self, changes: silence_world.Changes, *, is_sparse: bool
    ) -> None:
        world = self._world
        self._faults = faults.Faults(
            world,
            self._rng,
            open_paths=self._open_paths,
            kill_instance=self._kill,
            change=changes.change,
            is_sparse=is_sparse,
        )
        if self._has_little_memory and not is_sparse:
            # No bound holds for what waits for memory.
            self._faults.record.turmoil.append(faults.Span(0.0))
        length_ms = SPARSE_LENGTH_MS if is_sparse else LENGTH_MS
        until_ms = world.clock.now_ms() + length_ms
        watch = asyncio.ensure_future(self._watch())
        await asyncio.gather(
            self._faults.play(until_ms),
            self._call(until_ms, is_sparse=is_sparse),
        )
        watch.cancel()
        await world.clock.sleep_ms(ENDED_MS)

    async def _watch(self) -> None:
        """Records the retries that instances have left."""
        while True:
            left = {
                (name, service): retries
                for name, instance in self._world.instances.items()
                for service, retries in instance.retries_left().items()
            }
            self._budgets.append((self._world.clock.now_ms(), left))
            await self._world.clock.sleep_ms(_WATCH_MS)

    def _has_budget(
        self, name: str, engine: str, from_ms: float, until_ms: float
    ) -> bool:
        service = self._world.backends.by_name[engine].endpoint.service
        return all(
            left.get((name, service), 0.0) >= 1.0
            for at_ms, left in self._budgets
            if from_ms - _WATCH_MS <= at_ms <= until_ms + _WATCH_MS
        )

    def _open_paths(self) -> Sequence[tuple[str, str]]:
        instances = {
            asked.request_id: asked.instance
            for asked in self._asked
            if asked.ended_ms > self._world.clock.now_ms()
        }
        return [
            (instances[run.request_id], run.engine)
            for run in self._world.backends.runs
            if run.request_id in instances
        ]

    async def _call(self, until_ms: float, *, is_sparse: bool) -> None:
        """Has callers ask all instances for all kinds of answers."""
        asking = []
        while self._world.clock.now_ms() < until_ms:
            path = self._rng.choices(list(PATHS), list(PATHS.values()))[0]
            if is_sparse and self._rng.random() < 0.5:
                path = _RESUMABLE
            name = self._rng.choice(NAMES)
            if name in self._world.instances:
                asking.append(asyncio.ensure_future(self._ask(path, name)))
            await self._world.clock.sleep_ms(self._rng.uniform(30.0, 130.0))
        await asyncio.gather(*asking)

    async def _ask(self, path: str, name: str) -> None:
        """Asks, and leaves like the users' clients do."""
        world = self._world
        caller_timeout_ms = self._rng.choice((None, None, 9_000.0))
        call = world.call(
            path,
            body=b"body %d" % len(self._asked),
            work=WORK,
            headers=silence_world.HEADERS,
            caller_timeout_ms=caller_timeout_ms,
        )
        try:
            route = world.instances[name].source.match(call.host, call.path)
        except errors.WharfError:
            return
        asked = checks.Asked(
            call.request_id,
            path,
            name,
            call.arrived_ms,
            route,
            caller_timeout_ms,
        )
        self._asked.append(asked)
        reading = asyncio.get_running_loop().create_task(
            self._read(asked, call), context=deployments.context_of(name)
        )
        self._reading.setdefault(name, set()).add(reading)
        await self._wait(asked, reading)
        self._reading.get(name, set()).discard(reading)

    async def _wait(
        self, asked: checks.Asked, reading: asyncio.Task[None]
    ) -> None:
        """Waits for the end of an answer, as long as its caller does."""
        clock = self._world.clock
        while not reading.done():
            until_ms = _patience_ms(asked)
            with contextlib.suppress(TimeoutError):
                async with clock.timeout_ms(until_ms - clock.now_ms()):
                    await asyncio.wait([reading])
            if not reading.done() and clock.now_ms() >= _patience_ms(asked):
                asked.is_left = True
                break
        asked.ended_ms = clock.now_ms()
        reading.cancel()

    async def _read(self, asked: checks.Asked, call: calls.Call) -> None:
        instance = self._world.instances.get(asked.instance)
        if instance is None:
            asked.is_left = True
            return
        try:
            # An instance that was paused reads the request only now.
            asked.route = instance.source.match(call.host, call.path)
            async with instance.run(call) as reply:
                asked.status = reply.status
                async for part in reply.body:
                    asked.body += part
                    count = part.count(b"id: ")
                    asked.times_ms += [self._world.clock.now_ms()] * count
        except errors.WharfError as error:
            asked.error = error

    async def _kill(self, name: str) -> None:
        """Kills an instance and starts it again without any of its state."""
        now_ms = self._world.clock.now_ms()
        for asked in self._asked:
            if asked.instance == name and asked.ended_ms > now_ms:
                asked.is_left = True
        for reading in self._reading.pop(name, set()):
            reading.cancel()
        await self._world.restart(name)

    def _check(self) -> dict[str, list[str]]:
        found = checks.Checks(
            self._asked,
            self._world.backends.runs,
            self._faults.record,
            has_budget=self._has_budget,
            engines_beside=self._engines_beside,
        )
        self.resumptions = list(found.resumptions())
        broken = found.broken()
        held = self._left()
        return broken | {"held": held} if held else broken

    def _engines_beside(self, engine: str) -> list[str]:
        by_name = self._world.backends.by_name
        service = by_name[engine].endpoint.service
        return [
            name
            for name, backend in by_name.items()
            if backend.endpoint.service == service and name != engine
        ]

    def _left(self) -> list[str]:
        """Returns what engines and instances still hold at the end."""
        world = self._world
        world.backends.remove_expired_reservations()
        left = [
            f"{backend.name} holds {backend.held} {backend.running_requests}"
            for backend in world.backends.by_name.values()
            if backend.name not in self._faults.record.deaths
            and (backend.running_requests or _is_holding(backend))
        ]
        for name, instance in world.instances.items():
            if instance.admission.in_flight:
                left.append(f"{name}: {instance.admission.in_flight}")
        return left


def _is_holding(backend) -> bool:
    return backend.endpoint.role is resources.Role.DECODE and backend.held


def _patience_ms(asked: checks.Asked) -> float:
    """Clock time at which a caller leaves unless something arrives."""
    if not asked.route.is_stream:
        return asked.deadline_ms + LEAST_PATIENCE_MS
    times_ms = [asked.at_ms, *asked.times_ms]
    gaps_ms = [b - a for a, b in itertools.pairwise(times_ms[1:])]
    gap_ms = max(
        LEAST_PATIENCE_MS,
        PATIENCE_TARGETS * asked.route.target_ms,
        PATIENCE_GAPS * max(gaps_ms, default=0.0),
    )
    return times_ms[-1] + gap_ms


def play(seed: int) -> tuple[dict[str, list[str]], History]:
    """Plays one history and returns what broke a bound."""
    history = History(seed)
    return deployments.run(history.play()), history


def main() -> None:
    """Plays as many histories as the arguments say."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    first = int(sys.argv[2]) if len(sys.argv) > 2 else 0
    failed: dict[str, int] = {}
    resumed: list[checks.Resumption] = []
    for seed in range(first, first + int(sys.argv[1])):
        broken, history = play(seed)
        resumed += history.resumptions
        for bound, cases in broken.items():
            failed[bound] = failed.get(bound, 0) + 1
            print(seed, bound, len(cases), cases[:2], flush=True)
    print(f"{sys.argv[1]} histories, those that broke a bound: {failed}")
    _print_resumptions(resumed)


def _print_resumptions(resumed: list[checks.Resumption]) -> None:
    """Prints when streams of dead engines went on, by kind of death."""
    for kind in sorted({r.kind for r in resumed}):
        found = [r for r in resumed if r.kind == kind]
        early_ms = min(r.due_ms - r.next_ms for r in found)
        late = sum(r.is_late for r in found)
        print(
            f"{kind}: {len(found)} streams, {late} late, "
            f"the last one {early_ms:.0f} ms before it was due"
        )


if __name__ == "__main__":
    main()
