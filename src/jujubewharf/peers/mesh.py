"""Network of links between this instance and its peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import TYPE_CHECKING

import mode
import structlog

from jujubewharf.peers import counters
from jujubewharf.peers import handlers
from jujubewharf.peers import link as links
from jujubewharf.peers import link_messages
from jujubewharf.peers import messages
from jujubewharf.peers import network
from jujubewharf.peers import opener as openers
from jujubewharf.peers import peer as peers
from jujubewharf.peers import peer_table
from jujubewharf.peers import streams
from jujubewharf.peers import tasks as all_tasks

if TYPE_CHECKING:
    from jujubewharf import clock as clocks

_MAX_PEERS = 2_000

_CloseReason = link_messages.CloseReason


class PeerMesh(mode.Service):
    """Implements ``network.PeerNetwork`` over the streams of a transport.

    Args:
        instance: Name of this instance.
        domain: Failure domain of this instance.
        clock: Source of time.
        transport: Opens and accepts streams.
        timing: Heartbeat and timeout intervals of the links.

    Attributes:
        counts: Counters of this instance.
        facts_digest: Returns the digest to send with each heartbeat.
    """

    def __init__(
        self,
        instance: str,
        domain: str,
        clock: clocks.Clock,
        transport: streams.Transport,
        *,
        timing: peers.Timing,
    ) -> None:
        super().__init__()
        self.counts = counters.PeerCounters()
        self.facts_digest: Callable[[], int] = lambda: 0
        self._instance = instance
        self._clock = clock
        self._transport = transport
        self._opener = openers.Opener(
            instance,
            domain,
            clock,
            transport,
            self.counts,
            newest_hello=self.hello_of,
        )
        self._timing = timing
        self._listener: streams.Listener | None = None
        self._peers = peer_table.PeerTable(self._make_peer)
        self._handlers = handlers.Handlers(instance, clock, self.counts)
        self._hello_listeners: list[Callable[[link_messages.Hello], None]] = []
        self._heartbeat_listeners: list[Callable[[str, int], None]] = []
        self._background_tasks = all_tasks.Tasks(self._on_task_failure)
        self._maintained: set[str] = set()
        self._logger = structlog.get_logger()

    @property
    def instance(self) -> str:
        """Name of this instance."""
        return self._instance

    @property
    def address(self) -> str:
        """``IP:PORT`` on which this instance listens, once started."""
        return self._opener.address

    @property
    def incarnation(self) -> int:
        """Distinguishes this process from others of the same name."""
        return self._opener.incarnation

    @property
    def is_replaced(self) -> bool:
        """Whether peers know a newer process of this name."""
        return self._opener.is_replaced

    @property
    def is_leaving(self) -> bool:
        """Whether hellos announce that this instance is draining."""
        return self._opener.is_leaving

    @is_leaving.setter
    def is_leaving(self, is_leaving: bool) -> None:
        self._opener.is_leaving = is_leaving

    def handle(
        self, message_type: type[messages.Message], handler: network.Handler
    ) -> None:
        """Registers the handler of a message type; see ``PeerNetwork``."""
        self._handlers.add(message_type, handler)

    async def ask(
        self, peer: str, message: messages.Message, *, timeout_ms: float
    ) -> messages.Message:
        """Sends a request, dialling if needed; see ``PeerNetwork``."""
        try:
            reply = await self._ask(peer, message, timeout_ms)
        except network.PeerError as error:
            self.counts.count_ask(counters.AskOutcome(error.fault.value))
            raise
        self.counts.count_ask(counters.AskOutcome.ANSWERED)
        return reply

    def tell(self, peer: str, message: messages.Message) -> bool:
        """Sends a one-way message, dialling if needed; see ``PeerNetwork``.

        Returns:
            Whether the message was queued on a link or for a link being
            dialled. Delivery is not guaranteed.
        """
        if peer == self._instance:
            self._background_tasks.spawn(self._handlers.tell_local(message))
            return True
        entry = self._peers.get_reachable(peer)
        if entry is None:
            return False
        link = entry.best_link()
        if link is not None:
            return link.tell(message)
        is_kept = entry.tell_when_linked(message)
        self._ensure_maintained(entry)
        return is_kept

    def probe(self, peer: str) -> None:
        """Dials a peer without a link to check whether it is reachable."""
        entry = self._peers.get_reachable(peer)
        if entry is not None and entry.best_link() is None:
            self._background_tasks.spawn(self._probe(entry))

    def clear_failure(self, peer: str) -> None:
        """Clears a failed dial and its backoff."""
        entry = self._peers.get(peer)
        if entry is not None:
            entry.clear_failure()

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Sets the listening address of each other instance, by name."""
        self._peers.addresses = addresses

    def set_standing_peers(self, names: Iterable[str]) -> None:
        """Sets the peers to which to keep a standing link."""
        wanted = {name: None for name in names if name != self._instance}
        for name in wanted:
            entry = self._peers.get_reachable(name)
            if entry is not None:
                entry.set_wanted(True)
                self._ensure_maintained(entry)
        for entry in tuple(self._peers):
            if entry.name not in wanted:
                entry.set_wanted(False)
                self._peers.remove_unused(entry)

    def replace_links(self) -> None:
        """Replaces all links by new ones after a change of TLS keys."""
        for entry in self._peers:
            entry.replace_links()

    def linked_peers(self) -> tuple[str, ...]:
        """Returns the names of peers with a standing link, sorted."""
        return tuple(
            sorted(
                entry.name
                for entry in self._peers
                if (link := entry.best_link()) is not None and link.is_standing
            )
        )

    def known_peers(self) -> tuple[str, ...]:
        """Returns the names of peers with current or recent contact."""
        return self._peers.names()

    def peers_with_hello(self) -> tuple[str, ...]:
        """Returns the names of peers whose hello is known."""
        return tuple(self._peers.hellos)

    def link_count(self) -> int:
        """Returns the number of open links, including on-demand links."""
        return sum(len(entry.links) for entry in self._peers)

    def contact(self, peer: str) -> peers.Contact:
        """Returns the state of the contact with a peer."""
        entry = self._peers.get(peer)
        return peers.NO_CONTACT if entry is None else entry.contact()

    def hello_of(self, peer: str) -> link_messages.Hello | None:
        """Returns the newest hello of a peer, ``None`` if there is none."""
        return self._peers.hellos.get(peer)

    def on_hello(self, listener: Callable[[link_messages.Hello], None]) -> None:
        """Registers a callback for the hello of each new link."""
        self._hello_listeners.append(listener)

    def on_heartbeat(self, listener: Callable[[str, int], None]) -> None:
        """Registers a callback for heartbeats: sender and facts digest."""
        self._heartbeat_listeners.append(listener)

    async def on_start(self) -> None:
        """Starts listening for peers."""
        self._opener.start()
        self._listener = await self._transport.listen(self._accept)
        self._opener.address = self._listener.address

    async def on_stop(self) -> None:
        """Closes all links with a farewell and cancels all tasks."""
        if self._listener is not None:
            await self._listener.close()
        for entry in self._peers:
            for link in list(entry.links):
                link.close(_farewell(_CloseReason.STOPPING))
        await self._background_tasks.stop()

    async def _ask(
        self, peer: str, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        if peer == self._instance:
            return await self._handlers.ask_local(message, timeout_ms)
        deadline_ms = self._clock.now_ms() + timeout_ms
        unreachable = network.PeerError(network.PeerFault.UNREACHABLE, peer)
        entry = self._peers.get_reachable(peer)
        if entry is None:
            raise unreachable
        try:
            async with self._clock.timeout_ms(timeout_ms):
                link = await entry.link()
        except OSError as error:
            raise unreachable from error
        sent_ms = self._clock.now_ms()
        try:
            return await link.ask(message, timeout_ms=deadline_ms - sent_ms)
        except network.PeerError as error:
            is_silent = link.last_heard_ms < sent_ms
            if error.fault is network.PeerFault.LOST and is_silent:
                # Idle on-demand links have no heartbeats, so a dead one looks
                # open. Close it to make the next request dial again.
                if not link.is_standing:
                    link.close()
            raise

    async def _probe(self, entry: peers.Peer) -> None:
        try:
            await entry.link()
        except OSError:
            return

    def _make_peer(self, name: str) -> peers.Peer:
        return peers.Peer(
            name,
            self._instance,
            self._clock,
            self._timing,
            dial=self._dial,
            make_heartbeat=self._make_heartbeat,
        )

    def _make_heartbeat(self, is_receiving: bool) -> link_messages.Heartbeat:
        return link_messages.Heartbeat(is_receiving, self.facts_digest())

    def _ensure_maintained(self, entry: peers.Peer) -> None:
        """Starts the maintenance task of a peer if it is needed."""
        if entry.name in self._maintained or not entry.is_needed:
            return
        self._maintained.add(entry.name)
        self._background_tasks.spawn(self._maintain(entry))

    async def _maintain(self, entry: peers.Peer) -> None:
        try:
            await entry.run()
        finally:
            self._maintained.discard(entry.name)
            self._peers.remove_unused(entry)

    def _on_task_failure(self, exception: BaseException) -> None:
        self.counts.task_failures += 1
        self._logger.error("peer_task_failed", exc_info=exception)

    async def _dial(self, name: str, is_standing: bool) -> links.Link:
        """Opens a link.

        Raises:
            OSError: The link could not be opened.
        """
        address = self._peers.addresses.get(name)
        if address is None:
            raise ConnectionRefusedError(name)
        opened = await self._opener.dial(name, address, is_standing=is_standing)
        link = self._make_link(opened)
        self._background_tasks.spawn(self._run_link(link))
        return link

    async def _accept(
        self, reader: asyncio.StreamReader, writer: streams.StreamWriter
    ) -> None:
        self._background_tasks.spawn(self._handshake(reader, writer))

    async def _handshake(
        self, reader: asyncio.StreamReader, writer: streams.StreamWriter
    ) -> None:
        opened = await self._opener.accept(reader, writer)
        if opened is None:
            return
        is_new = opened.hello.instance not in self._peers
        if self.should_stop or (is_new and len(self._peers) >= _MAX_PEERS):
            self._opener.refuse_busy(opened)
            return
        self._background_tasks.spawn(self._run_link(self._make_link(opened)))

    def _make_link(self, opened: openers.OpenedStream) -> links.Link:
        link = links.Link(
            opened.hello,
            is_dialled=opened.is_dialled,
            is_standing=opened.is_standing,
            reader=opened.reader,
            writer=opened.writer,
            clock=self._clock,
            counts=self.counts,
            dispatch=self._handlers.dispatch,
        )
        link.on_heartbeat = self._on_heartbeat
        self._add_link(link)
        return link

    def _add_link(self, link: links.Link) -> None:
        entry = self._peers.get_or_create(link.peer)
        newest = self._peers.hellos.get(link.peer)
        if newest is not None and newest.incarnation < link.hello.incarnation:
            for old in list(entry.links):
                old.close(_farewell(_CloseReason.REPLACED))
        self._peers.hellos[link.peer] = link.hello
        entry.add(link)
        self._ensure_maintained(entry)
        for listener in self._hello_listeners:
            listener(link.hello)

    async def _run_link(self, link: links.Link) -> None:
        entry = self._peers.get_or_create(link.peer)
        try:
            await link.run()
        finally:
            entry.remove(link)
            self._peers.remove_unused(entry)
        self._probe_if_broken(entry, link)

    def _probe_if_broken(self, entry: peers.Peer, link: links.Link) -> None:
        """Probes a peer whose link broke, to detect a failure at once.

        Peers with a standing link are redialled anyway. Without the probe,
        the failure of any other peer would be noticed only by the next
        request to it.
        """
        if link.has_broken and not entry.is_wanted and not self.should_stop:
            self.probe(entry.name)

    def _on_heartbeat(
        self, link: links.Link, heartbeat: link_messages.Heartbeat
    ) -> None:
        for listener in self._heartbeat_listeners:
            listener(link.peer, heartbeat.facts_digest)


def _farewell(reason: link_messages.CloseReason) -> link_messages.Farewell:
    return link_messages.Farewell(reason.value)
