"""Draws what falls silent in a history, and records when."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import enum
import random

from jujubewharf.configuration import resources
from jujubewharf.standins import endpoint_cuts
from tests.forwarding import deployments

# Shortest and longest pause.
PAUSE_MS = (100.0, 3_000.0)
# Time until another engine is registered in place of one that is gone.
REPLACED_MS = 2_500.0
_EPSILON_MS = 1.0


class Death(enum.Enum):
    """How an engine or its path dies; only ``CRASH`` closes connections."""

    CRASH = "crash"
    DARK = "dark"
    HANG = "hang"


@dataclasses.dataclass(slots=True)
class Span:
    """A time in which something was wrong, in clock milliseconds."""

    from_ms: float
    until_ms: float = float("inf")
    kind: str = ""

    def overlaps(self, from_ms: float, until_ms: float) -> bool:
        """Whether a part of another time lies in this one."""
        return self.from_ms <= until_ms and self.until_ms >= from_ms


class Record:
    """What was wrong in a history, and when.

    Attributes:
        pauses: Pauses by engine or instance.
        deaths: Kind and time of death by engine.
        cuts: Partitions by instance and engine.
        turmoil: Times in which the leader or its placement may be disturbed.
    """

    def __init__(self) -> None:
        self.pauses: dict[str, list[Span]] = {}
        self.deaths: dict[str, tuple[Death, float]] = {}
        self.cuts: dict[tuple[str, str], list[Span]] = {}
        self.turmoil: list[Span] = []

    def death_ms(self, engine: str) -> float:
        """Time of an engine's death."""
        return self.deaths.get(engine, (None, float("inf")))[1]

    def silent_ms(self, engine: str) -> float:
        """Time from which an engine wrote no more."""
        death_ms = self.death_ms(engine)
        for span in self.pauses.get(engine, ()):
            if span.overlaps(death_ms - _EPSILON_MS, death_ms):
                return span.from_ms
        return death_ms

    def is_paused(self, name: str, from_ms: float, until_ms: float) -> bool:
        """Whether an engine or instance was paused at any time between."""
        spans = self.pauses.get(name, ())
        return any(s.overlaps(from_ms, until_ms) for s in spans)

    def is_cut(
        self, instance: str, engine: str, from_ms: float, until_ms: float
    ) -> bool:
        """Whether a path was cut at any time between."""
        spans = self.cuts.get((instance, engine), ())
        return any(s.overlaps(from_ms, until_ms) for s in spans)

    def is_turmoil(self, from_ms: float, until_ms: float) -> bool:
        """Whether the leader may have been disturbed between."""
        return any(s.overlaps(from_ms, until_ms) for s in self.turmoil)

    def awake_ms(self, engine: str, from_ms: float, until_ms: float) -> float:
        """Time between in which an engine was neither paused nor dead."""
        until_ms = min(until_ms, self.death_ms(engine))
        awake_ms = max(0.0, until_ms - from_ms)
        for span in self.pauses.get(engine, ()):
            shared = min(until_ms, span.until_ms) - max(from_ms, span.from_ms)
            awake_ms -= max(0.0, shared)
        return awake_ms


