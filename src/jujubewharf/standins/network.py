"""In-memory streams between instances, with delays and partitions.

Bytes arrive in order after the delay. A partition holds back bytes without an
error; they arrive when it ends, as with TCP retransmission. Connecting across
a partition times out.
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
class _BoundListener:
    instance: str
    domain: str
    on_stream: streams.OnStream
    context: contextvars.Context


class MemoryNetwork:
    """Network of the streams of a bench.

    Args:
        clock: Clock of the simulation.
        near_ms: One-route delay within a failure domain.
        far_ms: One-route delay between failure domains.

    Attributes:
        bytes_sent: Bytes written, by instance.
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
        self._far_ms = self._initial_far_ms = far_ms
        self._listeners: dict[str, _BoundListener] = {}
        self._ports = itertools.count(_FIRST_PORT)
        self._cuts: set[tuple[str, str]] = set()
        self._changed = asyncio.Event()
        self._writers: dict[_MemoryWriter, None] = {}

    def transport(
        self, instance: str, domain: str, *, address: str | None = None
    ) -> MemoryTransport:
        """Returns the transport of one instance.

        Args:
            instance: Name of the instance.
            domain: Failure domain of the instance.
            address: Listening address; ``None`` chooses a free one.
        """
        return MemoryTransport(self, instance, domain, address)

    def cut(self, domain: str, other: str, *, one_way: bool = False) -> None:
        """Partitions two domains, in both directions unless ``one_way``."""
        self._cuts.add((domain, other))
        if not one_way:
            self._cuts.add((other, domain))

    def heal(self) -> None:
        """Ends all partitions and delivers the bytes held back."""
        self._cuts.clear()
        self._changed.set()
        self._changed = asyncio.Event()
        for writer in list(self._writers):
            writer.flush()

    def is_cut(self, domain: str, other: str) -> bool:
        """Whether traffic from one domain to another is held back."""
        return (domain, other) in self._cuts

    async def wait_until_passable(self, domain: str, other: str) -> None:
        """Waits until traffic from one domain to another can pass."""
        while self.is_cut(domain, other):
            await self._changed.wait()

    def delay_ms(self, domain: str, other: str) -> float:
        """Returns the one-way delay between two domains."""
        return self._near_ms if domain == other else self._far_ms

    def set_delays(self, *, far_ms: float | None = None) -> None:
        """Sets the one-way delay between domains for later traffic.

        Args:
            far_ms: New delay; ``None`` restores the initial delay.
        """
        self._far_ms = self._initial_far_ms if far_ms is None else far_ms

    def drop_instance(self, instance: str) -> None:
        """Closes all listeners and streams of a dead instance."""
        for address, bound in list(self._listeners.items()):
            if bound.instance == instance:
                del self._listeners[address]
        self.drop_streams(instance)

    def drop_streams(self, instance: str) -> None:
        """Closes all streams of an instance but not its listeners."""
        for writer in list(self._writers):
            if writer.instance == instance:
                writer.close()

    def add_listener(
        self,
        instance: str,
        domain: str,
        on_stream: streams.OnStream,
        address: str | None = None,
    ) -> str:
        """Adds a listener and returns its address.

        Without ``address``, a free one is chosen.
        """
        address = address or f"127.0.0.1:{next(self._ports)}"
        context = contextvars.copy_context()
        self._listeners[address] = _BoundListener(
            instance, domain, on_stream, context
        )
        return address

    def remove_listener(self, address: str) -> None:
        """Removes a listener."""
        self._listeners.pop(address, None)

    async def connect(
        self, instance: str, domain: str, address: str
    ) -> tuple[asyncio.StreamReader, streams.StreamWriter]:
        """Opens a stream.

        Raises:
            OSError: Nothing listens on the address, or the domains are
                partitioned.
        """
        bound = self._listeners.get(address)
        if bound is None:
            raise ConnectionRefusedError(address)
        if self.is_cut(domain, bound.domain) or self.is_cut(
            bound.domain, domain
        ):
            await self._clock.sleep_ms(_DIAL_TIMEOUT_MS)
            raise TimeoutError(address)
        await self._clock.sleep_ms(2 * self.delay_ms(domain, bound.domain))
        if address not in self._listeners:
            raise ConnectionRefusedError(address)
        return self._open(instance, domain, bound)

    def _open(
        self, instance: str, domain: str, bound: _BoundListener
    ) -> tuple[asyncio.StreamReader, streams.StreamWriter]:
        here, there = asyncio.StreamReader(), asyncio.StreamReader()
        outward = _MemoryWriter(self, instance, (domain, bound.domain), there)
        inward = _MemoryWriter(
            self, bound.instance, (bound.domain, domain), here
        )
        outward.reverse, inward.reverse = inward, outward
        self._writers[outward] = None
        self._writers[inward] = None
        # Run the handler in the listener's context, so that pausing the
        # dialling instance does not pause the listening one.
        asyncio.get_running_loop().create_task(
            _serve(bound.on_stream, there, inward), context=bound.context.copy()
        )
        return here, outward

    def remove_writer(self, writer: _MemoryWriter) -> None:
        """Removes a writer after its end of stream has been delivered."""
        self._writers.pop(writer, None)


async def _serve(
    on_stream: streams.OnStream,
    reader: asyncio.StreamReader,
    writer: _MemoryWriter,
) -> None:
    await on_stream(reader, writer)


class _MemoryWriter:
    """One direction of a stream; ``None`` in its queues marks the end."""

    def __init__(
        self,
        network: MemoryNetwork,
        instance: str,
        route: tuple[str, str],
        reader: asyncio.StreamReader,
    ) -> None:
        self.instance = instance
        self.reverse: _MemoryWriter | None = None
        self._network = network
        self._route = route
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
        """Sends the bytes held back, unless the domains are partitioned."""
        if self._network.is_cut(*self._route):
            return
        delay_ms = self._network.delay_ms(*self._route)
        loop = asyncio.get_running_loop()
        while self._held:
            self._in_flight.append(self._held.popleft())
            # Bytes in flight belong to no instance: they arrive even if the
            # sender is paused or dead.
            loop.call_later(
                delay_ms / clocks.MS_PER_S,
                self._deliver,
                context=contextvars.Context(),
            )

    def _deliver(self) -> None:
        # Timers with equal deadlines may fire in any order, so each takes the
        # oldest item to keep the stream in order.
        data = self._in_flight.popleft()
        if data is None:
            self._deliver_eof()
        elif not self._reader.at_eof() and self._reader.exception() is None:
            self._reader.feed_data(data)

    def _deliver_eof(self) -> None:
        self._network.remove_writer(self)
        self._reader.feed_eof()
        if self.reverse is not None:
            self.reverse.close()


class _MemoryListener:
    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self.address = address
        self._network = network

    async def close(self) -> None:
        self._network.remove_listener(self.address)


class MemoryTransport:
    """In-process implementation of ``peers.streams.Transport``."""

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
        """Starts listening; see ``streams.Transport``."""
        address = self._network.add_listener(
            self._instance, self._domain, on_stream, self._address
        )
        return _MemoryListener(self._network, address)
