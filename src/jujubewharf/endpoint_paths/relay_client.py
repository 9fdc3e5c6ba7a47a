"""Has a peer make a call to an endpoint that this instance doesn't reach.

Each call takes a new stream. The handshake shows that the peer is alive before
the call is handed over; once it is, a lost stream means that the call may have
run. Only the peer's own refusal means that it didn't.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Iterable
import contextlib
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.endpoint_paths import path_log
from jujubewharf.endpoint_paths import reachability as reachabilities
from jujubewharf.endpoint_paths import relay_peers
from jujubewharf.endpoint_paths import relay_streams
from jujubewharf.engines import client
from jujubewharf.engines import notices as all_notices
from jujubewharf.forwarding import calls
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
_STATE_TIMEOUT_MS = 1_000.0
# A peer's own prefill call ends before this.
_PREFILL_TIMEOUT_MS = 2_000.0

_Reason = relay_messages.RefusalReason


class _PeerUnavailableError(Exception):
    """A peer could not be asked, so nothing was handed over."""


class _RefusedError(Exception):
    """A peer refused a call, so nothing was sent to the endpoint.

    Args:
        refusal: The peer's answer.
    """

    def __init__(self, refusal: relay_messages.RelayRefused) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


@dataclasses.dataclass(frozen=True, slots=True)
class _Exchange:
    """A call that a peer makes.

    Attributes:
        stream: Stream to the peer.
        first: The peer's first answer.
        peer: Name of the peer.
    """

    stream: relay_streams.RelayStream
    first: messages.Message
    peer: str


class RelayClient:
    """Has peers make calls.

    Args:
        transport: Dials peers.
        hello: Identity of this instance.
        peers: Peers that may be asked.
        reachability: Endpoints that this instance reaches by itself.
        clock: Time source.

    Attributes:
        is_alone: Whether the last search reached no peer at all.
        listener: Called with notices in endpoints' answers.
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
        self.listener: all_notices.Listener = all_notices.ignore_notice
        self._transport = transport
        self._hello = dataclasses.replace(hello, is_relay=True)
        self._peers = peers
        self._reachability = reachability
        self._clock = clock
        self._counts = counters.PeerCounters()
        # By group: end of the time in which no peer is looked for.
        self._no_peer_until_ms: dict[str, float] = {}

    @contextlib.asynccontextmanager
    async def send(
        self, endpoint: resources.Endpoint, outbound: calls.OutboundRequest
    ) -> AsyncIterator[calls.Reply]:
        """Sends a request; see ``ports.Backends``."""
        message = relay_messages.RelayedSend(endpoint.name, outbound)
        async with self._exchange(
            endpoint, message, request_id=outbound.call.request_id
        ) as exchange:
            head = exchange.first
            if not isinstance(head, relay_messages.RelayedHead):
                raise _lost(endpoint, "no head from the peer")
            self._pass_on(endpoint, head.notices)
            body = _body(endpoint, exchange.stream)
            yield calls.Reply(head.status, head.headers, body, head.length)

    async def prefill(
        self, endpoint: resources.Endpoint, outbound: calls.OutboundRequest
    ) -> calls.PrefillSource:
        """Runs prefill; see ``ports.Backends``."""
        result = await self._result(
            endpoint,
            relay_messages.RelayedPrefill(endpoint.name, outbound),
            timeout_ms=_PREFILL_TIMEOUT_MS,
            request_id=outbound.call.request_id,
        )
        if result.source is None:
            raise _lost(endpoint, "no prefill result from the peer")
        return result.source

    async def reserve(
        self, endpoint: resources.Endpoint, *, tokens: int, ttl_ms: float
    ) -> str:
        """Reserves memory; see ``ports.Backends``."""
        message = relay_messages.RelayedReservation(
            endpoint.name, tokens, ttl_ms
        )
        result = await self._result(endpoint, message)
        if not result.hold:
            raise _lost(endpoint, "no reservation from the peer")
        return result.hold

    async def release(
        self,
        endpoint: resources.Endpoint,
        *,
        hold: str | None = None,
        source: calls.PrefillSource | None = None,
    ) -> None:
        """Releases a reservation or frees a prefill result."""
        message = relay_messages.RelayedRelease(endpoint.name, hold, source)
        await self._result(endpoint, message)

    async def check(
        self, endpoint: resources.Endpoint, kind: relay_messages.CheckKind
    ) -> bool:
        """Returns a peer's answer to a question about an endpoint."""
        message = relay_messages.RelayedCheck(endpoint.name, kind)
        return (await self._result(endpoint, message)).is_true

    async def _result(
        self,
        endpoint: resources.Endpoint,
        message: messages.Message,
        *,
        timeout_ms: float = _STATE_TIMEOUT_MS,
        request_id: str | None = None,
    ) -> relay_messages.RelayedResult:
        try:
            async with (
                self._clock.timeout_ms(timeout_ms),
                self._exchange(
                    endpoint, message, request_id=request_id
                ) as exchange,
            ):
                result = exchange.first
        except TimeoutError:
            raise _lost(endpoint, "no answer from the peer in time") from None
        if not isinstance(result, relay_messages.RelayedResult):
            raise _lost(endpoint, "no result from the peer")
        self._pass_on(endpoint, result.notices)
        return result

    @contextlib.asynccontextmanager
    async def _exchange(
        self,
        endpoint: resources.Endpoint,
        message: messages.Message,
        *,
        request_id: str | None,
    ) -> AsyncIterator[_Exchange]:
        """Hands a call to the first peer that makes it.

        Raises:
            EngineError: No peer makes it, or it failed.
        """
        self._check_may_search(endpoint)
        tried: set[str] = set()
        async with contextlib.AsyncExitStack() as stack:
            exchange = await self._search(endpoint, message, stack, tried)
            path_log.log_relayed_call(
                endpoint.name,
                peer=exchange.peer,
                request_id=request_id,
                asked=len(tried),
            )
            fault = exchange.first
            if isinstance(fault, relay_messages.RelayedFault):
                self._pass_on(endpoint, fault.notices)
                raise _engine_error(endpoint, fault)
            if not isinstance(message, relay_messages.RelayedCheck):
                self._reachability.record_peer_connection(
                    endpoint, exchange.peer
                )
            yield exchange

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
    ) -> _Exchange:
        """Asks peers until one makes the call.

        Raises:
            EngineError: None does.
        """
        is_cut_off = self._reachability.is_cut_off(endpoint)
        most = _MAX_PEERS_IF_CUT_OFF if is_cut_off else _MAX_PEERS
        until_ms = self._clock.now_ms() + _SEARCH_TIMEOUT_MS
        has_reached_any = False
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
            except _RefusedError as error:
                has_reached_any = True
                self._on_refused(address, endpoint, error.refusal)
            else:
                self.is_alone = False
                return exchange
        self.is_alone = bool(tried) and not has_reached_any
        if is_cut_off:
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
    ) -> _Exchange:
        """Hands a call to one peer and returns its first answer.

        Raises:
            EngineError: ``LOST`` if the stream broke after the hand-over.
        """
        peer, stream = await self._open(address)
        stack.callback(stream.close)
        try:
            await stream.send(message)
            first = await stream.receive()
        except relay_streams.TooLargeError:
            fault = client.EngineFault.UNREACHABLE
            raise client.EngineError(
                fault, endpoint.name, "too large for a peer"
            ) from None
        except relay_streams.BrokenRelayError as error:
            raise _lost(endpoint, f"peer: {error}") from error
        if isinstance(first, relay_messages.RelayRefused):
            raise _RefusedError(first)
        return _Exchange(stream, first, peer)

    async def _open(
        self, address: str
    ) -> tuple[str, relay_streams.RelayStream]:
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
        return hello.instance, relay_streams.RelayStream(reader, writer)

    def _pass_on(
        self,
        endpoint: resources.Endpoint,
        notices: Iterable[all_notices.Notice],
    ) -> None:
        """Passes on what an endpoint said, as heard by this instance now."""
        for notice in notices:
            now_ms = self._clock.now_ms()
            self.listener(
                endpoint, dataclasses.replace(notice, requested_ms=now_ms)
            )


async def _body(
    endpoint: resources.Endpoint, stream: relay_streams.RelayStream
) -> AsyncIterator[bytes]:
    """Yields the parts of a body as they arrive.

    Raises:
        EngineError: It broke off.
    """
    while True:
        try:
            message = await stream.receive()
        except relay_streams.BrokenRelayError as error:
            raise _lost(endpoint, f"peer: {error}") from error
        match message:
            case relay_messages.RelayedPart(data=data):
                yield data
            case relay_messages.RelayedEnd():
                return
            case relay_messages.RelayedFault():
                raise _lost(endpoint, message.detail)
            case _:
                raise _lost(endpoint, "unexpected message from the peer")


def _engine_error(
    endpoint: resources.Endpoint, fault: relay_messages.RelayedFault
) -> client.EngineError:
    try:
        kind = client.EngineFault(fault.fault)
    except ValueError:
        # A fault of a newer build, which may mean that the call has run.
        kind = client.EngineFault.LOST
    return client.EngineError(kind, endpoint.name, fault.detail)


def _lost(endpoint: resources.Endpoint, detail: str) -> client.EngineError:
    return client.EngineError(client.EngineFault.LOST, endpoint.name, detail)
