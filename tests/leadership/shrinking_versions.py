"""Room of streams that go on at a version that shrinks to few engines.

    .venv/bin/python -m tests.leadership.shrinking_versions 4 30

plays four seeds with a new stream every 30 ms and prints what was served.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
import statistics
import sys

import structlog

from jujubewharf.configuration import resources
from tests.forwarding import deployments
from tests.leadership import stream_versions as versions

NAMES = ("e1", "e2", "e3", "e4", "e5", "e6")
OLD = "v1"
NEW = "v2"
# Decode engines, and those of the old version that are left.
ENGINES = 8
LEFT_OLD = 2
# Memory of an engine in tokens; a stream takes a quarter of it or more.
MEMORY_TOKENS = 40_000
RELEASE_STEP_MS = 2_000.0
STEADY_MS = 20_000.0
# The connections of all callers of some instances break this often.
BREAK_MS = 700.0
BROKEN_INSTANCES = 2


@dataclasses.dataclass(slots=True)
class Served:
    """Requests of one kind, and those that brought events.

    Attributes:
        asked: All requests.
        served: Requests that brought events.
        waits_ms: Time until the head of each served one.
        refusals: Number of errors by kind.
    """

    asked: int = 0
    served: int = 0
    waits_ms: list[float] = dataclasses.field(default_factory=list)
    refusals: dict[str, int] = dataclasses.field(default_factory=dict)

    def add(self, answer: deployments.Answer) -> None:
        """Counts one request."""
        self.asked += 1
        if answer.numbers:
            self.served += 1
            self.waits_ms.append(answer.first_ms)
            return
        kind = "none" if answer.error is None else answer.error.kind.value
        self.refusals[kind] = self.refusals.get(kind, 0) + 1

    def merge(self, other: Served) -> None:
        """Adds the counts of another history."""
        self.asked += other.asked
        self.served += other.served
        self.waits_ms += other.waits_ms
        for kind, count in other.refusals.items():
            self.refusals[kind] = self.refusals.get(kind, 0) + count

    def __str__(self) -> str:
        waits_ms = self.waits_ms or [0.0]
        late_ms = sorted(waits_ms)[int(len(waits_ms) * 0.95)]
        return (
            f"{self.served} of {self.asked}, first event after"
            f" {statistics.median(waits_ms):.0f} ms (95 %: {late_ms:.0f})"
            f" {self.refusals}"
        )


class History:
    """A release that stops with few engines of the old version.

    Args:
        seed: Fixes all that happens.
        every_ms: Mean time between two new streams.
    """

    def __init__(self, seed: int, every_ms: float) -> None:
        self._rng = random.Random(seed)
        self._every_ms = every_ms
        self._breaks: list[asyncio.Future[frozenset[str]]] = []
        self.new = Served()
        self.resumed = {OLD: Served(), NEW: Served()}

    async def play(self) -> None:
        """Plays the history."""
        engines = versions.decode_engines(OLD, count=ENGINES)
        behind = [versions.prefill_engine(OLD), *engines]
        async with versions.deployed(*behind, names=NAMES) as world:
            self._world = world
            for backend in engines:
                backend.memory_tokens = MEMORY_TOKENS
            await self._release(engines)
            self._until_ms = world.clock.now_ms() + STEADY_MS
            await asyncio.gather(self._streams(), self._break())

    async def _release(self, engines) -> None:
        """Replaces engines by those of the new version."""
        for number, leaving in enumerate(engines[LEFT_OLD:]):
            started = versions.engine(
                f"n{number}",
                NEW,
                resources.Role.DECODE,
                leaving.endpoint.domain,
            )
            started.memory_tokens = MEMORY_TOKENS
            self._world.backends.by_name[started.name] = started
            self._world.endpoints.put(started.name, started.endpoint)
            self._world.register(leaving, drained=True)
            await self._world.clock.sleep_ms(RELEASE_STEP_MS)

    async def _streams(self) -> None:
        asked = []
        while self._world.clock.now_ms() < self._until_ms:
            asked.append(asyncio.ensure_future(self._stream()))
            pause_ms = self._rng.expovariate(1.0 / self._every_ms)
            await self._world.clock.sleep_ms(pause_ms)
        await asyncio.gather(*asked)

    async def _stream(self) -> None:
        """Begins a stream, and resumes it once if its connection breaks."""
        instance, other = self._rng.sample(NAMES, 2)
        request_id = f"s{self._rng.getrandbits(64):x}"
        begun = await self._ask_until_broken(instance, request_id)
        self.new.add(begun)
        if not begun.numbers or begun.is_ended or begun.error is not None:
            return
        await self._world.clock.sleep_ms(versions.CALLER_PAUSE_MS)
        version = begun.body.decode().split()[-1]
        answer = await self._world.ask(
            "/verdicts/1",
            instance=other,
            last_event=begun.numbers[-1],
            began_by=request_id,
        )
        self.resumed[version].add(answer)

    async def _ask_until_broken(
        self, instance: str, request_id: str
    ) -> deployments.Answer:
        call = self._world.call("/verdicts/1", request_id=request_id)
        answer = deployments.Answer()
        reading = asyncio.ensure_future(
            self._world._read(call, instance, answer)
        )
        while not reading.done():
            broken: asyncio.Future[frozenset[str]] = asyncio.Future()
            self._breaks.append(broken)
            await asyncio.wait(
                (reading, broken), return_when=asyncio.FIRST_COMPLETED
            )
            if broken.done() and instance in broken.result() and answer.numbers:
                reading.cancel()
                await asyncio.gather(reading, return_exceptions=True)
        return answer

    async def _break(self) -> None:
        while self._world.clock.now_ms() < self._until_ms:
            await self._world.clock.sleep_ms(BREAK_MS)
            names = frozenset(self._rng.sample(NAMES, BROKEN_INSTANCES))
            waiting, self._breaks = self._breaks, []
            for broken in waiting:
                if not broken.done():
                    broken.set_result(names)


def play(seed: int, every_ms: float) -> History:
    """Plays one history."""
    history = History(seed, every_ms)
    deployments.run(history.play())
    return history


def main() -> None:
    """Plays as many histories as the first argument says."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    new, resumed = Served(), {OLD: Served(), NEW: Served()}
    for seed in range(int(sys.argv[1])):
        history = play(seed, float(sys.argv[2]))
        new.merge(history.new)
        for version, served in history.resumed.items():
            resumed[version].merge(served)
    print(f"new: {new}")
    for version, served in resumed.items():
        print(f"resumed at {version}: {served}")


if __name__ == "__main__":
    main()
