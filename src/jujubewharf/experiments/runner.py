"""Runs an experiment with one policy and one seed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import numpy as np
import structlog

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.experiments import balancer as balancers
from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import callers
from jujubewharf.experiments import deployment as deployments
from jujubewharf.experiments import load
from jujubewharf.experiments import models
from jujubewharf.experiments import outcomes
from jujubewharf.experiments import report
from jujubewharf.experiments import timeline
from jujubewharf.experiments import truth as truths
from jujubewharf.experiments import virtual_time
from jujubewharf.routing import catalog
from jujubewharf.routing import oracle
from jujubewharf.routing import policy as policies

MS_PER_S = clocks.MS_PER_S
_START_MS = 4_000.0
_PROGRESS_MS = 1_000.0
_LOAD_STREAM = 1

OnProgress = Callable[[float], None]


def run(
    experiment: models.Experiment,
    *,
    policy: str = catalog.PRODUCT,
    seed: int = 1,
    on_progress: OnProgress | None = None,
) -> report.Report:
    """Runs an experiment in virtual time.

    Args:
        experiment: Experiment to run.
        policy: Name of the routing policy of all instances.
        seed: Seed of all random number generators.
        on_progress: Called with the completed share, from 0 to 1.

    Raises:
        ValueError: The policy is unknown.
    """
    return virtual_time.run(_Run(experiment, policy, seed, on_progress).run())


class _Run:
    def __init__(
        self,
        experiment: models.Experiment,
        policy: str,
        seed: int,
        on_progress: OnProgress | None,
    ) -> None:
        deployment = experiment.deployment
        self._experiment = experiment
        self._policy = policy
        self._seed = seed
        self._on_progress = on_progress
        self._bench = benches.Bench(
            seed=seed,
            list_lag_ms=deployment.list_lag_ms,
            near_ms=deployment.near_ms,
            far_ms=deployment.far_ms,
        )
        self._clock = self._bench.clock
        self._services = {s.name: s for s in deployment.services}
        self._truth = oracle.GroundTruth(
            load_now=lambda name: self._bench.engine(name).load_now()
        )
        self._balancer = balancers.Balancer(
            self._bench.instances, self._bench.rng("balancer")
        )
        self._callers = callers.Callers(
            self._services,
            self._balancer,
            self._clock,
            self._bench.rng("callers"),
            caller_ms=deployment.caller_ms,
        )

    async def run(self) -> report.Report:
        """Runs the load and the faults and returns the report."""
        await deployments.build(
            self._experiment.deployment, self._bench, self._make_policy
        )
        await self._clock.sleep_until_ms(_START_MS)
        faults = timeline.Timeline(
            self._bench,
            self._balancer,
            start_ms=_START_MS,
            dead_listed_s=self._experiment.deployment.dead_listed_s,
        )
        bytes_before = dict(self._bench.network.bytes_sent)
        faulting = asyncio.create_task(faults.run(self._experiment.faults))
        progress = asyncio.create_task(self._report_progress())
        await self._load()
        control = self._control_bytes_per_s(bytes_before)
        await faulting
        progress.cancel()
        await self._clock.sleep_ms(self._experiment.settle_s * MS_PER_S)
        result = self._report(control)
        await self._bench.stop()
        return result

    def _make_policy(self, instance: str) -> policies.Policy:
        return catalog.make(
            self._policy,
            clock=self._clock,
            rng=self._bench.policy_rng(instance),
            truth=self._truth,
        )

    async def _load(self) -> None:
        calls = load.plan(self._experiment, load_rng(self._seed))
        tasks = []
        for call in calls:
            await self._clock.sleep_until_ms(_START_MS + call.at_ms)
            tasks.append(asyncio.create_task(self._callers.make(call)))
        await callers.wait_for_all(tasks)

    async def _report_progress(self) -> None:
        whole_ms = self._experiment.duration_s * MS_PER_S
        while self._on_progress is not None:
            passed_ms = self._clock.now_ms() - _START_MS
            self._on_progress(min(1.0, passed_ms / whole_ms))
            await self._clock.sleep_ms(_PROGRESS_MS)

    def _control_bytes_per_s(self, before: dict[str, int]) -> dict[str, float]:
        sent = self._bench.network.bytes_sent
        passed_s = (self._clock.now_ms() - _START_MS) / MS_PER_S
        rates = [
            (sent.get(name, 0) - before.get(name, 0)) / passed_s
            for name in self._bench.instances
        ]
        return {
            "mean": round(sum(rates) / len(rates), 1),
            "max": round(max(rates), 1),
        }

    def _report(self, control: dict[str, float]) -> report.Report:
        since_ms = _START_MS + self._experiment.warmup_s * MS_PER_S
        truth = truths.Truth(self._bench, self._callers.outcomes)
        waste = truth.waste(since_ms=since_ms)
        counted = [o for o in self._callers.outcomes if o.began_ms >= since_ms]
        services = {
            name: report.service_report(
                service, [o for o in counted if o.call.service == name], truth
            )
            for name, service in self._services.items()
        }
        return report.Report(
            experiment=self._experiment.name,
            policy=self._policy,
            seed=self._seed,
            goodput_ratio=self._goodput_ratio(services),
            wasted_prefill_ratio=round(waste.ratio, 6),
            services=services,
            prefilled_tokens=waste.prefilled_tokens,
            wasted_prefill_tokens=dict(sorted(waste.wasted_tokens.items())),
            leaked_slots=truth.leaked_slots(),
            max_dispatches_not_repeatable=_max_dispatches(
                truth, self._callers.outcomes
            ),
            reattempts=truth.reattempts(),
            control_bytes_per_s=control,
        )

    def _goodput_ratio(
        self, services: dict[str, report.ServiceReport]
    ) -> float:
        chosen = [
            services[name]
            for name, service in self._services.items()
            if service.kind is resources.ServiceKind.MODEL
        ]
        good = sum(service.goodput for service in chosen)
        stayed = sum(service.offered - service.cancelled for service in chosen)
        return report.ratio(good, stayed)


def _max_dispatches(
    truth: truths.Truth, call_outcomes: list[outcomes.Outcome]
) -> int:
    counts = [
        truth.dispatches(outcome)
        for outcome in call_outcomes
        if not outcome.call.is_repeatable
    ]
    return max(counts, default=0)


def load_rng(seed: int) -> np.random.Generator:
    """Returns the random number generator of a run's load."""
    return np.random.default_rng([seed, _LOAD_STREAM])


def suppress_logs() -> None:
    """Suppresses log messages below error level."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
