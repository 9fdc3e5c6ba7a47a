"""Opens links by dialling or accepting streams and running the handshake."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
from typing import TYPE_CHECKING

import structlog

from jujubewharf.peers import handshake
from jujubewharf.peers import link_messages

if TYPE_CHECKING:
    from jujubewharf import clock as clocks
    from jujubewharf.peers import counters
    from jujubewharf.peers import streams

CAPABILITIES: tuple[str, ...] = ("facts",)
MAX_HANDSHAKES = 64

_DIAL_TIMEOUT_MS = 2_000.0
_STARTUP_MS = 60_000.0

_CloseReason = link_messages.CloseReason


@dataclasses.dataclass(frozen=True, slots=True)
class OpenedStream:
    """A stream after a successful handshake.

    Attributes:
        hello: Hello of the peer.
        is_dialled: Whether this side dialled.
        is_standing: Whether the dialling side keeps the link open while idle.
        reader: Reads from the peer.
        writer: Writes to the peer.
    """

    hello: link_messages.Hello
    is_dialled: bool
    is_standing: bool
    reader: asyncio.StreamReader
    writer: streams.StreamWriter


class Opener:
    """Dials and accepts streams and runs the handshake on them.

    Args:
        instance: Name of this instance.
        domain: Failure domain of this instance.
        clock: Source of time.
        transport: Opens and accepts streams.
        counts: Counters of this instance.
        newest_hello: Returns the newest hello of a peer, if any.

    Attributes:
        address: ``IP:PORT`` on which this instance listens, once known.
        incarnation: Distinguishes this process from others of the same name.
        is_leaving: Whether hellos announce that this instance is draining.
        is_replaced: Whether peers know a newer process of this name.
        handshakes: Number of accepted streams in the handshake.
    """

    def __init__(
        self,
        instance: str,
        domain: str,
        clock: clocks.Clock,
        transport: streams.Transport,
        counts: counters.PeerCounters,
        *,
        newest_hello: Callable[[str], link_messages.Hello | None],
    ) -> None:
        self.address = ""
        self.incarnation = 0
        self.is_leaving = False
        self.is_replaced = False
        self.handshakes = 0
        self._instance = instance
        self._domain = domain
        self._clock = clock
        self._transport = transport
        self._counts = counts
        self._newest_hello = newest_hello
        self._started_ms = 0.0
        self._logger = structlog.get_logger()

    def start(self) -> None:
        """Assigns the incarnation of this process from the wall clock."""
        self._started_ms = self._clock.now_ms()
        self.incarnation = max(1, int(self._clock.wall_ms()))

    async def dial(
        self, name: str, address: str, *, is_standing: bool
    ) -> OpenedStream:
        """Opens a stream to a peer and runs the handshake.

        Raises:
            OSError: The peer is unreachable or one side refused.
        """
        async with self._clock.timeout_ms(_DIAL_TIMEOUT_MS):
            reader, writer = await self._transport.dial(address)
        hello_exchange = self._handshake(
            reader, writer, is_standing=is_standing
        )
        try:
            async with self._clock.timeout_ms(handshake.HELLO_TIMEOUT_MS):
                hello = await hello_exchange.dial(name)
        except handshake.RefusedHelloError as error:
            self._on_refused(hello_exchange, error, name)
            writer.close()
            raise ConnectionRefusedError(error.reason) from error
        except BaseException:
            writer.close()
            raise
        return OpenedStream(hello, True, is_standing, reader, writer)

    async def accept(
        self, reader: asyncio.StreamReader, writer: streams.StreamWriter
    ) -> OpenedStream | None:
        """Runs the handshake on an accepted stream.

        Returns:
            The opened stream; ``None`` if the handshake failed, in which case
            the stream is closed.
        """
        hello_exchange = self._handshake(reader, writer, is_standing=False)
        if self.handshakes >= MAX_HANDSHAKES:
            self._refuse_busy(hello_exchange)
            return None
        self.handshakes += 1
        try:
            async with self._clock.timeout_ms(handshake.HELLO_TIMEOUT_MS):
                hello = await hello_exchange.accept()
        except handshake.RefusedHelloError as error:
            self._on_refused(hello_exchange, error, "")
            writer.close()
            return None
        except OSError:
            writer.close()
            return None
        finally:
            self.handshakes -= 1
        return OpenedStream(hello, False, hello.is_standing, reader, writer)

    def refuse_busy(self, opened: OpenedStream) -> None:
        """Refuses an opened stream because the peer limit is reached."""
        self._refuse_busy(
            self._handshake(opened.reader, opened.writer, is_standing=False)
        )

    def _refuse_busy(self, hello_exchange: handshake.Handshake) -> None:
        hello_exchange.refuse(
            handshake.RefusedHelloError(_CloseReason.BUSY.value)
        )
        hello_exchange.writer.close()

    def _handshake(
        self,
        reader: asyncio.StreamReader,
        writer: streams.StreamWriter,
        *,
        is_standing: bool,
    ) -> handshake.Handshake:
        hello = link_messages.Hello(
            instance=self._instance,
            domain=self._domain,
            address=self.address,
            incarnation=self.incarnation,
            capabilities=CAPABILITIES,
            is_standing=is_standing,
            is_leaving=self.is_leaving,
        )
        return handshake.Handshake(
            reader, writer, hello, self._newest_incarnation, self._counts
        )

    def _newest_incarnation(self, name: str) -> int:
        if name == self._instance:
            return self.incarnation
        hello = self._newest_hello(name)
        return 0 if hello is None else hello.incarnation

    def _on_refused(
        self,
        hello_exchange: handshake.Handshake,
        error: handshake.RefusedHelloError,
        peer: str,
    ) -> None:
        hello_exchange.refuse(error)
        self._logger.warning(
            "peer_link_refused",
            peer=peer,
            reason=error.reason,
            is_theirs=error.is_theirs,
        )
        if error.is_theirs and error.reason == _CloseReason.REPLACED.value:
            self._on_replaced(error.incarnation)

    def _on_replaced(self, newest: int) -> None:
        """Handles the refusal by a peer that knows a newer incarnation.

        A process that has just started takes a higher incarnation, because
        the other number may stem from a clock that was ahead. A process that
        has run for longer was replaced while it was paused and stays refused.
        """
        if newest <= self.incarnation:
            return
        if self._clock.now_ms() - self._started_ms < _STARTUP_MS:
            self.incarnation = newest + 1
            return
        self.is_replaced = True
