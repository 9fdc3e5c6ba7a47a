"""Seeded histories of streams beside engines of several software versions.

    .venv/bin/python -m tests.leadership.version_histories 200

plays the seeds from 0 on and prints those that break a rule.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
import sys

import structlog

from jujubewharf.configuration import resources
from jujubewharf.standins import endpoint_cuts
from jujubewharf.standins import store as stores
from tests.forwarding import deployments
from tests.leadership import stream_versions as versions

NAMES = ("e1", "e2", "e3", "e4", "e5", "e6")
LENGTH_MS = 24_000.0
# Time without disturbance after which an instance counts as calm.
STABLE_MS = 3_000.0
# The users' bound: at least half as many resumed streams go on as new streams
# begin. Fewer resumptions say nothing about it.
LEAST_RESUMED = 12
# Mean time between two instances whose callers' connections are reset.
RESET_INTERVAL_MS = 700.0
RESUMED_SHARE = 0.5
# Time that a draining engine goes on serving.
DRAIN_MS = 2_000.0


@dataclasses.dataclass(slots=True)
class Counts:
    """Requests at calm instances, and those that brought events.

    Attributes:
        begun: First requests that brought events.
        new: First requests.
        went_on: Requests to resume that brought events, while two engines of
            the version served.
        resumed: Requests to resume, while two engines of the version served.
    """

    begun: int = 0
    new: int = 0
    went_on: int = 0
    resumed: int = 0

    def add(self, other: Counts) -> None:
        """Adds the counts of another history."""
        for field in dataclasses.fields(Counts):
            value = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, value)

    def check(self) -> list[str]:
        """Returns the rules about shares that are broken."""
        if self.resumed < LEAST_RESUMED or not self.new:
            return []
        share = self.went_on / self.resumed
        if share < RESUMED_SHARE * self.begun / self.new:
            return [f"few went on: {self}"]
        return []


class History:
    """One history.

    Args:
        seed: Fixes all that happens.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._resets = random.Random(f"resets {seed}")
        self._disturbed_ms: dict[str, float] = {}
        self._core_ms = -1e12
        self._newest = 2
        self._number = 0
        self._serving: list[tuple[float, dict[str, int]]] = []
        self.counts = Counts()

    async def play(self) -> list[str]:
        """Plays the history and returns the rules that were broken."""
        behind = [versions.prefill_engine("v1"), versions.prefill_engine("v2")]
        behind += versions.decode_engines("v1", count=3)
        behind += versions.decode_engines("v2", count=3)
        async with versions.deployed(*behind, names=NAMES) as world:
            self._world = world
            self._callers = versions.Callers(world)
            world.revive_crashed(after_ms=2_000.0)
            self._until_ms = world.clock.now_ms() + LENGTH_MS
            streams, *_ = await asyncio.gather(
                self._streams(),
                self._trouble(),
                self._watch(),
                self._reset_callers(),
            )
            self._count(streams)
            return [*_check_order(streams), *self.counts.check()]

    async def _streams(self) -> list[versions.Stream]:
        asked = []
        while self._world.clock.now_ms() < self._until_ms:
            names = self._rng.sample(NAMES, len(NAMES))
            asked.append(asyncio.ensure_future(self._callers.stream(names)))
            await self._world.clock.sleep_ms(self._rng.uniform(10.0, 60.0))
        return list(await asyncio.gather(*asked))

    async def _reset_callers(self) -> None:
        """Resets all callers of one instance after the other."""
        while self._world.clock.now_ms() < self._until_ms:
            drawn = self._resets.uniform(0.5, 1.5)
            await self._world.clock.sleep_ms(RESET_INTERVAL_MS * drawn)
            self._callers.reset(self._resets.choice(NAMES))

    async def _watch(self) -> None:
        """Records how many engines of each version serve."""
        while self._world.clock.now_ms() < self._until_ms + 5_000.0:
            serving: dict[str, int] = {}
            for backend in self._engines():
                if not backend.is_silent:
                    version = backend.software_version
                    serving[version] = serving.get(version, 0) + 1
            self._serving.append((self._world.clock.now_ms(), serving))
            await self._world.clock.sleep_ms(100.0)

    def _engines(self):
        """Decode engines that serve."""
        return [
            backend
            for backend in self._world.backends.by_name.values()
            if backend.endpoint.role is resources.Role.DECODE
            and not backend.endpoint.drained
            and not backend.has_crashed.is_set()
        ]

    async def _trouble(self) -> None:
        world = self._world
        while True:
            await world.clock.sleep_ms(self._rng.uniform(500.0, 3_000.0))
            if world.clock.now_ms() > self._until_ms - 1_000.0:
                return
            event = self._rng.choice(
                (
                    self._crash_engine,
                    self._crash_engine,
                    self._break_streams,
                    self._stall_streams,
                    self._isolate,
                    self._cut_from_engines,
                    self._kill_instance,
                    self._kill_instance,
                    self._kill_leader,
                    self._kill_all,
                    self._release_step,
                    self._release_step,
                    self._cut_domains,
                    self._unlink,
                    self._restore_store,
                )
            )
            await event()

    async def _crash_engine(self) -> None:
        engines = self._engines()
        if engines:
            self._world.backends.crash(self._rng.choice(engines))

    async def _break_streams(self) -> None:
        """Has an engine break off its streams inside an event for a while."""
        engines = self._engines()
        if not engines:
            return
        backend = self._rng.choice(engines)
        backend.breaks_after = self._rng.randrange(2, versions.EVENTS)

        def mend() -> None:
            backend.breaks_after = None

        at_ms = self._world.clock.now_ms() + 1_000.0
        self._world.clock.call_at_ms(at_ms, mend)

    async def _stall_streams(self) -> None:
        """Has an engine fall silent in the middle of its streams."""
        engines = self._engines()
        if not engines:
            return
        backend = self._rng.choice(engines)
        backend.stalls_after = self._rng.randrange(2, versions.EVENTS)

        def mend() -> None:
            backend.stalls_after = None

        at_ms = self._world.clock.now_ms() + 1_000.0
        self._world.clock.call_at_ms(at_ms, mend)

    async def _isolate(self) -> None:
        """Cuts an instance off from the store and its peers for a while."""
        name = self._rng.choice(sorted(self._world.instances))
        self._disturbed_ms[name] = 1e12
        self._world.store.cut_off[name] = stores.Outage.RESET
        until_ms = self._world.clock.now_ms() + self._rng.uniform(1e3, 6e3)
        while self._world.clock.now_ms() < until_ms:
            self._world.network.drop_streams(name)
            await self._world.clock.sleep_ms(200.0)
        self._world.store.cut_off.pop(name, None)
        self._disturbed_ms[name] = self._world.clock.now_ms()

    async def _cut_from_engines(self) -> None:
        """Cuts an instance off from all engines for a while."""
        name = self._rng.choice(sorted(self._world.instances))
        self._disturbed_ms[name] = 1e12
        kind = self._rng.choice(list(endpoint_cuts.CutKind))
        self._world.cuts.begin(name, kind)
        await self._world.clock.sleep_ms(self._rng.uniform(500.0, 3_000.0))
        self._world.cuts.end(name)
        self._disturbed_ms[name] = self._world.clock.now_ms()

    async def _kill_instance(self) -> None:
        await self._restart(self._rng.choice(sorted(self._world.instances)))

    async def _kill_leader(self) -> None:
        if self._world.leader is not None:
            await self._restart(self._world.leader)

    async def _kill_all(self) -> None:
        if self._rng.random() < 0.5:
            return
        names = sorted(self._world.instances)
        await asyncio.gather(*(self._restart(name) for name in names))

    async def _restart(self, name: str) -> None:
        self._disturbed_ms[name] = 1e12
        await self._callers.restart(name)
        self._disturbed_ms[name] = self._world.clock.now_ms()

    async def _release_step(self) -> None:
        """Replaces an engine by one of another version, newer or older."""
        engines = self._engines()
        if not engines:
            return
        if self._rng.random() < 0.3:
            self._newest += 1
        oldest = max(1, self._newest - 2)
        version = f"v{self._rng.randrange(oldest, self._newest + 1)}"
        self._number += 1
        started = versions.engine(
            f"r{self._number}-{version}",
            version,
            resources.Role.DECODE,
            self._rng.choice(versions.DOMAINS),
        )
        self._world.backends.by_name[started.name] = started
        self._world.endpoints.put(started.name, started.endpoint)
        await self._world.clock.sleep_ms(300.0)
        leaving = self._rng.choice(engines)
        if leaving.has_crashed.is_set():
            return
        self._world.register(leaving, drained=True)

        def remove() -> None:
            self._world.endpoints.put(leaving.name, None)

        at_ms = self._world.clock.now_ms() + DRAIN_MS
        self._world.clock.call_at_ms(at_ms, remove)

    async def _cut_domains(self) -> None:
        domain = self._rng.choice("bcd")
        for name, instance in self._world.instances.items():
            if instance.domain in ("a", domain):
                self._disturbed_ms[name] = 1e12
        self._world.network.cut("a", domain)
        await self._world.clock.sleep_ms(self._rng.uniform(500.0, 3_000.0))
        self._world.network.heal()
        for name, instance in self._world.instances.items():
            if instance.domain in ("a", domain):
                self._disturbed_ms[name] = self._world.clock.now_ms()

    async def _unlink(self) -> None:
        name = self._rng.choice(sorted(self._world.instances))
        link = self._world.instances[name].fleet.link.link
        if link is not None:
            self._disturbed_ms[name] = self._world.clock.now_ms()
            link.close()

    async def _restore_store(self) -> None:
        if self._rng.random() < 0.5:
            return
        copy = self._world.store.copy()
        await self._world.clock.sleep_ms(self._rng.uniform(300.0, 1_500.0))
        present = {b.name: b.endpoint for b in self._engines()}
        self._core_ms = self._world.clock.now_ms()
        self._world.store.restore(copy)
        for name, endpoint in present.items():
            # What engines wrote is written again.
            self._world.endpoints.put(name, endpoint)

    def _count(self, streams: list[versions.Stream]) -> None:
        """Counts what the users' bound is about."""
        for stream in streams:
            for found in stream.tries:
                if not self._is_calm(found):
                    continue
                has_events = found.events > 0
                if found.resumed_version is None:
                    self.counts.new += 1
                    self.counts.begun += has_events
                elif self._serving_at(found) >= 2:
                    self.counts.resumed += 1
                    self.counts.went_on += has_events

    def _is_calm(self, found: versions.Try) -> bool:
        disturbed_ms = self._disturbed_ms.get(found.instance, -1e12)
        last_ms = max(disturbed_ms, self._core_ms)
        return found.at_ms - last_ms >= STABLE_MS

    def _serving_at(self, found: versions.Try) -> int:
        """Engines of a version that serve while a request may be placed."""
        assert found.resumed_version is not None
        until_ms = found.at_ms + 1_000.0
        return min(
            (
                serving.get(found.resumed_version, 0)
                for at_ms, serving in self._serving
                if found.at_ms - 100.0 <= at_ms <= until_ms
            ),
            default=0,
        )


def _check_order(streams: list[versions.Stream]) -> list[str]:
    mixed = [s for s in streams if s.is_mixed]
    gaps = [s for s in streams if not s.is_in_order]
    broken = []
    if mixed:
        broken.append(f"{len(mixed)} streams of two versions")
    if gaps:
        broken.append(f"{len(gaps)} streams with missing or doubled events")
    return broken


def play(seed: int) -> tuple[list[str], Counts]:
    """Plays one history and returns the rules that were broken."""
    history = History(seed)
    return deployments.run(history.play()), history.counts


def main() -> None:
    """Plays as many histories as the argument says."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    total = Counts()
    failed = 0
    first = int(sys.argv[2]) if len(sys.argv) > 2 else 0
    for seed in range(first, first + int(sys.argv[1])):
        broken, counts = play(seed)
        total.add(counts)
        print(f"{seed}: judged {counts.resumed}, {counts}", flush=True)
        if broken:
            failed += 1
            print(seed, broken, flush=True)
    print(
        f"{sys.argv[1]} histories, {failed} with a broken rule;"
        f" judged {total.resumed} resumptions: {total}, {total.check()}"
    )


if __name__ == "__main__":
    main()
