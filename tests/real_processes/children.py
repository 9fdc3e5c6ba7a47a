"""Processes that are started, signalled by id and ended with the test."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import functools
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys

from tests.real_processes import http_io

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)
# Variables of the environment that processes get.
_KEPT = ("PATH", "HOME", "LANG")


class Child:
    """A process, whose end is waited for.

    Args:
        name: Name for reports.
        process: The process.
    """

    def __init__(self, name: str, process: subprocess.Popen[bytes]) -> None:
        self.name = name
        self._process = process

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code; ``None`` while the process runs."""
        return self._process.poll()

    @property
    def is_running(self) -> bool:
        return self.exit_code is None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal; a process that has ended gets none."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Waits for the end and returns the exit code."""
        return await asyncio.to_thread(self._process.wait)

    async def read_line(self) -> str:
        """Returns the first line that the process prints."""
        assert self._process.stdout is not None
        line = await asyncio.to_thread(self._process.stdout.readline)
        return line.decode().strip()

    def end(self) -> None:
        """Ends the process; also one that is stopped."""
        self.send(signal.SIGKILL)
        self._process.wait()
        if self._process.stdout is not None:
            self._process.stdout.close()


class Children:
    """Starts processes and ends all of them.

    Args:
        folder: Folder for what the processes print.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self._children: list[Child] = []
        self._ports = contextlib.ExitStack()

    def standin(self, name: str, module: str, *arguments: str) -> Child:
        """Starts a stand-in; its first line is read with ``read_line``."""
        full = f"tests.real_processes.{module}"
        # Without the site packages a process starts in a tenth of a second.
        command = [sys.executable, "-S", "-m", full, *arguments]
        return self._start(name, command, {}, subprocess.PIPE)

    def instance(
        self,
        name: str,
        settings: pathlib.Path,
        *,
        can_be_cut: bool = False,
        descriptors: int | None = None,
    ) -> Child:
        """Starts an instance, whose lines go to a file.

        Args:
            name: Its name.
            settings: Its settings file.
            can_be_cut: Whether ``cut_streams`` can cut it from others.
            descriptors: Descriptors that it may open; ``None`` for those that
                this process may open.
        """
        program = ["platform/start.py"]
        if can_be_cut:
            program = ["-m", "tests.real_processes.instance_process"]
        command = [sys.executable, *program]
        variables = {"JUJUBEWHARF_NODE_FILE": str(settings)}
        with (self.folder / f"{name}.log").open("ab") as lines:
            return self._start(name, command, variables, lines, descriptors)

    def _start(
        self,
        name: str,
        command: list[str],
        variables: dict[str, str],
        output,
        descriptors: int | None = None,
    ) -> Child:
        kept = {n: os.environ[n] for n in _KEPT if n in os.environ}
        with (self.folder / f"{name}.errors").open("ab") as errors:
            process = subprocess.Popen(
                command,
                cwd=_ROOT,
                env=kept | variables,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
                preexec_fn=functools.partial(_prepare, descriptors),
            )
        child = Child(name, process)
        self._children.append(child)
        return child

    def free_address(self) -> str:
        """Returns an address whose port no other process is given.

        A bound socket that doesn't listen keeps it; a process that sets
        ``SO_REUSEADDR`` can listen there.
        """
        holder = self._ports.enter_context(socket.socket())
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((http_io.HOST, 0))
        return f"{http_io.HOST}:{holder.getsockname()[1]}"

    def end_all(self) -> None:
        """Ends all processes, also stopped ones."""
        for child in self._children:
            child.end()
        self._ports.close()


def _prepare(descriptors: int | None) -> None:
    """Limits a new process, and has it end when the test's is killed."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    if descriptors is not None:
        limits = (descriptors, descriptors)
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
