"""A deployment of processes: store, engines, endpoints and instances."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import pathlib
import shutil
import signal
import tempfile
import time

from tests.real_processes import children
from tests.real_processes import configurations
from tests.real_processes import http_io
from tests.real_processes import store_process

ZONES = ("hall-a", "hall-b")
STOP_WITHIN_S = 8
_READY = "/jujubewharf/readyz"
_PROBE_S = 1.0
# Probes in a row without success that take an instance out of rotation.
_MISSES = 2
_START_S = 60.0


@dataclasses.dataclass(frozen=True)
class Size:
    """Numbers of processes.

    Attributes:
        prefill: Prefill engines of each service with a model.
        decode: Decode engines, by service with a model.
        plain: Endpoints, by plain service.
        instances: Instances.
    """

    prefill: int = 1
    decode: tuple[int, int] = (2, 1)
    plain: tuple[int, int] = (2, 1)
    instances: int = 3


class Instance:
    """An instance, which is started again after its end.

    Attributes:
        name: Name of the instance.
        zone: Its failure domain.
        peers: Address for other instances.
        child: Its process.
        callers: Address for callers.
        kills_s: When its process was killed, on the monotonic clock.
        stops_s: When it got SIGTERM.
        in_rotation: Set while the balancer gives it new connections.
    """

    def __init__(self, deployment: Deployment, number: int) -> None:
        self.name = f"instance-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.callers = deployment.children.free_address()
        self.peers = deployment.children.free_address()
        self.kills_s: list[float] = []
        self.stops_s: list[float] = []
        self.in_rotation = asyncio.Event()
        self._readiness = deployment.children.free_address()
        self._metrics = deployment.children.free_address()
        self._deployment = deployment
        self._settings = deployment.children.folder / f"{self.name}.json"
        self._fields = {
            "instance": self.name,
            "domain": self.zone,
            "callers": self.callers,
            "readiness": self._readiness,
            "metrics": self._metrics,
            "peers": self.peers,
            "processor": {"share": 1.0, "speed": 1},
            "store": {
                "address": deployment.store_address,
                "part_count": store_process.PART_COUNT,
                "group_ttl_ms": 3_000,
                "leaving_within_ms": 2_000,
                "in_force_within_ms": 2_000,
            },
            "retries": {"ratio": 0.2, "slack": 52, "window_s": 10},
            "stop_within_s": STOP_WITHIN_S,
        }
        if deployment.memory_mb is not None:
            self._fields["memory_mb"] = deployment.memory_mb
        self.start(is_first_start=True)

    def start(self, *, is_first_start: bool = False) -> None:
        """Starts the process."""
        fields = self._fields | {"is_first_start": is_first_start}
        self._settings.write_text(json.dumps(fields))
        self.child = self._deployment.children.instance(
            self.name,
            self._settings,
            can_be_cut=self._deployment.has_cuts,
            descriptors=self._deployment.descriptors,
        )

    @property
    def addresses(self) -> dict[str, str]:
        """Addresses of all listeners."""
        return {
            "callers": self.callers,
            "readiness": self._readiness,
            "metrics": self._metrics,
            "peers": self.peers,
        }

    def change_settings(self) -> None:
        """Changes a setting and sends SIGHUP."""
        retries = self._fields["retries"]
        retries["slack"] = 104 - retries["slack"] + 4
        self._settings.write_text(json.dumps(self._fields))
        self.child.send(signal.SIGHUP)

    async def kill(self) -> None:
        """Kills the process."""
        self.kills_s.append(time.monotonic())
        self.in_rotation.clear()
        self.child.send(signal.SIGKILL)
        await self.child.wait()

    async def stop(self) -> None:
        """Sends SIGTERM, and SIGKILL when the time for the drain is over."""
        self.stops_s.append(time.monotonic())
        self.child.send(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.child.wait(), STOP_WITHIN_S)
        if self.child.is_running:
            await self.kill()

    async def is_ready(self) -> bool:
        """Whether the instance says that it is ready."""
        try:
            # wait_for may lose a cancellation, and the probes would not end.
            async with asyncio.timeout(_PROBE_S):
                status, _ = await http_io.call(self._readiness, "GET", _READY)
        except (TimeoutError, OSError, http_io.ClosedError):
            return False
        return status == 200

    async def keep_probed(self) -> None:
        """Probes as the platform's balancer does."""
        misses = 0
        while True:
            misses = 0 if await self.is_ready() else misses + 1
            if misses >= _MISSES:
                self.in_rotation.clear()
            elif not misses:
                self.in_rotation.set()
            await asyncio.sleep(_PROBE_S)


Starter = Callable[["Deployment"], Awaitable[None]]


