"""Finds a peer that makes a call, and hands the call over to it.

Each call takes a new stream. The handshake shows that the peer is alive before
the call is handed over; once it is, a lost stream means that the call may have
run. Only the peer's own refusal means that it didn't.
"""

from __future__ import annotations

import contextlib
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.endpoint_paths import path_log
from jujubewharf.endpoint_paths import reachability as reachabilities
from jujubewharf.endpoint_paths import relay_peers
from jujubewharf.endpoint_paths import relay_streams
from jujubewharf.endpoint_paths import relayed_bodies
from jujubewharf.engines import client
from jujubewharf.peers import counters
from jujubewharf.peers import handshake
from jujubewharf.peers import link_messages
from jujubewharf.peers import messages
from jujubewharf.peers import relay_messages
from jujubewharf.peers import streams

# A peer that is reached answers the handshake within some milliseconds, unless
# it is busy.
_DIAL_TIMEOUT_MS = 250.0
# Time after which no further peer is asked.
_SEARCH_TIMEOUT_MS = 500.0
# Peers asked for one call if this instance reaches no endpoint of the group,
# and if only this endpoint fails, which mostly has ended.
_MAX_PEERS_IF_CUT_OFF = 8
_MAX_PEERS = 2
# Time for which a peer isn't asked again, and for which others are asked first.
_UNREACHABLE_PAUSE_MS = 2_000.0
_REFUSED_PAUSE_MS = 500.0
# Time after a search without success for which calls fail at once.
_NO_PEER_PAUSE_MS = 250.0

_Reason = relay_messages.RefusalReason


