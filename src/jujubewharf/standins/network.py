"""Streams between instances in memory: a delay, and cuts between domains.

Bytes written arrive after the delay, in order. A cut holds back what is
written across it, as a partition does: nobody is told, writes just vanish
into silence, and a new dial hangs and then fails.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
from typing import Any

from jujubewharf import clock as clocks
from jujubewharf.peers import streams

_DIAL_TIMEOUT_MS = 1_000.0
_FIRST_PORT = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Site:
    address: str
    instance: str
    domain: str
    on_stream: streams.OnStream


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
        self._far_ms = far_ms
        self._sites: dict[str, _Site] = {}
        self._ports = itertools.count(_FIRST_PORT)
        self._cuts: set[tuple[str, str]] = set()
        self._dead: set[str] = set()
        self._writers: list[_MemoryWriter] = []

    def transport(self, instance: str, domain: str) -> MemoryTransport:
        """The transport of one instance; a dead one of this name is over."""
        self._dead.discard(instance)
        return MemoryTransport(self, instance, domain)

    def cut(self, domain: str, other: str, *, one_way: bool = False) -> None:
        """Holds back everything from one domain to another."""
        self._cuts.add((domain, other))
        if not one_way:
            self._cuts.add((other, domain))

    def heal(self) -> None:
        """Ends all cuts."""
        self._cuts.clear()

    def is_cut(self, domain: str, other: str) -> bool:
        """Whether bytes from one domain don't reach another."""
        return (domain, other) in self._cuts

    def delay_ms(self, domain: str, other: str) -> float:
        """One-way delay."""
        return self._near_ms if domain == other else self._far_ms

    def drop_instance(self, instance: str) -> None:
        """Breaks all streams and sites of an instance, as its death does.

        Whatever its code still does reaches nobody.
        """
        self._dead.add(instance)
        for address, site in list(self._sites.items()):
            if site.instance == instance:
                self.remove_site(address)
        for writer in list(self._writers):
            if instance in (writer.instance, writer.other_instance):
                writer.abort()

    def add_site(
        self, instance: str, domain: str, on_stream: streams.OnStream
    ) -> str:
        """Opens a listening address."""
        address = f"127.0.0.1:{next(self._ports)}"
        self._sites[address] = _Site(address, instance, domain, on_stream)
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
        if site is None or instance in self._dead:
            raise ConnectionRefusedError(address)
        if self.is_cut(domain, site.domain):
            await self._clock.sleep_ms(_DIAL_TIMEOUT_MS)
            raise TimeoutError(address)
        await self._clock.sleep_ms(2 * self.delay_ms(domain, site.domain))
        if address not in self._sites:
            raise ConnectionRefusedError(address)
        here, there = asyncio.StreamReader(), asyncio.StreamReader()
        ends = (instance, site.instance)
        outward = _MemoryWriter(self, ends, domain, site.domain, there)
        inward = _MemoryWriter(self, ends[::-1], site.domain, domain, here)
        outward.twin, inward.twin = inward, outward
        self._writers += [outward, inward]
        asyncio.ensure_future(site.on_stream(there, inward))
        return here, outward

    def forget(self, writer: _MemoryWriter) -> None:
        """Drops a closed writer."""
        if writer in self._writers:
            self._writers.remove(writer)

    def call_later(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Runs a call after a while."""
        loop = asyncio.get_running_loop()
        loop.call_later(delay_ms / clocks.MS_PER_S, call)


class _MemoryWriter:
    """One direction of a stream."""

    def __init__(
        self,
        network: MemoryNetwork,
        ends: tuple[str, str],
        domain: str,
        other: str,
        reader: asyncio.StreamReader,
    ) -> None:
        self.instance, self.other_instance = ends
        self.twin: _MemoryWriter | None = None
        self._network = network
        self._domain = domain
        self._other = other
        self._reader = reader
        self._is_closed = False
        self._has_ended = False

    def write(self, data: bytes) -> None:
        sent = self._network.bytes_sent
        sent[self.instance] = sent.get(self.instance, 0) + len(data)
        if self._is_closed or self._network.is_cut(self._domain, self._other):
            return
        delay_ms = self._network.delay_ms(self._domain, self._other)
        self._network.call_later(delay_ms, lambda: self._arrive(data))

    async def drain(self) -> None:
        if self._is_closed:
            raise ConnectionResetError
        await asyncio.sleep(0)

    def close(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._network.forget(self)
        if not self._network.is_cut(self._domain, self._other):
            delay_ms = self._network.delay_ms(self._domain, self._other)
            self._network.call_later(delay_ms, self._end)

    def abort(self) -> None:
        self._is_closed = True
        self._network.forget(self)
        self._end()

    def is_closing(self) -> bool:
        return self._is_closed

    async def wait_closed(self) -> None:
        return

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def _arrive(self, data: bytes) -> None:
        if not self._has_ended:
            self._reader.feed_data(data)

    def _end(self) -> None:
        self._has_ended = True
        self._reader.feed_eof()
        if self.twin is not None and not self.twin.is_closing():
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
        self, network: MemoryNetwork, instance: str, domain: str
    ) -> None:
        self._network = network
        self._instance = instance
        self._domain = domain

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
            self._instance, self._domain, on_stream
        )
        return _MemoryListener(self._network, address)
