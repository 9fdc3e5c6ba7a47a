"""Submits operators' changes to the log and waits for their verdicts."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
import dataclasses

from opentelemetry import metrics

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import differences
from jujubewharf.configuration import follower as followers
from jujubewharf.configuration import history as histories
from jujubewharf.configuration import records
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from jujubewharf.configuration import validation
from jujubewharf.platform import log

_ANSWER_TIMEOUT_MS = 10_000.0

_meter = metrics.get_meter("jujubewharf")
_submitted = _meter.create_counter(
    "configuration.submitted",
    description="Operators' changes answered here, by outcome",
)


class ChangeSubmitter:
    """Submits operators' changes and answers queries about them.

    Args:
        follower: Follower that holds the local configuration.
        platform_log: The platform's log.
        clock: Time source.
        answer_timeout_ms: Maximum time in milliseconds to wait until a
            submitted change has been read back from the log.
    """

    def __init__(
        self,
        follower: followers.ConfigurationFollower,
        platform_log: log.Log,
        clock: clocks.Clock,
        *,
        answer_timeout_ms: float = _ANSWER_TIMEOUT_MS,
    ) -> None:
        self._follower = follower
        self._log = platform_log
        self._clock = clock
        self._answer_timeout_ms = answer_timeout_ms
        self._applied = asyncio.Event()
        follower.listen(self._on_state)

    async def submit(
        self, changes: Sequence[records.Change], *, force: bool = False
    ) -> list[states.Verdict]:
        """Appends changes to the log and waits for their verdicts.

        The changes are appended as one batch, but they are not a transaction:
        each has its own verdict. Operations that already have a verdict are
        not appended again.

        Args:
            changes: Changes, in order.
            force: Whether to skip the safety checks for all changes.

        Returns:
            The verdicts, in the order of the changes.

        Raises:
            WharfError: ``CONFIG_INVALID``: the detail lists all errors and
                nothing was appended. ``CONFIG_CONFLICT``: an operation ID was
                already used for another change. ``LOG_UNAVAILABLE``: nothing
                was appended. ``OPERATION_UNKNOWN``: the changes may have been
                appended; ``operation`` returns their verdicts later.
        """
        if force:
            changes = [dataclasses.replace(one, force=True) for one in changes]
        problems = validation.check(self._state, changes)
        if problems:
            raise self._make_error(
                errors.ErrorKind.CONFIG_INVALID, "; ".join(problems)
            )
        self._check_can_apply()
        verdicts = self._known_verdicts(changes)
        if not all(one.operation_id in verdicts for one in changes):
            await self._append(changes, verdicts)
            verdicts = await self._read_back(changes)
        for verdict in verdicts.values():
            _submitted.add(1, {"outcome": verdict.outcome.value})
        return [verdicts[change.operation_id] for change in changes]

    def operation(self, operation_id: str) -> states.Verdict | None:
        """Returns the verdict on an operation.

        Returns:
            The verdict; ``None`` if the operation has not been applied yet or
            is no longer in the history.
        """
        item = self._state.history.find(operation_id)
        return item.verdict if item is not None else None

    def history(
        self, kind: resources.Kind | None = None, name: str = ""
    ) -> list[histories.HistoryItem]:
        """Returns applied changes, oldest first, of one resource or all."""
        if kind is None:
            return list(self._state.history)
        return self._state.history.of_resource(kind.value, name)

    def diff(
        self, wanted: Sequence[resources.Resource], *, prune: bool = False
    ) -> list[differences.Difference]:
        """Compares wanted resources with those in force.

        See ``differences.find``.
        """
        return differences.find(self._state, wanted, prune=prune)

    async def rollback(
        self,
        kind: resources.Kind,
        name: str,
        to_generation: int,
        *,
        operation_id: str,
        actor: str,
        force: bool = False,
    ) -> states.Verdict:
        """Submits a new change that restores an earlier body.

        Args:
            kind: Resource kind.
            name: Resource name.
            to_generation: Generation whose body is restored.
            operation_id: ID of the new change.
            actor: Operator who requests the rollback.
            force: Whether to skip the safety checks.

        Returns:
            The verdict on the new change.

        Raises:
            WharfError: ``UNKNOWN_RESOURCE`` if that generation is not in the
                history; otherwise as for ``submit``.
        """
        body = self._find_body(kind, name, to_generation)
        current = self._state.get(kind, name)
        change = records.Change(
            operation_id=operation_id,
            actor=actor,
            verb=records.Verb.PUT,
            kind=kind.value,
            name=name,
            expected_generation=current.generation if current else 0,
            body=body,
            wall_ms=self._clock.wall_ms(),
        )
        return (await self.submit([change], force=force))[0]

    async def watch(
        self, from_offset: int
    ) -> AsyncIterator[histories.HistoryItem]:
        """Yields applied changes from an offset on, as they arrive.

        Items come from the bounded history, so slow consumers don't need a
        buffer.

        Raises:
            WharfError: ``UNKNOWN_RESOURCE`` if the history no longer reaches
                back to the offset. The caller then has to read the whole
                state and watch from its offset.
        """
        cursor = from_offset - 1
        while True:
            applied = self._applied
            history = self._state.history
            if cursor + 1 < history.complete_from_offset:
                raise errors.WharfError(
                    errors.ErrorKind.UNKNOWN_RESOURCE,
                    "the history starts at offset"
                    f" {history.complete_from_offset}",
                )
            items = history.newer_than(cursor)
            for item in items:
                cursor = max(cursor, item.offset)
                yield item
            if not items:
                await applied.wait()

    def _check_can_apply(self) -> None:
        """Checks that this instance would apply a change once appended.

        Raises:
            WharfError: ``LOG_UNAVAILABLE``; nothing was appended.
        """
        follower = self._follower
        reason = ""
        if not follower.caught_up.is_set():
            reason = "this instance has not read the log to its end yet"
        elif follower.is_frozen:
            reason = "this instance is too old for the rules in force"
        elif follower.is_log_behind:
            reason = "the log ends before what is in force"
        if reason:
            raise self._make_error(errors.ErrorKind.LOG_UNAVAILABLE, reason)

    @property
    def _state(self) -> states.State:
        return self._follower.current

    def _on_state(self, _: states.State) -> None:
        applied, self._applied = self._applied, asyncio.Event()
        applied.set()

    def _known_verdicts(
        self, changes: Sequence[records.Change]
    ) -> dict[str, states.Verdict]:
        """Returns the verdicts of changes that have already been applied.

        Raises:
            WharfError: ``CONFIG_CONFLICT``: an operation ID was already used
                for another change.
        """
        verdicts: dict[str, states.Verdict] = {}
        for change in changes:
            item = self._state.history.find(change.operation_id)
            if item is None:
                continue
            if item.change_digest != change.digest():
                raise self._make_error(
                    errors.ErrorKind.CONFIG_CONFLICT,
                    f"operation id {change.operation_id} was used for"
                    " another change",
                )
            verdicts[change.operation_id] = item.verdict
        return verdicts

    async def _append(
        self,
        changes: Sequence[records.Change],
        known_verdicts: dict[str, states.Verdict],
    ) -> None:
        new_changes = [
            one for one in changes if one.operation_id not in known_verdicts
        ]
        try:
            await self._log.append(
                records.STREAM,
                [records.encode(change) for change in new_changes],
            )
        except log.LogUnavailableError as error:
            raise self._make_error(
                errors.ErrorKind.LOG_UNAVAILABLE, str(error)
            ) from error
        except log.AppendUnknownError:
            # The changes may be in the log. Appending them again could revert
            # a change made in between; reading the log shows the outcome.
            return

    async def _read_back(
        self, changes: Sequence[records.Change]
    ) -> dict[str, states.Verdict]:
        try:
            async with self._clock.timeout_ms(self._answer_timeout_ms):
                while True:
                    applied = self._applied
                    verdicts = self._known_verdicts(changes)
                    if len(verdicts) == len(changes):
                        return verdicts
                    await applied.wait()
        except TimeoutError as error:
            operation_ids = ", ".join(change.operation_id for change in changes)
            raise self._make_error(
                errors.ErrorKind.OPERATION_UNKNOWN,
                f"not read back yet; ask for operation {operation_ids}",
            ) from error

    def _find_body(
        self, kind: resources.Kind, name: str, generation: int
    ) -> dict[str, object]:
        for item in self.history(kind, name):
            verdict = item.verdict
            if verdict.is_accepted and verdict.generation == generation:
                if item.after is not None:
                    return item.after
            if item.generation_before == generation and item.before:
                return item.before
        raise errors.WharfError(
            errors.ErrorKind.UNKNOWN_RESOURCE,
            f"generation {generation} of {kind.value} {name} is not kept",
        )

    def _make_error(
        self, kind: errors.ErrorKind, detail: str
    ) -> errors.WharfError:
        _submitted.add(1, {"outcome": kind.value})
        return errors.WharfError(kind, detail)
