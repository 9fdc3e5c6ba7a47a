"""A small deployment of processes, and callers of its streams.

The instances run with the command of the deploy file. The store and the engines
are the project's own stand-ins; a case has its engines changed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from tests.real_processes import answers
from tests.real_processes import http_io

ROOT = pathlib.Path(__file__).resolve().parents[2]
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "listings.example"
SERVICE = "model-pool"
STAGES = ("prefill", "decode", "decode")
INSTANCES = 2
MEMORY_MB = 150
SLOTS = 4
EVENT_MS = 80
DEADLINE_MS = 14_000
TARGET_MS = 900
# Callers leave a stream after a gap of four times its target.
GAP_S = 4 * TARGET_MS / 1_000
PROMPT_TOKENS = 1_000
_START_S = 30.0
# Until the instances have a leader.
_SETTLE_S = 4.0


@dataclasses.dataclass
class Stream:
    """A stream as its caller saw it."""

    request_id: str
    sent_s: float
    begun: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    events: int = 0
    ended_s: float = 0.0
    end: str = ""

    def line(self) -> str:
        """Returns what was sent and answered."""
        return (
            f"{self.request_id}: {self.end} after"
            f" {self.ended_s - self.sent_s:.2f} s, {self.events} events"
        )


class Processes:
    """Starts processes and ends all of them.

    Args:
        folder: Folder for settings, logs and notes.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self._all: list[subprocess.Popen] = []
        self._ports = contextlib.ExitStack()

    def start(
        self, command: list[str], output=subprocess.PIPE, **variables: str
    ) -> subprocess.Popen:
        """Starts a process at the repository's root."""
        kept = {n: os.environ[n] for n in ("PATH", "HOME") if n in os.environ}
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=kept | variables,
            stdin=subprocess.DEVNULL,
            stdout=output,
        )
        self._all.append(process)
        return process

    def free_address(self) -> str:
        """Returns an address, which a bound socket keeps from others."""
        holder = self._ports.enter_context(socket.socket())
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((http_io.HOST, 0))
        return f"{http_io.HOST}:{holder.getsockname()[1]}"

    def end_all(self) -> None:
        """Ends all processes by their ids."""
        for process in self._all:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        self._ports.close()


# Starts an engine, from its name and the options of its command line.
EngineStarter = Callable[[str, list[str]], Awaitable[None]]


class Instance:
    """An instance, which can be started again.

    Args:
        processes: Starts the process.
        name: Name of the instance.
        store: Address of the store.

    Attributes:
        name: Name of the instance.
        callers: Address for callers.
        process: The process that was started last.
    """

    def __init__(self, processes: Processes, name: str, store: str) -> None:
        self.name = name
        self.callers = processes.free_address()
        self._ready = processes.free_address()
        self._processes = processes
        self._settings = processes.folder / f"{name}.json"
        self._fields = {
            "instance": name,
            "domain": "hall-a",
            "callers": self.callers,
            "readiness": self._ready,
            "metrics": processes.free_address(),
            "peers": processes.free_address(),
            "processor": {"share": 1.0, "speed": 1},
            "memory_mb": MEMORY_MB,
            "store": {
                "address": store,
                "part_count": 24,
                "group_ttl_ms": 3_000,
                "leaving_within_ms": 2_000,
                "in_force_within_ms": 2_000,
            },
            "retries": {"ratio": 0.2, "slack": 52, "window_s": 10},
            "stop_within_s": 8,
        }
        self.process = self.start(is_first_start=True)

    def start(self, *, is_first_start: bool) -> subprocess.Popen:
        """Starts the process with the command of the deploy file."""
        fields = self._fields | {"is_first_start": is_first_start}
        self._settings.write_text(json.dumps(fields))
        with (self._processes.folder / f"{self.name}.log").open("ab") as log:
            self.process = self._processes.start(
                ["python3", "target/app/platform/start.py"],
                log,
                PYTHONPATH="target/deps",
                JUJUBEWHARF_NODE_FILE=str(self._settings),
            )
        return self.process

    async def until_ready(self) -> None:
        """Waits until the instance says that it is ready."""
        while True:
            with contextlib.suppress(OSError, http_io.ClosedError):
                path = "/jujubewharf/readyz"
                status, _ = await http_io.call(self._ready, "GET", path)
                if status == 200:
                    return
            await asyncio.sleep(0.1)