class Deployment:
    """All processes; create it with ``deployed``.

    Attributes:
        children: Starts and ends the processes.
        engines: Engines and endpoints.
        instances: Instances.
        configuration: The configuration that was written last.
        store: The store's process.
        store_address: Address of the store.
        memory_mb: Memory of the machine of an instance; ``None`` if nothing
            bounds it.
        descriptors: Descriptors that an instance may open; ``None`` for those
            of the test.
        has_cuts: Whether instances can be cut from each other.
    """

    def __init__(
        self,
        started: children.Children,
        memory_mb: float | None = None,
        *,
        descriptors: int | None = None,
        has_cuts: bool = False,
    ) -> None:
        self.children = started
        self.descriptors = descriptors
        self.memory_mb = memory_mb
        self.has_cuts = has_cuts
        self.engines: list[children.Child] = []
        self.instances: list[Instance] = []
        self.configuration = configurations.first()
        self.store_address = ""
        self._probes: list[asyncio.Task[None]] = []
        self._runs = started.folder / "runs"
        self._runs.mkdir()

    async def start(self, size: Size, more: Starter | None) -> None:
        """Starts the processes and waits until all instances are ready."""
        self.store = self.children.standin("store", "store_process")
        self.store_address = await self.store.read_line()
        await self.configure(self.configuration)
        self.instances = [
            Instance(self, number) for number in range(size.instances)
        ]
        for service, decode in zip(
            configurations.CHATS, size.decode, strict=True
        ):
            self._start_engines(service, size.prefill, "prefill")
            self._start_engines(service, decode, "decode")
        for service, plain in zip(
            configurations.SHOPS, size.plain, strict=True
        ):
            self._start_engines(service, plain, None)
        for engine in self.engines:
            await engine.read_line()
        if more is not None:
            await more(self)
        self._probes = [
            asyncio.ensure_future(instance.keep_probed())
            for instance in self.instances
        ]
        await self._until_ready()

    async def stop_probes(self) -> None:
        """Stops the balancer's probes."""
        for probe in self._probes:
            probe.cancel()
        await asyncio.gather(*self._probes, return_exceptions=True)

    def _start_engines(
        self, service: str, count: int, stage: str | None
    ) -> None:
        for number in range(count):
            name = f"{service}-{stage or 'plain'}-{number}"
            self.start_engine(name, service, number, stage)

    def start_engine(
        self,
        name: str,
        service: str,
        number: int,
        stage: str | None,
        **options: str,
    ) -> children.Child:
        """Starts an engine, whose first line says that it is registered.

        Args:
            name: Its name, of which there is only one.
            service: The service that it belongs to.
            number: Chooses its zone.
            stage: Its role; ``None`` for a plain endpoint.
            **options: Further options of its command line.
        """
        arguments = {
            "name": name,
            "service": service,
            "zone": ZONES[number % len(ZONES)],
            "store": self.store_address,
            "runs": str(self._runs / name),
            **options,
        }
        if stage is not None:
            arguments["stage"] = stage
        flat = [
            text for key, v in arguments.items() for text in (f"--{key}", v)
        ]
        child = self.children.standin(name, "engine_process", *flat)
        self.engines.append(child)
        return child

    async def configure(self, configuration: dict) -> None:
        """Writes a configuration to the store, as the operator."""
        self.configuration = configuration
        target = "/standin/put?topic=keyed.op&key=config"
        body = configurations.encode(configuration)
        await http_io.call(self.store_address, "POST", target, body)

    async def address_of(self, engine: str) -> str:
        """Returns the address that an engine has registered."""
        target = "/jujubewharf/log-newest?topic=keyed.servers&part=0"
        _, body = await http_io.call(self.store_address, "GET", target)
        items = {item["key"]: item for item in json.loads(body)["items"]}
        entry = json.loads(base64.b64decode(items[engine]["value"]))
        return str(entry["address"])

    async def _until_ready(self) -> None:
        """Waits until all instances are ready."""
        async with asyncio.timeout(_START_S):
            for instance in self.instances:
                await instance.in_rotation.wait()

    async def leader(self) -> Instance | None:
        """Returns the instance that leads, if there is one."""
        target = "/jujubewharf/log-owners?group=leaders"
        _, body = await http_io.call(self.store_address, "GET", target)
        holders = {part: who for _, part, who, _ in json.loads(body)["parts"]}
        address = holders.get(0, "").rpartition("/")[0]
        found = [i for i in self.instances if i.peers == address]
        return found[0] if found else None

    def runs(self) -> dict[str, list[dict]]:
        """Returns what engines noted about each request, by its id."""
        found: dict[str, list[dict]] = {}
        for path in self._runs.iterdir():
            for line in path.read_text().splitlines():
                note = json.loads(line) | {"engine": path.name}
                found.setdefault(note["id"], []).append(note)
        return found


@contextlib.asynccontextmanager
async def deployed(
    size: Size,
    *,
    memory_mb: float | None = None,
    descriptors: int | None = None,
    keep: pathlib.Path | None = None,
    more: Starter | None = None,
    has_cuts: bool = False,
) -> AsyncIterator[Deployment]:
    """Runs a deployment, all of whose processes are ended with the block.

    Args:
        size: Numbers of processes.
        memory_mb: Memory of the machine of an instance, for its settings.
        descriptors: Descriptors that an instance may open.
        keep: Folder to which logs and records are copied at the end.
        more: Starts further engines.
        has_cuts: Whether instances can be cut from each other.
    """
    with tempfile.TemporaryDirectory(prefix="real-processes-") as folder:
        started = children.Children(pathlib.Path(folder))
        deployment = Deployment(
            started, memory_mb, descriptors=descriptors, has_cuts=has_cuts
        )
        try:
            await deployment.start(size, more)
            yield deployment
        finally:
            await deployment.stop_probes()
            started.end_all()
            if keep is not None:
                shutil.copytree(folder, keep, dirs_exist_ok=True)
