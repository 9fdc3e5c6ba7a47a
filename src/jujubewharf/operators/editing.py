"""Changes that operators ask for, one resource or many at a time."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import re
from typing import Any
import uuid

import msgpack

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import border
from jujubewharf.configuration import records
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from jujubewharf.configuration import validation
from jujubewharf.operators import backend as backends
from jujubewharf.operators import differences
from jujubewharf.operators import faults
from jujubewharf.operators import identities
from jujubewharf.operators import pacing
from jujubewharf.operators import values

MAX_OPERATION_ID = 128
# Changes that go to the log together. Every instance folds what it reads in
# one go, so a longer run would hold up its streams for longer.
RUN = 50

# As ``configuration.validation`` writes them.
_FAULT = re.compile(
    r"changes\[(?P<index>\d+)\]\.(body\.)?(?P<path>[^:]*): (?P<message>.*)"
)

_State = values.OperationState
_KIND_OF_STATE = {
    _State.CONFLICT: errors.ErrorKind.CONFIG_CONFLICT,
    _State.INVALID: errors.ErrorKind.CONFIG_INVALID,
    _State.UNSAFE: errors.ErrorKind.CONFIG_UNSAFE,
    _State.NOT_SEEN: errors.ErrorKind.OPERATION_UNKNOWN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Wish:
    """One change that an operator asks for; no resource is a delete."""

    operation_id: str
    kind: resources.Kind
    name: str
    resource: resources.Resource | None
    expected_generation: int


class Editor:
    """Checks changes and hands them to the configuration.

    Every call takes an ``operation_id``. A call sent again under the same id,
    to any instance, takes effect once and gets the first one's answer; empty
    lets the instance choose one.

    Args:
        backend: The configuration.
        clock: Time.
    """

    def __init__(self, backend: backends.Backend, clock: clocks.Clock) -> None:
        self._backend = backend
        self._clock = clock

    async def create(
        self,
        identity: values.Identity,
        resource: resources.Resource,
        *,
        operation_id: str = "",
    ) -> values.ChangeDone:
        """Declares a resource that must not exist yet.

        Raises:
            WharfError: As for every change: ``FORBIDDEN``,
                ``CONFIG_INVALID``, ``CONFIG_CONFLICT``, ``CONFIG_UNSAFE``,
                ``LOG_UNAVAILABLE`` or ``OPERATION_UNKNOWN``.
        """
        wish = _put(_named(operation_id), resource, 0)
        return await self._one(identity, wish)

    async def change(
        self,
        identity: values.Identity,
        resource: resources.Resource,
        *,
        expected_generation: int,
        force: bool = False,
        operation_id: str = "",
    ) -> values.ChangeDone:
        """Replaces a resource whose generation must be the expected one."""
        _check_expected(expected_generation)
        wish = _put(_named(operation_id), resource, expected_generation)
        return await self._one(identity, wish, force=force)

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
        """Deletes a resource whose generation must be the expected one."""
        _check_expected(expected_generation)
        wish = _Wish(
            _named(operation_id), kind, name, None, expected_generation
        )
        return await self._one(identity, wish, force=force)

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
        """Brings back the body of an earlier generation, as a new change.

        Args:
            identity: Who asks.
            kind: Resource kind.
            name: Resource name.
            to_generation: Generation whose body comes back.
            expected_generation: Generation in force that the operator saw;
                0 when the resource is deleted now.
            force: Goes on where a pool in use would be left empty.
            operation_id: Names the operation.

        Raises:
            WharfError: Also ``UNKNOWN_RESOURCE`` when that generation is no
                longer in the history.
        """
        resource = self._body_at(kind, name, to_generation)
        wish = _put(_named(operation_id), resource, expected_generation)
        return await self._one(identity, wish, force=force)

    async def set_drained(
        self,
        identity: values.Identity,
        name: str,
        *,
        drained: bool,
        force: bool = False,
        operation_id: str = "",
    ) -> values.ChangeDone:
        """Stops new work to an endpoint, or lets it come again.

        Raises:
            WharfError: Also ``UNKNOWN_RESOURCE``.
        """
        operation = _named(operation_id)
        entry = self._backend.state.get(resources.Kind.ENDPOINT, name)
        if entry is None or not identities.may_see(identity, entry.resource):
            raise _unknown(resources.Kind.ENDPOINT, name)
        assert isinstance(entry.resource, resources.Endpoint)
        endpoint = dataclasses.replace(entry.resource, drained=drained)
        earlier = self._backend.operation(operation)
        if earlier is not None and earlier.resource == endpoint:
            # Sent again: the generation moved on by the first one's doing.
            return values.ChangeDone(
                operation, earlier.generation, self._offset
            )
        wish = _put(operation, endpoint, entry.generation)
        return await self._one(identity, wish, force=force)

    async def apply(
        self,
        identity: values.Identity,
        wanted: Sequence[resources.Resource],
        *,
        prune: bool = False,
        force: bool = False,
        dry_run: bool = False,
        operation_id: str = "",
        seen_offset: int | None = None,
    ) -> values.ApplyReply:
        """Declares many resources, or tells what that would change.

        The changes are appended together, but each stands for itself: one
        may be refused while others are in force. ``items`` tells each.

        Args:
            identity: Who asks.
            wanted: Resources that should be in force; each name once.
            prune: Deletes what the identity may change and did not list.
            force: Goes on where a pool in use would be left empty.
            dry_run: Only tells the differences.
            operation_id: Names the whole; each change gets an id below it.
            seen_offset: ``applied_offset`` of the dry run that the operator
                agreed to: what was changed since is a conflict.

        Raises:
            WharfError: As for a change; the whole is refused.
        """
        operation = _named(operation_id)
        _check_names(wanted, operation)
        # What comes into force from here on is a conflict, not a difference.
        offset = self._offset
        found = await differences.of_state(
            self._backend.state,
            wanted,
            is_pruned=lambda resource: (
                prune and identities.may_change(identity, resource)
            ),
        )
        named = {differences.key_of(resource): resource for resource in wanted}
        changes: list[records.Change] = []
        async for item in pacing.paced(found):
            wish = _wish_of(item, named, operation)
            self._check(identity, wish)
            self._check_seen(wish, seen_offset)
            changes.append(self._record(identity, wish))
        await self._check_bodies(changes, operation)
        if dry_run:
            items = tuple(values.AppliedDifference(item) for item in found)
            return values.ApplyReply(operation, items, offset)
        items = await self._in_runs(found, changes, operation, force)
        return values.ApplyReply(operation, items, self._offset)

    @property
    def _offset(self) -> int:
        return self._backend.state.next_offset

    async def _one(
        self,
        identity: values.Identity,
        wish: _Wish,
        *,
        force: bool = False,
    ) -> values.ChangeDone:
        is_known = self._backend.operation(wish.operation_id) is not None
        self._check(identity, wish, is_known=is_known)
        changes = [self._record(identity, wish)]
        await self._check_bodies(changes, wish.operation_id)
        [verdict] = await self._submit(changes, wish.operation_id, force)
        error = _error_of(verdict)
        if error is not None:
            raise error
        return values.ChangeDone(
            verdict.operation_id, verdict.generation, self._offset
        )

    def _check_seen(self, wish: _Wish, seen_offset: int | None) -> None:
        if seen_offset is None:
            return
        # The history also knows of a delete, which leaves no entry behind.
        for entry in self._backend.history(wish.kind, wish.name)[-1:]:
            if entry.generation > seen_offset:
                raise faults.OperatorError(
                    errors.ErrorKind.CONFIG_CONFLICT,
                    f"{entry.actor} changed {wish.kind.value} {wish.name}",
                    operation_id=wish.operation_id,
                    generation=entry.generation,
                )

    def _check(
        self,
        identity: values.Identity,
        wish: _Wish,
        *,
        is_known: bool = False,
    ) -> None:
        held = self._backend.state.get(wish.kind, wish.name)
        involved = [held.resource] if held else []
        if wish.resource is not None:
            involved.append(wish.resource)
        # A delete sent again finds nothing, and still gets its answer.
        if not involved and not is_known:
            raise _unknown(wish.kind, wish.name)
        # An identity that moves an endpoint needs both services.
        if not all(identities.may_change(identity, one) for one in involved):
            kind = errors.ErrorKind.FORBIDDEN
            detail = f"{identity.name} may not change {wish.kind.value}"
            raise faults.OperatorError(
                kind,
                f"{detail} {wish.name}",
                operation_id=wish.operation_id,
            )
        if isinstance(wish.resource, resources.Operator):
            _check_operator_name(wish)

    async def _check_bodies(
        self, changes: Sequence[records.Change], operation_id: str
    ) -> None:
        """Names every fault of every change before the first is made."""
        violations: list[values.Violation] = []
        found = validation.find(self._backend.state, changes)
        async for lines in pacing.paced(found):
            violations.extend(_violation(line, changes) for line in lines)
        if violations:
            raise _invalid(tuple(violations), operation_id)

    async def _in_runs(
        self,
        found: Sequence[values.Difference],
        changes: Sequence[records.Change],
        operation_id: str,
        force: bool,
    ) -> tuple[values.AppliedDifference, ...]:
        """Submits as many changes at once as go to the log together.

        A failure of the first run is the whole's. After that some changes
        are in force: the failed run's items tell of the failure, and those
        after it that they were not tried.
        """
        items: list[values.AppliedDifference] = []
        for start in range(0, len(changes), RUN):
            run = changes[start : start + RUN]
            differing = found[start : start + RUN]
            try:
                verdicts = await self._submit(run, operation_id, force)
            except faults.OperatorError as error:
                if not items:
                    raise
                items.extend(_failed(differing, run, error))
                rest = start + len(run)
                items.extend(
                    _failed(found[rest:], changes[rest:], _not_tried(error))
                )
                break
            items.extend(map(_applied, differing, verdicts))
        return tuple(items)

    async def _submit(
        self,
        changes: Sequence[records.Change],
        operation_id: str,
        force: bool,
    ) -> list[backends.Verdict]:
        try:
            return await self._backend.submit(changes, force=force)
        except errors.WharfError as error:
            raise faults.OperatorError(
                error.kind,
                error.detail,
                ran=error.ran,
                operation_id=operation_id,
                retry_after_ms=error.retry_after_ms,
            ) from error

    def _record(self, identity: values.Identity, wish: _Wish) -> records.Change:
        verb, body = records.Verb.DELETE, {}
        if wish.resource is not None:
            verb, body = records.Verb.PUT, self._body(wish.resource)
        return records.Change(
            operation_id=wish.operation_id,
            actor=identity.name,
            verb=verb,
            kind=wish.kind.value,
            name=wish.name,
            expected_generation=wish.expected_generation,
            body=body,
            wall_ms=self._clock.wall_ms(),
        )

    def _body(self, resource: resources.Resource) -> dict[str, Any]:
        """The resource's body, with what a newer version has set in it.

        This instance can't show such fields to an operator, so none can have
        meant to drop them by leaving them out.
        """
        held = self._backend.state.get(*differences.key_of(resource))
        if held is None or not held.extra_packed:
            return border.dump(resource)
        return border.dump_whole(resource, msgpack.unpackb(held.extra_packed))

    def _body_at(
        self, kind: resources.Kind, name: str, generation: int
    ) -> resources.Resource:
        for entry in self._backend.history(kind, name):
            if entry.generation != generation or entry.resource is None:
                continue
            if entry.state is _State.ACCEPTED:
                return entry.resource
        detail = f"{kind.value} {name} has no generation {generation}"
        raise errors.WharfError(errors.ErrorKind.UNKNOWN_RESOURCE, detail)


def _put(
    operation_id: str, resource: resources.Resource, generation: int
) -> _Wish:
    kind, name = differences.key_of(resource)
    return _Wish(operation_id, kind, name, resource, generation)


def _wish_of(
    item: values.Difference,
    named: dict[states.Key, resources.Resource],
    operation_id: str,
) -> _Wish:
    return _Wish(
        f"{operation_id}/{item.kind.value}/{item.name}",
        item.kind,
        item.name,
        named.get((item.kind, item.name)),
        item.generation,
    )


def _named(operation_id: str) -> str:
    if not operation_id:
        return uuid.uuid4().hex
    if len(operation_id) > MAX_OPERATION_ID or not operation_id.isprintable():
        detail = f"operation_id: at most {MAX_OPERATION_ID} printable letters"
        raise errors.WharfError(errors.ErrorKind.BAD_REQUEST, detail)
    return operation_id


def _check_expected(generation: int) -> None:
    if generation <= 0:
        detail = "expected_generation: is required"
        raise errors.WharfError(errors.ErrorKind.BAD_REQUEST, detail)


def _check_names(
    wanted: Sequence[resources.Resource], operation_id: str
) -> None:
    seen: set[states.Key] = set()
    for index, resource in enumerate(wanted):
        key = differences.key_of(resource)
        if key in seen:
            detail = f"resources.{index}: {key[0].value} {key[1]} comes twice"
            raise faults.OperatorError(
                errors.ErrorKind.CONFIG_INVALID,
                detail,
                operation_id=operation_id,
            )
        seen.add(key)


def _check_operator_name(wish: _Wish) -> None:
    # History could not tell it from the one of the settings.
    if wish.name == identities.BOOTSTRAP_NAME:
        violation = values.Violation("name", "is the built-in admin's")
        raise _invalid((violation,), wish.operation_id)


def _violation(
    line: str, changes: Sequence[records.Change]
) -> values.Violation:
    found = _FAULT.fullmatch(line)
    if found is None:
        return values.Violation("", line)
    change = changes[int(found["index"])]
    path = found["path"]
    if len(changes) > 1:
        path = f"{change.kind} {change.name}.{path}"
    return values.Violation(path, found["message"])


def _invalid(
    violations: tuple[values.Violation, ...], operation_id: str
) -> faults.OperatorError:
    return faults.OperatorError(
        errors.ErrorKind.CONFIG_INVALID,
        "; ".join(str(violation) for violation in violations),
        operation_id=operation_id,
        violations=violations,
    )


def _failed(
    found: Sequence[values.Difference],
    changes: Sequence[records.Change],
    error: faults.OperatorError,
) -> Iterator[values.AppliedDifference]:
    for item, change in zip(found, changes, strict=True):
        detail = dataclasses.replace(
            faults.detail_of(error), operation_id=change.operation_id
        )
        yield values.AppliedDifference(item, change.operation_id, error=detail)


def _not_tried(error: faults.OperatorError) -> faults.OperatorError:
    detail = "not tried, since an earlier run of changes failed"
    return faults.OperatorError(error.kind, detail, ran=errors.Ran.NO)


def _unknown(kind: resources.Kind, name: str) -> errors.WharfError:
    return errors.WharfError(
        errors.ErrorKind.UNKNOWN_RESOURCE, f"{kind.value} {name}"
    )


def _error_of(verdict: backends.Verdict) -> faults.OperatorError | None:
    kind = _KIND_OF_STATE.get(verdict.state)
    if kind is None:
        return None
    return faults.OperatorError(
        kind,
        verdict.detail,
        operation_id=verdict.operation_id,
        generation=verdict.generation,
    )


def _applied(
    item: values.Difference, verdict: backends.Verdict
) -> values.AppliedDifference:
    error = _error_of(verdict)
    return values.AppliedDifference(
        item,
        verdict.operation_id,
        0 if error else verdict.generation,
        faults.detail_of(error) if error else None,
    )