class _PeerUnavailableError(Exception):
    """A peer could not be asked, so nothing was handed over."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """A call that a peer makes.

    Attributes:
        stream: Stream to the peer.
        first: The peer's first answer.
        peer: Name of the peer.
    """

    stream: relay_streams.RelayStream
    first: messages.Message
    peer: str


class RelayExchanges:
    """Opens exchanges with peers.

    Args:
        transport: Dials peers.
        hello: Identity of this instance.
        peers: Peers that may be asked.
        reachability: Endpoints that this instance reaches by itself.
        clock: Time source.

    Attributes:
        is_alone: Whether the last search reached no peer at all.
    """

    def __init__(
        self,
        transport: streams.Transport,
        hello: link_messages.Hello,
        peers: relay_peers.RelayPeers,
        reachability: reachabilities.Reachability,
        clock: clocks.Clock,
    ) -> None:
        self.is_alone = False
        self._transport = transport
        self._hello = dataclasses.replace(hello, is_relay=True)
        self._peers = peers
        self._reachability = reachability
        self._clock = clock
        self._counts = counters.PeerCounters()
        # By group: end of the time in which no peer is looked for.
        self._no_peer_until_ms: dict[str, float] = {}

    async def open(
        self,
        endpoint: resources.Endpoint,
        message: messages.Message,
        stack: contextlib.AsyncExitStack,
        *,
        request_id: str | None,
    ) -> Exchange:
        """Hands a call to the first peer that makes it.

        Args:
            endpoint: The endpoint to be called.
            message: The call.
            stack: Closes the exchange.
            request_id: The caller's request, for logs; ``None`` for calls about
                state.

        Raises:
            EngineError: No peer makes the call, or it was lost.
        """
        self._check_may_search(endpoint)
        tried: set[str] = set()
        exchange = await self._search(endpoint, message, stack, tried)
        path_log.log_relayed_call(
            endpoint.name,
            peer=exchange.peer,
            request_id=request_id,
            asked=len(tried),
        )
        return exchange

    def _check_may_search(self, endpoint: resources.Endpoint) -> None:
        group = reachabilities.group_of(endpoint)
        until_ms = self._no_peer_until_ms.get(group, 0.0)
        if self._clock.now_ms() < until_ms:
            raise self._no_path_error(endpoint)

    async def _search(
        self,
        endpoint: resources.Endpoint,
        message: messages.Message,
        stack: contextlib.AsyncExitStack,
        tried: set[str],
    ) -> Exchange:
        """Asks peers until one makes the call.

        Raises:
            EngineError: None does.
        """
        is_cut_off = self._reachability.is_cut_off(endpoint)
        most = _MAX_PEERS_IF_CUT_OFF if is_cut_off else _MAX_PEERS
        until_ms = self._clock.now_ms() + _SEARCH_TIMEOUT_MS
        has_reached_any = False
        was_too_large = False
        while len(tried) < most and self._clock.now_ms() < until_ms:
            address = self._peers.best(tried)
            if address is None:
                break
            tried.add(address)
            try:
                async with contextlib.AsyncExitStack() as attempt:
                    attempt.enter_context(self._peers.using(address))
                    exchange = await self._ask(
                        address, endpoint, message, attempt
                    )
                    stack.push_async_exit(attempt.pop_all())
            except _PeerUnavailableError:
                self._peers.mark_unreachable(address, _UNREACHABLE_PAUSE_MS)
            except relayed_bodies.RefusedError as error:
                has_reached_any = True
                was_too_large |= error.is_for_memory
                self._on_refused(address, endpoint, error.refusal)
            else:
                self.is_alone = False
                return exchange
        self.is_alone = bool(tried) and not has_reached_any
        # Smaller calls may fit where a large one doesn't.
        if is_cut_off and not was_too_large:
            group = reachabilities.group_of(endpoint)
            pause_ms = self._clock.now_ms() + _NO_PEER_PAUSE_MS
            self._no_peer_until_ms[group] = pause_ms
        path_log.log_no_peer(endpoint.name, asked=len(tried))
        raise self._no_path_error(endpoint)

    def _on_refused(
        self,
        address: str,
        endpoint: resources.Endpoint,
        refusal: relay_messages.RelayRefused,
    ) -> None:
        """Handles a refusal.

        Raises:
            EngineError: No other peer would make the call either.
        """
        self._peers.learn(
            a for a in refusal.addresses if a != self._hello.address
        )
        match refusal.reason:
            case _Reason.OUT_OF_REACH.value:
                fault = client.EngineFault.UNREACHABLE
                raise client.EngineError(fault, endpoint.name, "confirmed")
            case _Reason.DRAINING.value:
                fault = client.EngineFault.REFUSED_LEAVING
                raise client.EngineError(fault, endpoint.name, "peer")
            case _Reason.MEMORY_FULL.value:
                return
        self._peers.avoid(address, _REFUSED_PAUSE_MS)

    def _no_path_error(
        self, endpoint: resources.Endpoint
    ) -> client.EngineError:
        """Returns the error of a call that neither this nor a peer can make."""
        if self._reachability.is_cut_off(endpoint):
            fault = client.EngineFault.NO_PATH
        else:
            # Others of the group are in reach, so this endpoint failed.
            fault = client.EngineFault.UNREACHABLE
        return client.EngineError(fault, endpoint.name, "no peer")

    async def _ask(
        self,
        address: str,
        endpoint: resources.Endpoint,
        message: messages.Message,
        stack: contextlib.AsyncExitStack,
    ) -> Exchange:
        """Hands a call to one peer and returns its first answer.

        Raises:
            EngineError: ``LOST`` if the stream broke after the hand-over.
        """
        hello, stream = await self._open(address)
        stack.callback(stream.close)
        if relayed_bodies.needs_parts(message) and (
            relay_messages.BODY_CAPABILITY not in hello.capabilities
        ):
            # Older builds hold bodies outside of their account of memory.
            raise relayed_bodies.RefusedError(relayed_bodies.MEMORY_FULL)
        try:
            await relayed_bodies.hand_over(stream, message, self._clock)
            first = await stream.receive()
        except relay_streams.TooLargeError:
            fault = client.EngineFault.UNREACHABLE
            raise client.EngineError(
                fault, endpoint.name, "too large for a peer"
            ) from None
        except relay_streams.BrokenRelayError as error:
            raise lost(endpoint, f"peer: {error}") from error
        if isinstance(first, relay_messages.RelayRefused):
            raise relayed_bodies.RefusedError(first)
        return Exchange(stream, first, hello.instance)

    async def _open(
        self, address: str
    ) -> tuple[link_messages.Hello, relay_streams.RelayStream]:
        """Opens a stream to a peer.

        Raises:
            _PeerUnavailableError: It can't be reached, or its build is too old.
        """
        try:
            async with self._clock.timeout_ms(_DIAL_TIMEOUT_MS):
                reader, writer = await self._transport.dial(address)
                try:
                    hello = await handshake.Handshake(
                        reader,
                        writer,
                        self._hello,
                        lambda instance: 0,
                        self._counts,
                    ).dial_any(capability=relay_messages.CAPABILITY)
                except BaseException:
                    writer.close()
                    raise
        except (handshake.RefusedHelloError, OSError, ValueError) as error:
            raise _PeerUnavailableError from error
        return hello, relay_streams.RelayStream(reader, writer)


def lost(endpoint: resources.Endpoint, detail: str) -> client.EngineError:
    """Returns the error of a call that may have run."""
    return client.EngineError(client.EngineFault.LOST, endpoint.name, detail)
