"""A run of callers against a deployment that is disturbed."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import pathlib
import random

from tests.real_processes import callers as all_callers
from tests.real_processes import checks
from tests.real_processes import configurations
from tests.real_processes import deployment as deployments
from tests.real_processes import disturbances as all_disturbances

_PLAIN = (configurations.REPEATABLE, configurations.ONCE)
# Time in which callers fill the engines before the first disturbance.
_WARM_UP_S = 1.0

Script = Callable[[all_disturbances.Disturbances, random.Random], Awaitable]


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a play brought.

    Attributes:
        report: What the checks found.
        met_pauses: Runs of requests that were under way at a paused engine.
        done: The disturbances, in order.
    """

    report: checks.Report
    met_pauses: int
    done: list[str]


async def play(
    seed: int,
    script: Script,
    *,
    size: deployments.Size,
    streams: int,
    plain: int,
    keep: pathlib.Path | None = None,
) -> Outcome:
    """Runs callers while a script disturbs the deployment.

    Args:
        seed: Seed of all that is drawn; the processes' timing is their own.
        script: Disturbs the deployment.
        size: Numbers of processes.
        streams: Number of callers of streams.
        plain: Number of callers of plain routes.
        keep: Folder to which logs and records are copied.
    """
    async with deployments.deployed(size, keep=keep) as deployment:
        exchanges: list[all_callers.Exchange] = []
        paths = [configurations.STREAMS] * streams + [_PLAIN] * plain
        running = [
            all_callers.Caller(
                deployment,
                f"c{seed}-{number}",
                chosen,
                random.Random((seed << 16) + number),
                exchanges,
            )
            for number, chosen in enumerate(paths)
        ]
        tasks = [asyncio.ensure_future(caller.run()) for caller in running]
        try:
            rng = random.Random(seed)
            disturbing = all_disturbances.Disturbances(deployment, rng)
            await asyncio.sleep(_WARM_UP_S)
            await script(disturbing, rng)
            for caller in running:
                caller.is_leaving = True
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        runs = deployment.runs()
        return Outcome(
            checks.check(exchanges, runs, disturbing.pauses),
            _met_pauses(runs, disturbing.pauses),
            disturbing.done,
        )


def _met_pauses(
    runs: dict[str, list[dict]], pauses: list[all_disturbances.Pause]
) -> int:
    """Counts the runs that were under way when their engine was paused."""
    count = 0
    for notes in runs.values():
        for began in (note for note in notes if note["what"] == "began"):
            ends = [
                note["at_s"]
                for note in notes
                if note["engine"] == began["engine"] and note is not began
            ]
            ended_s = max(ends, default=float("inf"))
            count += any(
                pause.name == began["engine"]
                and began["at_s"] < pause.until_s
                and ended_s > pause.from_s
                for pause in pauses
            )
    return count