class System:
    """Store, engines and instances.

    Args:
        processes: Starts the processes.

    Attributes:
        store: Address of the store.
        instances: The instances.
    """

    def __init__(self, processes: Processes) -> None:
        self.processes = processes
        self.store = ""
        self.instances: list[Instance] = []

    @property
    def callers(self) -> list[str]:
        """Addresses for callers."""
        return [instance.callers for instance in self.instances]

    async def start(self, start_engine: EngineStarter) -> None:
        """Starts all processes and waits until the instances are ready."""
        await self.start_store(stream_configuration(SLOTS))
        for number, stage in enumerate(STAGES):
            name = f"{stage}-{number}"
            options = engine_options(self, name, stage)
            await start_engine(name, options)
        await self.start_instances()

    async def start_store(self, first: dict) -> None:
        """Starts the store, and writes the first configuration."""
        command = ["python3", "-S", "-m", "tests.real_processes.store_process"]
        self.store = first_line(self.processes.start(command))
        target = "/standin/put?topic=keyed.op&key=config"
        body = json.dumps(first).encode()
        await http_io.call(self.store, "POST", target, body)

    async def start_instances(self) -> None:
        """Starts the instances and waits until they are ready."""
        self.instances = [
            Instance(self.processes, f"instance-{number}", self.store)
            for number in range(INSTANCES)
        ]
        async with asyncio.timeout(_START_S):
            for instance in self.instances:
                await instance.until_ready()
        await asyncio.sleep(_SETTLE_S)

    def notes(self, request_id: str) -> list[dict]:
        """Returns what engines noted of a request, in order of time."""
        found = []
        for path in self.processes.folder.glob("*.runs"):
            for line in path.read_text().splitlines():
                note = json.loads(line) | {"engine": path.stem}
                if note["id"] == request_id:
                    found.append(note)
        return sorted(found, key=lambda note: note["at_s"])


async def call(address: str, stream: Stream, count: int) -> None:
    """Reads a stream as callers do; leaves it after too long a gap."""
    try:
        connection = await http_io.open_connection(address)
    except OSError:
        stream.end = "no channel"
        return
    fields = {
        "Host": HOST,
        "Request-Id": stream.request_id,
        "Model": "m",
        "Token-Counts": f"{PROMPT_TOKENS},{count}",
        "Prompt-Prefix": f"{stream.request_id}:{PROMPT_TOKENS}",
        "Deadline-Ms": DEADLINE_MS,
        "Content-Length": 4,
    }
    try:
        head = http_io.head("POST /summary/1 HTTP/1.1", fields)
        await connection.send(head + b"body")
        received = await connection.read_response_head()
        parts = connection.body_parts(received.headers)
        data = b""
        while True:
            async with asyncio.timeout(GAP_S):
                part = await anext(parts, None)
            if part is None:
                break
            data += part
            stream.events = data.count(answers.EVENT_END)
            stream.begun.set()
        stream.end = f"status {received.status}"
        if received.status == 200:
            is_whole = data == _answer(stream.request_id, count)
            stream.end = "whole" if is_whole else "wrong"
    except TimeoutError:
        stream.end = "left after a gap"
    except (http_io.ClosedError, OSError):
        stream.end = "broken off"
    finally:
        stream.ended_s = time.monotonic()
        connection.writer.transport.abort()


def run_case(
    play: Callable[[Processes], Awaitable[list[str]]], record: pathlib.Path
) -> int:
    """Plays a case and writes its record.

    Args:
        play: Plays it; a line that has ``BROKEN`` tells of a broken rule.
        record: File of the record.

    Returns:
        The exit code: 1 if the rule was broken, 0 if it held, 2 if the case
        couldn't run.
    """
    # So that the processes are ended, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    lines = [f"trouble: {HAS_TROUBLE}"]
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        processes = Processes(pathlib.Path(folder))
        try:
            lines += asyncio.run(play(processes))
        except Exception as error:
            lines.append(f"couldn't run: {error!r}")
            return 2
        finally:
            processes.end_all()
            text = "\n".join(lines) + "\n"
            record.write_text(text)
            print(text, end="")
    return int("BROKEN" in text)


def configuration(routes: list[dict], services: list[dict]) -> dict:
    """Returns a configuration with the limits of a small deployment."""
    return {
        "version": 1,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 5_000,
            "idleTimeoutMs": 30_000,
        },
    }


def stream_configuration(slots: int) -> dict:
    """Returns a configuration with one route of streams.

    Args:
        slots: Requests that an engine runs at once.
    """
    route = {
        "name": "summary",
        "host": HOST,
        "pathPrefix": "/summary/",
        "kind": "stream",
        "timeoutMs": DEADLINE_MS,
        "sloLatencyMs": TARGET_MS,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 2,
        "sticky": True,
        "resumable": True,
        "gapSloMs": 300,
    }
    engine = {
        "slots": slots,
        "kvTokens": 60_000,
        "handleTtlS": 3.0,
        "switchS": 6.0,
        "holdMs": 2_000.0,
        "stride": 1,
    }
    service = {"name": SERVICE, "healthPath": "/healthz", "engine": engine}
    return configuration([route], [service])


def engine_options(
    system: System, name: str, stage: str, *, slots: int = SLOTS
) -> list[str]:
    """Returns the options of a stand-in engine's command line."""
    options = ["--name", name, "--service", SERVICE, "--stage", stage]
    options += ["--zone", "hall-a", "--store", system.store]
    options += ["--slots", str(slots), "--event_ms", str(EVENT_MS)]
    runs = system.processes.folder / f"{name}.runs"
    return [*options, "--runs", str(runs)]


def first_line(process: subprocess.Popen) -> str:
    """Returns the first line that a process prints."""
    assert process.stdout is not None
    return process.stdout.readline().decode().strip()


def _answer(request_id: str, count: int) -> bytes:
    return b"".join(answers.event(request_id, n + 1) for n in range(count))
