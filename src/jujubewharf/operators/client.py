"""A client of the operator interface, for tools, the command line and tests.

The client knows several instances and goes on to the next when one is not
reached. Every change carries an operation id from the start, so that sending
it again elsewhere can't make it take effect twice.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import Sequence
import types
from typing import Any
from typing import TypeVar
import uuid

from google.protobuf import message as protobuf
from google.protobuf import message_factory
import grpc

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.operators import adapter
from jujubewharf.operators import faults
from jujubewharf.operators import guard
from jujubewharf.operators import jujubewharf_pb2 as pb
from jujubewharf.operators import messages
from jujubewharf.operators import values

DEFAULT_TIMEOUT_MS = 15_000.0

_Value = TypeVar("_Value")
_METHODS = {method.name: method for method in adapter.SERVICE.methods}
_VERDICTS = frozenset(
    {
        errors.ErrorKind.CONFIG_CONFLICT,
        errors.ErrorKind.CONFIG_INVALID,
        errors.ErrorKind.CONFIG_UNSAFE,
    }
)
# What another instance may answer better: it may be up, or reach the log
# where this one is cut off.
_ELSEWHERE = frozenset(
    {
        errors.ErrorKind.LOG_UNAVAILABLE,
        errors.ErrorKind.NOT_READY,
        errors.ErrorKind.SHUTTING_DOWN,
    }
)
_CONNECT_S = 3.0
# The client itself goes on to the next instance, under one operation id.
_OPTIONS = (("grpc.enable_retries", 0),)


class OperatorClient:
    """Calls the operator interface of a fleet.

    Use it as ``async with OperatorClient(addresses, token) as client``. All
    calls raise ``faults.OperatorError`` when they were refused or their
    outcome is unknown, and ``faults.UnreachableError`` when no instance was
    reached.

    Args:
        addresses: ``IP:PORT`` of instances, in order of preference.
        token: The operator's bearer token.
        timeout_ms: Longest wait for one instance's answer.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        token: str,
        *,
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
    ) -> None:
        if not addresses:
            raise ValueError("no address")
        self._addresses = list(addresses)
        self._token = token
        self._metadata = ((adapter.AUTHORIZATION, f"Bearer {token}"),)
        self._timeout_s = timeout_ms / 1000.0
        self._channels: dict[str, grpc.aio.Channel] = {}

    def __repr__(self) -> str:
        return f"OperatorClient({self._addresses})"

    async def __aenter__(self) -> OperatorClient:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        await self.close()

    def only(self, address: str) -> OperatorClient:
        """A client of one instance, with the same token."""
        timeout_ms = self._timeout_s * 1000.0
        return OperatorClient([address], self._token, timeout_ms=timeout_ms)

    async def close(self) -> None:
        """Closes all channels."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()

    async def create(
        self, resource: resources.Resource, *, operation_id: str = ""
    ) -> values.ChangeDone:
        """Declares a resource that must not exist yet."""
        request = pb.CreateRequest(
            resource=messages.resource_to_message(resource),
            operation_id=operation_id or new_operation_id(),
        )
        return await self._call("Create", request, values.ChangeDone)

    async def change(
        self,
        resource: resources.Resource,
        *,
        expected_generation: int,
        force: bool = False,
        operation_id: str = "",
    ) -> values.ChangeDone:
        """Replaces a resource whose generation must be the expected one."""
        request = pb.ChangeRequest(
            resource=messages.resource_to_message(resource),
            expected_generation=expected_generation,
            force=force,
            operation_id=operation_id or new_operation_id(),
        )
        return await self._call("Change", request, values.ChangeDone)

    async def delete(
        self,
        kind: resources.Kind,
        name: str,
        *,
        expected_generation: int,
        force: bool = False,
        operation_id: str = "",
    ) -> values.ChangeDone:
        """Deletes a resource whose generation must be the expected one."""
        request = pb.DeleteRequest(
            kind=_number(kind),
            name=name,
            expected_generation=expected_generation,
            force=force,
            operation_id=operation_id or new_operation_id(),
        )
        return await self._call("Delete", request, values.ChangeDone)

    async def rollback(
        self,
        kind: resources.Kind,
        name: str,
        *,
        to_generation: int,
        expected_generation: int,
        force: bool = False,
        operation_id: str = "",
    ) -> values.ChangeDone:
        """Brings back the body of an earlier generation, as a new change."""
        request = pb.RollbackRequest(
            kind=_number(kind),
            name=name,
            to_generation=to_generation,
            expected_generation=expected_generation,
            force=force,
            operation_id=operation_id or new_operation_id(),
        )
        return await self._call("Rollback", request, values.ChangeDone)

    async def set_drained(
        self,
        endpoint: str,
        *,
        drained: bool,
        force: bool = False,
        operation_id: str = "",
    ) -> values.ChangeDone:
        """Stops new work to an endpoint, or lets it come again."""
        request = pb.DrainRequest(
            endpoint=endpoint,
            force=force,
            operation_id=operation_id or new_operation_id(),
        )
        name = "Drain" if drained else "Undrain"
        return await self._call(name, request, values.ChangeDone)

    async def apply(
        self,
        wanted: Sequence[resources.Resource],
        *,
        prune: bool = False,
        force: bool = False,
        dry_run: bool = False,
        operation_id: str = "",
        seen_offset: int | None = None,
    ) -> values.ApplyReply:
        """Declares many resources; see ``editing.Editor.apply``.

        The call does not fail when single changes were refused: the reply's
        ``failed`` tells them.
        """
        request = pb.ApplyRequest(
            resources=[messages.resource_to_message(one) for one in wanted],
            prune=prune,
            force=force,
            dry_run=dry_run,
            operation_id=operation_id or new_operation_id(),
            seen_offset=seen_offset,
        )
        return await self._call("Apply", request, values.ApplyReply)

    async def get(
        self,
        kind: resources.Kind,
        name: str,
        *,
        not_before_offset: int = 0,
    ) -> values.StoredResource:
        """One resource in force."""
        request = pb.GetRequest(
            kind=_number(kind),
            name=name,
            not_before_offset=not_before_offset,
        )
        return await self._call("Get", request, values.StoredResource)

    async def list_page(
        self,
        kind: resources.Kind,
        *,
        service: str = "",
        page_size: int = 0,
        page_token: str = "",
        not_before_offset: int = 0,
    ) -> values.ListReply:
        """A page of resources by name."""
        request = pb.ListRequest(
            kind=_number(kind),
            service=service,
            page_size=page_size,
            page_token=page_token,
            not_before_offset=not_before_offset,
        )
        return await self._call("List", request, values.ListReply)

    async def list_all(
        self, kind: resources.Kind, *, service: str = ""
    ) -> list[values.StoredResource]:
        """All resources of a kind, page after page."""
        found: list[values.StoredResource] = []
        token = ""
        while True:
            page = await self.list_page(kind, service=service, page_token=token)
            found.extend(page.items)
            token = page.next_page_token
            if not token:
                return found

    async def watch(
        self,
        *,
        kinds: Sequence[resources.Kind] = (),
        service: str = "",
    ) -> AsyncGenerator[values.WatchEvent, None]:
        """The state in force, then every change, from one instance.

        It ends with an error when that instance goes; watch again then.
        """
        request = pb.WatchRequest(
            kinds=[_number(kind) for kind in kinds], service=service
        )
        await self._call(
            "GetIdentity", pb.GetIdentityRequest(), values.Identity
        )
        call = self._method(self._addresses[0], "Watch")(
            request, metadata=self._metadata
        )
        try:
            async for message in call:
                yield messages.from_message(message, values.WatchEvent)
        except grpc.aio.AioRpcError as error:
            failure = _failure(self._addresses[0], error)
            if isinstance(failure, _NoAnswerError):
                failure = faults.UnreachableError(str(failure))
            raise failure from error
        finally:
            call.cancel()

    async def history(
        self,
        kind: resources.Kind,
        name: str,
        *,
        page_size: int = 0,
        page_token: str = "",
    ) -> values.HistoryReply:
        """Changes of a resource, newest first."""
        request = pb.HistoryRequest(
            kind=_number(kind),
            name=name,
            page_size=page_size,
            page_token=page_token,
        )
        return await self._call("History", request, values.HistoryReply)

    async def operation(self, operation_id: str) -> values.Operation:
        """What became of an operation."""
        request = pb.GetOperationRequest(operation_id=operation_id)
        return await self._call("GetOperation", request, values.Operation)

    async def status(self) -> values.InstanceStatus:
        """The answering instance."""
        request = pb.GetStatusRequest()
        return await self._call("GetStatus", request, values.InstanceStatus)

    async def accept_loss(self) -> values.InstanceStatus:
        """Lets one instance go on without lost records; see the pages."""
        request = pb.AcceptLossRequest()
        return await self._call("AcceptLoss", request, values.InstanceStatus)

    async def engines(
        self, *, service: str = ""
    ) -> tuple[values.EngineStatus, ...]:
        """Engines as the answering instance sees them."""
        request = pb.ListEnginesRequest(service=service)
        reply = await self._call(
            "ListEngines", request, values.ListEnginesReply
        )
        return reply.engines

    async def identity(self) -> values.Identity:
        """The identity behind the token."""
        request = pb.GetIdentityRequest()
        return await self._call("GetIdentity", request, values.Identity)

    async def _call(
        self, name: str, request: protobuf.Message, cls: type[_Value]
    ) -> _Value:
        """Asks one instance after the other until one answers for good."""
        may_have_run = False
        refused: Exception = faults.UnreachableError("no address")
        for address in tuple(self._addresses):
            try:
                reply = await self._ask(address, name, request)
            except faults.UnreachableError as error:
                refused = error
            except faults.OperatorError as error:
                refused = error
                if not _may_ask_next(error):
                    break
            except _NoAnswerError as error:
                refused = faults.UnreachableError(str(error))
                may_have_run = may_have_run or name in guard.CHANGES
            else:
                self._prefer(address)
                return messages.from_message(reply, cls)
        if may_have_run and not _is_verdict(refused):
            # One instance took the change and was lost before it answered;
            # another's "did not run" speaks only for itself.
            raise faults.OperatorError(
                errors.ErrorKind.OPERATION_UNKNOWN,
                str(refused),
                operation_id=getattr(request, "operation_id", ""),
            )
        raise refused

    async def _ask(
        self, address: str, name: str, request: protobuf.Message
    ) -> protobuf.Message:
        await self._connect(address)
        try:
            return await self._method(address, name)(
                request, metadata=self._metadata, timeout=self._timeout_s
            )
        except grpc.aio.AioRpcError as error:
            raise _failure(address, error) from error

    async def _connect(self, address: str) -> None:
        """Waits for a connection, so that a failure here means nothing ran.

        Raises:
            UnreachableError: There is none.
        """
        channel = self._channel(address)
        try:
            async with asyncio.timeout(_CONNECT_S):
                state = channel.get_state(try_to_connect=True)
                while state is not grpc.ChannelConnectivity.READY:
                    if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                        raise faults.UnreachableError(f"{address}: unreachable")
                    await channel.wait_for_state_change(state)
                    state = channel.get_state(try_to_connect=True)
        except TimeoutError as error:
            text = f"{address}: no connection in time"
            raise faults.UnreachableError(text) from error

    def _prefer(self, address: str) -> None:
        """Asks the instance that answered first from now on."""
        self._addresses.remove(address)
        self._addresses.insert(0, address)

    def _channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=_OPTIONS)
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


def new_operation_id() -> str:
    """A name for an operation, unique for all time."""
    return uuid.uuid4().hex


class _NoAnswerError(Exception):
    """The call was sent and got no answer from the operator service."""


def _serialize(message: protobuf.Message) -> bytes:
    return message.SerializeToString()


def _number(kind: resources.Kind) -> Any:
    return pb.Kind.Value(f"KIND_{kind.name}")


def _may_ask_next(refused: faults.OperatorError) -> bool:
    return refused.ran is errors.Ran.NO and refused.kind in _ELSEWHERE


def _is_verdict(refused: Exception) -> bool:
    return (
        isinstance(refused, faults.OperatorError) and refused.kind in _VERDICTS
    )


def _failure(address: str, error: grpc.aio.AioRpcError) -> Exception:
    for key, value in error.trailing_metadata() or ():
        if key == adapter.ERROR_DETAIL and isinstance(value, bytes):
            detail = pb.ErrorDetail.FromString(value)
            read = messages.from_message(detail, values.ErrorDetail)
            return faults.from_detail(read)
    return _NoAnswerError(f"{address}: {error.code().name}: {error.details()}")
