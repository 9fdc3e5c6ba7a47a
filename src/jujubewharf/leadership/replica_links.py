"""Links to the replicas, which are opened when they are needed.

A replica may be killed, stand still or be cut off. A request that gets no reply
ends after some tenths of a second, so that another replica is asked; a link
that has been silent for longer is closed and dialled again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.peers import counters
from jujubewharf.peers import handshake
from jujubewharf.peers import link as links
from jujubewharf.peers import link_messages
from jujubewharf.peers import messages
from jujubewharf.peers import network
from jujubewharf.peers import origin_messages
from jujubewharf.peers import streams

# A replica that is reached answers within some milliseconds, unless it is busy.
_ASK_TIMEOUT_MS = 300.0
# Over a slow network a handshake takes longer than a request may wait. The link
# is opened all the same, for the requests after it.
_DIAL_TIMEOUT_MS = 3_000.0
# Silence after which a link is closed once a request on it gets no reply.
_SILENT_MS = 1_000.0
# Requests on a link at a time. The other side refuses more than it handles.
_MAX_PENDING = 100
# Time for which a replica without a reply is the last to be chosen.
_AVOID_MS = 2_000.0


class ReplicaLinks:
    """Asks replicas over links of their own.

    Args:
        transport: Dials other instances.
        hello: Identity of this instance.
        dispatch: Handles messages from replicas.
        clock: Time source.

    Attributes:
        first_message: Sent first on each new link; ``None`` sends nothing.
    """

    def __init__(
        self,
        transport: streams.Transport,
        hello: link_messages.Hello,
        dispatch: links.Dispatch,
        clock: clocks.Clock,
    ) -> None:
        self.first_message: messages.Message | None = None
        self._transport = transport
        self._hello = dataclasses.replace(hello, is_origin_link=True)
        self._dispatch = dispatch
        self._clock = clock
        self._counts = counters.PeerCounters()
        self._links: dict[str, links.Link] = {}
        self._dialling: dict[str, asyncio.Task[links.Link]] = {}
        self._running: set[asyncio.Task[None]] = set()
        self._avoided_until_ms: dict[str, float] = {}
        self._turns: dict[str, asyncio.Semaphore] = {}

    def is_avoided(self, address: str) -> bool:
        """Whether a replica has failed to reply of late."""
        until_ms = self._avoided_until_ms.get(address, 0.0)
        return until_ms > self._clock.now_ms()

    async def ask(
        self,
        address: str,
        message: messages.Message,
        *,
        timeout_ms: float = _ASK_TIMEOUT_MS,
    ) -> messages.Message | None:
        """Returns a replica's reply; ``None`` without one in time."""
        until_ms = self._clock.now_ms() + timeout_ms
        try:
            async with self._clock.timeout_ms(timeout_ms):
                link = await self._link_to(address)
        except (handshake.RefusedHelloError, OSError, TimeoutError):
            self._avoid(address)
            return None
        turns = self._turns.setdefault(address, asyncio.Semaphore(_MAX_PENDING))
        try:
            async with turns:
                left_ms = max(1.0, until_ms - self._clock.now_ms())
                return await link.ask(message, timeout_ms=left_ms)
        except network.PeerError:
            self._avoid(address)
            if self._clock.now_ms() - link.last_heard_ms > _SILENT_MS:
                link.close()
            return None

    async def reach(self, address: str) -> bool:
        """Opens a link, on which the first message is sent.

        Returns:
            Whether the other side has accepted it.
        """
        try:
            await self._link_to(address)
        except (handshake.RefusedHelloError, OSError, TimeoutError):
            return False
        return True

    def retain(self, addresses: Collection[str]) -> None:
        """Closes the links to all but some addresses."""
        for address, link in list(self._links.items()):
            if address not in addresses:
                link.close()
        self._turns = {
            address: turns
            for address, turns in self._turns.items()
            if address in addresses
        }
        self._avoided_until_ms = {
            address: until_ms
            for address, until_ms in self._avoided_until_ms.items()
            if address in addresses
        }

    def stop(self) -> None:
        """Closes all links."""
        for task in (*self._dialling.values(), *self._running):
            task.cancel()

    def _avoid(self, address: str) -> None:
        self._avoided_until_ms[address] = self._clock.now_ms() + _AVOID_MS

    async def _link_to(self, address: str) -> links.Link:
        """Returns the link to an address, dialled once for all who wait.

        Raises:
            RefusedHelloError: The other side keeps no streams.
            OSError: It isn't reached.
            TimeoutError: It doesn't answer.
        """
        link = self._links.get(address)
        if link is not None and link.takes_messages:
            return link
        dialling = self._dialling.get(address)
        if dialling is None:
            dialling = asyncio.ensure_future(self._dial(address))
            self._dialling[address] = dialling
            dialling.add_done_callback(lambda task: self._on_dialled(address))
        return await asyncio.shield(dialling)

    def _on_dialled(self, address: str) -> None:
        task = self._dialling.pop(address)
        if not task.cancelled():
            # Retrieved, since all who waited for it may have given up.
            task.exception()

    async def _dial(self, address: str) -> links.Link:
        async with self._clock.timeout_ms(_DIAL_TIMEOUT_MS):
            reader, writer = await self._transport.dial(address)
            try:
                hello = await handshake.Handshake(
                    reader, writer, self._hello, lambda name: 0, self._counts
                ).dial_any(capability=origin_messages.REPLICA_CAPABILITY)
            except BaseException:
                writer.close()
                raise
        link = links.Link(
            hello,
            is_dialled=True,
            is_standing=True,
            reader=reader,
            writer=writer,
            clock=self._clock,
            counts=self._counts,
            dispatch=self._dispatch,
        )
        self._links[address] = link
        if self.first_message is not None:
            link.tell(self.first_message)
        running = asyncio.ensure_future(self._run(address, link))
        self._running.add(running)
        running.add_done_callback(self._running.discard)
        return link

    async def _run(self, address: str, link: links.Link) -> None:
        try:
            await link.run()
        finally:
            if self._links.get(address) is link:
                del self._links[address]
