"""Starts child processes and ends them when the context exits."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import pathlib
import signal
import sys

_START_TIMEOUT_S = 30.0
_END_TIMEOUT_S = 10.0
_LINE_LIMIT_BYTES = 1_000_000


class StartError(Exception):
    """A child process exited or did not report its port in time."""


@dataclasses.dataclass(slots=True)
class Child:
    """A child process.

    Attributes:
        name: Name of the process; also the name of its log file.
        process: The process itself.
        log_path: File that receives standard error.
        settings_path: Settings file; an empty path if there is none.
    """

    name: str
    process: asyncio.subprocess.Process
    log_path: pathlib.Path
    settings_path: pathlib.Path = pathlib.Path()

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited yet."""
        return self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal if the process is still running."""
        if self.is_running:
            self.process.send_signal(number)


class Processes:
    """Starts ``jujubewharf`` commands and ends them when the context exits.

    Each child runs in its own session, so that Ctrl-C in a terminal reaches
    only the parent. Children killed by Ctrl-C before the orderly shutdown
    would look like failures.

    Args:
        directory: Directory for the log files of the children.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self._children: list[Child] = []

    async def __aenter__(self) -> Processes:
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.end(self._children)

    async def start(
        self,
        name: str,
        *arguments: str,
        settings_path: pathlib.Path = pathlib.Path(),
    ) -> Child:
        """Starts a ``jujubewharf`` command.

        Args:
            name: Name of the process and of its log file.
            *arguments: Command-line arguments.
            settings_path: Settings file to remember with the process.
        """
        log_path = self._directory / f"{name}.log"
        with log_path.open("ab") as log_file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "jujubewharf",
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=log_file,
                start_new_session=True,
                limit=_LINE_LIMIT_BYTES,
            )
        child = Child(name, process, log_path, settings_path)
        self._children.append(child)
        return child

    async def start_standin(self, name: str, *arguments: str) -> str:
        """Starts a stand-in and returns the ``IP:PORT`` it listens on.

        Raises:
            StartError: If the stand-in does not report its port.
        """
        child = await self.start(name, "standin", *arguments)
        assert child.process.stdout is not None
        try:
            async with asyncio.timeout(_START_TIMEOUT_S):
                line = await child.process.stdout.readline()
            return f"127.0.0.1:{json.loads(line)['port']}"
        except (TimeoutError, ValueError) as error:
            raise StartError(
                f"{name} did not report its port; see {child.log_path}"
            ) from error

    async def end(self, children: list[Child]) -> None:
        """Sends SIGTERM, then SIGKILL to processes that do not exit in time."""
        for child in children:
            child.send(signal.SIGTERM)
        waits = [child.process.wait() for child in children]
        try:
            async with asyncio.timeout(_END_TIMEOUT_S):
                await asyncio.gather(*waits)
        except TimeoutError:
            for child in children:
                child.send(signal.SIGKILL)
            await asyncio.gather(*[c.process.wait() for c in children])
