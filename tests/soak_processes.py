"""Randomized pauses, changes, signals and restarts of real processes.

``python -m tests.soak_processes --seeds 50`` plays 50 seeds. A seed determines
the processes, the disturbances and the calls, but not the timing of processes.
``--kinds changes`` plays the changes alone.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from concurrent import futures
import functools
import pathlib
import random
import sys
import time

from tests.real_processes import configurations
from tests.real_processes import crowds
from tests.real_processes import deployment as deployments
from tests.real_processes import disturbances as all_disturbances
from tests.real_processes import play

_DISTURBED_S = 15.0
_MAX_BETWEEN_S = 1.5
# Share of the pauses and changes that the next disturbance waits for; a signal
# is never waited for, since an instance takes seconds to stop.
_IN_SERIES = 0.4
# Every so many seeds have the most processes; their memory is 2 GB.
_LARGE_EVERY = 10
_LARGE = deployments.Size(
    prefill=4, decode=(16, 12), plain=(16, 12), instances=6
)
_LARGE_CALLERS = (90, 40)

_SIGNALS = "signals"
# Kinds of clients whose requests never run.
_CROWDS = tuple(kind for kind in crowds.KINDS if kind != "unread answers")

Action = Callable[[], Awaitable[None]]


def _actions(
    disturbing: all_disturbances.Disturbances, rng: random.Random
) -> dict[str, list[Action]]:
    """Returns the disturbances by kind."""
    on_engines = functools.partial(_choose, disturbing.pause_engines, rng)
    on_instances = functools.partial(_choose, disturbing.pause_instances, rng)
    kinds = tuple(configurations.KINDS)
    return {
        "pauses": [lambda: on_engines(("one", "most", "all"))],
        "stalls": [lambda: on_instances(("one", "all"))],
        "crowds": [lambda: _choose(disturbing.crowd, rng, _CROWDS)],
        "changes": [lambda: _choose(disturbing.change, rng, kinds)],
        _SIGNALS: [
            disturbing.change_settings,
            disturbing.stop_instance,
            disturbing.kill_leader,
        ],
    }


def _choose(
    action: Callable[[str], Awaitable[None]],
    rng: random.Random,
    choices: tuple[str, ...],
) -> Awaitable[None]:
    return action(rng.choice(choices))


class _Script:
    """Disturbs in series and overlapping for a while.

    Args:
        kinds: Kinds of disturbances.
    """

    def __init__(self, kinds: list[str]) -> None:
        self._kinds = kinds

    async def __call__(
        self, disturbing: all_disturbances.Disturbances, rng: random.Random
    ) -> None:
        actions = _actions(disturbing, rng)
        begun: list[asyncio.Task[None]] = []
        until_s = time.monotonic() + _DISTURBED_S
        while time.monotonic() < until_s:
            kind = rng.choice(self._kinds)
            task = asyncio.ensure_future(rng.choice(actions[kind])())
            begun.append(task)
            if rng.random() < _IN_SERIES and kind != _SIGNALS:
                await task
            await asyncio.sleep(rng.random() * _MAX_BETWEEN_S)
        await asyncio.gather(*begun)


def _play(seed: int, kinds: list[str], keep: pathlib.Path | None):
    """Plays one seed."""
    rng = random.Random(f"size {seed}")
    if seed % _LARGE_EVERY:
        size = deployments.Size(
            prefill=rng.randint(1, 2),
            decode=(rng.randint(1, 4), rng.randint(1, 2)),
            plain=(rng.randint(1, 3), rng.randint(1, 2)),
            instances=rng.randint(2, 6),
        )
        streams, plain = 6 * sum(size.decode), 3 * sum(size.plain)
    else:
        size = _LARGE
        streams, plain = _LARGE_CALLERS
    folder = None if keep is None else keep / f"seed-{seed}"
    playing = play.play(
        seed,
        _Script(kinds),
        size=size,
        streams=streams,
        plain=plain,
        keep=folder,
    )
    return size, asyncio.run(playing)


def main() -> int:
    """Plays many seeds.

    Returns:
        The exit code: 1 if any bound was broken, else 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--workers", type=int, default=1)
    parser.add_argument(
        "--kinds",
        default="pauses,pauses,stalls,changes,changes,signals,crowds",
        help="kinds of disturbances; those named twice come twice as often",
    )
    parser.add_argument("--keep", type=pathlib.Path, help="folder for logs")
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    run = functools.partial(
        _play, kinds=options.kinds.split(","), keep=options.keep
    )
    ends: collections.Counter[str] = collections.Counter()
    broken = violations = 0
    with futures.ProcessPoolExecutor(options.workers) as pool:
        for seed, (size, outcome) in zip(
            seeds, pool.map(run, seeds), strict=True
        ):
            report = outcome.report
            print(f"seed {seed}: {size}, {len(outcome.done)} disturbances")
            print(f"  {report}; {outcome.met_pauses} runs met a pause")
            if report.lines():
                print(f"  {'; '.join(outcome.done)}")
            for line in report.lines():
                print(f"  {line}", flush=True)
            ends += report.ends
            broken += bool(report.violations)
            violations += len(report.violations)
    print(f"{len(seeds)} seeds, {broken} with {violations} violations")
    print(f"{sum(ends.values())} requests: {dict(sorted(ends.items()))}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
