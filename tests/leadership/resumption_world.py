"""Instances, engines of two versions and callers that resume elsewhere."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import dataclasses
import random

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.forwarding import calls
from jujubewharf.standins import backend_state
from jujubewharf.standins import store as stores
from tests.forwarding import deployments
from tests.leadership import stream_versions as versions

VERSIONS = ("v1", "v2")
EVENTS = 13
EVENT_MS = 200.0
# Share of callers that resume at an instance of the same failure domain, if
# there is one.
SAME_DOMAIN_SHARE = 0.3
_WORK = calls.ModelWork(500, 500, 500)
# Time until all instances know the engines of both versions.
_SETTLE_MS = 5_000.0
_FOR_GOOD_MS = 1e12


@dataclasses.dataclass(slots=True)
class Interval:
    """A time in clock milliseconds that may last still."""

    begin_ms: float
    end_ms: float = _FOR_GOOD_MS

    def overlaps(self, begin_ms: float, end_ms: float) -> bool:
        """Whether it shares a moment with another time."""
        return self.begin_ms < end_ms and self.end_ms > begin_ms


class Intervals:
    """Times by instance."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._by_name: dict[str, list[Interval]] = {}

    def begin(self, name: str) -> Interval:
        """Starts a time of an instance, which lasts until its end is set."""
        interval = Interval(self._clock.now_ms())
        self._by_name.setdefault(name, []).append(interval)
        return interval

    def overlap(self, name: str, begin_ms: float, end_ms: float) -> bool:
        """Whether a time of an instance shares a moment with another time."""
        return any(
            interval.overlaps(begin_ms, end_ms)
            for interval in self._by_name.get(name, ())
        )


