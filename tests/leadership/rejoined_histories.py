"""Seeded histories of streams around kills of all instances, beside releases.

    .venv/bin/python -m tests.leadership.rejoined_histories 10 [FIRST] \
        [--case NAME]

plays the seeds from ``FIRST`` on. Callers wait until instances are back, as the
users' do, and print how many of their resumptions were judged.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import dataclasses
import logging
import random

import structlog

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.forwarding import calls
from jujubewharf.standins import store as stores
from tests.forwarding import deployments
from tests.leadership import rejoined_judging as judging
from tests.leadership import stream_versions as versions

NAMES = ("e1", "e2", "e3", "e4", "e5", "e6")
LENGTH_MS = 42_000.0
EVENTS = 16
EVENT_MS = 110.0
_TIMEOUT_MS = 14_000.0
_WORK = calls.ModelWork(500, 500, 500)
_MAX_TRIES = 20
_DECODE = 6
_PREFILL = 2
# Time for which an engine that drains, or whose entry was removed, serves.
_SERVES_ON_MS = 2_500.0
# Delay of the store's answers while it is slow.
_SLOW_MS = 300.0
_KILLS_MS = (6_500.0, 17_000.0, 27_500.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """What a history is about.

    Attributes:
        timeout_ms: Timeout of the route.
        shortened_ms: Timeout from a kill on; ``None`` for the same.
        has_releases: Whether an engine after the other is replaced by one of
            the next version; otherwise two versions stay.
        lead_ms: Time from a release to the kill after it.
        is_named: Whether callers name the request that began their stream.
        is_killed_again: Whether all are killed again as they are back.
        store: What happens to the store beside a kill.
        is_one_version: Whether all engines have one version for good.
    """

    timeout_ms: float = _TIMEOUT_MS
    shortened_ms: float | None = None
    has_releases: bool = True
    lead_ms: float = 1_700.0
    is_named: bool = True
    is_killed_again: bool = False
    store: str = ""
    is_one_version: bool = False


CASES = {
    "released_before": Case(),
    "released_long_before": Case(lead_ms=5_000.0),
    "released_beside": Case(lead_ms=500.0),
    "released_after": Case(lead_ms=-3_500.0),
    "two_versions_stay": Case(has_releases=False),
    "timeout_shortened": Case(shortened_ms=2_600.0),
    "timeout_shortened_unnamed": Case(shortened_ms=2_600.0, is_named=False),
    "short_timeout": Case(timeout_ms=3_000.0),
    "short_timeout_unnamed": Case(timeout_ms=3_000.0, is_named=False),
    "unnamed": Case(is_named=False),
    "killed_again": Case(is_killed_again=True),
    "killed_again_unnamed": Case(is_killed_again=True, is_named=False),
    "store_away": Case(store="away"),
    "store_slow": Case(store="slow"),
    "store_restored": Case(store="restored"),
    "store_restored_unnamed": Case(store="restored", is_named=False),
    "one_version": Case(has_releases=False, is_one_version=True),
    "one_version_unnamed": Case(
        has_releases=False, is_one_version=True, is_named=False
    ),
}


class History:
    """One history.

    Args:
        case: What it is about.
        seed: Fixes all that happens.
    """

    def __init__(self, case: Case, seed: int) -> None:
        self._case = case
        self._rng = random.Random(f"{case}/{seed}")
        self._release = 0
        self._reading: set[asyncio.Task[None]] = set()
        self._record = judging.Record()
        # Engines that drain, or whose registration was removed.
        self._leaving: set[str] = set()

    async def play(self) -> judging.Verdict:
        """Plays the history and judges its streams."""
        first = ("v0",) if self._case.is_one_version else ("v0", "v1")
        if self._case.has_releases:
            first = ("v0",)
        behind = [
            versions.engine(
                f"p{n}", first[n % len(first)], resources.Role.PREFILL
            )
            for n in range(_PREFILL)
        ]
        behind += [
            self._engine(f"d{n}", first[n % len(first)]) for n in range(_DECODE)
        ]
        async with versions.deployed(
            *behind, names=NAMES, is_first_start=True
        ) as world:
            self._world = world
            await self._configure(self._case.timeout_ms)
            self._began_ms = world.clock.now_ms()
            streams, *_ = await asyncio.gather(
                self._streams(), self._trouble(), self._watch()
            )
        return self._record.judge(streams)

    def _engine(self, name: str, version: str):
        domain = versions.DOMAINS[self._rng.randrange(4)]
        backend = versions.engine(name, version, resources.Role.DECODE, domain)
        backend.events = EVENTS
        backend.event_ms = EVENT_MS
        return backend

    async def _configure(self, timeout_ms: float) -> None:
        self._version = getattr(self, "_version", 1) + 1
        route = dataclasses.replace(
            deployments.STREAM, timeout_ms=timeout_ms, max_attempts=2
        )
        self._world.configurations.put(
            "config", deployments.configuration(self._version, route)
        )
        await self._world.clock.sleep_ms(1_000.0)

    # What happens.

    async def _trouble(self) -> None:
        beside = []
        for at_ms in _KILLS_MS:
            if self._case.has_releases:
                release_ms = at_ms - self._case.lead_ms
                beside.append(asyncio.ensure_future(self._roll(release_ms)))
            beside.append(asyncio.ensure_future(self._kill_all(at_ms)))
        await asyncio.gather(*beside)

    async def _until(self, at_ms: float) -> None:
        left_ms = self._began_ms + at_ms - self._world.clock.now_ms()
        await self._world.clock.sleep_ms(max(0.0, left_ms))

    async def _roll(self, at_ms: float) -> None:
        """Replaces all engines by those of the next version."""
        await self._until(at_ms)
        self._release += 1
        version = f"v{self._release}"
        leaving = [
            backend
            for backend in self._world.backends.by_name.values()
            if backend.name not in self._leaving
        ]
        for number in range(_DECODE + _PREFILL):
            name = f"r{self._release}-{number}"
            backend = (
                self._engine(name, version)
                if number < _DECODE
                else versions.engine(name, version, resources.Role.PREFILL)
            )
            self._world.backends.by_name[name] = backend
            self._world.endpoints.put(name, backend.endpoint)
            if not number:
                # The first one before the others, as in a release.
                await self._world.clock.sleep_ms(700.0)
        for number, backend in enumerate(leaving):
            self._leaving.add(backend.name)
            if number % 3:
                self._world.register(backend, drained=True)
            else:
                self._world.endpoints.put(backend.name, None)
            self._leave_later(backend)

    def _leave_later(self, backend) -> None:
        def leave() -> None:
            self._world.endpoints.put(backend.name, None)
            self._world.backends.by_name.pop(backend.name, None)

        at_ms = self._world.clock.now_ms() + _SERVES_ON_MS
        self._world.clock.call_at_ms(at_ms, leave)

    async def _kill_all(self, at_ms: float) -> None:
        await self._until(at_ms)
        copy = self._world.store.copy()
        if self._case.store == "restored":
            began_ms = self._world.clock.now_ms()
            await self._world.clock.sleep_ms(self._rng.uniform(300.0, 1_000.0))
            self._record.lost_ms.append((began_ms, self._world.clock.now_ms()))
        self._record.killed_ms.append(self._world.clock.now_ms())
        if self._case.store == "away":
            self._world.store.outage = stores.Outage.RESET
        if self._case.store == "slow":
            self._world.store.delays_ms |= dict.fromkeys(NAMES, _SLOW_MS)
        await self._kill()
        await self._world.clock.sleep_ms(self._rng.uniform(800.0, 2_500.0))
        if self._case.store == "restored":
            self._restore(copy)
        if self._case.shortened_ms is not None:
            await self._configure(self._case.shortened_ms)
        starting = asyncio.ensure_future(self._start_all())
        if self._case.store == "away":
            await self._world.clock.sleep_ms(1_500.0)
            self._world.store.outage = None
        await starting
        if self._case.is_killed_again:
            await self._world.clock.sleep_ms(self._rng.uniform(0.0, 1_500.0))
            await self._kill()
            await self._start_all()
        self._world.store.delays_ms.clear()
        self._record.back_ms.append(self._world.clock.now_ms())
        if self._case.shortened_ms is not None:
            await self._until(at_ms + 8_000.0)
            await self._configure(self._case.timeout_ms)

    def _restore(self, copy: stores.StoreCopy) -> None:
        present = {
            backend.name: backend.endpoint
            for backend in self._world.backends.by_name.values()
            if backend.name not in self._leaving
        }
        self._world.store.restore(copy)
        for record in copy.tables["endpoints"].records:
            if record.key not in present:
                self._world.endpoints.put(record.key, None)
        for name, endpoint in present.items():
            self._world.endpoints.put(name, endpoint)

    async def _kill(self) -> None:
        self._domains = {
            name: instance.domain
            for name, instance in self._world.instances.items()
        }
        for task in list(self._reading):
            task.cancel()
        for name in list(self._world.instances):
            self._world.network.drop_instance(name)
            await self._world.instances.pop(name).stop()

    async def _start_all(self) -> None:
        await asyncio.gather(
            *(
                self._world.start(
                    name,
                    domain=self._domains[name],
                    declare=False,
                    is_led=True,
                )
                for name in NAMES
            )
        )

    def _decode_engines(self):
        return [
            backend
            for backend in self._world.backends.by_name.values()
            if backend.endpoint.role is resources.Role.DECODE
            and backend.name not in self._leaving
        ]

    async def _watch(self) -> None:
        while self._world.clock.now_ms() < self._began_ms + LENGTH_MS:
            serving: dict[str, int] = {}
            for backend in self._decode_engines():
                version = backend.software_version
                serving[version] = serving.get(version, 0) + 1
            self._record.serving.append((self._world.clock.now_ms(), serving))
            await self._world.clock.sleep_ms(judging.WATCH_INTERVAL_MS)

    # Callers.

    async def _streams(self) -> list[versions.Stream]:
        reading = []
        until_ms = self._began_ms + LENGTH_MS - 6_000.0
        while self._world.clock.now_ms() < until_ms:
            reading.append(asyncio.ensure_future(self._stream()))
            await self._world.clock.sleep_ms(self._rng.uniform(40.0, 120.0))
        return list(await asyncio.gather(*reading))

    async def _stream(self) -> versions.Stream:
        """Reads a stream; its caller waits until instances are back."""
        stream = versions.Stream()
        budget_ms = self._world.clock.now_ms() + _TIMEOUT_MS
        for _ in range(_MAX_TRIES):
            found = await self._try(stream, budget_ms)
            if found is not None and found.is_whole:
                break
            pause_ms = self._rng.uniform(200.0, 1_200.0)
            if self._world.clock.now_ms() + pause_ms > budget_ms:
                break
            await self._world.clock.sleep_ms(pause_ms)
        return stream

    async def _try(
        self, stream: versions.Stream, budget_ms: float
    ) -> versions.Try | None:
        now_ms = self._world.clock.now_ms()
        running = sorted(self._world.instances)
        if not running:
            return None
        found = versions.Try(self._rng.choice(running), now_ms)
        stream.tries.append(found)
        call = self._world.call(
            "/verdicts/1", work=_WORK, caller_timeout_ms=budget_ms - now_ms
        )
        if stream.numbers:
            found.resumed_version = stream.versions[0]
            named = stream.began_by if self._case.is_named else None
            call = dataclasses.replace(
                call, last_event=stream.numbers[-1], began_by=named
            )
        task = asyncio.ensure_future(self._read(stream, found, call))
        self._reading.add(task)
        await asyncio.gather(task, return_exceptions=True)
        self._reading.discard(task)
        found.was_reset = task.cancelled()
        return found

    async def _read(
        self, stream: versions.Stream, found: versions.Try, call: calls.Call
    ) -> None:
        asked = self._world.instances[found.instance]
        with contextlib.suppress(errors.WharfError):
            async with asked.run(call) as reply:
                async for part in reply.body:
                    stream.began_ms = (
                        stream.began_ms or self._world.clock.now_ms()
                    )
                    found.events += stream.add(part, call.request_id)
            found.is_whole = reply.is_success


def play(case: str, seed: int) -> judging.Verdict:
    """Plays one history and judges its streams."""
    return deployments.run(History(CASES[case], seed).play())


def main() -> None:
    """Plays the histories that the arguments name."""
    parser = argparse.ArgumentParser()
    parser.add_argument("seeds", type=int)
    parser.add_argument("first", type=int, nargs="?", default=0)
    parser.add_argument("--case", choices=list(CASES))
    given = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    for case in [given.case] if given.case else list(CASES):
        total = judging.Verdict()
        for seed in range(given.first, given.first + given.seeds):
            total.add(play(case, seed))
        print(case, total, "LOST" if total.is_lost else "", flush=True)


if __name__ == "__main__":
    main()
