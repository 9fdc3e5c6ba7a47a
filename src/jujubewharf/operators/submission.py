"""Checks changes and submits them to the configuration log."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import re
from typing import Any

import msgpack

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import records
from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources
from jujubewharf.configuration import validation
from jujubewharf.operators import backend as backends
from jujubewharf.operators import call_errors
from jujubewharf.operators import differences
from jujubewharf.operators import identities
from jujubewharf.operators import pacing
from jujubewharf.operators import values

# Changes that are appended to the log together. Every instance applies them
# without yielding, so a larger batch would stall its streams for longer.
BATCH_SIZE = 50

# Format of the error lines of ``configuration.validation``.
_VIOLATION_LINE = re.compile(
    r"changes\[(?P<index>\d+)\]\.(body\.)?(?P<path>[^:]*): (?P<message>.*)"
)

_State = values.OperationState
_ERROR_KIND_BY_STATE = {
    _State.CONFLICT: errors.ErrorKind.CONFIG_CONFLICT,
    _State.INVALID: errors.ErrorKind.CONFIG_INVALID,
    _State.UNSAFE: errors.ErrorKind.CONFIG_UNSAFE,
    _State.NOT_SEEN: errors.ErrorKind.OPERATION_UNKNOWN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class RequestedChange:
    """One change requested by an operator.

    Attributes:
        operation_id: ID of the operation.
        kind: Resource kind.
        name: Resource name.
        resource: Desired resource; ``None`` to delete it.
        expected_generation: Generation that the resource must have; 0 if it
            must not exist.
    """

    operation_id: str
    kind: resources.Kind
    name: str
    resource: resources.Resource | None
    expected_generation: int


class Submitter:
    """Checks changes and submits them to the configuration.

    Args:
        backend: Configuration to change.
        clock: Clock of the instance.
    """

    def __init__(self, backend: backends.Backend, clock: clocks.Clock) -> None:
        self._backend = backend
        self._clock = clock

    def check_unchanged_since(
        self, change: RequestedChange, seen_offset: int | None
    ) -> None:
        """Refuses a change if the resource changed after ``seen_offset``.

        Args:
            change: Requested change.
            seen_offset: Log offset that the operator saw; ``None`` skips the
                check.

        Raises:
            OperatorError: ``CONFIG_CONFLICT``.
        """
        if seen_offset is None:
            return
        # The history also covers a delete, after which no entry exists.
        for entry in self._backend.history(change.kind, change.name)[-1:]:
            if entry.generation > seen_offset:
                raise call_errors.OperatorError(
                    errors.ErrorKind.CONFIG_CONFLICT,
                    f"{entry.actor} changed {change.kind.value} {change.name}",
                    operation_id=change.operation_id,
                    generation=entry.generation,
                )

    def check(
        self,
        identity: values.Identity,
        change: RequestedChange,
        *,
        is_known: bool = False,
    ) -> None:
        """Refuses a change that the identity is not allowed to make.

        Args:
            identity: Identity of the caller.
            change: Requested change.
            is_known: Whether the operation already has a verdict.

        Raises:
            WharfError: ``FORBIDDEN``, ``UNKNOWN_RESOURCE`` or
                ``CONFIG_INVALID``.
        """
        held = self._backend.state.get(change.kind, change.name)
        involved = [held.resource] if held else []
        if change.resource is not None:
            involved.append(change.resource)
        # A retried delete finds no resource, but still returns its result.
        if not involved and not is_known:
            raise unknown_resource_error(change.kind, change.name)
        # Moving an endpoint requires permission for both services.
        if not all(identities.may_change(identity, one) for one in involved):
            kind = errors.ErrorKind.FORBIDDEN
            detail = f"{identity.name} may not change {change.kind.value}"
            raise call_errors.OperatorError(
                kind,
                f"{detail} {change.name}",
                operation_id=change.operation_id,
            )
        if isinstance(change.resource, resources.Operator):
            _check_operator_name(change)

    async def check_bodies(
        self, changes: Sequence[records.Change], operation_id: str
    ) -> None:
        """Validates all changes before the first one is submitted.

        Raises:
            OperatorError: ``CONFIG_INVALID`` with all violations.
        """
        violations: list[values.Violation] = []
        found = validation.check_each(self._backend.state, changes)
        async for lines in pacing.paced(found):
            violations.extend(_parse_violation(line, changes) for line in lines)
        if violations:
            raise invalid_config_error(tuple(violations), operation_id)

    async def submit_in_batches(
        self,
        found: Sequence[values.Difference],
        changes: Sequence[records.Change],
        operation_id: str,
        force: bool,
    ) -> tuple[values.AppliedDifference, ...]:
        """Submits changes in batches.

        If the first batch fails, the whole call fails. If a later batch
        fails, its items hold the error, and the items of the remaining
        batches state that they were not tried.
        """
        items: list[values.AppliedDifference] = []
        for start in range(0, len(changes), BATCH_SIZE):
            batch = changes[start : start + BATCH_SIZE]
            batch_differences = found[start : start + BATCH_SIZE]
            try:
                verdicts = await self.submit(batch, operation_id, force)
            except call_errors.OperatorError as error:
                if not items:
                    raise
                items.extend(_failed_items(batch_differences, batch, error))
                next_start = start + len(batch)
                items.extend(
                    _failed_items(
                        found[next_start:],
                        changes[next_start:],
                        _not_tried_error(error),
                    )
                )
                break
            items.extend(map(_applied_item, batch_differences, verdicts))
        return tuple(items)

    async def submit(
        self,
        changes: Sequence[records.Change],
        operation_id: str,
        force: bool,
    ) -> list[backends.Verdict]:
        """Submits one batch of changes and waits for the verdicts."""
        try:
            return await self._backend.submit(changes, force=force)
        except errors.WharfError as error:
            raise call_errors.OperatorError(
                error.kind,
                error.detail,
                ran=error.ran,
                operation_id=operation_id,
                retry_after_ms=error.retry_after_ms,
            ) from error

    def to_record(
        self, identity: values.Identity, change: RequestedChange
    ) -> records.Change:
        """Returns the log record of a requested change."""
        verb, body = records.Verb.DELETE, {}
        if change.resource is not None:
            verb, body = records.Verb.PUT, self._body(change.resource)
        return records.Change(
            operation_id=change.operation_id,
            actor=identity.name,
            verb=verb,
            kind=change.kind.value,
            name=change.name,
            expected_generation=change.expected_generation,
            body=body,
            wall_ms=self._clock.wall_ms(),
        )

    def _body(self, resource: resources.Resource) -> dict[str, Any]:
        """Returns the body of a resource with fields unknown to this version.

        Operators cannot see such fields at this instance, so leaving them
        out of a request does not mean that they should be removed.
        """
        held = self._backend.state.get(*differences.key_of(resource))
        if held is None or not held.extra_packed:
            return resource_codec.dump(resource)
        return resource_codec.dump_with_extra(
            resource, msgpack.unpackb(held.extra_packed)
        )


def _check_operator_name(change: RequestedChange) -> None:
    # In the history it would look like the built-in admin.
    if change.name == identities.BOOTSTRAP_NAME:
        violation = values.Violation("name", "is the built-in admin's")
        raise invalid_config_error((violation,), change.operation_id)


def _parse_violation(
    line: str, changes: Sequence[records.Change]
) -> values.Violation:
    found = _VIOLATION_LINE.fullmatch(line)
    if found is None:
        return values.Violation("", line)
    change = changes[int(found["index"])]
    path = found["path"]
    if len(changes) > 1:
        path = f"{change.kind} {change.name}.{path}"
    return values.Violation(path, found["message"])


def invalid_config_error(
    violations: tuple[values.Violation, ...], operation_id: str
) -> call_errors.OperatorError:
    """Returns an error that lists all violations."""
    return call_errors.OperatorError(
        errors.ErrorKind.CONFIG_INVALID,
        "; ".join(str(violation) for violation in violations),
        operation_id=operation_id,
        violations=violations,
    )


def _failed_items(
    found: Sequence[values.Difference],
    changes: Sequence[records.Change],
    error: call_errors.OperatorError,
) -> Iterator[values.AppliedDifference]:
    for item, change in zip(found, changes, strict=True):
        detail = dataclasses.replace(
            call_errors.to_detail(error), operation_id=change.operation_id
        )
        yield values.AppliedDifference(item, change.operation_id, error=detail)


def _not_tried_error(
    error: call_errors.OperatorError,
) -> call_errors.OperatorError:
    detail = "not tried, since an earlier run of changes failed"
    return call_errors.OperatorError(error.kind, detail, ran=errors.Ran.NO)


def unknown_resource_error(
    kind: resources.Kind, name: str
) -> errors.WharfError:
    """Returns the error for a resource that does not exist."""
    return errors.WharfError(
        errors.ErrorKind.UNKNOWN_RESOURCE, f"{kind.value} {name}"
    )


def verdict_error(
    verdict: backends.Verdict,
) -> call_errors.OperatorError | None:
    """Returns the error for a verdict; ``None`` if it was accepted."""
    kind = _ERROR_KIND_BY_STATE.get(verdict.state)
    if kind is None:
        return None
    return call_errors.OperatorError(
        kind,
        verdict.detail,
        operation_id=verdict.operation_id,
        generation=verdict.generation,
    )


def _applied_item(
    item: values.Difference, verdict: backends.Verdict
) -> values.AppliedDifference:
    error = verdict_error(verdict)
    return values.AppliedDifference(
        item,
        verdict.operation_id,
        0 if error else verdict.generation,
        call_errors.to_detail(error) if error else None,
    )
