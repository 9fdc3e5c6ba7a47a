"""Changes of one or many resources on behalf of operators."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import uuid

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import records
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from jujubewharf.operators import backend as backends
from jujubewharf.operators import call_errors
from jujubewharf.operators import differences
from jujubewharf.operators import identities
from jujubewharf.operators import pacing
from jujubewharf.operators import submission
from jujubewharf.operators import values

MAX_OPERATION_ID = 128
_State = values.OperationState


class Editor:
    """Checks changes and submits them to the configuration.

    Every call takes an ``operation_id``. Calls with the same ID, at any
    instance, take effect only once and return the same result. If the ID is
    empty, the instance generates one.

    Args:
        backend: Configuration to change.
        clock: Clock of the instance.
    """

    def __init__(self, backend: backends.Backend, clock: clocks.Clock) -> None:
        self._backend = backend
        self._submitter = submission.Submitter(backend, clock)

    async def create(
        self,
        identity: values.Identity,
        resource: resources.Resource,
        *,
        operation_id: str = "",
    ) -> values.ChangeDone:
        """Creates a resource that must not exist yet.

        Raises:
            WharfError: As for every change, ``FORBIDDEN``,
                ``CONFIG_INVALID``, ``CONFIG_CONFLICT``, ``CONFIG_UNSAFE``,
                ``LOG_UNAVAILABLE`` or ``OPERATION_UNKNOWN``.
        """
        requested = _put_request(
            _checked_operation_id(operation_id), resource, 0
        )
        return await self._submit_one(identity, requested)

    async def change(
        self,
        identity: values.Identity,
        resource: resources.Resource,
        *,
        expected_generation: int,
        force: bool = False,
        operation_id: str = "",
    ) -> values.ChangeDone:
        """Replaces a resource at the expected generation."""
        _check_expected_generation(expected_generation)
        requested = _put_request(
            _checked_operation_id(operation_id), resource, expected_generation
        )
        return await self._submit_one(identity, requested, force=force)

    async def delete(
        self,
        identity: values.Identity,
        kind: resources.Kind,
        name: str,
        *,
        expected_generation: int,
        force: bool = False,
        operation_id: str = "",
    ) -> values.ChangeDone:
        """Deletes a resource at the expected generation."""
        _check_expected_generation(expected_generation)
        requested = submission.RequestedChange(
            _checked_operation_id(operation_id),
            kind,
            name,
            None,
            expected_generation,
        )
        return await self._submit_one(identity, requested, force=force)

    async def rollback(
        self,
        identity: values.Identity,
        kind: resources.Kind,
        name: str,
        *,
        to_generation: int,
        expected_generation: int,
        force: bool = False,
        operation_id: str = "",
    ) -> values.ChangeDone:
        """Restores an earlier generation of a resource as a new change.

        Args:
            identity: Identity of the caller.
            kind: Resource kind.
            name: Resource name.
            to_generation: Generation to restore.
            expected_generation: Current generation; 0 if the resource is
                deleted.
            force: Allows a change that leaves a pool in use empty.
            operation_id: ID of the operation.

        Raises:
            WharfError: Also ``UNKNOWN_RESOURCE`` if that generation is no
                longer in the history.
        """
        resource = self._resource_at(kind, name, to_generation)
        requested = _put_request(
            _checked_operation_id(operation_id), resource, expected_generation
        )
        return await self._submit_one(identity, requested, force=force)

    async def set_drained(
        self,
        identity: values.Identity,
        name: str,
        *,
        drained: bool,
        force: bool = False,
        operation_id: str = "",
    ) -> values.ChangeDone:
        """Drains an endpoint or ends its drain.

        Raises:
            WharfError: Also ``UNKNOWN_RESOURCE``.
        """
        operation = _checked_operation_id(operation_id)
        entry = self._backend.state.get(resources.Kind.ENDPOINT, name)
        if entry is None or not identities.may_see(identity, entry.resource):
            raise submission.unknown_resource_error(
                resources.Kind.ENDPOINT, name
            )
        assert isinstance(entry.resource, resources.Endpoint)
        endpoint = dataclasses.replace(entry.resource, drained=drained)
        earlier = self._backend.operation(operation)
        if earlier is not None and earlier.resource == endpoint:
            # A retry of an operation that already changed the generation.
            return values.ChangeDone(
                operation, earlier.generation, self._applied_offset
            )
        requested = _put_request(operation, endpoint, entry.generation)
        return await self._submit_one(identity, requested, force=force)

    async def apply(
        self,
        identity: values.Identity,
        desired: Sequence[resources.Resource],
        *,
        prune: bool = False,
        force: bool = False,
        dry_run: bool = False,
        operation_id: str = "",
        seen_offset: int | None = None,
    ) -> values.ApplyReply:
        """Applies many resources, or only computes the differences.

        The changes are appended in batches, but each has its own verdict:
        one may be rejected while others are applied. ``items`` of the reply
        holds the outcome of each change.

        Args:
            identity: Identity of the caller.
            desired: Desired resources; each kind and name only once.
            prune: Deletes resources that are not in ``desired`` and that the
                identity may change.
            force: Allows changes that leave a pool in use empty.
            dry_run: Only computes the differences.
            operation_id: ID of the apply; the IDs of its changes are derived
                from it.
            seen_offset: ``applied_offset`` of the dry run that the operator
                confirmed; later changes of these resources are a conflict.

        Raises:
            WharfError: As for a single change; no change is applied.
        """
        operation = _checked_operation_id(operation_id)
        _check_unique(desired, operation)
        # Changes that are applied after this offset are conflicts.
        offset = self._applied_offset
        differing = await differences.diff_state(
            self._backend.state,
            desired,
            is_pruned=lambda resource: (
                prune and identities.may_change(identity, resource)
            ),
        )
        desired_by_key = {
            differences.key_of(resource): resource for resource in desired
        }
        changes: list[records.Change] = []
        async for item in pacing.paced(differing):
            requested = _request_of(item, desired_by_key, operation)
            self._submitter.check(identity, requested)
            self._submitter.check_unchanged_since(requested, seen_offset)
            changes.append(self._submitter.to_record(identity, requested))
        await self._submitter.check_bodies(changes, operation)
        if dry_run:
            items = tuple(values.AppliedDifference(item) for item in differing)
            return values.ApplyReply(operation, items, offset)
        items = await self._submitter.submit_in_batches(
            differing, changes, operation, force
        )
        return values.ApplyReply(operation, items, self._applied_offset)

    @property
    def _applied_offset(self) -> int:
        return self._backend.state.next_offset

    async def _submit_one(
        self,
        identity: values.Identity,
        requested: submission.RequestedChange,
        *,
        force: bool = False,
    ) -> values.ChangeDone:
        is_known = self._backend.operation(requested.operation_id) is not None
        self._submitter.check(identity, requested, is_known=is_known)
        changes = [self._submitter.to_record(identity, requested)]
        await self._submitter.check_bodies(changes, requested.operation_id)
        [verdict] = await self._submitter.submit(
            changes, requested.operation_id, force
        )
        error = submission.verdict_error(verdict)
        if error is not None:
            raise error
        return values.ChangeDone(
            verdict.operation_id, verdict.generation, self._applied_offset
        )

    def _resource_at(
        self, kind: resources.Kind, name: str, generation: int
    ) -> resources.Resource:
        for entry in self._backend.history(kind, name):
            if entry.generation != generation or entry.resource is None:
                continue
            if entry.state is _State.ACCEPTED:
                return entry.resource
        detail = f"{kind.value} {name} has no generation {generation}"
        raise errors.WharfError(errors.ErrorKind.UNKNOWN_RESOURCE, detail)


def _put_request(
    operation_id: str, resource: resources.Resource, generation: int
) -> submission.RequestedChange:
    kind, name = differences.key_of(resource)
    return submission.RequestedChange(
        operation_id, kind, name, resource, generation
    )


def _request_of(
    item: values.Difference,
    desired_by_key: dict[states.Key, resources.Resource],
    operation_id: str,
) -> submission.RequestedChange:
    return submission.RequestedChange(
        backends.child_operation_id(
            operation_id, f"{item.kind.value}/{item.name}"
        ),
        item.kind,
        item.name,
        desired_by_key.get((item.kind, item.name)),
        item.generation,
    )


def _checked_operation_id(operation_id: str) -> str:
    if not operation_id:
        return uuid.uuid4().hex
    if len(operation_id) > MAX_OPERATION_ID or not operation_id.isprintable():
        detail = f"operation_id: at most {MAX_OPERATION_ID} printable letters"
        raise errors.WharfError(errors.ErrorKind.BAD_REQUEST, detail)
    return operation_id


def _check_expected_generation(generation: int) -> None:
    if generation <= 0:
        detail = "expected_generation: is required"
        raise errors.WharfError(errors.ErrorKind.BAD_REQUEST, detail)


def _check_unique(
    desired: Sequence[resources.Resource], operation_id: str
) -> None:
    seen: set[states.Key] = set()
    for index, resource in enumerate(desired):
        key = differences.key_of(resource)
        if key in seen:
            detail = f"resources.{index}: {key[0].value} {key[1]} comes twice"
            raise call_errors.OperatorError(
                errors.ErrorKind.CONFIG_INVALID,
                detail,
                operation_id=operation_id,
            )
        seen.add(key)