class Faults:
    """Draws faults, and heals those that end.

    Args:
        world: The deployment.
        rng: Draws all that happens.
        open_paths: Returns the instances and engines of open streams.
        kill_instance: Kills an instance and starts it again.
        change: Changes the configuration or the engines in some way.
        is_sparse: Whether deaths come one by one, for bounds that need quiet.
    """

    def __init__(
        self,
        world: deployments.Deployment,
        rng: random.Random,
        *,
        open_paths: Callable[[], Sequence[tuple[str, str]]],
        kill_instance: Callable[[str], Awaitable[None]],
        change: Callable[[], Awaitable[None]],
        is_sparse: bool,
    ) -> None:
        self.record = Record()
        self._world = world
        self._rng = rng
        self._open_paths = open_paths
        self._kill_instance = kill_instance
        self._change = change
        self._is_sparse = is_sparse
        deaths = (
            self._crash,
            self._go_dark,
            self._hang,
            self._pause_and_die,
            self._cut_path,
        )
        silences = (
            self._pause,
            self._pause,
            self._pause,
            self._pause_twice,
            self._pause_twice,
            self._pause_own,
            self._kill_leader,
        )
        self._scenes = deaths if is_sparse else (*silences, *deaths)

    async def play(self, until_ms: float) -> None:
        """Draws faults and changes until a time, and lets them end."""
        playing = []
        while self._now_ms < until_ms:
            for scene in (self._rng.choice(self._scenes), self._change):
                playing.append(asyncio.ensure_future(self._begin(scene)))
            gap_ms = self._rng.uniform(300.0, 1_800.0)
            if self._is_sparse:
                gap_ms += 4_000.0
            await self._world.clock.sleep_ms(gap_ms)
        await asyncio.gather(*playing)

    async def _begin(self, scene: Callable[[], Awaitable[None]]) -> None:
        """Begins a scene beside others, a little sooner or later."""
        await self._world.clock.sleep_ms(self._rng.uniform(0.0, 800.0))
        await scene()

    @property
    def _now_ms(self) -> float:
        return self._world.clock.now_ms()

    def _living(self, *roles: resources.Role) -> list[str]:
        """Names of the engines that serve now."""
        return [
            backend.name
            for backend in self._world.backends.by_name.values()
            if (not roles or backend.endpoint.role in roles)
            and not backend.is_paused
            and not backend.endpoint.drained
            and backend.name not in self.record.deaths
        ]

    async def _pause(self) -> None:
        """Pauses one, most or all engines or plain endpoints."""
        names = self._rng.choice(
            (
                self._living(resources.Role.DECODE, resources.Role.PREFILL),
                self._living(resources.Role.DECODE),
                self._living(resources.Role.PLAIN),
                self._living(),
            )
        )
        most = max(1, round(0.6 * len(names)))
        count = self._rng.choice((1, most, len(names)))
        names = self._rng.sample(names, min(count, len(names)))
        await self._pause_all(names, self._rng.uniform(*PAUSE_MS))

    async def _pause_all(self, names: Sequence[str], for_ms: float) -> None:
        until_ms = self._now_ms + for_ms
        for name in names:
            span = Span(self._now_ms, until_ms)
            self.record.pauses.setdefault(name, []).append(span)
        self._world.pause(names, for_ms=for_ms)
        await self._world.clock.sleep_ms(for_ms)

    async def _pause_twice(self) -> None:
        """Pauses an engine with streams, then those they may go on at."""
        at = self._pick()
        if at is None:
            return
        await self._pause_all([at], self._rng.uniform(1_050.0, PAUSE_MS[1]))
        await self._world.clock.sleep_ms(self._rng.uniform(0.0, 1_000.0))
        service = self._world.backends.by_name[at].endpoint.service
        others = [
            name
            for name in self._living(resources.Role.DECODE)
            if self._world.backends.by_name[name].endpoint.service == service
            and name != at
        ]
        await self._pause_all(others, self._rng.uniform(1_050.0, PAUSE_MS[1]))

    def _pick(self) -> str | None:
        """Returns an engine, rather one with open streams."""
        living = self._living(resources.Role.DECODE)
        busy = sorted({engine for _, engine in self._open_paths()} & {*living})
        return self._rng.choice(busy or living) if living else None

    async def _die(self, name: str, kind: Death) -> None:
        """Kills an engine, and has another take its place."""
        backend = self._world.backends.by_name[name]
        self.record.deaths[name] = kind, self._now_ms
        match kind:
            case Death.CRASH:
                self._world.backends.crash(backend)
            case Death.DARK:
                backend.go_dark()
            case Death.HANG:
                backend.pause()
        await self._world.clock.sleep_ms(REPLACED_MS)
        self._world.start_next(backend)
        backend.is_replaced = True

    def _pick_mortal(self) -> str | None:
        """Returns an engine to die, if none of its service is dead."""
        name = self._pick()
        if name is None or len(self._peers(name)) < 3:
            return None
        return name

    def _peers(self, name: str) -> list[str]:
        """The living decode engines of an engine's service."""
        by_name = self._world.backends.by_name
        service = by_name[name].endpoint.service
        living = self._living(resources.Role.DECODE)
        return [n for n in living if by_name[n].endpoint.service == service]

    async def _crash(self) -> None:
        name = self._pick_mortal()
        if name is not None:
            await self._die(name, Death.CRASH)

    async def _go_dark(self) -> None:
        name = self._pick_mortal()
        if name is not None:
            await self._die(name, Death.DARK)

    async def _hang(self) -> None:
        name = self._pick_mortal()
        if name is not None:
            await self._die(name, Death.HANG)

    async def _pause_and_die(self) -> None:
        """Pauses an engine that dies in the pause."""
        name = self._pick_mortal()
        if name is None:
            return
        for_ms = self._rng.uniform(100.0, 1_500.0)
        span = Span(self._now_ms, self._now_ms + for_ms)
        self.record.pauses.setdefault(name, []).append(span)
        self._world.pause([name], for_ms=None)
        await self._world.clock.sleep_ms(for_ms)
        kinds = (Death.CRASH, Death.DARK)
        await self._die(name, self._rng.choice(kinds))

    async def _cut_path(self) -> None:
        """Cuts one instance or all from an engine, or one from all engines."""
        living = self._living(resources.Role.DECODE)
        paths = sorted({p for p in self._open_paths() if p[1] in living})
        spans = self.record.cuts.values()
        if not paths or any(
            s.until_ms > self._now_ms for f in spans for s in f
        ):
            return
        instance, engine = self._rng.choice(paths)
        instances, engines = self._rng.choice(
            (
                ([instance], [engine]),
                (sorted(self._world.instances), [engine]),
                ([instance], sorted(self._world.backends.by_name)),
            )
        )
        kind = self._rng.choice(list(endpoint_cuts.CutKind))
        span = Span(self._now_ms, kind=kind.value)
        for name in instances:
            self._world.cuts.begin(name, kind, endpoints=engines)
            for found in engines:
                self.record.cuts.setdefault((name, found), []).append(span)
        if len(engines) > 1 and instance == self._world.leader:
            self.record.turmoil.append(span)
        await self._world.clock.sleep_ms(self._rng.uniform(500.0, 3_000.0))
        self._world.cuts.end(*instances)
        span.until_ms = self._now_ms

    async def _pause_own(self) -> None:
        """Pauses one of our own instances."""
        name = self._rng.choice(sorted(self._world.instances))
        if self.record.is_paused(name, self._now_ms, self._now_ms):
            return
        for_ms = self._rng.uniform(*PAUSE_MS)
        span = Span(self._now_ms, self._now_ms + for_ms)
        self.record.pauses.setdefault(name, []).append(span)
        self.record.turmoil.append(span)
        self._world.pause_instance(name, for_ms=for_ms)
        await self._world.clock.sleep_ms(for_ms)

    async def _kill_leader(self) -> None:
        name = self._world.leader
        now_ms = self._now_ms
        if name is None or self.record.is_paused(name, now_ms, now_ms):
            return
        span = Span(now_ms)
        self.record.turmoil.append(span)
        await self._kill_instance(name)
        span.until_ms = self._now_ms
