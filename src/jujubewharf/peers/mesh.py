"""The links of one instance to the others: ask, tell, handle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import mode
import structlog

from jujubewharf.peers import counters
from jujubewharf.peers import handshake
from jujubewharf.peers import link as links
from jujubewharf.peers import link_messages
from jujubewharf.peers import messages
from jujubewharf.peers import network
from jujubewharf.peers import peer as peers
from jujubewharf.peers import streams

if TYPE_CHECKING:
    from jujubewharf import clock as clocks

CAPABILITIES: tuple[str, ...] = ("facts",)

_DIAL_TIMEOUT_MS = 2_000.0
_MAX_HANDSHAKES = 64
_MAX_PEERS = 2_000
_FRESH_MS = 60_000.0

_Goodbye = link_messages.Goodbye


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """What the links know of a peer.

    Attributes:
        is_linked: Whether there is an open link.
        is_watched: Whether heartbeats are due from it.
        heard_ms: When it was last heard; ``None`` for never.
        hears_us: Its last word on whether it hears this instance.
        failed_ms: When a dial last failed and it was not heard since.
    """

    is_linked: bool
    is_watched: bool
    heard_ms: float | None
    hears_us: bool
    failed_ms: float | None


class PeerMesh(mode.Service):
    """Speaks ``network.PeerNetwork`` over the streams of a transport.

    Args:
        instance: Name of this instance.
        domain: Failure domain of this instance.
        clock: Time.
        transport: Streams to and from peers.
        timing: Times of the links.

    Attributes:
        address: ``IP:PORT`` on which peers are heard, once started.
        incarnation: Tells this process from others of the same name.
        is_leaving: Said in every hello.
        is_replaced: Whether peers know a newer process of this name.
        counts: What came, went, and was dropped.
        facts_digest: Read for every heartbeat.
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
        self.address = ""
        self.incarnation = 0
        self.is_leaving = False
        self.is_replaced = False
        self.counts = counters.PeerCounters()
        self.facts_digest: Callable[[], int] = lambda: 0
        self._instance = instance
        self._domain = domain
        self._clock = clock
        self._transport = transport
        self._timing = timing
        self._started_ms = 0.0
        self._listener: streams.Listener | None = None
        self._addresses: Mapping[str, str] = {}
        self._peers: dict[str, peers.Peer] = {}
        self._hellos: dict[str, link_messages.Hello] = {}
        self._handlers: dict[type[messages.Message], network.Handler] = {}
        self._hello_listeners: list[Callable[[link_messages.Hello], None]] = []
        self._heartbeat_listeners: list[Callable[[str, int], None]] = []
        self._running: set[asyncio.Task[None]] = set()
        self._tended: set[str] = set()
        self._handshakes = 0
        self._logger = structlog.get_logger()

    @property
    def instance(self) -> str:
        """Name of this instance."""
        return self._instance

    def handle(
        self, message_type: type[messages.Message], handler: network.Handler
    ) -> None:
        """Names the handler of a message type; see ``PeerNetwork``."""
        self._handlers[message_type] = handler

    async def ask(
        self, peer: str, message: messages.Message, *, timeout_ms: float
    ) -> messages.Message:
        """Sends a message and waits; dials on demand; see ``PeerNetwork``."""
        try:
            answer = await self._ask(peer, message, timeout_ms)
        except network.PeerError as error:
            self.counts.ask(counters.AskOutcome(error.fault.value))
            raise
        self.counts.ask(counters.AskOutcome.ANSWERED)
        return answer

    def tell(self, peer: str, message: messages.Message) -> bool:
        """Sends a message; dials on demand; see ``PeerNetwork``.

        Returns:
            Whether the message is on a link or waits for one that is being
            dialled. True is no promise that the peer gets it.
        """
        if peer == self._instance:
            self._spawn(self._tell_myself(message))
            return True
        known = self._known(peer)
        if known is None:
            return False
        link = known.best_link()
        if link is not None:
            return link.tell(message)
        is_kept = known.tell_later(message)
        self._tend(known)
        return is_kept

    def probe(self, peer: str) -> None:
        """Dials a peer that has no link, to find out whether it answers."""
        known = self._known(peer)
        if known is not None and known.best_link() is None:
            self._spawn(self._probe(known))

    def forgive(self, peer: str) -> None:
        """Forgets a failed dial, for there is reason to try again."""
        known = self._peers.get(peer)
        if known is not None:
            known.forgive()

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Says where each other instance listens."""
        self._addresses = addresses

    def keep_links(self, names: Iterable[str]) -> None:
        """Says to which peers a standing link is to be kept."""
        wanted = {name: None for name in names if name != self._instance}
        for name in wanted:
            known = self._known(name)
            if known is not None:
                known.want(True)
                self._tend(known)
        for name, known in list(self._peers.items()):
            if name not in wanted:
                known.want(False)
                self._forget(known)

    def renew_links(self) -> None:
        """Opens all links anew, as after a change of keys."""
        for known in self._peers.values():
            known.renew()

    def linked(self) -> tuple[str, ...]:
        """Peers with a standing link, by name."""
        return tuple(
            sorted(
                name
                for name, known in self._peers.items()
                if (link := known.best_link()) is not None and link.is_standing
            )
        )

    def known(self) -> tuple[str, ...]:
        """Peers that this instance has or had to do with."""
        return tuple(self._peers)

    def greeted(self) -> tuple[str, ...]:
        """Peers whose hello is known."""
        return tuple(self._hellos)

    def link_count(self) -> int:
        """Open links, those on demand included."""
        return sum(len(known.links) for known in self._peers.values())

    def contact(self, peer: str) -> Contact:
        """What the links know of a peer."""
        known = self._peers.get(peer)
        if known is None:
            return Contact(False, False, None, True, None)
        link = known.best_link()
        is_watched = known.is_wanted or (link is not None and link.is_standing)
        return Contact(
            is_linked=link is not None,
            is_watched=is_watched,
            heard_ms=known.heard_ms,
            hears_us=known.hears_us,
            failed_ms=known.failed_ms,
        )

    def hello_of(self, peer: str) -> link_messages.Hello | None:
        """The newest hello that a peer gave."""
        return self._hellos.get(peer)

    def on_hello(self, listener: Callable[[link_messages.Hello], None]) -> None:
        """Calls back for each link that opens."""
        self._hello_listeners.append(listener)

    def on_heartbeat(self, listener: Callable[[str, int], None]) -> None:
        """Calls back for each heartbeat with the sender's facts digest."""
        self._heartbeat_listeners.append(listener)

    async def on_start(self) -> None:
        """Starts to listen."""
        self._started_ms = self._clock.now_ms()
        self.incarnation = max(1, int(self._clock.wall_ms()))
        self._listener = await self._transport.listen(self._accept)
        self.address = self._listener.address

    async def on_stop(self) -> None:
        """Says goodbye on every link and ends all tasks."""
        if self._listener is not None:
            await self._listener.close()
        for known in self._peers.values():
            for link in list(known.links):
                link.close(_farewell(_Goodbye.STOPPING))
        tasks = tuple(self._running)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _ask(
        self, peer: str, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        if peer == self._instance:
            return await self._ask_myself(message, timeout_ms)
        until_ms = self._clock.now_ms() + timeout_ms
        unreachable = network.PeerError(network.PeerFault.UNREACHABLE, peer)
        known = self._known(peer)
        if known is None:
            raise unreachable
        try:
            async with self._clock.timeout_ms(timeout_ms):
                link = await known.link()
        except OSError as error:
            raise unreachable from error
        sent_ms = self._clock.now_ms()
        try:
            return await link.ask(message, timeout_ms=until_ms - sent_ms)
        except network.PeerError as error:
            is_silent = link.last_heard_ms < sent_ms
            if error.fault is network.PeerFault.LOST and is_silent:
                # Nobody beats on an idle link, so one whose other end is
                # gone looks open. Closing it makes the next ask dial anew.
                if not link.is_standing:
                    link.close()
            raise

    async def _ask_myself(
        self, message: messages.Message, timeout_ms: float
    ) -> messages.Message:
        refused = network.PeerError(network.PeerFault.REFUSED, self._instance)
        try:
            async with self._clock.timeout_ms(timeout_ms):
                answer = await self._dispatch(self._instance, message)
        except TimeoutError as error:
            raise network.PeerError(
                network.PeerFault.LOST, self._instance
            ) from error
        except links.HandlerMissingError as error:
            raise refused from error
        if answer is None:
            raise refused
        return answer

    async def _probe(self, known: peers.Peer) -> None:
        try:
            await known.link()
        except OSError:
            return

    async def _tell_myself(self, message: messages.Message) -> None:
        try:
            await self._dispatch(self._instance, message)
        except links.HandlerMissingError:
            self.counts.drop(counters.Drop.NO_HANDLER)

    async def _dispatch(
        self, peer: str, message: messages.Message
    ) -> messages.Message | None:
        handler = self._handlers.get(type(message))
        if handler is None:
            raise links.HandlerMissingError
        return await handler(peer, message)

    def _known(self, name: str) -> peers.Peer | None:
        """The peer of a name, made when its address is known."""
        known = self._peers.get(name)
        if known is not None and (known.links or name in self._addresses):
            return known
        if name not in self._addresses:
            return None
        return self._make(name)

    def _make(self, name: str) -> peers.Peer:
        known = self._peers.get(name)
        if known is None:
            known = peers.Peer(
                name,
                self._instance,
                self._clock,
                self._timing,
                dial=self._dial,
                make_heartbeat=self._make_heartbeat,
            )
            self._peers[name] = known
        return known

    def _make_heartbeat(self, hears_you: bool) -> link_messages.Heartbeat:
        return link_messages.Heartbeat(hears_you, self.facts_digest())

    def _tend(self, known: peers.Peer) -> None:
        """Sees to it that the peer's task runs while there is need."""
        if known.name in self._tended or not known.is_needed:
            return
        self._tended.add(known.name)
        self._spawn(self._tend_on(known))

    async def _tend_on(self, known: peers.Peer) -> None:
        try:
            await known.run()
        finally:
            self._tended.discard(known.name)
            self._forget(known)

    def _forget(self, known: peers.Peer) -> None:
        """Drops a peer that is neither needed nor known to exist."""
        if not known.is_needed and known.name not in self._addresses:
            self._peers.pop(known.name, None)
            self._hellos.pop(known.name, None)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._running.add(task)
        task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        """Tells of a fault, which else would come up at some collection."""
        self._running.discard(task)
        if task.cancelled():
            return
        fault = task.exception()
        if fault is not None:
            self.counts.task_failures += 1
            self._logger.error("peer_task_failed", exc_info=fault)

    def _hello(self, *, is_standing: bool) -> link_messages.Hello:
        return link_messages.Hello(
            instance=self._instance,
            domain=self._domain,
            address=self.address,
            incarnation=self.incarnation,
            capabilities=CAPABILITIES,
            is_standing=is_standing,
            is_leaving=self.is_leaving,
        )

    def _newest_incarnation(self, name: str) -> int:
        if name == self._instance:
            return self.incarnation
        hello = self._hellos.get(name)
        return 0 if hello is None else hello.incarnation

    async def _dial(self, name: str, is_standing: bool) -> links.Link:
        """Opens a link.

        Raises:
            OSError: There is none to be had, for whatever reason.
        """
        address = self._addresses.get(name)
        if address is None:
            raise ConnectionRefusedError(name)
        async with self._clock.timeout_ms(_DIAL_TIMEOUT_MS):
            reader, writer = await self._transport.dial(address)
        greeting = self._handshake(reader, writer, is_standing)
        try:
            async with self._clock.timeout_ms(handshake.HELLO_TIMEOUT_MS):
                hello = await greeting.dial(name)
        except handshake.RefusedHelloError as error:
            self._on_refused(greeting, error, name)
            writer.close()
            raise ConnectionRefusedError(error.reason) from error
        except BaseException:
            writer.close()
            raise
        link = self._make_link(greeting, hello, is_dialled=True)
        self._spawn(self._run(link))
        return link

    async def _accept(
        self, reader: asyncio.StreamReader, writer: streams.StreamWriter
    ) -> None:
        self._spawn(self._greet(reader, writer))

    async def _greet(
        self, reader: asyncio.StreamReader, writer: streams.StreamWriter
    ) -> None:
        greeting = self._handshake(reader, writer, False)
        if self._handshakes >= _MAX_HANDSHAKES or self.should_stop:
            error = handshake.RefusedHelloError(_Goodbye.BUSY.value)
            greeting.refuse(error)
            writer.close()
            return
        self._handshakes += 1
        try:
            async with self._clock.timeout_ms(handshake.HELLO_TIMEOUT_MS):
                hello = await greeting.accept()
        except handshake.RefusedHelloError as error:
            self._on_refused(greeting, error, "")
            writer.close()
            return
        except OSError:
            writer.close()
            return
        finally:
            self._handshakes -= 1
        if len(self._peers) >= _MAX_PEERS and hello.instance not in self._peers:
            greeting.refuse(handshake.RefusedHelloError(_Goodbye.BUSY.value))
            writer.close()
            return
        self._spawn(
            self._run(self._make_link(greeting, hello, is_dialled=False))
        )

    def _handshake(
        self,
        reader: asyncio.StreamReader,
        writer: streams.StreamWriter,
        is_standing: bool,
    ) -> handshake.Handshake:
        return handshake.Handshake(
            reader,
            writer,
            self._hello(is_standing=is_standing),
            self._newest_incarnation,
            self.counts,
        )

    def _on_refused(
        self,
        greeting: handshake.Handshake,
        error: handshake.RefusedHelloError,
        peer: str,
    ) -> None:
        greeting.refuse(error)
        self._logger.warning(
            "peer_link_refused",
            peer=peer,
            reason=error.reason,
            is_theirs=error.is_theirs,
        )
        if error.is_theirs and error.reason == _Goodbye.REPLACED.value:
            self._on_replaced(error.incarnation)

    def _on_replaced(self, newest: int) -> None:
        """A peer knows a newer process of this name.

        A process that has just started is the newer one whatever the clocks
        say, so it takes a higher number. One that has run for long was
        replaced while it was paused, and stays refused.
        """
        if newest <= self.incarnation:
            return
        if self._clock.now_ms() - self._started_ms < _FRESH_MS:
            self.incarnation = newest + 1
            return
        self.is_replaced = True

    def _make_link(
        self,
        greeting: handshake.Handshake,
        hello: link_messages.Hello,
        *,
        is_dialled: bool,
    ) -> links.Link:
        mine = greeting.hello.is_standing
        link = links.Link(
            hello,
            is_dialled=is_dialled,
            is_standing=mine if is_dialled else hello.is_standing,
            reader=greeting.reader,
            writer=greeting.writer,
            clock=self._clock,
            counts=self.counts,
            dispatch=self._dispatch,
        )
        link.on_heartbeat = self._on_heartbeat
        self._take_in(link)
        return link

    def _take_in(self, link: links.Link) -> None:
        known = self._make(link.peer)
        newest = self._hellos.get(link.peer)
        if newest is not None and newest.incarnation < link.hello.incarnation:
            for old in list(known.links):
                old.close(_farewell(_Goodbye.REPLACED))
        self._hellos[link.peer] = link.hello
        known.add(link)
        self._tend(known)
        for listener in self._hello_listeners:
            listener(link.hello)

    async def _run(self, link: links.Link) -> None:
        known = self._make(link.peer)
        try:
            await link.run()
        finally:
            known.remove(link)
            self._forget(known)
        self._look_after(known, link)

    def _look_after(self, known: peers.Peer, link: links.Link) -> None:
        """Finds out at once whether a peer died when its link breaks.

        A peer that is to be kept linked is dialled anyhow. Of another one,
        which had dialled this side, nothing would be heard until asked.
        """
        if link.has_broken and not known.is_wanted and not self.should_stop:
            self.probe(known.name)

    def _on_heartbeat(
        self, link: links.Link, heartbeat: link_messages.Heartbeat
    ) -> None:
        for listener in self._heartbeat_listeners:
            listener(link.peer, heartbeat.facts_digest)


def _farewell(reason: link_messages.Goodbye) -> link_messages.Farewell:
    return link_messages.Farewell(reason.value)
