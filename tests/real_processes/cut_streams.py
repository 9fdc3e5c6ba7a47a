"""Streams between instances that a test can cut.

While two instances are cut from each other, streams between them neither open
nor deliver. What was sent in a short cut arrives after it, as TCP sends it
again; a cut beyond TCP's timeout breaks them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import json
import os
import pathlib
import time
from typing import Any

from jujubewharf.peers import streams

_FILE = "cuts.json"
_LOOK_S = 0.05
# As TCP_USER_TIMEOUT of the streams.
_BREAKS_AFTER_S = 3.0
_PART_BYTES = 65_536


def write_cuts(folder: pathlib.Path, unreachable: dict[str, list[str]]) -> None:
    """Sets the addresses that instances can't reach, by their own address."""
    written = folder / f"{_FILE}.new"
    written.write_text(json.dumps(unreachable))
    os.replace(written, folder / _FILE)


class Cuts:
    """Which addresses an instance can't reach at present.

    Args:
        folder: Folder of the settings.
        own: Address of the instance for others.
    """

    def __init__(self, folder: pathlib.Path, own: str) -> None:
        self._file = folder / _FILE
        self._own = own
        self._read_s = 0.0
        self._unreachable: set[str] = set()

    def has_cut(self, address: str) -> bool:
        """Whether an address can't be reached."""
        now_s = time.monotonic()
        if now_s - self._read_s > _LOOK_S:
            self._read_s = now_s
            self._unreachable = set(self._load())
        return address in self._unreachable

    def _load(self) -> Iterable[str]:
        if not self._file.exists():
            return ()
        return json.loads(self._file.read_text()).get(self._own, ())

    async def wait_open(self, address: str) -> None:
        """Waits until an address can be reached.

        Raises:
            ConnectionResetError: It takes longer than TCP tries.
        """
        until_s = time.monotonic() + _BREAKS_AFTER_S
        while self.has_cut(address):
            if time.monotonic() > until_s:
                raise ConnectionResetError
            await asyncio.sleep(_LOOK_S)


class _Stream:
    """A stream that this instance opened; stands in for its writer.

    Args:
        address: The address that it leads to.
        writer: Its writer.
        cuts: What can't be reached.
    """

    def __init__(
        self, address: str, writer: streams.StreamWriter, cuts: Cuts
    ) -> None:
        self.received = asyncio.StreamReader()
        self._address = address
        self._writer = writer
        self._cuts = cuts
        self._sent: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._is_closing = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, reader: asyncio.StreamReader) -> None:
        """Begins to pass on bytes."""
        self._tasks = [
            asyncio.ensure_future(self._receive(reader)),
            asyncio.ensure_future(self._send()),
        ]

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        try:
            while data := await reader.read(_PART_BYTES):
                await self._cuts.wait_open(self._address)
                self.received.feed_data(data)
            await self._cuts.wait_open(self._address)
        except OSError:
            self._break()
        self.received.feed_eof()

    async def _send(self) -> None:
        try:
            while (data := await self._sent.get()) is not None:
                await self._cuts.wait_open(self._address)
                self._writer.write(data)
                await self._writer.drain()
            await self._cuts.wait_open(self._address)
        except OSError:
            self._break()
        self._writer.close()

    def _break(self) -> None:
        self._is_closing = True
        self._writer.close()

    def write(self, data: bytes) -> None:
        if not self._is_closing:
            self._sent.put_nowait(bytes(data))

    async def drain(self) -> None:
        if self._is_closing:
            raise ConnectionResetError
        await asyncio.sleep(0)

    def close(self) -> None:
        self._is_closing = True
        self._sent.put_nowait(None)

    def is_closing(self) -> bool:
        return self._is_closing

    async def wait_closed(self) -> None:
        await asyncio.gather(self._tasks[1], return_exceptions=True)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._writer.get_extra_info(name, default)


class Transport(streams.TcpTransport):
    """Opens streams that can be cut.

    Args:
        host: IP address to listen on.
        port: Port to listen on.
        folder: Folder of the settings.
        **options: Options of ``TcpTransport``.
    """

    def __init__(
        self, host: str, port: int, *, folder: pathlib.Path, **options: Any
    ) -> None:
        super().__init__(host, port, **options)
        self._cuts = Cuts(folder, f"{host}:{port}")

    async def dial(
        self, address: str
    ) -> tuple[asyncio.StreamReader, streams.StreamWriter]:
        await self._cuts.wait_open(address)
        reader, writer = await super().dial(address)
        stream = _Stream(address, writer, self._cuts)
        stream.start(reader)
        return stream.received, stream
