"""Streams that callers resume, beside engines of two software versions.

    python -m tests.real_processes.resumed_streams --seeds 50

plays 50 seeds of real processes: engines are released, killed and stopped, and
instances and the store are signalled and instances cut from each other, in
series that overlap. A seed determines what is done and asked, but not the
timing of processes.
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import pathlib
import random
import sys
import time
from typing import Literal
from typing import get_args

from tests.real_processes import deployment as deployments
from tests.real_processes import engine_process
from tests.real_processes import instance_trouble
from tests.real_processes import releases as all_releases
from tests.real_processes import resuming_callers
from tests.real_processes import resumption_checks as checks

INSTANCES = 6
# A run that judges fewer resumed streams a seed says too little.
LEAST_JUDGED_A_SEED = 20
_DISTURBED_S = 18.0
# All instances are calm, and engines known to them, before the first signal.
_WARM_UP_S = 4.5
_CALLERS_PER_INSTANCE = 4
_LEAST_CALLERS = 36
# Between disturbances of instances, for as many as there are.
_GAP_S = 15.0
# Between kills of all; some overlap with the start after the last one.
_KILL_GAP_S = 5.0
# Time between disturbances of engines.
_ENGINE_GAP_S = 3.0

# What is done to instances and the store.
Kind = Literal["all", "leaders", "killed"]
Action = Callable[[], Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a play brought.

    Attributes:
        report: What the checks found.
        done: The disturbances, in order of each kind.
    """

    report: checks.Report
    done: list[str]


async def play(
    seed: int,
    *,
    kind: Kind = "all",
    instances: int = INSTANCES,
    disturbed_s: float = _DISTURBED_S,
    keep: pathlib.Path | None = None,
) -> Outcome:
    """Runs callers while instances, engines and the store are disturbed.

    Args:
        seed: Seed of all that is drawn.
        kind: What is done to instances: all there is, mostly pauses of
            leaders and cuts from them, or kills of all.
        instances: Number of instances.
        disturbed_s: Time in which disturbances begin.
        keep: Folder to which logs and records are copied.
    """
    rng = random.Random(seed)
    size = deployments.Size(0, (0, 0), (0, 0), instances)
    releases = all_releases.Releases(rng, count=max(4, instances // 3))
    async with deployments.deployed(
        size, keep=keep, more=releases.start, has_cuts=True
    ) as deployment:
        trouble = instance_trouble.InstanceTrouble(deployment, rng)
        exchanges: list[resuming_callers.Exchange] = []
        count = max(_LEAST_CALLERS, instances * _CALLERS_PER_INSTANCE)
        callers = [
            resuming_callers.Caller(
                deployment,
                f"c{seed}-{number}",
                random.Random((seed << 16) + number),
                exchanges,
            )
            for number in range(count)
        ]
        on_instances = _actions(trouble, kind)
        gap_s = _KILL_GAP_S if kind == "killed" else _GAP_S / instances
        series = (
            _Series(on_instances, gap_s, disturbed_s, rng),
            _Series(releases.actions(), _ENGINE_GAP_S, disturbed_s, rng),
        )
        await _run_beside(callers, _disturb(releases, series))
        found = checks.Checks(trouble, releases)
        runs = deployment.runs()
        releases.add_roles(runs.pop(engine_process.ROLE_NOTES, []))
        report = found.check(exchanges, runs)
        return Outcome(report, trouble.done + releases.done)


async def _run_beside(
    callers: list[resuming_callers.Caller], disturbing: Awaitable[None]
) -> None:
    """Runs callers until the disturbances are over and streams have ended."""
    tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
    try:
        await disturbing
        for caller in callers:
            caller.is_leaving = True
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _actions(
    trouble: instance_trouble.InstanceTrouble, kind: Kind
) -> list[Action]:
    if kind == "killed":
        return [trouble.kill_all]
    if kind == "leaders":
        losses = [trouble.pause_leader, trouble.cut_zones]
        return [*losses, *losses, trouble.kill_one]
    return [
        trouble.pause_leader,
        trouble.pause_leader,
        trouble.cut_zones,
        trouble.pause_one,
        trouble.kill_leader,
        trouble.kill_one,
        trouble.kill_several,
        trouble.stop_one,
        trouble.pause_store,
    ]


async def _disturb(
    releases: all_releases.Releases, series: Iterable[_Series]
) -> None:
    await asyncio.sleep(_WARM_UP_S)
    releasing = asyncio.ensure_future(releases.run())
    try:
        await asyncio.gather(*(each.run() for each in series))
    finally:
        releasing.cancel()
        await asyncio.gather(releasing, return_exceptions=True)


@dataclasses.dataclass
class _Series:
    """Actions in a drawn order, again and again; they may overlap.

    Attributes:
        actions: The actions.
        gap_s: Mean time from the beginning of one to that of the next.
        lasts_s: Time in which actions begin.
        rng: Random numbers.
    """

    actions: list[Action]
    gap_s: float
    lasts_s: float
    rng: random.Random

    async def run(self) -> None:
        """Begins the actions, and waits for the last one."""
        begun = []
        until_s = time.monotonic() + self.lasts_s
        for action in self._rounds():
            if time.monotonic() > until_s:
                break
            begun.append(asyncio.ensure_future(action()))
            await asyncio.sleep(self.rng.uniform(0.2, 1.8) * self.gap_s)
        await asyncio.gather(*begun)

    def _rounds(self) -> Iterator[Action]:
        while True:
            yield from self.rng.sample(self.actions, len(self.actions))


def main() -> int:
    """Plays many seeds.

    Returns:
        The exit code: 1 if a rule or the bound was broken, or too few were
        judged; else 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--instances", type=int, default=INSTANCES)
    parser.add_argument("--kind", choices=get_args(Kind), default="all")
    parser.add_argument("--keep", type=pathlib.Path, help="folder for logs")
    options = parser.parse_args()
    reports = []
    below = 0
    for seed in range(options.first, options.first + options.seeds):
        keep = options.keep and options.keep / f"seed-{seed}"
        outcome = asyncio.run(
            play(
                seed,
                kind=options.kind,
                instances=options.instances,
                keep=keep,
            )
        )
        reports.append(outcome.report)
        below += bool(outcome.report.below())
        print(f"seed {seed}: {'; '.join(outcome.done)}")
        _print(outcome.report)
    whole = checks.total(reports)
    least = LEAST_JUDGED_A_SEED * options.seeds
    is_enough = whole.judged.resumed >= least
    print(f"{options.seeds} seeds, {below} below the bound; aim: 1.00 times")
    _print(whole)
    print(f"{whole.judged.resumed} judged, at least {least} are needed")
    return int(bool(whole.violations or whole.below()) or not is_enough)


def _print(report: checks.Report) -> None:
    for line in [*report.lines(), *(f"BELOW: {b}" for b in report.below())]:
        print(f"  {line}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
