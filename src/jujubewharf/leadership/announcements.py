"""Passes the address of a new leader on between instances.

The leader gives each follower the addresses of a few others. Who leads next
sends its address to those it was given; each of them passes it on once. So
instances without a leader learn of the new one without reading the store, also
while the store refuses them. An announcement only causes the receiver to dial
the address; whoever doesn't lead refuses the link. Reads of the group remain
for what announcements miss.

Load: one exchange of hellos per address and election, ``_ADDRESS_COUNT`` for
each instance.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import contextlib
import dataclasses
import random

import structlog

from jujubewharf import clock as clocks
from jujubewharf import ordered_set
from jujubewharf.peers import counters
from jujubewharf.peers import demand_messages
from jujubewharf.peers import handshake
from jujubewharf.peers import link as links
from jujubewharf.peers import link_messages
from jujubewharf.peers import streams

# Addresses that each follower is given. With four or more, nearly all nodes of
# a random graph are reached although a third of them is cut off.
_ADDRESS_COUNT = 5
# Time without a new follower after which addresses are sent.
_SETTLED_MS = 1_000.0
# Largest number of addresses that is accepted, and of concurrent dials.
_MAX_ADDRESSES = 32
_DIAL_TIMEOUT_MS = 1_000.0


class LeaderAnnouncements:
    """Sends and receives announcements of a new leader.

    Args:
        transport: Dials other instances.
        hello: Identity of this instance.
        counts: Counters of links.
        clock: Clock.
        rng: Draws the addresses that each follower is given.

    Attributes:
        is_received: Set when a new leader was announced to this instance.
    """

    def __init__(
        self,
        transport: streams.Transport,
        hello: link_messages.Hello,
        counts: counters.PeerCounters,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.is_received = asyncio.Event()
        self._transport = transport
        self._hello = hello
        self._counts = counts
        self._clock = clock
        self._rng = rng
        # Addresses that the last leader has sent.
        self._addresses: tuple[str, ...] = ()
        self._address: str | None = None
        self._term = 0
        self._given_to = ordered_set.OrderedSet[links.Link]()
        self._seen = ordered_set.OrderedSet[links.Link]()
        self._changed_ms = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._logger = structlog.get_logger()

    def take(self) -> str | None:
        """Returns the address of an announced leader once."""
        self.is_received.clear()
        address, self._address = self._address, None
        return address

    def set_addresses(self, message: demand_messages.FleetAddresses) -> None:
        """Sets the instances to which announcements are sent."""
        self._addresses = message.addresses[:_MAX_ADDRESSES]

    def receive(self, hello: link_messages.Hello) -> None:
        """Handles the hello of an instance that announces a leader."""
        address = hello.leader
        if address is None or hello.leader_term <= self._term:
            return
        self._term = hello.leader_term
        if address == self._hello.address:
            return
        self._logger.info(
            "leader_announced", address=address, told_by=hello.instance
        )
        self._address = address
        self.is_received.set()
        self._send_all(address)

    def announce(self, term: int) -> None:
        """Announces that this instance leads.

        Args:
            term: Generation of its lease, which rises with each election.
        """
        self._term = max(term, self._term)
        self._send_all(self._hello.address)

    def distribute(self, followers: Iterable[links.Link]) -> None:
        """Gives followers the addresses of others after a change of them."""
        now_ms = self._clock.now_ms()
        present = ordered_set.OrderedSet(followers)
        if present != self._seen:
            self._seen = present
            self._changed_ms = now_ms
        is_settled = now_ms - self._changed_ms >= _SETTLED_MS
        if not is_settled or present == self._given_to:
            return
        self._given_to = present
        domains = {link.hello.address: link.hello.domain for link in present}
        addresses = sorted(domains)
        self._addresses = self._draw(addresses, self._hello.address)
        for link in present:
            drawn = self._draw(addresses, link.hello.address)
            link.tell(
                demand_messages.FleetAddresses(
                    drawn, tuple(domains[address] for address in drawn)
                )
            )

    def _draw(self, addresses: list[str], receiver: str) -> tuple[str, ...]:
        others = [address for address in addresses if address != receiver]
        count = min(_ADDRESS_COUNT, len(others))
        return tuple(self._rng.sample(others, count))

    def _send_all(self, leader: str) -> None:
        hello = dataclasses.replace(
            self._hello, leader=leader, leader_term=self._term
        )
        for address in self._addresses:
            if address not in (leader, self._hello.address):
                task = asyncio.ensure_future(self._send(address, hello))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send(self, address: str, hello: link_messages.Hello) -> None:
        with contextlib.suppress(
            handshake.RefusedHelloError, OSError, TimeoutError
        ):
            async with self._clock.timeout_ms(_DIAL_TIMEOUT_MS):
                reader, writer = await self._transport.dial(address)
                try:
                    await handshake.Handshake(
                        reader, writer, hello, lambda name: 0, self._counts
                    ).dial_any()
                    # The other side closes the stream once it has read all.
                    await reader.read()
                finally:
                    writer.close()

    def stop(self) -> None:
        """Ends announcements that are being sent."""
        for task in self._tasks:
            task.cancel()
