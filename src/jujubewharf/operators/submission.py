"""How changes that operators ask for are checked and put on the log."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import re
from typing import Any

import msgpack

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import border
from jujubewharf.configuration import records
from jujubewharf.configuration import resources
from jujubewharf.configuration import validation
from jujubewharf.operators import backend as backends
from jujubewharf.operators import differences
from jujubewharf.operators import faults
from jujubewharf.operators import identities
from jujubewharf.operators import pacing
from jujubewharf.operators import values

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
class Wish:
    """One change that an operator asks for.

    Attributes:
        operation_id: Names it.
        kind: Resource kind.
        name: Resource name.
        resource: What should be in force; ``None`` for a delete.
        expected_generation: Generation that the operator saw; 0 for none.
    """

    operation_id: str
    kind: resources.Kind
    name: str
    resource: resources.Resource | None
    expected_generation: int


class Submitter:
    """Checks changes and hands them to the configuration.

    Args:
        backend: The configuration.
        clock: Time.
    """

    def __init__(self, backend: backends.Backend, clock: clocks.Clock) -> None:
        self._backend = backend
        self._clock = clock

    def check_seen(self, wish: Wish, seen_offset: int | None) -> None:
        """Refuses what was changed past the offset that the operator saw."""
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

    def check(
        self,
        identity: values.Identity,
        wish: Wish,
        *,
        is_known: bool = False,
    ) -> None:
        """Refuses what the identity may not change.

        Args:
            identity: Who asks.
            wish: What for.
            is_known: Whether the operation was judged already.
        """
        held = self._backend.state.get(wish.kind, wish.name)
        involved = [held.resource] if held else []
        if wish.resource is not None:
            involved.append(wish.resource)
        # A delete sent again finds nothing, and still gets its answer.
        if not involved and not is_known:
            raise unknown(wish.kind, wish.name)
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

    async def check_bodies(
        self, changes: Sequence[records.Change], operation_id: str
    ) -> None:
        """Names every fault of every change before the first is made."""
        violations: list[values.Violation] = []
        found = validation.find(self._backend.state, changes)
        async for lines in pacing.paced(found):
            violations.extend(_violation(line, changes) for line in lines)
        if violations:
            raise invalid(tuple(violations), operation_id)

    async def in_runs(
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
                verdicts = await self.submit(run, operation_id, force)
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

    async def submit(
        self,
        changes: Sequence[records.Change],
        operation_id: str,
        force: bool,
    ) -> list[backends.Verdict]:
        """Submits one run of changes and waits for the verdicts."""
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

    def record(self, identity: values.Identity, wish: Wish) -> records.Change:
        """The wish as a record of the log."""
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


def _check_operator_name(wish: Wish) -> None:
    # History could not tell it from the one of the settings.
    if wish.name == identities.BOOTSTRAP_NAME:
        violation = values.Violation("name", "is the built-in admin's")
        raise invalid((violation,), wish.operation_id)


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


def invalid(
    violations: tuple[values.Violation, ...], operation_id: str
) -> faults.OperatorError:
    """The error that names every violation."""
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


def unknown(kind: resources.Kind, name: str) -> errors.WharfError:
    """The failure of a call on a resource that is not there."""
    return errors.WharfError(
        errors.ErrorKind.UNKNOWN_RESOURCE, f"{kind.value} {name}"
    )


def error_of(verdict: backends.Verdict) -> faults.OperatorError | None:
    """The failure that a verdict tells of; ``None`` when it was accepted."""
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
    error = error_of(verdict)
    return values.AppliedDifference(
        item,
        verdict.operation_id,
        0 if error else verdict.generation,
        faults.detail_of(error) if error else None,
    )