class ResumptionWorld:
    """A deployment, what disturbs its instances, and callers' connections.

    Args:
        deployment: The deployment, which is started by ``start``.
        names: Names of all instances.
        rng: Draws what callers do.

    Attributes:
        deployment: The deployment.
        clock: Its clock.
        names: Names of all instances.
        rng: Draws what happens.
        disturbed: Times in which an instance was killed, started or paused.
        storeless: Times in which an instance did not reach the store.
        preferred: Instances at which half of the callers resume.
        background: Tasks that have to end before the history does.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        names: Sequence[str],
        rng: random.Random,
    ) -> None:
        self.deployment = deployment
        self.clock = deployment.clock
        self.names = tuple(names)
        self.rng = rng
        self.disturbed = Intervals(self.clock)
        self.storeless = Intervals(self.clock)
        self.preferred: list[str] = []
        self.background: list[asyncio.Task[None]] = []
        self._domains: dict[str, str] = {}
        self._connections: dict[str, dict[asyncio.Future[None], None]] = {}
        self._streams = 0

    async def start(self, *, max_attempts: int) -> None:
        """Starts all instances, until they know all engines.

        Args:
            max_attempts: Attempts at engines that an answer may take.
        """
        deployment = self.deployment
        deployment.are_pausable = True
        deployment.revive_crashed(after_ms=2_000.0)
        await deployment.start_together(versions.DOMAINS, *self.names)
        route = dataclasses.replace(
            deployments.STREAM, max_attempts=max_attempts
        )
        changed = deployments.configuration(2, route)
        deployment.configurations.put("config", changed)
        for name, instance in deployment.instances.items():
            self._domains[name] = instance.domain
        await self.clock.sleep_ms(_SETTLE_MS)

    async def stop(self) -> None:
        """Stops all instances."""
        await asyncio.gather(*self.background)
        await self.deployment.stop()

    @property
    def running(self) -> list[str]:
        """Names of the instances that run."""
        return sorted(self.deployment.instances)

    @property
    def leader(self) -> str:
        """Name of the leader."""
        leader = self.deployment.leader
        assert leader is not None
        return leader

    def domain_of(self, name: str) -> str:
        """Failure domain of an instance."""
        return self._domains[name]

    def names_in(self, domain: str) -> list[str]:
        """Names of all instances in a failure domain."""
        return [n for n in self.names if self._domains[n] == domain]

    def decode_engines(self) -> list[backend_state.StandInBackend]:
        """Decode engines that serve."""
        return [
            backend
            for backend in self.deployment.backends.by_name.values()
            if backend.endpoint.role is resources.Role.DECODE
            and not backend.endpoint.drained
            and not backend.has_crashed.is_set()
        ]

    async def kill(self, name: str) -> Interval:
        """Kills an instance and the connections of its callers."""
        interval = self.disturbed.begin(name)
        self.deployment.network.drop_instance(name)
        self.reset_callers(name)
        await self.deployment.instances.pop(name).stop()
        return interval

    async def restart(self, name: str, *, after_ms: float = 1_000.0) -> None:
        """Kills an instance and starts it again without its state."""
        interval = await self.kill(name)
        await self.clock.sleep_ms(after_ms)
        await self.deployment.start(
            name, domain=self.domain_of(name), declare=False, is_led=True
        )
        interval.end_ms = self.clock.now_ms()

    def begin_restart(self, name: str, *, after_ms: float = 1_000.0) -> None:
        """Restarts an instance beside what happens next."""
        restart = self.restart(name, after_ms=after_ms)
        self.background.append(asyncio.ensure_future(restart))

    def pause(self, name: str, *, for_ms: float) -> None:
        """Pauses an instance."""
        self.disturbed.begin(name).end_ms = self.clock.now_ms() + for_ms
        self.deployment.pause_instance(name, for_ms=for_ms)

    async def without_store(self, names: Sequence[str], for_ms: float) -> None:
        """Cuts instances off from the store for a while."""
        intervals = [self.storeless.begin(name) for name in names]
        cut_off = self.deployment.store.cut_off
        cut_off.update(dict.fromkeys(names, stores.Outage.SILENT))
        await self.clock.sleep_ms(for_ms)
        for name in names:
            cut_off.pop(name, None)
        for interval in intervals:
            interval.end_ms = self.clock.now_ms()

    def reset_callers(self, name: str) -> None:
        """Resets the connections of all callers of an instance."""
        for connection in self._connections.pop(name, {}):
            if not connection.done():
                connection.set_result(None)

    async def read_stream(self, *, max_resumptions: int) -> versions.Stream:
        """Reads a stream as a caller does that resumes it elsewhere."""
        stream = versions.Stream()
        self._streams += 1
        # Bodies differ, so that no request is blamed for others' crashes.
        body = b"body %d" % self._streams
        while not self.running:
            await self.clock.sleep_ms(versions.CALLER_PAUSE_MS)
        instance = self.rng.choice(self.running)
        for _ in range(1 + max_resumptions):
            found = await self._request(stream, instance, body)
            if found.is_whole:
                break
            await self.clock.sleep_ms(versions.CALLER_PAUSE_MS)
            if not set(self.running) - {instance}:
                break
            instance = self._choose_other(instance)
        return stream

    def _choose_other(self, former: str) -> str:
        others = [name for name in self.running if name != former]
        preferred = [name for name in others if name in self.preferred]
        if preferred and self.rng.random() < 0.5:
            return self.rng.choice(preferred)
        domain = self.domain_of(former)
        near = [name for name in others if self.domain_of(name) == domain]
        if near and self.rng.random() < SAME_DOMAIN_SHARE:
            return self.rng.choice(near)
        return self.rng.choice(others)

    async def _request(
        self, stream: versions.Stream, name: str, body: bytes
    ) -> versions.Try:
        found = versions.Try(name, self.clock.now_ms())
        stream.tries.append(found)
        call = self.deployment.call("/verdicts/1", work=_WORK, body=body)
        if stream.numbers:
            found.resumed_version = stream.versions[0]
            call = dataclasses.replace(
                call,
                last_event=stream.numbers[-1],
                began_by=stream.began_by,
            )
        loop = asyncio.get_running_loop()
        connection: asyncio.Future[None] = loop.create_future()
        connections = self._connections.setdefault(name, {})
        connections[connection] = None
        # In the context of the instance, so that its pause holds it as well.
        task = loop.create_task(
            self._read(stream, found, call),
            context=deployments.context_of(name),
        )
        await asyncio.wait(
            (task, connection), return_when=asyncio.FIRST_COMPLETED
        )
        connections.pop(connection, None)
        found.took_ms = self.clock.now_ms() - found.at_ms
        if connection.done():
            found.was_reset = True
            task.cancel()
        else:
            await task
        return found

    async def _read(
        self, stream: versions.Stream, found: versions.Try, call: calls.Call
    ) -> None:
        asked = self.deployment.instances.get(found.instance)
        if asked is None:
            return
        try:
            async with asked.run(call) as reply:
                async for part in reply.body:
                    if found.was_reset:
                        return
                    found.events += stream.add(part, call.request_id)
            found.is_whole = reply.is_success
        except errors.WharfError as error:
            found.error = error


def start_engine(
    world: ResumptionWorld, name: str, version: str, role: resources.Role
) -> None:
    """Starts an engine, in a failure domain chosen at random."""
    domain = world.rng.choice(versions.DOMAINS)
    backend = _engine(name, version, role, domain)
    world.deployment.backends.by_name[name] = backend
    world.deployment.endpoints.put(name, backend.endpoint)


def create_world(instances: int, rng: random.Random) -> ResumptionWorld:
    """Returns a world with as many instances, in four failure domains."""
    behind = []
    for version in VERSIONS:
        for role, count in (
            (resources.Role.PREFILL, 2 + instances // 20),
            (resources.Role.DECODE, 8 + instances // 8),
        ):
            behind += [
                _engine(
                    f"{role.name.lower()}{number}-{version}",
                    version,
                    role,
                    versions.DOMAINS[number % 4],
                )
                for number in range(count)
            ]
    names = [f"e{number + 1}" for number in range(instances)]
    return ResumptionWorld(deployments.Deployment(*behind), names, rng)


def _engine(
    name: str, version: str, role: resources.Role, domain: str
) -> backend_state.StandInBackend:
    backend = versions.engine(name, version, role, domain)
    backend.events = EVENTS
    backend.event_ms = EVENT_MS
    return backend
