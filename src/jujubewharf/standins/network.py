"""Streams between instances in memory: a delay, and cuts between domains.

Bytes written arrive after the delay, in order. A cut holds back what is
written across it, as a partition does: nobody is told, and what was held back
arrives once the cut ends, as TCP sends it again. A new dial across a cut
hangs and then fails.
"""

from __future__ import annotations

import asyncio
import collections
import contextvars
import dataclasses
import itertools
from typing import Any

from jujubewharf import clock as clocks
from jujubewharf.peers import streams

_DIAL_TIMEOUT_MS = 1_000.0
_FIRST_PORT = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Site:
    instance: str
    domain: str
    on_stream: streams.OnStream
    context: contextvars.Context


class MemoryNetwork:
    """All streams of one bench.

    Args:
        clock: Time.
        near_ms: One-way delay within a domain.
        far_ms: One-way delay between domains.

    Attributes:
        bytes_sent: Bytes written by each instance's transports.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        *,
        near_ms: float = 0.5,
        far_ms: float = 2.0,
    ) -> None:
        self.bytes_sent: dict[str, int] = {}
        self._clock = clock
        self._near_ms = near_ms
        self._far_ms = self._usual_far_ms = far_ms
        self._sites: dict[str, _Site] = {}
        self._ports = itertools.count(_FIRST_PORT)
        self._cuts: set[tuple[str, str]] = set()
        self._changed = asyncio.Event()
        self._writers: dict[_MemoryWriter, None] = {}

    def transport(
        self, instance: str, domain: str, *, address: str | None = None
    ) -> MemoryTransport:
        """The transport of one instance.

        Args:
            instance: The instance.
            domain: Its failure domain.
            address: Where it listens; ``None`` takes a free one.
        """
        return MemoryTransport(self, instance, domain, address)

    def cut(self, domain: str, other: str, *, one_way: bool = False) -> None:
        """Holds back everything from one domain to another."""
        self._cuts.add((domain, other))
        if not one_way:
            self._cuts.add((other, domain))

    def heal(self) -> None:
        """Ends all cuts."""
        self._cuts.clear()
        self._changed.set()
        self._changed = asyncio.Event()
        for writer in list(self._writers):
            writer.flush()

    def is_cut(self, domain: str, other: str) -> bool:
        """Whether bytes from one domain don't reach another."""
        return (domain, other) in self._cuts

    async def passable(self, domain: str, other: str) -> None:
        """Waits until bytes from one domain reach another."""
        while self.is_cut(domain, other):
            await self._changed.wait()

    def delay_ms(self, domain: str, other: str) -> float:
        """One-way delay."""
        return self._near_ms if domain == other else self._far_ms

    def set_delays(self, *, far_ms: float | None = None) -> None:
        """Changes the far delay of what is sent from now on.

        Args:
            far_ms: The new one; ``None`` is the one it began with.
        """
        self._far_ms = self._usual_far_ms if far_ms is None else far_ms

    def drop_instance(self, instance: str) -> None:
        """Closes all that an instance has open, as its death does."""
        for address, site in list(self._sites.items()):
            if site.instance == instance:
                del self._sites[address]
        self.drop_streams(instance)

    def drop_streams(self, instance: str) -> None:
        """Closes all streams of an instance, which goes on listening."""
        for writer in list(self._writers):
            if writer.instance == instance:
                writer.close()

    def add_site(
        self,
        instance: str,
        domain: str,
        on_stream: streams.OnStream,
        address: str | None = None,
    ) -> str:
        """Opens a listening address, a free one where none is given."""
        address = address or f"127.0.0.1:{next(self._ports)}"
        context = contextvars.copy_context()
        self._sites[address] = _Site(instance, domain, on_stream, context)
        return address

    def remove_site(self, address: str) -> None:
        """Closes a listening address."""
        self._sites.pop(address, None)

    async def connect(
        self, instance: str, domain: str, address: str
    ) -> tuple[asyncio.StreamReader, streams.StreamWriter]:
        """Opens a stream.

        Raises:
            OSError: Nobody listens there, or a cut lies between.
        """
        site = self._sites.get(address)
        if site is None:
            raise ConnectionRefusedError(address)
        if self.is_cut(domain, site.domain) or self.is_cut(site.domain, domain):
            await self._clock.sleep_ms(_DIAL_TIMEOUT_MS)
            raise TimeoutError(address)
        await self._clock.sleep_ms(2 * self.delay_ms(domain, site.domain))
        if address not in self._sites:
            raise ConnectionRefusedError(address)
        return self._open(instance, domain, site)

    def _open(
        self, instance: str, domain: str, site: _Site
    ) -> tuple[asyncio.StreamReader, streams.StreamWriter]:
        here, there = asyncio.StreamReader(), asyncio.StreamReader()
        outward = _MemoryWriter(self, instance, (domain, site.domain), there)
        inward = _MemoryWriter(self, site.instance, (site.domain, domain), here)
        outward.twin, inward.twin = inward, outward
        self._writers[outward] = None
        self._writers[inward] = None
        # The stream is served by the instance that listens, not by the one
        # that dialled: a pause of either must stop only its own side.
        asyncio.get_running_loop().create_task(
            _serve(site.on_stream, there, inward), context=site.context.copy()
        )
        return here, outward

    def forget(self, writer: _MemoryWriter) -> None:
        """Drops a writer whose end has arrived."""
        self._writers.pop(writer, None)


