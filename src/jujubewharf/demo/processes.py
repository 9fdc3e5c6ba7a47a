"""Child processes that never outlive their parent's block."""

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
    """A child process ended or kept silent instead of starting."""


@dataclasses.dataclass(slots=True)
class Child:
    """One running process.

    Attributes:
        name: What it stands for.
        process: The process; it is only ever ended by its own id.
        log_path: Where its standard error goes.
        settings_path: Its settings file, if it has one.
    """

    name: str
    process: asyncio.subprocess.Process
    log_path: pathlib.Path
    settings_path: pathlib.Path = pathlib.Path()

    @property
    def is_running(self) -> bool:
        """Whether it has not ended yet."""
        return self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, if it still runs."""
        if self.is_running:
            self.process.send_signal(number)


class Processes:
    """Starts ``jujubewharf`` commands and ends them with the block.

    The children stand in sessions of their own: Ctrl-C in a terminal goes to
    every process of the foreground group, and children that died of it before
    their parent could end them in order would look like failures.

    Args:
        directory: Where the children's logs are written.
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
        """Starts one command."""
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
            StartError: It did not say where it listens.
        """
        child = await self.start(name, "standin", *arguments)
        assert child.process.stdout is not None
        try:
            async with asyncio.timeout(_START_TIMEOUT_S):
                line = await child.process.stdout.readline()
            return f"127.0.0.1:{json.loads(line)['port']}"
        except (TimeoutError, ValueError) as error:
            raise StartError(f"{name}: see {child.log_path}") from error

    async def end(self, children: list[Child]) -> None:
        """Ends processes: SIGTERM first, SIGKILL for those that stay."""
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
