"""Deployments of engines that differ in speed, on a virtual clock."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.endpoint_load import reports
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import routes
from jujubewharf.standins import backends
from tests.engine_speeds import former_ranks
from tests.forwarding import deployments

EVENTS = 40
EVENT_MS = 50.0
PROMPT_TOKENS = 5_000
ANSWER_TOKENS = 3_000
TOKEN_MS = 0.03
MEMORY_TOKENS = 40_000
PATIENT = dataclasses.replace(
    deployments.STREAM,
    name="patient",
    path_prefix="/patient/",
    priority=9,
    target_ms=2_000.0,
)


class UnequalBackends(backends.StandInBackends):
    """Engines that read one prompt at a time, and may be slowed.

    Attributes:
        times: Relative time of each engine; 1.0 by default.
        slowdowns: Slowdown of each engine at present.
        reported: Slowdown that an engine reports instead of the actual one.
    """

    def __init__(self, clock, behind):
        super().__init__(clock, behind)
        self.times: dict[str, float] = {}
        self.slowdowns: dict[str, float] = {}
        self.reported: dict[str, float] = {}
        self._base = {b.name: (b.prefill_token_ms, b.event_ms) for b in behind}
        self._locks = collections.defaultdict(asyncio.Lock)

    def _update(self, name: str) -> None:
        backend = self.by_name[name]
        if name not in self._base:
            self._base[name] = (backend.prefill_token_ms, backend.event_ms)
        slowdown = self.slowdowns.get(name, 1.0)
        token_ms, event_ms = self._base[name]
        time = self.times.get(name, 1.0) * slowdown
        backend.prefill_token_ms = token_ms * time
        backend.event_ms = event_ms * time
        reported = self.reported.get(name, slowdown)
        backend.load = reports.LoadReport(0, 0, 12, reported)

    async def prefill(self, endpoint, sending):
        async with self._locks[endpoint.name]:
            self._update(endpoint.name)
            return await super().prefill(endpoint, sending)

    async def reserve(self, endpoint, *, tokens, ttl_ms):
        self._update(endpoint.name)
        return await super().reserve(endpoint, tokens=tokens, ttl_ms=ttl_ms)

    async def _events(self, backend, sending):
        async for event in super()._events(backend, sending):
            self._update(backend.name)
            yield event


@dataclasses.dataclass
class Counts:
    """Requests of one class that were sent after the start of the count."""

    offered: int = 0
    in_time: int = 0
    late: int = 0
    rejected: int = 0

    @property
    def share(self) -> float:
        """Share of first events within the target."""
        return self.in_time / max(1, self.offered)


class World(deployments.Deployment):
    """A deployment whose engines may differ in speed.

    Attributes:
        counts: Counts by path.
        counted_from_ms: Clock reading from which requests are counted.
        memory_tokens: Memory of each decode engine, in tokens.
    """

    def __init__(
        self,
        *,
        prefills=4,
        decodes=8,
        domains="a",
        memory_tokens=MEMORY_TOKENS,
    ):
        behind = [
            deployments.prefill_engine(
                f"p{n}",
                domains[n % len(domains)],
                prefill_token_ms=TOKEN_MS,
            )
            for n in range(prefills)
        ]
        behind += [
            deployments.decode_engine(
                f"d{n}",
                domains[n % len(domains)],
                events=EVENTS,
                event_ms=EVENT_MS,
                memory_tokens=memory_tokens,
            )
            for n in range(decodes)
        ]
        super().__init__(*behind)
        self.backends = UnequalBackends(self.clock, behind)
        self.counts = collections.defaultdict(Counts)
        self.counted_from_ms = 0.0
        self.memory_tokens = memory_tokens

    async def begin(self, *names, is_led=False, ranks_as_before=False):
        """Registers all engines and starts instances."""
        both = (deployments.STREAM, PATIENT)
        traits = routes.EngineTraits(
            12,
            self.memory_tokens,
            500.0,
            6_000.0,
            2_000.0,
            event_tokens=ANSWER_TOKENS // EVENTS,
        )
        service = routes.RoutedService(deployments.ENGINES, traits)
        configuration = routes.RoutingConfiguration(
            1, both, {service.name: service}
        )
        self.configurations.put("config", configuration)
        for backend in self.backends.by_name.values():
            self.endpoints.put(backend.name, backend.endpoint)
        await self.start(*names, declare=False, is_led=is_led)
        if ranks_as_before:
            for name in self.instances:
                former_ranks.use_in(self.pool(name))

    def pool(self, instance="e1"):
        """The engine pool of an instance."""
        return self.placement(instance)._pool

    def placement(self, instance="e1"):
        """The placement of an instance."""
        streams = self.instances[instance]._forwarder._stream
        return streams._attempts._places._finder._local

    def speeds(self, instance="e1"):
        """The engine speeds that an instance knows."""
        return self.pool(instance).speeds

    @property
    def room_per_s(self) -> float:
        """Requests per second that the decode engines can complete."""
        per_engine = self.memory_tokens // (PROMPT_TOKENS + ANSWER_TOKENS)
        return sum(
            per_engine * 1_000.0 / (EVENTS * EVENT_MS) / self.time_of(name)
            for name, backend in self.backends.by_name.items()
            if backend.endpoint.role is resources.Role.DECODE
        )

    def time_of(self, name: str) -> float:
        """Relative time of an engine."""
        return self.backends.times.get(name, 1.0)

    async def send(self, path, *, instance="e1", **more):
        """Sends a request and reads its answer."""
        work = calls.ModelWork(PROMPT_TOKENS, 10_000, ANSWER_TOKENS)
        call = self.call(path, work=work, caller_timeout_ms=14_000.0, **more)
        is_counted = call.arrived_ms >= self.counted_from_ms
        counts = self.counts[path] if is_counted else Counts()
        counts.offered += 1
        target_ms = PATIENT.target_ms
        if path.startswith(deployments.STREAM.path_prefix):
            target_ms = deployments.STREAM.target_ms
        first_ms = None
        try:
            async with self.instances[instance].run(call) as reply:
                async for _ in reply.body:
                    if first_ms is None:
                        first_ms = self.clock.now_ms() - call.arrived_ms
                        if first_ms <= target_ms:
                            counts.in_time += 1
                        else:
                            counts.late += 1
        except errors.WharfError:
            counts.rejected += first_ms is None

    async def offer(self, per_s, *, for_ms, seed=1, instances=("e1",)):
        """Sends requests at random times; two of three are urgent."""
        rng = random.Random(seed)
        tasks = []
        end_ms = self.clock.now_ms() + for_ms
        while self.clock.now_ms() < end_ms:
            await self.clock.sleep_ms(rng.expovariate(per_s / 1_000.0))
            path = "/verdicts/1" if rng.random() < 2 / 3 else "/patient/1"
            sending = self.send(path, instance=rng.choice(instances))
            tasks.append(asyncio.ensure_future(sending))
        await asyncio.gather(*tasks)
