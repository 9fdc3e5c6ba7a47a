"""Has peers make calls to endpoints that this instance doesn't reach."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Iterable
import contextlib
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.endpoint_paths import reachability as reachabilities
from jujubewharf.endpoint_paths import relay_exchanges
from jujubewharf.endpoint_paths import relay_streams
from jujubewharf.engines import answer_heads
from jujubewharf.engines import client
from jujubewharf.engines import notices as all_notices
from jujubewharf.forwarding import calls
from jujubewharf.peers import messages
from jujubewharf.peers import relay_messages

_STATE_TIMEOUT_MS = 1_000.0


class RelayClient:
    """Has peers make calls.

    Args:
        exchanges: Finds peers and hands calls over.
        reachability: Endpoints that this instance reaches by itself.
        clock: Time source.

    Attributes:
        listener: Called with notices in endpoints' answers.
    """

    def __init__(
        self,
        exchanges: relay_exchanges.RelayExchanges,
        reachability: reachabilities.Reachability,
        clock: clocks.Clock,
    ) -> None:
        self.listener: all_notices.Listener = all_notices.ignore_notice
        self._exchanges = exchanges
        self._reachability = reachability
        self._clock = clock

    @property
    def is_alone(self) -> bool:
        """Whether the last search reached no peer at all."""
        return self._exchanges.is_alone

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
                raise relay_exchanges.lost(endpoint, "no head from the peer")
            if not answer_heads.is_final_status(head.status):
                # One of an older build passes on any status.
                raise relay_exchanges.lost(endpoint, "malformed status")
            self._pass_on(endpoint, head.notices)
            body = _body(endpoint, exchange.stream)
            yield calls.Reply(
                head.status, head.headers, body, head.length, head.is_framed
            )

    async def prefill(
        self, endpoint: resources.Endpoint, outbound: calls.OutboundRequest
    ) -> calls.PrefillSource:
        """Runs prefill; see ``ports.Backends``."""
        result = await self._result(
            endpoint,
            relay_messages.RelayedPrefill(endpoint.name, outbound),
            timeout_ms=outbound.left_ms,
            request_id=outbound.call.request_id,
        )
        if result.source is None:
            raise relay_exchanges.lost(
                endpoint, "no prefill result from the peer"
            )
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
            raise relay_exchanges.lost(endpoint, "no reservation from the peer")
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
            raise relay_exchanges.lost(
                endpoint, "no answer from the peer in time"
            ) from None
        if not isinstance(result, relay_messages.RelayedResult):
            raise relay_exchanges.lost(endpoint, "no result from the peer")
        self._pass_on(endpoint, result.notices)
        return result

    @contextlib.asynccontextmanager
    async def _exchange(
        self,
        endpoint: resources.Endpoint,
        message: messages.Message,
        *,
        request_id: str | None,
    ) -> AsyncIterator[relay_exchanges.Exchange]:
        """Hands a call to the first peer that makes it.

        Raises:
            EngineError: No peer makes it, or it failed.
        """
        async with contextlib.AsyncExitStack() as stack:
            exchange = await self._exchanges.open(
                endpoint, message, stack, request_id=request_id
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
            raise relay_exchanges.lost(endpoint, f"peer: {error}") from error
        match message:
            case relay_messages.RelayedPart(data=data):
                yield data
            case relay_messages.RelayedEnd():
                return
            case relay_messages.RelayedFault():
                raise relay_exchanges.lost(endpoint, message.detail)
            case _:
                raise relay_exchanges.lost(
                    endpoint, "unexpected message from the peer"
                )


def _engine_error(
    endpoint: resources.Endpoint, fault: relay_messages.RelayedFault
) -> client.EngineError:
    try:
        kind = client.EngineFault(fault.fault)
    except ValueError:
        # A fault of a newer build, which may mean that the call has run.
        kind = client.EngineFault.LOST
    return client.EngineError(kind, endpoint.name, fault.detail)
