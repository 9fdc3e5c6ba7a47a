"""Streams beside engines of several software versions, and their callers."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import contextlib
import dataclasses

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import registration
from jujubewharf.standins import backend_state
from tests.forwarding import deployments

DOMAINS = "abcd"
EVENTS = 20
# How often a caller resumes a stream before it gives up.
MAX_RESUMPTIONS = 3
# Pause of a caller between a broken connection and its next request.
CALLER_PAUSE_MS = 30.0


def engine(
    name: str, version: str, role: resources.Role, domain: str = "a"
) -> backend_state.StandInBackend:
    """A stand-in engine whose registration states a software version."""
    endpoint = registration.Registration(
        name,
        deployments.ENGINES,
        f"{name}:1",
        domain,
        role,
        registered_as=name,
        software_version=version,
    )
    return backend_state.StandInBackend(
        endpoint, memory_tokens=400_000, events=EVENTS
    )


def decode_engines(version: str, *, count: int = 2, first: int = 0):
    """Decode engines of one version, in different domains."""
    return [
        engine(
            f"d{n}-{version}", version, resources.Role.DECODE, DOMAINS[n % 4]
        )
        for n in range(first, first + count)
    ]


def prefill_engine(version: str, domain: str = "a"):
    """A prefill engine of one version."""
    return engine(f"p-{version}", version, resources.Role.PREFILL, domain)


@dataclasses.dataclass(slots=True)
class Try:
    """One request of a caller for a stream.

    Attributes:
        instance: Instance that got it.
        at_ms: When it was sent.
        resumed_version: Version of the events before; ``None`` if it began
            the stream.
        events: Number of events that it brought.
        is_whole: Whether the answer ended by itself.
        error: How it failed, if the instance told.
        took_ms: Time until it ended.
        was_reset: Whether its connection was reset.
    """

    instance: str
    at_ms: float
    resumed_version: str | None = None
    events: int = 0
    is_whole: bool = False
    error: errors.WharfError | None = None
    took_ms: float = 0.0
    was_reset: bool = False

    def is_excused(self, *, silent_ms: float) -> bool:
        """Whether it was reset before an answer was due."""
        is_early = self.took_ms < silent_ms
        return self.was_reset and not self.events and is_early


@dataclasses.dataclass(slots=True)
class Stream:
    """A stream as its caller received it, over all of its requests.

    Attributes:
        numbers: Numbers of the events, in order of arrival.
        versions: Versions of the engines that wrote them.
        began_by: Id of the request that brought the first event.
        tries: The caller's requests.
        began_ms: When the first event arrived.
    """

    numbers: list[int] = dataclasses.field(default_factory=list)
    versions: list[str] = dataclasses.field(default_factory=list)
    began_by: str | None = None
    tries: list[Try] = dataclasses.field(default_factory=list)
    began_ms: float = 0.0

    @property
    def is_mixed(self) -> bool:
        """Whether it holds events of two versions."""
        return len(set(self.versions)) > 1

    @property
    def is_in_order(self) -> bool:
        """Whether no event is missing or doubled."""
        return self.numbers == list(range(1, len(self.numbers) + 1))

    @property
    def resumptions(self) -> list[Try]:
        """The requests that were to resume it."""
        return [t for t in self.tries if t.resumed_version is not None]

    def add(self, part: bytes, request_id: str) -> int:
        """Adds a part of an answer and returns the number of its events."""
        count = 0
        for text in part.decode().split("\n\n"):
            if not text:
                continue
            number, data = text.split("\n")
            self.numbers.append(int(number.removeprefix("id: ")))
            self.versions.append(data.split(" ")[-1])
            self.began_by = self.began_by or request_id
            count += 1
        return count


class Callers:
    """Callers that resume broken streams at other instances.

    Args:
        world: The deployment.
    """

    def __init__(self, world: deployments.Deployment) -> None:
        self._world = world
        self._reading: dict[str, set[asyncio.Task[None]]] = {}

    async def stream(
        self, instances: Sequence[str], *, max_tries: int = MAX_RESUMPTIONS + 1
    ) -> Stream:
        """Reads a stream from instances, one after the other as it breaks."""
        stream = Stream()
        for instance in instances[:max_tries]:
            found = await self._try(stream, instance)
            if found.is_whole:
                break
            await self._world.clock.sleep_ms(CALLER_PAUSE_MS)
        return stream

    async def kill(self, name: str) -> None:
        """Kills an instance, and with it its callers' connections."""
        self._world.network.drop_instance(name)
        self.reset(name)
        await self._world.instances.pop(name).stop()

    def reset(self, name: str) -> None:
        """Resets the connections of all callers of an instance."""
        for task in self._reading.pop(name, set()):
            task.cancel()

    async def restart(self, name: str) -> None:
        """Kills an instance and starts it again without any of its state."""
        domain = self._world.instances[name].domain
        await self.kill(name)
        await self._world.start(name, domain=domain, declare=False, is_led=True)

    async def _try(self, stream: Stream, instance: str) -> Try:
        now_ms = self._world.clock.now_ms()
        found = Try(instance, now_ms)
        stream.tries.append(found)
        call = self._world.call("/verdicts/1")
        if stream.numbers:
            found.resumed_version = stream.versions[0]
            call = dataclasses.replace(
                call,
                last_event=stream.numbers[-1],
                began_by=stream.began_by,
            )
        task = asyncio.ensure_future(self._read(stream, found, call))
        reading = self._reading.setdefault(instance, set())
        reading.add(task)
        await asyncio.gather(task, return_exceptions=True)
        reading.discard(task)
        found.was_reset = task.cancelled()
        found.took_ms = self._world.clock.now_ms() - now_ms
        return found

    async def _read(self, stream: Stream, found: Try, call: calls.Call) -> None:
        asked = self._world.instances.get(found.instance)
        if asked is None:
            return
        with contextlib.suppress(errors.WharfError):
            try:
                async with asked.run(call) as reply:
                    async for part in reply.body:
                        found.events += stream.add(part, call.request_id)
                found.is_whole = reply.is_success
            except errors.WharfError as error:
                found.error = error
                raise


@contextlib.asynccontextmanager
async def deployed(
    *behind: backend_state.StandInBackend,
    names: Sequence[str] = ("e1", "e2", "e3", "e4", "e5", "e6"),
    is_first_start: bool = False,
):
    """A deployment with a leader for the block, ready and known to all."""
    world = deployments.Deployment(*behind)
    world.is_first_start = is_first_start
    await world.start_in(DOMAINS, *names)
    world.is_first_start = False
    await world.clock.sleep_ms(4_000.0)
    try:
        yield world
    finally:
        await world.stop()
