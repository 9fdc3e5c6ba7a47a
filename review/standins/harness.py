"""Starts instances and servers as processes, and plays platform and clients."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import http_io
import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
STANDINS = pathlib.Path(__file__).resolve().parent
HOST = http_io.HOST
HEARTBEAT_S = 1.2
PORTS = (20_000, 32_000)
GRACE_S = 8


class CouldNotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def line(self, text: str) -> None:
        """Writes a line with the seconds since the start."""
        since = time.monotonic() - self._began
        self._file.write(f"{since:8.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    """Returns a free port of the loopback address.

    It lies below the ports that the system gives to outgoing channels, so that
    none of these takes it before its process listens, or while it restarts.
    """
    for _ in range(200):
        port = random.randrange(*PORTS)
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        return port
    raise CouldNotRunError("no free port")


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB."""
    try:
        pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    except (OSError, IndexError):
        return 0.0
    return int(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6


class Deployment:
    """A store, servers and instances of one small deployment."""

    def __init__(self, record: Record) -> None:
        self.record = record
        # Memory of a machine, beyond which the platform kills a process.
        self.memory_mb: float | None = None
        self.peak_mb: dict[str, float] = {}
        self.store = stores.Store()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.instances: dict[str, Instance] = {}
        self.servers: dict[str, Server] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self.is_closing = False

    async def start_store(self, config: dict[str, object]) -> None:
        """Starts the store, with the first configuration in it."""
        await self.store.start()
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    def start_server(
        self, name: str, service: str, zone: str, slots: int, **options: str
    ) -> Server:
        """Starts a server and keeps its entry in the store."""
        server = Server(self, name, service, zone, slots, options)
        self.servers[name] = server
        server.start()
        self._tasks.append(asyncio.ensure_future(server.keep_registered()))
        return server

    def start_instance(self, name: str, zone: str) -> Instance:
        """Starts an instance and restarts it when it ends."""
        instance = Instance(self, name, zone)
        self.instances[name] = instance
        instance.start(is_first=True)
        self._tasks.append(asyncio.ensure_future(instance.keep_running()))
        if self.memory_mb is not None:
            self._tasks.append(asyncio.ensure_future(instance.limit_memory()))
        return instance

    async def until_ready(self, limit_s: float = 20.0) -> None:
        """Waits until all instances are ready."""
        until = time.monotonic() + limit_s
        for instance in self.instances.values():
            while not await instance.is_ready():
                if time.monotonic() > until:
                    raise CouldNotRunError(f"{instance.name} did not get ready")
                await asyncio.sleep(0.05)
            self.record.line(f"instance {instance.name} is ready")

    async def close(self) -> None:
        """Ends all processes that were started."""
        self.is_closing = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(
        self, command: list[str], env: dict[str, str], log: str
    ) -> subprocess.Popen[bytes]:
        """Starts a process with a clean environment."""
        keep = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        with (self.folder / log).open("ab") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=keep | env,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.processes.append(process)
        return process


class Server:
    """A process that serves one service, and its entry in the store."""

    def __init__(
        self,
        deployment: Deployment,
        name: str,
        service: str,
        zone: str,
        slots: int,
        options: dict[str, str],
    ) -> None:
        self.name = name
        self.address = f"{HOST}:{free_port()}"
        self._deployment = deployment
        self._service = service
        self._zone = zone
        self._slots = slots
        self._options = options
        self.process: subprocess.Popen[bytes] | None = None
        self.log = deployment.folder / f"{name}.runs"

    def start(self) -> None:
        """Starts the process."""
        options = [f"--{k}={v}" for k, v in self._options.items()]
        self.process = self._deployment.spawn(
            [
                sys.executable,
                str(STANDINS / "server.py"),
                f"--address={self.address}",
                f"--id={self.name}",
                f"--slots={self._slots}",
                f"--runs={self.log}",
                *options,
            ],
            {},
            f"{self.name}.log",
        )
        self._deployment.record.line(f"server {self.name} starts")

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Returns the entry as the server writes it."""
        return {
            "service": self._service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "coldLeftMs": 0,
            "seq": 0,
        }

    async def keep_registered(self) -> None:
        """Writes the entry while the process runs, and removes it after."""
        silent_since: float | None = None
        while True:
            if self.is_running:
                silent_since = None
                value = json.dumps(self.entry()).encode()
                self._deployment.store.put("keyed.servers", self.name, value)
            elif silent_since is None:
                silent_since = time.monotonic()
            elif time.monotonic() - silent_since > 3 * HEARTBEAT_S:
                self._deployment.store.put("keyed.servers", self.name, b"")
                return
            await asyncio.sleep(HEARTBEAT_S)

    def runs(self) -> list[str]:
        """Returns the ids of the requests that it ran, in order."""
        if not self.log.exists():
            return []
        lines = self.log.read_text().splitlines()
        return [line.split()[1] for line in lines if line.startswith("run ")]

    def kill(self) -> None:
        """Crashes the process; its channels end as the system ends them."""
        assert self.process is not None
        self._deployment.record.line(f"server {self.name} gets SIGKILL")
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class Instance:
    """An instance, started as the deploy file starts it."""

    def __init__(self, deployment: Deployment, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self._deployment = deployment
        self.ports = {
            use: free_port()
            for use in ("callers", "readiness", "metrics", "peers")
        }
        self.process: subprocess.Popen[bytes] | None = None
        self.is_stopping = False
        self.exits: list[int] = []
        self.settings = deployment.folder / f"{name}.json"

    @property
    def callers_port(self) -> int:
        """Port for clients."""
        return self.ports["callers"]

    def start(self, *, is_first: bool) -> None:
        """Starts the process, with its settings file."""
        fields: dict[str, object] = {
            "instance": self.name,
            "domain": self.zone,
            "callers": f"{HOST}:{self.ports['callers']}",
            "readiness": f"{HOST}:{self.ports['readiness']}",
            "metrics": f"{HOST}:{self.ports['metrics']}",
            "peers": f"{HOST}:{self.ports['peers']}",
            "processor": {"share": 0.537, "speed": 2},
            "store": {
                "address": self._deployment.store.address,
                "part_count": 24,
                "group_ttl_ms": 3000,
                "leaving_within_ms": 2000,
                "in_force_within_ms": 2000,
            },
            "retries": {"ratio": 0.2, "slack": 52, "window_s": 10},
            "stop_within_s": GRACE_S,
        }
        if is_first:
            fields["is_first_start"] = True
        self.settings.write_text(json.dumps(fields))
        self.process = self._deployment.spawn(
            ["python3", "target/app/platform/start.py"],
            {
                "PYTHONPATH": "target/deps",
                "JUJUBEWHARF_NODE_FILE": str(self.settings),
            },
            f"{self.name}.log",
        )
        self._deployment.record.line(f"instance {self.name} starts")

    async def keep_running(self) -> None:
        """Starts the process again after it has ended, as the platform does."""
        while True:
            await asyncio.sleep(0.05)
            if self.process is None or self.process.poll() is None:
                continue
            code = self.process.returncode
            self._deployment.record.line(
                f"instance {self.name} ended with exit code {code}"
            )
            if self.is_stopping:
                return
            self.exits.append(code)
            await asyncio.sleep(0.3)
            self.start(is_first=False)

    async def limit_memory(self) -> None:
        """Kills the process when it exceeds the memory of its machine."""
        limit_mb = self._deployment.memory_mb
        assert limit_mb is not None
        peaks = self._deployment.peak_mb
        while True:
            await asyncio.sleep(0.01)
            if self.process is None or self.process.poll() is not None:
                continue
            used_mb = resident_mb(self.process.pid)
            peaks[self.name] = max(used_mb, peaks.get(self.name, 0.0))
            if used_mb > limit_mb:
                self._deployment.record.line(
                    f"instance {self.name} uses {used_mb:.0f} of"
                    f" {limit_mb:.0f} MB and is killed"
                )
                self.process.kill()

    async def is_ready(self) -> bool:
        """Whether the instance says that it is ready."""
        try:
            answer = await request(
                self.ports["readiness"],
                "GET",
                "/jujubewharf/readyz",
                {"Host": "ready"},
            )
        except OSError:
            return False
        return answer.status == 200

    def stop(self) -> None:
        """Sends SIGTERM, and SIGKILL after the grace period."""
        assert self.process is not None
        self.is_stopping = True
        process = self.process
        self._deployment.record.line(f"instance {self.name} gets SIGTERM")
        process.send_signal(signal.SIGTERM)

        def kill() -> None:
            if process.poll() is None:
                self._deployment.record.line(
                    f"instance {self.name} gets SIGKILL"
                )
                process.kill()

        asyncio.get_running_loop().call_later(GRACE_S, kill)


class Answer:
    """What a client received on its channel."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False
        self.end = ""

    def framing(self) -> str:
        """Returns what shows the client where the answer ends."""
        if "content-length" in self.headers:
            return f"Content-Length: {self.headers['content-length']}"
        return f"Transfer-Encoding: {self.headers.get('transfer-encoding')}"

    def __str__(self) -> str:
        whole = "whole" if self.is_whole else "not whole"
        return f"{self.status} {len(self.body)} bytes {whole} {self.end}"


async def read_answer(
    reader: asyncio.StreamReader, *, bytes_per_s: float | None = None
) -> Answer:
    """Reads an answer to its end, at most at some rate."""
    answer = Answer()
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        line, *fields = head.decode("latin-1").strip().split("\r\n")
        answer.status = int(line.split(" ")[1])
        for field in fields:
            name, _, value = field.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        await _read_answer_body(reader, answer, bytes_per_s)
    except asyncio.IncompleteReadError:
        answer.end = "channel closed"
    except ConnectionError:
        answer.end = "channel reset"
    return answer


async def _read_answer_body(
    reader: asyncio.StreamReader, answer: Answer, bytes_per_s: float | None
) -> None:
    if "chunked" not in answer.headers.get("transfer-encoding", ""):
        size = int(answer.headers.get("content-length", "0"))
        await _read_exactly(reader, size, answer, bytes_per_s)
        answer.is_whole = True
        return
    while not answer.is_whole:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        await _read_exactly(reader, size, answer, bytes_per_s)
        await reader.readexactly(2)
        answer.is_whole = not size


async def _read_exactly(
    reader: asyncio.StreamReader,
    size: int,
    answer: Answer,
    bytes_per_s: float | None,
) -> None:
    """Adds so many bytes to the body, at most at some rate."""
    while size:
        part = await reader.read(min(size, 4096))
        if not part:
            raise asyncio.IncompleteReadError(b"", size)
        answer.body += part
        size -= len(part)
        if bytes_per_s is not None:
            await asyncio.sleep(len(part) / bytes_per_s)


async def request(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> Answer:
    """Makes a request on a new channel."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(head_of(method, path, headers, body) + body)
        return await read_answer(reader)
    finally:
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()


def head_of(
    method: str, path: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Returns the head of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def run(folder: str, case) -> None:
    """Runs a case; exits with 1 if it returns true, 0 if not, else with 2."""
    record = Record(pathlib.Path(folder))
    parser = argparse.ArgumentParser()
    parser.add_argument("--trouble", choices=("yes", "no"), default="yes")
    has_trouble = parser.parse_args().trouble == "yes"
    record.line(f"trouble: {'yes' if has_trouble else 'no'}")

    async def main() -> bool:
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(case(deployment, has_trouble), 110)
        finally:
            if os.environ.get("KEEP"):
                shutil.copytree(
                    deployment.folder, os.environ["KEEP"], dirs_exist_ok=True
                )
            await deployment.close()

    try:
        is_broken = asyncio.run(main())
    except Exception as error:  # The case itself failed.
        record.line(f"could not run: {type(error).__name__} {error}")
        sys.exit(2)
    record.line(f"rule broken: {'yes' if is_broken else 'no'}")
    sys.exit(1 if is_broken else 0)
