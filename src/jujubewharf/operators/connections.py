"""gRPC connections to several instances, with failover between them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import Sequence
from typing import Any
from typing import TypeVar

from google.protobuf import message as protobuf
from google.protobuf import message_factory
import grpc

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.operators import adapter
from jujubewharf.operators import call_errors
from jujubewharf.operators import call_limits
from jujubewharf.operators import jujubewharf_pb2 as pb
from jujubewharf.operators import messages
from jujubewharf.operators import values

_Value = TypeVar("_Value")
_METHODS = {method.name: method for method in adapter.SERVICE.methods}
_REJECTION_KINDS = frozenset(
    {
        errors.ErrorKind.CONFIG_CONFLICT,
        errors.ErrorKind.CONFIG_INVALID,
        errors.ErrorKind.CONFIG_UNSAFE,
    }
)
# Errors that may not occur at another instance, which may be ready or able to
# reach the log.
_FAILOVER_KINDS = frozenset(
    {
        errors.ErrorKind.LOG_UNAVAILABLE,
        errors.ErrorKind.NOT_READY,
        errors.ErrorKind.SHUTTING_DOWN,
    }
)
_CONNECT_TIMEOUT_S = 3.0
# The client retries at the next instance itself, with the same operation ID.
_CHANNEL_OPTIONS = (("grpc.enable_retries", 0),)


class Connections:
    """Connections to instances, in order of preference.

    Args:
        addresses: ``IP:PORT`` of instances.
        token: The operator's bearer token.
        timeout_ms: Timeout of a call to one instance, in milliseconds.
    """

    def __init__(
        self, addresses: Sequence[str], token: str, *, timeout_ms: float
    ) -> None:
        if not addresses:
            raise ValueError("no addresses given")
        self._addresses = list(addresses)
        self._metadata = ((adapter.AUTHORIZATION, f"Bearer {token}"),)
        self._timeout_s = timeout_ms / clocks.MS_PER_S
        self._channels: dict[str, grpc.aio.Channel] = {}

    def __repr__(self) -> str:
        return f"Connections({self._addresses})"

    async def close(self) -> None:
        """Closes all channels."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()

    async def call(
        self, name: str, request: protobuf.Message, cls: type[_Value]
    ) -> _Value:
        """Calls one instance after another until one gives a final answer.

        Raises:
            OperatorError: The call was refused, or its outcome is unknown.
            UnreachableError: No instance was reachable.
        """
        may_have_run = False
        failure: Exception = call_errors.UnreachableError("no addresses given")
        for address in tuple(self._addresses):
            try:
                reply = await self._call_one(address, name, request)
            except call_errors.UnreachableError as error:
                failure = error
            except call_errors.OperatorError as error:
                failure = error
                if not _may_try_next(error):
                    break
            except _NoAnswerError as error:
                failure = call_errors.UnreachableError(str(error))
                may_have_run = may_have_run or name in call_limits.CHANGE_CALLS
            else:
                self._move_to_front(address)
                return messages.from_message(reply, cls)
        if may_have_run and not _is_rejection(failure):
            # The connection to one instance was lost after the request was
            # sent, so the change may have run there although another
            # instance answered that it did not run.
            raise call_errors.OperatorError(
                errors.ErrorKind.OPERATION_UNKNOWN,
                str(failure),
                operation_id=getattr(request, "operation_id", ""),
            )
        raise failure

    async def _call_one(
        self, address: str, name: str, request: protobuf.Message
    ) -> protobuf.Message:
        await self._connect(address)
        try:
            return await self._method(address, name)(
                request, metadata=self._metadata, timeout=self._timeout_s
            )
        except grpc.aio.AioRpcError as error:
            raise _to_exception(address, error) from error

    async def _connect(self, address: str) -> None:
        """Waits for a connection before the request is sent.

        If this fails, the request certainly did not run.

        Raises:
            UnreachableError: The instance is not reachable.
        """
        channel = self._channel(address)
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                state = channel.get_state(try_to_connect=True)
                while state is not grpc.ChannelConnectivity.READY:
                    if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                        raise call_errors.UnreachableError(
                            f"{address}: unreachable"
                        )
                    await channel.wait_for_state_change(state)
                    state = channel.get_state(try_to_connect=True)
        except TimeoutError as error:
            text = f"{address}: connection timed out"
            raise call_errors.UnreachableError(text) from error

    def _move_to_front(self, address: str) -> None:
        """Moves an instance that answered to the front of the list."""
        self._addresses.remove(address)
        self._addresses.insert(0, address)

    def _channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(
                address, options=_CHANNEL_OPTIONS
            )
            self._channels[address] = channel
        return channel

    def _method(self, address: str, name: str) -> Any:
        method = _METHODS[name]
        channel: Any = self._channel(address)
        reply = message_factory.GetMessageClass(method.output_type)
        make = channel.unary_unary
        if method.server_streaming:
            make = channel.unary_stream
        return make(
            f"/{adapter.SERVICE.full_name}/{name}",
            request_serializer=_serialize,
            response_deserializer=reply.FromString,
        )

    async def stream(
        self, name: str, request: protobuf.Message, cls: type[_Value]
    ) -> AsyncGenerator[_Value, None]:
        """Yields the messages of a stream from the preferred instance.

        Raises:
            OperatorError: The call was refused.
            UnreachableError: The connection to the instance was lost.
        """
        address = self._addresses[0]
        call = self._method(address, name)(request, metadata=self._metadata)
        try:
            async for message in call:
                yield messages.from_message(message, cls)
        except grpc.aio.AioRpcError as error:
            failure = _to_exception(address, error)
            if isinstance(failure, _NoAnswerError):
                failure = call_errors.UnreachableError(str(failure))
            raise failure from error
        finally:
            call.cancel()


class _NoAnswerError(Exception):
    """The request was sent, but the operator service did not answer."""


def _serialize(message: protobuf.Message) -> bytes:
    return message.SerializeToString()


def _may_try_next(failure: call_errors.OperatorError) -> bool:
    return failure.ran is errors.Ran.NO and failure.kind in _FAILOVER_KINDS


def _is_rejection(failure: Exception) -> bool:
    return (
        isinstance(failure, call_errors.OperatorError)
        and failure.kind in _REJECTION_KINDS
    )


def _to_exception(address: str, error: grpc.aio.AioRpcError) -> Exception:
    for key, value in error.trailing_metadata() or ():
        if key == adapter.ERROR_DETAIL and isinstance(value, bytes):
            detail = pb.ErrorDetail.FromString(value)
            read = messages.from_message(detail, values.ErrorDetail)
            return call_errors.from_detail(read)
    return _NoAnswerError(f"{address}: {error.code().name}: {error.details()}")
