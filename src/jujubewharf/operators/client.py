"""Client of the operator interface, for tools, the command line and tests.

The client fails over to the next instance when one is not reachable. Every
change carries an operation ID, so that a retry at another instance does not
apply the change twice.
"""

from __future__ import annotations

from collections.abc import AsyncGenerator
from collections.abc import Sequence
import contextlib
import types
from typing import Any
import uuid

from jujubewharf.configuration import resources
from jujubewharf.operators import connections
from jujubewharf.operators import jujubewharf_pb2 as pb
from jujubewharf.operators import messages
from jujubewharf.operators import values

DEFAULT_TIMEOUT_MS = 15_000.0


class OperatorClient:
    """Calls the operator interface of a fleet.

    Use it as ``async with OperatorClient(addresses, token) as client``. All
    calls raise ``call_errors.OperatorError`` if the call was refused or its
    outcome is unknown, and ``call_errors.UnreachableError`` if no instance
    was reachable.

    Args:
        addresses: ``IP:PORT`` of instances, in order of preference.
        token: The operator's bearer token.
        timeout_ms: Timeout of a call to one instance, in milliseconds.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        token: str,
        *,
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
    ) -> None:
        self._addresses = tuple(addresses)
        self._token = token
        self._timeout_ms = timeout_ms
        self._connections = connections.Connections(
            addresses, token, timeout_ms=timeout_ms
        )

    def __repr__(self) -> str:
        return f"OperatorClient({list(self._addresses)})"

    async def __aenter__(self) -> OperatorClient:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        await self.close()

    def for_address(self, address: str) -> OperatorClient:
        """Returns a client of one instance with the same token."""
        return OperatorClient(
            [address], self._token, timeout_ms=self._timeout_ms
        )

    async def close(self) -> None:
        """Closes all channels."""
        await self._connections.close()

    async def create(
        self, resource: resources.Resource, *, operation_id: str = ""
    ) -> values.ChangeDone:
        """Declares a resource that must not exist yet."""
        request = pb.CreateRequest(
            resource=messages.resource_to_message(resource),
            operation_id=operation_id or new_operation_id(),
        )
        return await self._connections.call(
            "Create", request, values.ChangeDone
        )

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
        return await self._connections.call(
            "Change", request, values.ChangeDone
        )

    async def delete(
        self,
        kind: resources.Kind,
        name: str,
        *,
        expected_generation: int,
        force: bool = False,
        operation_id: str = "",
    ) -> values.ChangeDone:
        """Deletes a resource at the expected generation."""
        request = pb.DeleteRequest(
            kind=_kind_number(kind),
            name=name,
            expected_generation=expected_generation,
            force=force,
            operation_id=operation_id or new_operation_id(),
        )
        return await self._connections.call(
            "Delete", request, values.ChangeDone
        )

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
        """Restores an earlier generation of a resource as a new change."""
        request = pb.RollbackRequest(
            kind=_kind_number(kind),
            name=name,
            to_generation=to_generation,
            expected_generation=expected_generation,
            force=force,
            operation_id=operation_id or new_operation_id(),
        )
        return await self._connections.call(
            "Rollback", request, values.ChangeDone
        )

    async def set_drained(
        self,
        endpoint: str,
        *,
        drained: bool,
        force: bool = False,
        operation_id: str = "",
    ) -> values.ChangeDone:
        """Drains an endpoint or ends its drain."""
        request = pb.DrainRequest(
            endpoint=endpoint,
            force=force,
            operation_id=operation_id or new_operation_id(),
        )
        name = "Drain" if drained else "Undrain"
        return await self._connections.call(name, request, values.ChangeDone)

    async def apply(
        self,
        desired: Sequence[resources.Resource],
        *,
        prune: bool = False,
        force: bool = False,
        dry_run: bool = False,
        operation_id: str = "",
        seen_offset: int | None = None,
    ) -> values.ApplyReply:
        """Applies many resources; see ``editing.Editor.apply``.

        The call succeeds even if single changes were rejected; check the
        ``failed`` items of the reply.
        """
        request = pb.ApplyRequest(
            resources=[messages.resource_to_message(one) for one in desired],
            prune=prune,
            force=force,
            dry_run=dry_run,
            operation_id=operation_id or new_operation_id(),
            seen_offset=seen_offset,
        )
        return await self._connections.call("Apply", request, values.ApplyReply)

    async def get(
        self,
        kind: resources.Kind,
        name: str,
        *,
        not_before_offset: int = 0,
    ) -> values.StoredResource:
        """Returns a resource."""
        request = pb.GetRequest(
            kind=_kind_number(kind),
            name=name,
            not_before_offset=not_before_offset,
        )
        return await self._connections.call(
            "Get", request, values.StoredResource
        )

    async def list_page(
        self,
        kind: resources.Kind,
        *,
        service: str = "",
        page_size: int = 0,
        page_token: str = "",
        not_before_offset: int = 0,
    ) -> values.ListReply:
        """Returns a page of resources, sorted by name."""
        request = pb.ListRequest(
            kind=_kind_number(kind),
            service=service,
            page_size=page_size,
            page_token=page_token,
            not_before_offset=not_before_offset,
        )
        return await self._connections.call("List", request, values.ListReply)

    async def list_all(
        self, kind: resources.Kind, *, service: str = ""
    ) -> list[values.StoredResource]:
        """Returns all resources of a kind, fetched page by page."""
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
        """Yields the current state, then every change, from one instance.

        Raises an error when the connection to the instance is lost; call
        ``watch`` again to resume from a new snapshot.
        """
        request = pb.WatchRequest(
            kinds=[_kind_number(kind) for kind in kinds], service=service
        )
        await self._connections.call(
            "GetIdentity", pb.GetIdentityRequest(), values.Identity
        )
        events = self._connections.stream("Watch", request, values.WatchEvent)
        async with contextlib.aclosing(events):
            async for event in events:
                yield event

    async def history(
        self,
        kind: resources.Kind,
        name: str,
        *,
        page_size: int = 0,
        page_token: str = "",
    ) -> values.HistoryReply:
        """Returns a page of the changes of a resource, newest first."""
        request = pb.HistoryRequest(
            kind=_kind_number(kind),
            name=name,
            page_size=page_size,
            page_token=page_token,
        )
        return await self._connections.call(
            "History", request, values.HistoryReply
        )

    async def operation(self, operation_id: str) -> values.Operation:
        """Returns the outcome of an operation."""
        request = pb.GetOperationRequest(operation_id=operation_id)
        return await self._connections.call(
            "GetOperation", request, values.Operation
        )

    async def status(self) -> values.InstanceStatus:
        """Returns the status of the answering instance."""
        request = pb.GetStatusRequest()
        return await self._connections.call(
            "GetStatus", request, values.InstanceStatus
        )

    async def accept_loss(self) -> values.InstanceStatus:
        """Lets one instance continue without records that the log has lost."""
        request = pb.AcceptLossRequest()
        return await self._connections.call(
            "AcceptLoss", request, values.InstanceStatus
        )

    async def engines(
        self, *, service: str = ""
    ) -> tuple[values.EngineStatus, ...]:
        """Returns the engines as seen by the answering instance."""
        request = pb.ListEnginesRequest(service=service)
        reply = await self._connections.call(
            "ListEngines", request, values.ListEnginesReply
        )
        return reply.engines

    async def identity(self) -> values.Identity:
        """Returns the identity that the token belongs to."""
        request = pb.GetIdentityRequest()
        return await self._connections.call(
            "GetIdentity", request, values.Identity
        )


def new_operation_id() -> str:
    """Returns a new globally unique operation ID."""
    return uuid.uuid4().hex


def _kind_number(kind: resources.Kind) -> Any:
    return pb.Kind.Value(f"KIND_{kind.name}")
