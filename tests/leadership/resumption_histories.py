"""Seeded histories of streams that callers resume at other instances.

    .venv/bin/python -m tests.leadership.resumption_histories 10 \
        [FIRST] [--instances N] [--trouble NAME]

plays the seeds from ``FIRST`` on and prints how many resumptions each judged,
how those that did not go on were refused, and the rules that were broken.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import random

import structlog

from tests.forwarding import deployments
from tests.leadership import resumption_faults as faults
from tests.leadership import resumption_judging as judging
from tests.leadership import resumption_world as worlds
from tests.leadership import stream_versions as versions

SIZES = (6, 20, 67)
# Load before the trouble and after it.
_BEFORE_MS = 2_500.0
_AFTER_MS = 1_500.0
# Mean time between two new streams, in a small deployment and a larger one.
_SMALL_INTERVAL_MS = 60.0
_INTERVAL_MS = 33.0
_WATCH_INTERVAL_MS = 100.0


class History:
    """One history.

    Args:
        trouble: Name of what happens; see ``faults.TROUBLES``.
        instances: Number of instances.
        seed: Fixes all that happens.
    """

    def __init__(self, trouble: str, instances: int, seed: int) -> None:
        self._trouble = faults.TROUBLES[trouble]
        rng = random.Random(f"{trouble}/{instances}/{seed}")
        self._world = worlds.create_world(instances, rng)
        self._interval_ms = (
            _INTERVAL_MS if instances >= SIZES[1] else _SMALL_INTERVAL_MS
        )
        self._serving: list[judging.Serving] = []

    async def play(self) -> judging.Verdict:
        """Plays the history and judges its streams."""
        world = self._world
        await world.start(max_attempts=self._trouble.max_attempts)
        trouble = asyncio.ensure_future(self._make_trouble())
        beside = [
            asyncio.ensure_future(faults.reset_callers(world)),
            asyncio.ensure_future(self._watch()),
        ]
        streams = await self._load(trouble)
        await trouble
        for task in beside:
            task.cancel()
        await world.stop()
        judge = judging.Judge(world, self._serving)
        return judge.judge(streams)

    async def _make_trouble(self) -> None:
        await self._world.clock.sleep_ms(_BEFORE_MS)
        await self._trouble.run(self._world)
        await self._world.clock.sleep_ms(_AFTER_MS)

    async def _load(self, trouble: asyncio.Task) -> list[versions.Stream]:
        reading = []
        while not trouble.done():
            stream = self._world.read_stream(
                max_resumptions=self._trouble.max_resumptions
            )
            reading.append(asyncio.ensure_future(stream))
            drawn = self._world.rng.uniform(0.5, 1.5)
            await self._world.clock.sleep_ms(self._interval_ms * drawn)
        return list(await asyncio.gather(*reading))

    async def _watch(self) -> None:
        """Records how many engines of each version serve."""
        while True:
            by_version: dict[str, int] = {}
            for backend in self._world.decode_engines():
                version = backend.software_version
                by_version[version] = by_version.get(version, 0) + 1
            now_ms = self._world.clock.now_ms()
            self._serving.append(judging.Serving(now_ms, by_version))
            await self._world.clock.sleep_ms(_WATCH_INTERVAL_MS)


def play(trouble: str, instances: int, seed: int) -> judging.Verdict:
    """Plays one history and judges its streams."""

    async def run() -> judging.Verdict:
        return await History(trouble, instances, seed).play()

    return deployments.run(run())


def main() -> None:
    """Plays the histories that the arguments name."""
    parser = argparse.ArgumentParser()
    parser.add_argument("seeds", type=int)
    parser.add_argument("first", type=int, nargs="?", default=0)
    parser.add_argument("--instances", type=int, default=SIZES[0])
    parser.add_argument("--trouble", choices=list(faults.TROUBLES))
    given = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    chosen = [given.trouble] if given.trouble else list(faults.TROUBLES)
    for trouble in chosen:
        total = judging.Verdict()
        failed = 0
        for seed in range(given.first, given.first + given.seeds):
            verdict = play(trouble, given.instances, seed)
            total.add(verdict)
            broken = verdict.broken(given.instances)
            failed += bool(broken)
            print(f"{trouble} {given.instances} seed {seed}: {verdict}")
            print(f"  broken: {broken}", flush=True)
        print(
            f"{trouble} {given.instances} in all, {failed} of {given.seeds}"
            f" with a broken rule: {total}",
            flush=True,
        )


if __name__ == "__main__":
    main()
