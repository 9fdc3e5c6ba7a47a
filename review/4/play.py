"""Has an endpoint go dark while bursts of large bodies arrive.

Exits with 1 if rule LOST was broken, 0 if it held, 2 if it couldn't run.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

_FOLDER = pathlib.Path(__file__).resolve().parent
_ROOT = _FOLDER.parents[1]
sys.path.insert(0, str(_ROOT))

from endpoint import BACKLOG  # noqa: E402

from review.second import system as systems  # noqa: E402
from tests.real_processes import http_io  # noqa: E402

# Each service has one endpoint; the first one's goes dark.
DARK_SERVICE = "listing-app"
SOUND_SERVICE = "photo-app"
DEADLINE_MS = 8_000
# Within ``maxBodyBytes``, 4,194,304.
LARGE_BYTES = 3_900_000
SMALL_BYTES = 400
UPLOADERS = 20
SMALL_CALLERS = 16
ROUNDS = 6
# Time between two rounds, and for which an endpoint is dark.
REST_S = 3.0
DARK_S = 2.0
_PIECE_BYTES = 200_000
_PIECE_S = 0.01
_LOOK_S = 0.01
_RESTART_S = 0.5
_MIB = 1_048_576
# Requests of kept channels that a machine may leave unanswered.
ALLOWED_LOST = 3


@dataclasses.dataclass
class Exchange:
    """A request and what came back."""

    request_id: str
    instance: str
    is_channel_kept: bool
    sent_s: float
    ended_s: float = 0.0
    end: str = ""


class Caller:
    """Sends one request after the other on a kept channel.

    Args:
        name: Name with which its requests' ids begin.
        instance: The instance that it calls.
        service: The service that it calls.
        size: Size of its bodies.
        exchanges: Where exchanges are recorded.
    """

    def __init__(
        self,
        name: str,
        instance: systems.Instance,
        service: str,
        size: int,
        exchanges: list[Exchange],
    ) -> None:
        self._name = name
        self._instance = instance
        self._service = service
        self._body = b"x" * size
        self._exchanges = exchanges
        self._numbers = itertools.count(1)
        self._connection: http_io.Connection | None = None

    async def run(self, may_call: asyncio.Event, has_ended: asyncio.Event):
        """Calls whenever it may; the last answer is awaited."""
        while not has_ended.is_set():
            await may_call.wait()
            exchange = Exchange(
                f"{self._name}-{next(self._numbers)}",
                self._instance.name,
                self._connection is not None,
                time.monotonic(),
            )
            self._exchanges.append(exchange)
            wait_s = 0.1
            try:
                async with asyncio.timeout(DEADLINE_MS / 1_000):
                    wait_s = await self._exchange(exchange)
            except TimeoutError:
                exchange.end = "left at its deadline"
            except OSError:
                exchange.end = "no channel"
            except http_io.ClosedError:
                exchange.end = "channel closed without an answer"
            exchange.ended_s = time.monotonic()
            if not exchange.end.startswith("status"):
                self._disconnect()
            await asyncio.sleep(wait_s)
        self._disconnect()

    async def _exchange(self, exchange: Exchange) -> float:
        """Sends a request; returns how long to wait in seconds."""
        if self._connection is None:
            address = self._instance.callers
            self._connection = await http_io.open_connection(address)
        fields = {
            "Host": systems.HOST,
            "Request-Id": exchange.request_id,
            "Deadline-Ms": DEADLINE_MS,
            "Content-Length": len(self._body),
        }
        line = f"POST /{self._service}/1 HTTP/1.1"
        await self._connection.send(http_io.head(line, fields))
        for at in range(0, len(self._body), _PIECE_BYTES):
            await self._connection.send(self._body[at : at + _PIECE_BYTES])
            await asyncio.sleep(_PIECE_S)
        head = await self._connection.read_response_head()
        async for _ in self._connection.body_parts(head.headers):
            pass
        exchange.end = f"status {head.status}"
        if head.headers.get("connection") == "close":
            self._disconnect()
        return float(head.headers.get("retry-after", "0.1"))

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.writer.transport.abort()
            self._connection = None


class MemoryWatch:
    """Kills instances beyond the memory of their machine, as the platform does.

    Args:
        instance: The instance.
    """

    def __init__(self, instance: systems.Instance) -> None:
        self.instance = instance
        self.peak_mib = 0.0
        self.kills = 0

    async def run(self) -> None:
        """Looks again and again until it is cancelled."""
        while True:
            used_mib = _resident_mib(self.instance.process.pid)
            self.peak_mib = max(self.peak_mib, used_mib)
            if used_mib > systems.MEMORY_MB:
                self.kills += 1
                self.instance.process.send_signal(signal.SIGKILL)
                self.instance.process.wait()
                await asyncio.sleep(_RESTART_S)
                self.instance.start(is_first_start=False)
            await asyncio.sleep(_LOOK_S)


class DarkEndpoint:
    """An endpoint whose host answers nothing for a while.

    It is stopped, and its queue of new channels is filled, so that the kernel
    leaves further ones without an answer.

    Args:
        process: The endpoint's process.
        address: Its address.
    """

    def __init__(self, process: subprocess.Popen, address: str) -> None:
        self._process = process
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))

    @contextlib.contextmanager
    def dark(self):
        """Keeps it dark for the block."""
        self._process.send_signal(signal.SIGSTOP)
        with contextlib.ExitStack() as fillers:
            for _ in range(BACKLOG + 8):
                filler = fillers.enter_context(socket.socket())
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect(self._address)
            yield
            self._process.send_signal(signal.SIGCONT)


async def _play(processes: systems.Processes) -> list[str]:
    system = systems.System(processes)
    await system.start_store(_configuration())
    dark, _ = [
        _start_endpoint(system, s) for s in (DARK_SERVICE, SOUND_SERVICE)
    ]
    await system.start_instances()
    watches = [MemoryWatch(instance) for instance in system.instances]
    watching = [asyncio.ensure_future(watch.run()) for watch in watches]
    exchanges: list[Exchange] = []
    # Bursts to the endpoint that goes dark come to one instance, and what the
    # other endpoint serves to the other one.
    first, second = system.instances
    may_burst, may_call, has_ended = (asyncio.Event() for _ in range(3))
    may_call.set()
    calling = [
        *_begin(
            "burst", UPLOADERS, first, DARK_SERVICE, LARGE_BYTES, exchanges
        ),
        *_begin(
            "large", UPLOADERS, second, SOUND_SERVICE, LARGE_BYTES, exchanges
        ),
        *_begin(
            "small",
            SMALL_CALLERS,
            second,
            SOUND_SERVICE,
            SMALL_BYTES,
            exchanges,
        ),
    ]
    tasks = [
        asyncio.ensure_future(
            caller.run(may_burst if number < UPLOADERS else may_call, has_ended)
        )
        for number, caller in enumerate(calling)
    ]
    for _ in range(ROUNDS):
        await asyncio.sleep(REST_S)
        with dark.dark() if systems.HAS_TROUBLE else contextlib.nullcontext():
            may_burst.set()
            await asyncio.sleep(DARK_S)
        may_burst.clear()
    has_ended.set()
    may_burst.set()
    await asyncio.wait(tasks)
    for watch in watching:
        watch.cancel()
    return _judge(watches, exchanges, _runs(processes.folder))


def _begin(
    name: str,
    count: int,
    instance: systems.Instance,
    service: str,
    size: int,
    exchanges: list[Exchange],
) -> list[Caller]:
    return [
        Caller(f"{name}-{n}", instance, service, size, exchanges)
        for n in range(count)
    ]


def _start_endpoint(system: systems.System, service: str) -> DarkEndpoint:
    runs = system.processes.folder / f"{service}.runs"
    file = str(_FOLDER / "endpoint.py")
    process = system.processes.start(
        ["python3", "-S", file, service, system.store, str(runs)],
        PYTHONPATH=str(_ROOT),
    )
    return DarkEndpoint(process, systems.first_line(process))


def _runs(folder: pathlib.Path) -> collections.Counter[str]:
    """Returns how often each request has begun to run."""
    lines = [
        json.loads(line)["id"]
        for path in folder.glob("*.runs")
        for line in path.read_text().splitlines()
    ]
    return collections.Counter(lines)


def _judge(
    watches: list[MemoryWatch],
    exchanges: list[Exchange],
    runs: collections.Counter[str],
) -> list[str]:
    lines = [
        f"{w.instance.name}: peak memory {w.peak_mib:.0f} of"
        f" {systems.MEMORY_MB} MiB, killed {w.kills} times for more"
        for w in watches
    ]
    lost = collections.Counter(
        e.instance
        for e in exchanges
        if e.is_channel_kept
        and runs[e.request_id]
        and e.end == "channel closed without an answer"
    )
    for name, count in sorted(lost.items()):
        lines.append(
            f"{name}: {count} requests of kept channels ran, and their channels"
            f" were closed without an answer; {ALLOWED_LOST} are allowed"
        )
        if count > ALLOWED_LOST:
            lines.append("BROKEN: LOST")
    lines += [
        f"{e.request_id} to {e.instance}, sent {e.sent_s:.2f}, ended"
        f" {e.ended_s:.2f}: {e.end}; ran {runs[e.request_id]} times"
        for e in exchanges
    ]
    return lines


def _resident_mib(pid: int) -> float:
    try:
        fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    except OSError:
        return 0.0
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / _MIB


def _configuration() -> dict:
    services = (DARK_SERVICE, SOUND_SERVICE)
    routes = [
        {
            "name": service,
            "host": systems.HOST,
            "pathPrefix": f"/{service}/",
            "kind": "non_idempotent",
            "timeoutMs": DEADLINE_MS,
            "sloLatencyMs": 3_000,
            "priority": 2,
            "service": service,
            "maxAttempts": 1,
        }
        for service in services
    ]
    named = [{"name": name, "healthPath": "/healthz"} for name in services]
    return systems.configuration(routes, named)


if __name__ == "__main__":
    sys.exit(systems.run_case(_play, _FOLDER / "record.txt"))
