"""Runs an experiment for several policies and seeds and aggregates results."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from concurrent import futures
import dataclasses
import multiprocessing
import statistics

from jujubewharf.experiments import models
from jujubewharf.experiments import report
from jujubewharf.experiments import runner

MAX_WORKERS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """One run of an experiment."""

    experiment: models.Experiment
    policy: str
    seed: int


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """Mean and standard deviation over seeds."""

    mean: float
    deviation: float

    @classmethod
    def of(cls, values: Sequence[float]) -> Spread:
        """Returns the spread of at least one value."""
        deviation = statistics.stdev(values) if len(values) > 1 else 0.0
        return cls(statistics.fmean(values), deviation)

    def __str__(self) -> str:
        return f"{self.mean:.4f} ± {self.deviation:.4f}"


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Results of one policy.

    Attributes:
        policy: Name of the policy.
        goodput: Goodput ratio of the model services.
        waste: Share of prefill tokens that were never used.
        plain_goodput: Lowest goodput ratio over plain services and seeds; 1
            if there are no plain services.
        broken: Guarantee violations summed over all seeds, by name.
    """

    policy: str
    goodput: Spread
    waste: Spread
    plain_goodput: float
    broken: dict[str, int]


def run_all(
    tasks: Sequence[Task],
    *,
    workers: int = MAX_WORKERS,
    on_done: Callable[[], None] = lambda: None,
) -> list[report.Report]:
    """Runs tasks in worker processes and returns reports in task order."""
    context = multiprocessing.get_context("spawn")
    with futures.ProcessPoolExecutor(workers, mp_context=context) as pool:
        submitted = [pool.submit(_run, task) for task in tasks]
        for _ in futures.as_completed(submitted):
            on_done()
        return [future.result() for future in submitted]


def rows(
    reports: Iterable[report.Report], plain: Sequence[str]
) -> Iterator[Row]:
    """Aggregates reports by policy, in order of first appearance.

    Args:
        reports: Reports of one experiment.
        plain: Names of the plain services.
    """
    by_policy: dict[str, list[report.Report]] = {}
    for one in reports:
        by_policy.setdefault(one.policy, []).append(one)
    for policy, runs in by_policy.items():
        broken: dict[str, int] = {}
        for one in runs:
            for name, count in one.violations.items():
                broken[name] = broken.get(name, 0) + count
        plain_ratios = [
            one.services[name].goodput_ratio for one in runs for name in plain
        ]
        yield Row(
            policy,
            Spread.of([one.goodput_ratio for one in runs]),
            Spread.of([one.wasted_prefill_ratio for one in runs]),
            min(plain_ratios, default=1.0),
            broken,
        )


def _run(task: Task) -> report.Report:
    runner.suppress_logs()
    return runner.run(task.experiment, policy=task.policy, seed=task.seed)
