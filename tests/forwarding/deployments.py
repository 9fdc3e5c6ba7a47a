"""Forwarding instances with stand-in backends on a virtual clock."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterable
import contextlib
import contextvars
import dataclasses
import random
from typing import Any

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import entry
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import settings as all_settings
from jujubewharf.platform import epochs
from jujubewharf.platform import tables
from jujubewharf.standins import backend_state
from jujubewharf.standins import backends
from jujubewharf.standins import endpoint_cuts
from jujubewharf.standins import network
from jujubewharf.standins import store as stores

HOST = "shop.example"
ENGINES = "verdict-llm"
PLAIN = "shop-api"

STREAM = routes.Route(
    "verdicts",
    HOST,
    "/verdicts/",
    (routes.Share(ENGINES, 1.0),),
    repeat=routes.Repeat.CONTINUE,
    is_stream=True,
    is_model=True,
    timeout_ms=14_000.0,
    target_ms=900.0,
    max_attempts=2,
)
ONE_STREAM = dataclasses.replace(
    STREAM,
    name="once",
    path_prefix="/once/",
    repeat=routes.Repeat.NEVER,
    max_attempts=1,
)
LOOKUP = routes.Route(
    "lookups",
    HOST,
    "/lookup/",
    (routes.Share(PLAIN, 1.0),),
    repeat=routes.Repeat.AGAIN,
    timeout_ms=2_000.0,
    target_ms=300.0,
    max_attempts=2,
)
SALE = dataclasses.replace(
    LOOKUP,
    name="sales",
    path_prefix="/sale/",
    repeat=routes.Repeat.NEVER,
    max_attempts=1,
)
SERVICES = {
    ENGINES: routes.RoutedService(
        ENGINES, routes.EngineTraits(12, 40_000, 500.0, 6_000.0, 2_000.0)
    ),
    PLAIN: routes.RoutedService(PLAIN),
}


def engine(
    name: str, role: resources.Role, domain: str = "a", **faults: Any
) -> backend_state.StandInBackend:
    """A stand-in engine."""
    endpoint = resources.Endpoint(name, ENGINES, f"{name}:1", domain, role)
    return backend_state.StandInBackend(endpoint, **faults)


def prefill_engine(name: str, domain: str = "a", **faults: Any):
    """A stand-in prefill engine."""
    return engine(name, resources.Role.PREFILL, domain, **faults)


def decode_engine(name: str, domain: str = "a", **faults: Any):
    """A stand-in decode engine."""
    return engine(name, resources.Role.DECODE, domain, **faults)


def plain_endpoint(name: str, domain: str = "a", **faults: Any):
    """A stand-in plain endpoint."""
    endpoint = resources.Endpoint(
        name, PLAIN, f"{name}:1", domain, resources.Role.PLAIN
    )
    return backend_state.StandInBackend(endpoint, **faults)


def mixed_backends(*, memory_tokens: int = 400_000):
    """Two stand-ins each of plain endpoints, prefill and decode engines."""
    behind = [
        plain_endpoint("s1"),
        plain_endpoint("s2"),
        prefill_engine("p1"),
        prefill_engine("p2"),
    ]
    behind += [decode_engine("d1"), decode_engine("d2")]
    for backend in behind:
        backend.memory_tokens = memory_tokens
    return behind


def configuration(version: int, *all_routes: routes.Route):
    """A configuration with the given routes, by default all of this module."""
    return routes.RoutingConfiguration(
        version, all_routes or (STREAM, ONE_STREAM, LOOKUP, SALE), SERVICES
    )


@dataclasses.dataclass
class Answer:
    """An answer as the caller received it.

    Attributes:
        status: HTTP status; ``None`` if there was no answer.
        body: Received bytes of the body.
        error: The error, if the request failed.
        first_ms: Time until the head arrived.
        took_ms: Time until the answer ended.
        is_ended: Whether the body came to its end, as a whole one does.
    """

    status: int | None = None
    body: bytes = b""
    error: errors.WharfError | None = None
    first_ms: float = 0.0
    took_ms: float = 0.0
    is_ended: bool = False

    @property
    def numbers(self) -> list[int]:
        """Numbers of the received events."""
        return [
            int(line[4:])
            for line in self.body.split(b"\n")
            if line.startswith(b"id: ")
        ]


class Deployment:
    """Instances, their store and their backends.

    Attributes:
        backends: Stand-in engines and endpoints.
        store: The store, which holds the tables and groups.
        configurations: Table of routing configurations.
        endpoints: Table of endpoint registrations.
        crashes: Table of crash reports.
        origins: Table of where streams began.
        groups: Group of all instances.
        leaders: Group of the instances that can lead.
        network: Connections between instances.
        instances: Instances by name.
        older_builds: Instances whose build doesn't read the store's epoch.
        cores: Processor share by instance name; half a core by default.
        cuts: Partitions between single instances and endpoints.
        retries: Retry budget of the fleet, as in the settings.
        are_pausable: Whether instances that start can be paused.
        is_first_start: Whether instances that start are told that the whole
            deployment starts for the first time.
        leaving_within_ms: Time within which a draining endpoint must get no
            more work, as in the settings.
    """

    def __init__(self, *behind: backend_state.StandInBackend) -> None:
        self.clock = clocks.Clock(wall_origin_ms=0.0)
        self.backends = backends.StandInBackends(self.clock, behind)
        self.store = stores.StandInStore(self.clock)
        self.configurations = self.store.table("configurations")
        self.endpoints = self.store.table("endpoints")
        self.crashes = self.store.table("crashes")
        self.origins = self.store.table("origins")
        self.leaders = self.store.group("leaders")
        self.network = network.MemoryNetwork(self.clock)
        self.groups = self.store.group("instances")
        self.instances: dict[str, entry.ForwardingEntry] = {}
        self.cores: dict[str, float] = {}
        self.older_builds: set[str] = set()
        self.cuts = endpoint_cuts.EndpointCuts()
        self.retries = {"ratio": 0.2, "slack": 40, "window_s": 10}
        self.are_pausable = False
        self.is_first_start = False
        self.leaving_within_ms = 2_000.0
        self._ids = 0
        self._starts = 0

    async def start(
        self,
        *names: str,
        domain: str = "a",
        declare: bool = True,
        is_led: bool = False,
    ) -> None:
        """Registers all backends and starts instances, until they are ready.

        Args:
            *names: Names of the instances.
            domain: Failure domain of the instances.
            declare: Whether to write the configuration and the registrations.
            is_led: Whether the instances elect a leader.
        """
        if declare:
            self.configurations.put("config", configuration(1))
            for backend in self.backends.by_name.values():
                self.endpoints.put(backend.name, backend.endpoint)
        for name in names or ("e1",):
            settings = all_settings.ForwardingSettings(
                instance=name,
                domain=domain,
                callers="127.0.0.1:0",
                readiness="127.0.0.1:0",
                store={
                    "address": "127.0.0.1:1",
                    "part_count": 24,
                    "group_ttl_ms": 3_000,
                    "leaving_within_ms": self.leaving_within_ms,
                },
                retries=self.retries,
                stop_within_s=8,
                is_first_start=self.is_first_start,
                processor={"share": self.cores.get(name, 0.5)},
            )
            epoch = epochs.StoreEpoch()
            view = self.store.view(
                name, epoch, knows_epochs=name not in self.older_builds
            )
            adapters = entry.Adapters(
                endpoint_cuts.CutBackends(
                    self.backends.for_instance(name),
                    name,
                    self.cuts,
                    self.clock,
                ),
                self._table(view, epoch, "configurations"),
                self._table(view, epoch, "endpoints"),
                view.group("instances", name),
                epoch,
                self._peers(view, name, domain) if is_led else None,
                view.table("crashes"),
                view.table("origins"),
            )
            instance = entry.ForwardingEntry(
                settings, self.clock, adapters, random.Random(name)
            )
            self.instances[name] = instance
            if self.are_pausable:
                await asyncio.get_running_loop().create_task(
                    instance.start(), context=context_of(name)
                )
            else:
                await instance.start()
        await self.clock.sleep_ms(1_100.0)

    def _table(
        self, view: stores.StoreView, epoch: epochs.StoreEpoch, name: str
    ) -> tables.Table[Any]:
        """Returns a table as one instance reads it."""
        return view.table(name)

    def _peers(
        self, view: stores.StoreView, name: str, domain: str
    ) -> ports.PeerAdapters:
        address = f"{name}:1"
        return ports.PeerAdapters(
            view.group("leaders", address),
            self.network.transport(name, domain, address=address),
            address,
        )

    @property
    def leader(self) -> str | None:
        """Name of the leader, if there is one."""
        for name, instance in self.instances.items():
            if instance.fleet.is_leading:
                return name
        return None

    async def stop(self) -> None:
        """Stops all instances."""
        for instance in self.instances.values():
            await instance.stop()

    def register(self, backend: backend_state.StandInBackend, **changes: Any):
        """Rewrites an endpoint's registration with changes."""
        backend.endpoint = dataclasses.replace(backend.endpoint, **changes)
        self.endpoints.put(backend.name, backend.endpoint)

    def pause(self, names: Iterable[str], *, for_ms: float | None) -> None:
        """Pauses engines or endpoints, as SIGSTOP and SIGCONT do.

        Args:
            names: Their names.
            for_ms: Length of the pause; ``None`` for good.
        """
        for name in names:
            backend = self.backends.by_name[name]
            backend.pause()
            if for_ms is not None:
                at_ms = self.clock.now_ms() + for_ms
                self.clock.call_at_ms(at_ms, backend.resume)

    def pause_instance(self, name: str, *, for_ms: float) -> None:
        """Pauses an instance that started as one that can be paused."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, virtual_time.VirtualLoop)
        loop.hold(name)
        at_ms = self.clock.now_ms() + for_ms
        self.clock.call_at_ms(at_ms, lambda: loop.release(name))

    def revive_crashed(self, *, after_ms: float = 3_000.0) -> None:
        """Restarts engines that crash, under other names.

        Args:
            after_ms: Delay of the restart.
        """

        def revive(backend: backend_state.StandInBackend) -> None:
            at_ms = self.clock.now_ms() + after_ms
            self.clock.call_at_ms(at_ms, lambda: self.start_next(backend))

        self.backends.crash_callbacks.append(revive)

    def start_next(self, crashed: backend_state.StandInBackend) -> None:
        """Starts an engine in place of one that is gone."""
        self._starts += 1
        name = f"{crashed.name.partition('+')[0]}+{self._starts}"
        endpoint = dataclasses.replace(crashed.endpoint, name=name)
        started = backend_state.StandInBackend(
            endpoint,
            memory_tokens=crashed.memory_tokens,
            work_ms=crashed.work_ms,
            events=crashed.events,
            event_ms=crashed.event_ms,
            is_framed=crashed.is_framed,
            is_streaming=crashed.is_streaming,
        )
        self.backends.by_name[name] = started
        self.endpoints.put(crashed.name, None)
        self.endpoints.put(name, endpoint)

    def call(self, path: str, **more: Any) -> calls.Call:
        """Creates a request that arrives now."""
        self._ids += 1
        given = {
            "request_id": f"r{self._ids}",
            "method": "POST",
            "host": HOST,
            "path_query": path,
            "headers": (),
            "body": b"body",
            "arrived_ms": self.clock.now_ms(),
            "work": calls.ModelWork(5_000, 10_000, 5_000),
        }
        return calls.Call(**(given | more))

    async def ask(
        self,
        path: str,
        *,
        instance: str = "e1",
        leave_after_ms: float | None = None,
        **more: Any,
    ) -> Answer:
        """Sends a request and reads its answer to the end.

        Args:
            path: Path of the request.
            instance: Name of the instance to send it to.
            leave_after_ms: Time after which the caller disconnects.
            **more: Fields of the call.
        """
        call = self.call(path, **more)
        answer = Answer()
        with contextlib.suppress(TimeoutError):
            async with self.clock.timeout_ms(leave_after_ms):
                await self._read(call, instance, answer)
        answer.took_ms = self.clock.now_ms() - call.arrived_ms
        return answer

    async def _read(
        self, call: calls.Call, instance: str, answer: Answer
    ) -> None:
        asked = self.instances.get(instance)
        if asked is None:
            # The instance has just stopped and refuses connections.
            return
        try:
            async with asked.run(call) as reply:
                answer.status = reply.status
                answer.first_ms = self.clock.now_ms() - call.arrived_ms
                async for part in reply.body:
                    answer.body += part
                answer.is_ended = True
        except errors.WharfError as error:
            answer.error = error

    async def ask_all(self, *paths: str, **more: Any) -> list[Answer]:
        """Sends requests at the same moment."""
        asked = [self.ask(path, **more) for path in paths]
        return list(await asyncio.gather(*asked))

    async def flood(
        self,
        path: str,
        *,
        for_ms: float,
        every_ms: float = 28.0,
        caller_timeout_ms: float = 8_000.0,
        are_alike: bool = True,
    ) -> list[Answer]:
        """Sends requests to all instances in turn and returns the answers.

        Args:
            path: Path of the requests.
            for_ms: Duration.
            every_ms: Time between two requests.
            caller_timeout_ms: Time that each caller waits.
            are_alike: Whether all requests have the same body.
        """
        asked: list[asyncio.Task[Answer]] = []
        until_ms = self.clock.now_ms() + for_ms
        while self.clock.now_ms() < until_ms:
            names = sorted(self.instances)
            name = names[len(asked) % len(names)]
            body = b"body" if are_alike else b"body %d" % len(asked)
            ask = self.ask(
                path,
                instance=name,
                caller_timeout_ms=caller_timeout_ms,
                body=body,
            )
            asked.append(asyncio.ensure_future(ask))
            await self.clock.sleep_ms(every_ms)
        return list(await asyncio.gather(*asked))

    async def start_in(self, domains: str, *names: str) -> None:
        """Starts instances with a leader, alternating between domains.

        Args:
            domains: Failure domains, one letter each.
            *names: Names of the instances.
        """
        for number, name in enumerate(names):
            domain = domains[number % len(domains)]
            await self.start(
                name, domain=domain, declare=number == 0, is_led=True
            )

    async def start_together(self, domains: str, *names: str) -> None:
        """Starts instances with a leader at the same time, as on a fresh day.

        Args:
            domains: Failure domains, one letter each.
            *names: Names of the instances.
        """
        await asyncio.gather(
            *(
                self.start(
                    name,
                    domain=domains[number % len(domains)],
                    declare=number == 0,
                    is_led=True,
                )
                for number, name in enumerate(names)
            )
        )

    async def restart(self, name: str) -> None:
        """Restarts an instance without any of its state."""
        instance = self.instances.pop(name)
        await instance.stop()
        self.network.drop_instance(name)
        for backend in self.backends.by_name.values():
            backend.announced_ms.pop(name, None)
        domain = instance.domain
        await self.start(name, domain=domain, declare=False, is_led=True)


def context_of(instance: str) -> contextvars.Context:
    """Returns a context that stands still while an instance is paused."""
    context = contextvars.copy_context()
    context.run(virtual_time.OWNER.set, instance)
    return context


def run(test: Coroutine[Any, Any, Any]) -> Any:
    """Runs a test on a virtual clock."""
    return virtual_time.run(test)


@contextlib.asynccontextmanager
async def deployed(
    *behind: backend_state.StandInBackend, names=("e1",), is_led: bool = False
):
    """A started deployment for the block."""
    deployment = Deployment(*behind)
    await deployment.start(*names, is_led=is_led)
    try:
        yield deployment
    finally:
        await deployment.stop()
