"""Access of the operator interface to the configuration."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
import dataclasses
from typing import Any
from typing import Protocol

from jujubewharf import core as cores
from jujubewharf.configuration import history as histories
from jujubewharf.configuration import records
from jujubewharf.configuration import resource_codec
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from jujubewharf.operators import values

# The history also holds records that are not resources, such as rule changes.
_RESOURCE_KINDS = frozenset(kind.value for kind in resources.Kind)
_STATE_BY_OUTCOME = {
    states.Outcome.ACCEPTED: values.OperationState.ACCEPTED,
    states.Outcome.CONFLICT: values.OperationState.CONFLICT,
    states.Outcome.UNSAFE: values.OperationState.UNSAFE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Outcome of one change.

    Attributes:
        operation_id: ID of the operation.
        state: Whether the change was accepted, or why it was rejected.
        generation: Generation of the resource after the change; 0 if the
            change was rejected.
        detail: Reason for the rejection.
    """

    operation_id: str
    state: values.OperationState
    generation: int = 0
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedChange:
    """One change that was applied.

    Attributes:
        kind: Resource kind.
        name: Resource name.
        generation: Generation of the resource after the change.
        before: Resource before the change; ``None`` if it did not exist.
        after: Resource after the change; ``None`` if it was deleted.
    """

    kind: resources.Kind
    name: str
    generation: int
    before: resources.Resource | None
    after: resources.Resource | None


def child_operation_id(operation_id: str, part: str) -> str:
    """Returns the operation ID of one change within an apply.

    Args:
        operation_id: Operation ID of the apply.
        part: Suffix that identifies the change, such as ``endpoint/d1``.
    """
    return f"{operation_id}/{part}"


class Backend(Protocol):
    """Reads and changes the configuration."""

    @property
    def state(self) -> states.State:
        """Configuration applied at this instance."""
        ...

    @property
    def is_caught_up(self) -> bool:
        """Whether this instance has loaded the configuration."""
        ...

    async def submit(
        self, changes: Sequence[records.Change], *, force: bool
    ) -> list[Verdict]:
        """Appends changes to the log and waits until they are applied here.

        Args:
            changes: Changes to append.
            force: Allows a change that leaves a pool in use empty.

        Returns:
            The verdict on each change, in the same order.

        Raises:
            WharfError: ``LOG_UNAVAILABLE`` if nothing was appended,
                ``OPERATION_UNKNOWN`` if the outcome is not known.
        """
        ...

    def operation(self, operation_id: str) -> values.HistoryEntry | None:
        """Returns the outcome of an operation; ``None`` if it was not seen."""
        ...

    def operations(self, operation_id: str) -> Sequence[values.HistoryEntry]:
        """Returns the changes of an operation or an apply, oldest first."""
        ...

    def history(
        self, kind: resources.Kind, name: str
    ) -> Sequence[values.HistoryEntry]:
        """Returns the changes of a resource, oldest first."""
        ...

    async def wait_past_offset(self, since_offset: int, wait_ms: float) -> None:
        """Waits until records past an offset are applied, or for ``wait_ms``.

        Args:
            since_offset: Log offset that the caller has already seen.
            wait_ms: Longest wait in milliseconds.
        """
        ...

    def applied_changes(self, from_offset: int) -> AsyncIterator[AppliedChange]:
        """Yields changes from an offset on, each as soon as it is applied.

        Raises:
            WharfError: ``UNKNOWN_RESOURCE`` if changes that were not yielded
                yet are no longer in the history.
        """
        ...


class CoreBackend:
    """Backend on the configuration of an entry instance.

    Args:
        core: Core of the instance.
    """

    def __init__(self, core: cores.EntryCore) -> None:
        self._follower = core.configuration
        self._changes = core.changes
        self._clock = core.clock
        self._state_changed = asyncio.Event()
        self._follower.listen(self._on_state)

    @property
    def state(self) -> states.State:
        """See ``Backend``."""
        return self._follower.current

    @property
    def is_caught_up(self) -> bool:
        """See ``Backend``."""
        return self._follower.caught_up.is_set()

    async def submit(
        self, changes: Sequence[records.Change], *, force: bool
    ) -> list[Verdict]:
        """See ``Backend``."""
        verdicts = await self._changes.submit(changes, force=force)
        return [_verdict(one) for one in verdicts]

    def operation(self, operation_id: str) -> values.HistoryEntry | None:
        """See ``Backend``."""
        item = self.state.history.find(operation_id)
        return _entry(item) if item is not None else None

    def operations(self, operation_id: str) -> Sequence[values.HistoryEntry]:
        """See ``Backend``."""
        item = self.state.history.find(operation_id)
        if item is not None:
            return [_entry(item)]
        prefix = child_operation_id(operation_id, "")
        return [
            _entry(item)
            for item in self.state.history
            if item.verdict.operation_id.startswith(prefix)
        ]

    def history(
        self, kind: resources.Kind, name: str
    ) -> Sequence[values.HistoryEntry]:
        """See ``Backend``."""
        return [_entry(item) for item in self._changes.history(kind, name)]

    async def wait_past_offset(self, since_offset: int, wait_ms: float) -> None:
        """See ``Backend``."""
        state_changed = self._state_changed
        if self.state.next_offset > since_offset:
            return
        try:
            async with self._clock.timeout_ms(wait_ms):
                await state_changed.wait()
        except TimeoutError:
            return

    async def applied_changes(
        self, from_offset: int
    ) -> AsyncIterator[AppliedChange]:
        """See ``Backend``."""
        async for item in self._changes.watch(from_offset):
            if not item.verdict.is_accepted or item.kind not in _RESOURCE_KINDS:
                continue
            yield AppliedChange(
                resources.Kind(item.kind),
                item.name,
                item.verdict.generation,
                _resource(item, item.before),
                _resource(item, item.after),
            )

    def _on_state(self, _: states.State) -> None:
        state_changed, self._state_changed = (
            self._state_changed,
            asyncio.Event(),
        )
        state_changed.set()


def _verdict(verdict: states.Verdict) -> Verdict:
    state = _STATE_BY_OUTCOME.get(
        verdict.outcome, values.OperationState.INVALID
    )
    return Verdict(
        verdict.operation_id,
        state,
        verdict.generation if verdict.is_accepted else 0,
        verdict.detail,
    )


def _entry(item: histories.HistoryItem) -> values.HistoryEntry:
    verdict = _verdict(item.verdict)
    return values.HistoryEntry(
        operation_id=verdict.operation_id,
        actor=item.actor,
        effect=_effect(item),
        state=verdict.state,
        generation=item.offset + 1,
        wall_ms=item.wall_ms,
        resource=_resource(item, item.after),
        detail=verdict.detail,
    )


def _effect(item: histories.HistoryItem) -> values.Effect:
    if item.verb is records.Verb.DELETE:
        return values.Effect.DELETE
    # A rejected change does not record whether the resource existed.
    if item.verdict.is_accepted and item.generation_before == 0:
        return values.Effect.CREATE
    return values.Effect.CHANGE


def _resource(
    item: histories.HistoryItem, body: dict[str, Any] | None
) -> resources.Resource | None:
    if body is None or item.kind not in _RESOURCE_KINDS:
        return None
    return resource_codec.parse(resources.Kind(item.kind), body).ok()
