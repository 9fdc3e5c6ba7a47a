"""RPC functions that convert between messages and service calls."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Protocol
from typing import TypeVar

from google.protobuf import message as protobuf

from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.operators import jujubewharf_pb2 as pb
from jujubewharf.operators import messages
from jujubewharf.operators import pacing
from jujubewharf.operators import service as services
from jujubewharf.operators import submission
from jujubewharf.operators import values

Service = services.OperatorService
UnaryCall = Callable[
    [Service, values.Identity, Any], Awaitable[protobuf.Message]
]
StreamCall = Callable[
    [Service, values.Identity, Any], AsyncIterator[protobuf.Message]
]

_Message = TypeVar("_Message", bound=protobuf.Message)


class _ResourceRequest(Protocol):
    kind: Any
    name: str


async def _create(
    service: Service, identity: values.Identity, request: pb.CreateRequest
) -> pb.ChangeDone:
    done = await service.editor.create(
        identity, _resource(request), operation_id=request.operation_id
    )
    return messages.to_message(done, pb.ChangeDone)


async def _change(
    service: Service, identity: values.Identity, request: pb.ChangeRequest
) -> pb.ChangeDone:
    done = await service.editor.change(
        identity,
        _resource(request),
        expected_generation=request.expected_generation,
        force=request.force,
        operation_id=request.operation_id,
    )
    return messages.to_message(done, pb.ChangeDone)


async def _delete(
    service: Service, identity: values.Identity, request: pb.DeleteRequest
) -> pb.ChangeDone:
    done = await service.editor.delete(
        identity,
        *_key(request),
        expected_generation=request.expected_generation,
        force=request.force,
        operation_id=request.operation_id,
    )
    return messages.to_message(done, pb.ChangeDone)


async def _rollback(
    service: Service, identity: values.Identity, request: pb.RollbackRequest
) -> pb.ChangeDone:
    done = await service.editor.rollback(
        identity,
        *_key(request),
        to_generation=request.to_generation,
        expected_generation=request.expected_generation,
        force=request.force,
        operation_id=request.operation_id,
    )
    return messages.to_message(done, pb.ChangeDone)


async def _drain(
    service: Service, identity: values.Identity, request: pb.DrainRequest
) -> pb.ChangeDone:
    return await _set_drained(service, identity, request, drained=True)


async def _undrain(
    service: Service, identity: values.Identity, request: pb.DrainRequest
) -> pb.ChangeDone:
    return await _set_drained(service, identity, request, drained=False)


async def _set_drained(
    service: Service,
    identity: values.Identity,
    request: pb.DrainRequest,
    *,
    drained: bool,
) -> pb.ChangeDone:
    done = await service.editor.set_drained(
        identity,
        request.endpoint,
        drained=drained,
        force=request.force,
        operation_id=request.operation_id,
    )
    return messages.to_message(done, pb.ChangeDone)


async def _apply(
    service: Service, identity: values.Identity, request: pb.ApplyRequest
) -> pb.ApplyReply:
    reply = await service.editor.apply(
        identity,
        await _resources(request),
        prune=request.prune,
        force=request.force,
        dry_run=request.dry_run,
        operation_id=request.operation_id,
        seen_offset=(
            request.seen_offset if request.HasField("seen_offset") else None
        ),
    )
    answer = pb.ApplyReply(
        operation_id=reply.operation_id, applied_offset=reply.applied_offset
    )
    async for item in pacing.paced(reply.items):
        answer.items.append(messages.to_message(item, pb.AppliedDifference))
    return answer


async def _get(
    service: Service, identity: values.Identity, request: pb.GetRequest
) -> pb.StoredResource:
    stored = await service.queries.get(
        identity,
        *_key(request),
        not_before_offset=request.not_before_offset,
    )
    return messages.to_message(stored, pb.StoredResource)


async def _list(
    service: Service, identity: values.Identity, request: pb.ListRequest
) -> pb.ListReply:
    reply = await service.queries.list_page(
        identity,
        _kind(request.kind),
        service=request.service,
        page_size=request.page_size,
        page_token=request.page_token,
        not_before_offset=request.not_before_offset,
    )
    answer = pb.ListReply(
        next_page_token=reply.next_page_token,
        applied_offset=reply.applied_offset,
    )
    async for item in pacing.paced(reply.items):
        answer.items.append(messages.to_message(item, pb.StoredResource))
    return answer


async def _watch(
    service: Service, identity: values.Identity, request: pb.WatchRequest
) -> AsyncIterator[protobuf.Message]:
    events = service.queries.watch(
        identity,
        kinds=tuple(_kind(number) for number in request.kinds),
        service=request.service,
    )
    async for event in events:
        yield messages.to_message(event, pb.WatchEvent)


async def _history(
    service: Service, identity: values.Identity, request: pb.HistoryRequest
) -> pb.HistoryReply:
    reply = await service.queries.history(
        identity,
        *_key(request),
        page_size=request.page_size,
        page_token=request.page_token,
    )
    return messages.to_message(reply, pb.HistoryReply)


async def _get_operation(
    service: Service,
    identity: values.Identity,
    request: pb.GetOperationRequest,
) -> pb.Operation:
    operation = await service.queries.operation(identity, request.operation_id)
    return messages.to_message(operation, pb.Operation)


async def _get_status(
    service: Service, identity: values.Identity, request: pb.GetStatusRequest
) -> pb.InstanceStatus:
    status = service.inspector.status()
    return messages.to_message(status, pb.InstanceStatus)


async def _accept_loss(
    service: Service, identity: values.Identity, request: pb.AcceptLossRequest
) -> pb.InstanceStatus:
    status = service.inspector.accept_loss(identity)
    return messages.to_message(status, pb.InstanceStatus)


async def _list_engines(
    service: Service,
    identity: values.Identity,
    request: pb.ListEnginesRequest,
) -> pb.ListEnginesReply:
    engines = service.inspector.engines(identity, request.service)
    reply = values.ListEnginesReply(engines)
    return messages.to_message(reply, pb.ListEnginesReply)


async def _get_identity(
    service: Service,
    identity: values.Identity,
    request: pb.GetIdentityRequest,
) -> pb.Identity:
    return messages.to_message(identity, pb.Identity)


UNARY: dict[str, UnaryCall] = {
    "Create": _create,
    "Change": _change,
    "Delete": _delete,
    "Rollback": _rollback,
    "Drain": _drain,
    "Undrain": _undrain,
    "Apply": _apply,
    "Get": _get,
    "List": _list,
    "History": _history,
    "GetOperation": _get_operation,
    "GetStatus": _get_status,
    "AcceptLoss": _accept_loss,
    "ListEngines": _list_engines,
    "GetIdentity": _get_identity,
}
STREAM: dict[str, StreamCall] = {"Watch": _watch}


def _resource(
    request: pb.CreateRequest | pb.ChangeRequest,
) -> resources.Resource:
    read = messages.resource_from_message(request.resource)
    if read.is_err():
        raise submission.invalid_config_error(
            read.unwrap_err(), request.operation_id
        )
    return read.unwrap()


async def _resources(request: pb.ApplyRequest) -> list[resources.Resource]:
    found: list[resources.Resource] = []
    violations: list[values.Violation] = []
    async for index, message in pacing.paced(enumerate(request.resources)):
        read = messages.resource_from_message(message)
        if read.is_ok():
            found.append(read.unwrap())
            continue
        violations.extend(
            values.Violation(f"resources.{index}.{fault.path}", fault.message)
            for fault in read.unwrap_err()
        )
    if violations:
        raise submission.invalid_config_error(
            tuple(violations), request.operation_id
        )
    return found


def _key(request: _ResourceRequest) -> tuple[resources.Kind, str]:
    return _kind(request.kind), request.name


def _kind(number: Any) -> resources.Kind:
    kind = messages.enum_of(pb.Kind.DESCRIPTOR, number, resources.Kind)
    if kind is None:
        detail = "kind: is required, or unknown here"
        raise errors.WharfError(errors.ErrorKind.BAD_REQUEST, detail)
    return kind