async def _serve(
    on_stream: streams.OnStream,
    reader: asyncio.StreamReader,
    writer: _MemoryWriter,
) -> None:
    await on_stream(reader, writer)


class _MemoryWriter:
    """One direction of a stream; ``None`` in its queues is the end."""

    def __init__(
        self,
        network: MemoryNetwork,
        instance: str,
        way: tuple[str, str],
        reader: asyncio.StreamReader,
    ) -> None:
        self.instance = instance
        self.twin: _MemoryWriter | None = None
        self._network = network
        self._way = way
        self._reader = reader
        self._is_closed = False
        self._held: collections.deque[bytes | None] = collections.deque()
        self._in_flight: collections.deque[bytes | None] = collections.deque()

    def write(self, data: bytes) -> None:
        if self._is_closed:
            return
        sent = self._network.bytes_sent
        sent[self.instance] = sent.get(self.instance, 0) + len(data)
        self._held.append(data)
        self.flush()

    async def drain(self) -> None:
        if self._is_closed:
            raise ConnectionResetError
        await asyncio.sleep(0)

    def close(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._held.append(None)
        self.flush()

    def is_closing(self) -> bool:
        return self._is_closed

    async def wait_closed(self) -> None:
        return

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def flush(self) -> None:
        """Sends what is held back, unless the way is cut."""
        if self._network.is_cut(*self._way):
            return
        delay_ms = self._network.delay_ms(*self._way)
        loop = asyncio.get_running_loop()
        while self._held:
            self._in_flight.append(self._held.popleft())
            # Bytes under way belong to no instance: they arrive though their
            # sender is paused or dead.
            loop.call_later(
                delay_ms / clocks.MS_PER_S,
                self._arrive,
                context=contextvars.Context(),
            )

    def _arrive(self) -> None:
        # Timers due at one moment may fire in any order; taking the oldest
        # each time keeps the stream's order.
        data = self._in_flight.popleft()
        if data is None:
            self._end()
        elif not self._reader.at_eof() and self._reader.exception() is None:
            self._reader.feed_data(data)

    def _end(self) -> None:
        self._network.forget(self)
        self._reader.feed_eof()
        if self.twin is not None:
            self.twin.close()


class _MemoryListener:
    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.address = address
        self._network = network

    async def close(self) -> None:
        self._network.remove_site(self.address)


class MemoryTransport:
    """Speaks ``peers.streams.Transport`` in process."""

    def __init__(
        self,
        network: MemoryNetwork,
        instance: str,
        domain: str,
        address: str | None,
    ) -> None:
        self._network = network
        self._instance = instance
        self._domain = domain
        self._address = address

    async def dial(
        self, address: str
    ) -> tuple[asyncio.StreamReader, streams.StreamWriter]:
        """Opens a stream; see ``streams.Transport``."""
        return await self._network.connect(
            self._instance, self._domain, address
        )

    async def listen(self, on_stream: streams.OnStream) -> streams.Listener:
        """Listens; see ``streams.Transport``."""
        address = self._network.add_site(
            self._instance, self._domain, on_stream, self._address
        )
        return _MemoryListener(self._network, address)
