"""Makes calls to endpoints for peers that don't reach them.

Only this instance's own connections are used, so that a call takes one such
step at most. An endpoint's address comes from this instance's own registry:
a peer names an endpoint and nothing else.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.endpoint_paths import observed_backends
from jujubewharf.endpoint_paths import path_log
from jujubewharf.endpoint_paths import reachability as reachabilities
from jujubewharf.endpoint_paths import relay_streams
from jujubewharf.endpoint_paths import relayed_bodies
from jujubewharf.endpoint_paths import whole_replies
from jujubewharf.engines import client
from jujubewharf.engines import liveness
from jujubewharf.forwarding import registry as registries
from jujubewharf.held_memory import leases
from jujubewharf.held_memory import memory_account
from jujubewharf.leaving import shutdown
from jujubewharf.peers import relay_messages
from jujubewharf.peers import streams

# Calls at the same time.
_MAX_CALLS = 64
# Time for which the rest of a refused call is read.
_DISCARD_MS = 1_000.0

_Reason = relay_messages.RefusalReason
_Call = (
    relay_messages.RelayedSend
    | relay_messages.RelayedPrefill
    | relay_messages.RelayedReservation
    | relay_messages.RelayedRelease
    | relay_messages.RelayedCheck
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Admitted:
    """A call that is made.

    Attributes:
        call: The call, with its body.
        endpoint: The endpoint.
        stream: Stream to the peer.
        lease: What the call is counted in.
    """

    call: _Call
    endpoint: resources.Endpoint
    stream: relay_streams.RelayStream
    lease: leases.Lease


class RelayServer:
    """Serves the relayed calls of all peers.

    Args:
        backends: Direct client for endpoints.
        registry: Registered endpoints.
        reachability: Endpoints that this instance reaches.
        admission: Counts calls as in flight, so that a shutdown waits.
        other_addresses: Returns addresses of further instances.
        held: Account of the memory that calls are held in.
        clock: Time source.
    """

    def __init__(
        self,
        backends: observed_backends.ObservedBackends,
        registry: registries.Registry,
        reachability: reachabilities.Reachability,
        admission: shutdown.AdmissionState,
        other_addresses: Callable[[], tuple[str, ...]],
        held: memory_account.HeldMemory,
        clock: clocks.Clock,
    ) -> None:
        self._backends = backends
        self._registry = registry
        self._reachability = reachability
        self._admission = admission
        self._other_addresses = other_addresses
        self._held = held
        self._clock = clock
        self._running = 0

    async def serve(
        self,
        peer: str,
        reader: asyncio.StreamReader,
        writer: streams.StreamWriter,
    ) -> None:
        """Serves the call of one stream, and closes it."""
        stream = relay_streams.RelayStream(reader, writer)
        try:
            with self._held.lease(None, is_for_peer=True) as lease:
                reason = await self._serve_call(peer, stream, lease)
            if reason is not None:
                await self._refuse(stream, reason)
        except (
            relay_streams.BrokenRelayError,
            relay_streams.TooLargeError,
            TimeoutError,
        ):
            return
        finally:
            stream.close()

    async def _serve_call(
        self,
        peer: str,
        stream: relay_streams.RelayStream,
        lease: leases.Lease,
    ) -> _Reason | None:
        """Receives a call and answers it.

        Returns:
            The reason if the call isn't made.

        Raises:
            BrokenRelayError: The stream is lost.
            TimeoutError: The call didn't arrive in time.
        """
        try:
            call = await relayed_bodies.receive_call(stream, lease, self._clock)
        except errors.WharfError:
            # Which call it is isn't known without reading it.
            return _Reason.BUSY
        if not isinstance(call, _Call):
            return None
        endpoint = self._registry.get(call.endpoint)
        reason = self._refusal_reason(call, endpoint)
        if reason is None and isinstance(call, relayed_bodies.CallWithBody):
            try:
                call = await relayed_bodies.receive_body(
                    stream, call, lease, self._clock
                )
            except errors.WharfError:
                reason = _Reason.MEMORY_FULL
        if reason is None:
            assert endpoint is not None
            admitted = _Admitted(call, endpoint, stream, lease)
            reason = await self._answer(admitted)
        path_log.log_call_for_peer(
            call.endpoint,
            peer=peer,
            request_id=_request_id(call),
            refused=None if reason is None else reason.value,
        )
        return reason

    async def _answer(self, admitted: _Admitted) -> _Reason | None:
        """Answers a call until the peer closes, as its caller has left.

        Returns:
            The reason if the call turned out not to be possible.
        """
        answering = asyncio.ensure_future(self._answer_admitted(admitted))
        closed = asyncio.ensure_future(admitted.stream.wait_until_closed())
        try:
            await asyncio.wait(
                [answering, closed], return_when=asyncio.FIRST_COMPLETED
            )
            return answering.result() if answering.done() else None
        finally:
            answering.cancel()
            closed.cancel()
            await asyncio.gather(answering, closed, return_exceptions=True)

    async def _refuse(
        self, stream: relay_streams.RelayStream, reason: _Reason
    ) -> None:
        await stream.send(
            relay_messages.RelayRefused(reason.value, self._other_addresses())
        )
        with contextlib.suppress(TimeoutError):
            async with self._clock.timeout_ms(_DISCARD_MS):
                await stream.discard()

    def _refusal_reason(
        self, call: _Call, endpoint: resources.Endpoint | None
    ) -> _Reason | None:
        """Returns why a call isn't made; ``None`` if it is."""
        if not self._admission.is_ready:
            return _Reason.LEAVING
        if self._running >= _MAX_CALLS:
            return _Reason.BUSY
        if endpoint is None:
            return _Reason.UNKNOWN_ENDPOINT
        if self._reachability.is_cut_off(endpoint):
            return _Reason.CUT_OFF
        if isinstance(call, relay_messages.RelayedCheck):
            return None
        if self._reachability.has_failed_recently(endpoint):
            return _Reason.OUT_OF_REACH
        is_work = isinstance(
            call, relay_messages.RelayedSend | relay_messages.RelayedPrefill
        )
        if is_work and not self._registry.takes_work(endpoint.name):
            return _Reason.DRAINING
        return None

    async def _answer_admitted(self, admitted: _Admitted) -> _Reason | None:
        """Makes a call and answers with its outcome.

        Returns:
            The reason if the call turned out not to be possible, so that
            another peer may be asked.
        """
        self._running += 1
        try:
            async with self._admission.admitted():
                with self._backends.capturing_notices() as notices:
                    try:
                        await self._make(admitted, notices)
                    except client.EngineError as error:
                        if self._is_own_fault(error, admitted.endpoint):
                            return _Reason.CUT_OFF
                        await admitted.stream.send(
                            relay_messages.RelayedFault(
                                error.fault.value, error.detail, tuple(notices)
                            )
                        )
        except errors.WharfError:
            return _Reason.LEAVING
        finally:
            self._running -= 1
        return None

    def _is_own_fault(
        self, error: client.EngineError, endpoint: resources.Endpoint
    ) -> bool:
        """Whether a call failed since this instance reaches no endpoint."""
        is_unreachable = error.fault is client.EngineFault.UNREACHABLE
        return is_unreachable and self._reachability.is_cut_off(endpoint)

    async def _make(
        self, admitted: _Admitted, notices: observed_backends.CapturedNotices
    ) -> None:
        """Makes a call and sends its result.

        Raises:
            EngineError: The call failed.
        """
        result = relay_messages.RelayedResult()
        endpoint = admitted.endpoint
        match admitted.call:
            case relay_messages.RelayedSend() as call:
                await self._send(call, admitted, notices)
                return
            case relay_messages.RelayedPrefill() as call:
                source = await self._backends.prefill(endpoint, call.outbound)
                result = relay_messages.RelayedResult(
                    source=source, notices=tuple(notices)
                )
            case relay_messages.RelayedReservation() as call:
                hold = await self._backends.reserve(
                    endpoint, tokens=call.tokens, ttl_ms=call.ttl_ms
                )
                result = relay_messages.RelayedResult(
                    hold=hold, notices=tuple(notices)
                )
            case relay_messages.RelayedRelease() as call:
                await self._release(call, endpoint)
            case relay_messages.RelayedCheck() as call:
                is_true = await self._check(call, endpoint)
                result = relay_messages.RelayedResult(is_true=is_true)
        await admitted.stream.send(result)

    async def _send(
        self,
        call: relay_messages.RelayedSend,
        admitted: _Admitted,
        notices: observed_backends.CapturedNotices,
    ) -> None:
        endpoint, stream = admitted.endpoint, admitted.stream
        async with self._backends.send(endpoint, call.outbound) as received:
            reply = whole_replies.with_certain_end(
                received,
                endpoint,
                self._backends.watch_process,
                self._clock,
                limit_ms=call.outbound.left_ms,
            )
            await stream.send(
                relay_messages.RelayedHead(
                    reply.status,
                    reply.headers,
                    reply.length,
                    tuple(notices),
                    reply.is_framed,
                )
            )
            async for part in reply.body:
                with admitted.lease.unsent(len(part)):
                    await stream.send(relay_messages.RelayedPart(part))
        await stream.send(relay_messages.RelayedEnd())

    async def _release(
        self,
        call: relay_messages.RelayedRelease,
        endpoint: resources.Endpoint,
    ) -> None:
        if call.source is not None:
            await self._backends.drop_source(endpoint, call.source)
        if call.hold is not None:
            await self._backends.drop_reservation(endpoint, call.hold)

    async def _check(
        self, call: relay_messages.RelayedCheck, endpoint: resources.Endpoint
    ) -> bool:
        match call.kind:
            case relay_messages.CheckKind.CHANGING:
                return await self._backends.is_changing(endpoint)
            case relay_messages.CheckKind.CRASHED:
                return await self._backends.has_crashed(endpoint)
            case relay_messages.CheckKind.REACHABLE:
                return await self._backends.is_reachable(endpoint)
            case relay_messages.CheckKind.RUNNING:
                state = await self._backends.process_state(endpoint)
                return state is liveness.ProcessState.RUNNING


def _request_id(call: _Call) -> str | None:
    if isinstance(
        call, relay_messages.RelayedSend | relay_messages.RelayedPrefill
    ):
        return call.outbound.call.request_id
    return None
