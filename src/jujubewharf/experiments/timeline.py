"""Injects the faults of an experiment file at their scheduled times."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import assert_never

from jujubewharf import clock as clocks
from jujubewharf.experiments import balancer as balancers
from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import fault_models as faults

MS_PER_S = clocks.MS_PER_S


class Timeline:
    """Fault schedule of one run.

    Args:
        bench: The deployment.
        balancer: Load balancer from which dead instances are withdrawn.
        start_ms: Clock time at which the load starts.
        dead_listed_s: Time until a dead instance is removed from the live
            list and the load balancer.
    """

    def __init__(
        self,
        bench: benches.Bench,
        balancer: balancers.Balancer,
        *,
        start_ms: float,
        dead_listed_s: float,
    ) -> None:
        self._bench = bench
        self._balancer = balancer
        self._clock = bench.clock
        self._start_ms = start_ms
        self._dead_listed_s = dead_listed_s
        self._rng = bench.rng("timeline")

    async def run(self, planned: tuple[faults.Fault, ...]) -> None:
        """Runs all faults and waits until they have ended."""
        async with asyncio.TaskGroup() as group:
            for fault in planned:
                group.create_task(self._run_one(fault))

    async def _run_one(self, fault: faults.Fault) -> None:
        at_ms = self._start_ms + fault.at_s * MS_PER_S
        await self._clock.sleep_until_ms(at_ms)
        match fault:
            case faults.EngineDies():
                await self._engine_dies(fault.engine, fault.for_s)
            case faults.EnginesDie():
                await self._engines_die(fault)
            case faults.LinksSlow():
                await self._links_slow(fault)
            case faults.LinkStalls():
                self._bench.stall_link(fault.engine)
                await self._sleep_s(fault.for_s)
                self._bench.stall_link(fault.engine, is_stalled=False)
            case faults.ReportsLag():
                await self._reports_lag(fault)
            case faults.DomainCut():
                await self._domain_cut(fault)
            case faults.OneWayCut():
                self._bench.network.cut(fault.domain, fault.other, one_way=True)
                await self._sleep_s(fault.for_s)
                self._bench.heal()
            case faults.InstanceDies():
                await self._instance_dies(fault)
            case faults.InstancePauses():
                self._bench.pause_instance(fault.instance)
                await self._sleep_s(fault.for_s)
                self._bench.resume_instance(fault.instance)
            case faults.RollingRestart():
                await self._rolling_restart(fault)
            case faults.LogDown():
                self._bench.log.is_down = True
                await self._sleep_s(fault.for_s)
                self._bench.log.is_down = False
            case faults.LogSlow():
                before_ms = self._bench.log.append_ms
                self._bench.log.append_ms = fault.append_ms
                await self._sleep_s(fault.for_s)
                self._bench.log.append_ms = before_ms
            case faults.LogLosesAnswers():
                self._bench.log.lose_answers += fault.count
            case faults.ListDown():
                self._bench.live_list.is_down = True
                await self._sleep_s(fault.for_s)
                self._bench.live_list.is_down = False
            case faults.ListLags():
                before_ms = self._bench.live_list.lag_ms
                self._bench.live_list.lag_ms = fault.lag_ms
                await self._sleep_s(fault.for_s)
                self._bench.live_list.lag_ms = before_ms
            case faults.FarSlow():
                await self._far_slow(fault)
            case _:
                assert_never(fault)

    async def _engine_dies(self, name: str, for_s: float) -> None:
        await self._bench.kill_engine(name)
        await self._sleep_s(for_s)
        self._bench.restart_engine(name)

    async def _engines_die(self, fault: faults.EnginesDie) -> None:
        until_ms = self._start_ms + fault.until_s * MS_PER_S
        async with asyncio.TaskGroup() as group:
            while self._clock.now_ms() < until_ms:
                alive = [
                    engine.name
                    for engine in self._bench.engines.values()
                    if not engine.is_dead
                ]
                if alive:
                    name = alive[self._rng.integers(len(alive))]
                    group.create_task(self._engine_dies(name, fault.for_s))
                await self._sleep_s(fault.every_s)

    async def _links_slow(self, fault: faults.LinksSlow) -> None:
        links = [
            engine.link
            for engine in self._bench.engines.values()
            if not fault.engines or engine.name in fault.engines
        ]
        for link in links:
            link.rate_bytes_per_s *= fault.factor
        await self._sleep_s(fault.for_s)
        for link in links:
            link.rate_bytes_per_s /= fault.factor

    async def _reports_lag(self, fault: faults.ReportsLag) -> None:
        before = {}
        for engine in self._bench.engines.values():
            before[engine.name] = engine.spec
            lag_ms = engine.spec.report_lag_ms * fault.factor
            engine.spec = dataclasses.replace(engine.spec, report_lag_ms=lag_ms)
        await self._sleep_s(fault.for_s)
        for engine in self._bench.engines.values():
            engine.spec = before[engine.name]

    async def _domain_cut(self, fault: faults.DomainCut) -> None:
        self._bench.cut_domain(
            fault.domain,
            from_log=fault.from_log,
            from_list=fault.from_list,
            from_peers=fault.from_peers,
            from_engines_elsewhere=fault.from_engines_elsewhere,
        )
        await self._sleep_s(fault.for_s)
        self._bench.heal()

    async def _instance_dies(self, fault: faults.InstanceDies) -> None:
        name = fault.instance
        self._bench.kill_instance(name)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._withdraw_later(name))
            await self._sleep_s(fault.for_s)
            await self._bench.restart_instance(name)
        if name in self._balancer.withdrawn:
            self._balancer.withdrawn.remove(name)

    async def _withdraw_later(self, name: str) -> None:
        await self._sleep_s(self._dead_listed_s)
        if self._bench.instances[name].process.is_dead:
            self._balancer.withdrawn.append(name)
            self._bench.remove_live_member(name)

    async def _rolling_restart(self, fault: faults.RollingRestart) -> None:
        for name in list(self._bench.instances):
            self._balancer.withdrawn.append(name)
            await self._bench.stop_instance(name)
            self._bench.remove_live_member(name)
            await self._bench.restart_instance(name)
            await self._sleep_s(fault.every_s)
            self._balancer.withdrawn.remove(name)

    async def _far_slow(self, fault: faults.FarSlow) -> None:
        networks = (self._bench.network, self._bench.engine_network)
        for network in networks:
            network.set_delays(far_ms=fault.far_ms)
        await self._sleep_s(fault.for_s)
        for network in networks:
            network.set_delays()

    async def _sleep_s(self, duration_s: float) -> None:
        await self._clock.sleep_ms(duration_s * MS_PER_S)
