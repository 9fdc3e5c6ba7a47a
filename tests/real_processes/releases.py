"""Engines of two software versions, which replace each other."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import itertools
import math
import random
import signal
import time

from tests.real_processes import answers
from tests.real_processes import children
from tests.real_processes import configurations
from tests.real_processes import deployment as deployments
from tests.real_processes import spans

_SERVICE = configurations.CHATS[0]
# Time between events: streams last one to three seconds.
_EVENT_MS = "100"
# Time from the registration until all instances may send work to an engine.
KNOWN_AFTER_S = 3.0
_BETWEEN_S = (1.5, 3.5)
_PAUSES_S = (0.5, 2.5)
# Time from a crash of an engine to the start of its replacement.
_REPLACED_AFTER_S = 0.5
# Share of the engines that crash at once when several do.
_HERD = 0.4
# A release turns back when its former version has so few engines.
_FEWEST = 2


@dataclasses.dataclass
class Engine:
    """A decode engine, and when it served.

    Attributes:
        version: Its software version.
        child: Its process.
        served: When instances could send work to it.
        other_role: When it had been ordered to another role.
    """

    version: str
    child: children.Child
    served: list[spans.Span]
    other_role: list[spans.Span] = dataclasses.field(default_factory=list)

    def end_service(self) -> None:
        self.served[-1].end()

    def begin_service(self, after_s: float = 0.0) -> None:
        self.served.append(spans.Span(time.monotonic() + after_s))


class Releases:
    """Starts, replaces, stops and kills decode engines.

    Args:
        rng: Random numbers.
        count: Decode engines of each version at the beginning.

    Attributes:
        done: What was done, in order.
    """

    def __init__(self, rng: random.Random, *, count: int) -> None:
        self.done: list[str] = []
        self._rng = rng
        self._count = count
        self._numbers = itertools.count()
        self._engines: list[Engine] = []
        # Version that is replaced at present, and the one that replaces it.
        self._former, self._following = answers.VERSIONS

    async def start(self, deployment: deployments.Deployment) -> None:
        """Starts engines of both versions and waits until they registered."""
        self._deployment = deployment
        for version in answers.VERSIONS:
            await self._start("prefill", version).read_line()
            for _ in range(self._count):
                await self._begin(version)

    async def run(self) -> None:
        """Replaces one engine after the other, on and back, until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*_BETWEEN_S))
            if len(self._running(self._former)) <= _FEWEST:
                self._former, self._following = self._following, self._former
            await self._begin(self._following)
            running = self._running(self._former)
            if not running:
                continue
            former = self._rng.choice(running)
            self.done.append(f"SIGTERM of {former.child.name}")
            former.end_service()
            former.child.send(signal.SIGTERM)

    def actions(self) -> list[Callable[[], Awaitable[None]]]:
        """Returns what disturbs engines beside their release."""
        return [self.kill_one, self.kill_several, self.pause_one]

    async def kill_one(self) -> None:
        """Kills an engine, and starts another of its version."""
        await self._kill(self._draw(1))

    async def kill_several(self) -> None:
        """Kills several engines at once, and starts others."""
        count = round(len(self._running()) * _HERD)
        await self._kill(self._draw(max(2, count)))

    async def pause_one(self) -> None:
        """Stops an engine for a while."""
        for engine in self._draw(1):
            self.done.append(f"SIGSTOP of {engine.child.name}")
            engine.end_service()
            engine.child.send(signal.SIGSTOP)
            try:
                await asyncio.sleep(self._rng.uniform(*_PAUSES_S))
            finally:
                engine.child.send(signal.SIGCONT)
            engine.begin_service(after_s=KNOWN_AFTER_S)

    def add_roles(self, notes: list[dict]) -> None:
        """Adds when engines changed their roles, as they noted it."""
        by_name = {engine.child.name: engine for engine in self._engines}
        for note in notes:
            engine = by_name.get(note["engine"])
            if engine is None:
                # It began as a prefill engine.
                continue
            other_role = engine.other_role
            if note["what"] != "decode":
                other_role.append(spans.Span(note["at_s"]))
                continue
            for span in other_role:
                span.until_s = min(span.until_s, note["at_s"] + KNOWN_AFTER_S)

    def serving(self, version: str, from_s: float, until_s: float) -> int:
        """Returns how many engines of a version decoded all of a span."""
        return sum(
            any(span.covers(from_s, until_s) for span in engine.served)
            for engine in self._engines
            if engine.version == version
            and not spans.any_meets(engine.other_role, from_s, until_s)
        )

    def _draw(self, count: int) -> list[Engine]:
        running = self._running()
        return self._rng.sample(running, min(count, len(running)))

    def _running(self, version: str | None = None) -> list[Engine]:
        """Returns engines that serve, or will when instances know them."""
        return [
            engine
            for engine in self._engines
            if version in (None, engine.version)
            and engine.served[-1].until_s == math.inf
        ]

    async def _kill(self, engines: list[Engine]) -> None:
        names = ", ".join(engine.child.name for engine in engines)
        self.done.append(f"SIGKILL of {names}")
        for engine in engines:
            engine.end_service()
            engine.child.send(signal.SIGKILL)
        await asyncio.sleep(_REPLACED_AFTER_S)
        for engine in engines:
            await self._begin(engine.version)

    async def _begin(self, version: str) -> None:
        """Starts an engine and waits until it is registered."""
        child = self._start("decode", version)
        engine = Engine(version, child, [])
        await child.read_line()
        engine.begin_service(after_s=KNOWN_AFTER_S)
        self._engines.append(engine)

    def _start(self, stage: str, version: str) -> children.Child:
        number = next(self._numbers)
        return self._deployment.start_engine(
            f"{_SERVICE}-{stage}-{version}-{number}",
            _SERVICE,
            number,
            stage,
            version=version,
            event_ms=_EVENT_MS,
        )
