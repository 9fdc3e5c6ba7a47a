"""What operators ask of the configuration in force and of its past."""

from __future__ import annotations

import base64
import bisect
from collections.abc import AsyncIterator
from collections.abc import Sequence
import dataclasses
import itertools
import json

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from jujubewharf.operators import backend as backends
from jujubewharf.operators import identities
from jujubewharf.operators import values

DEFAULT_PAGE_SIZE = 100
MAX_PAGE_SIZE = 1_000

_REACH_MS = 5_000.0


class Queries:
    """Reads the configuration for an identity, within its scope.

    Args:
        backend: The configuration.
        clock: Time.
    """

    def __init__(self, backend: backends.Backend, clock: clocks.Clock) -> None:
        self._backend = backend
        self._clock = clock

    async def get(
        self,
        identity: values.Identity,
        kind: resources.Kind,
        name: str,
        *,
        not_before_offset: int = 0,
    ) -> values.StoredResource:
        """One resource in force.

        Args:
            identity: Who asks.
            kind: Resource kind.
            name: Resource name.
            not_before_offset: Waits until the log is folded up to here, so
                that an operator reads its own change at any instance.

        Raises:
            WharfError: ``UNKNOWN_RESOURCE``, also for what the identity may
                not see; ``LOG_UNAVAILABLE`` when the offset is not reached.
        """
        await self._reach(not_before_offset)
        entry = self._backend.state.get(kind, name)
        if entry is None or not identities.may_see(identity, entry.resource):
            detail = f"{kind.value} {name}"
            raise errors.WharfError(errors.ErrorKind.UNKNOWN_RESOURCE, detail)
        return self._stored(entry)

    async def list_page(
        self,
        identity: values.Identity,
        kind: resources.Kind,
        *,
        service: str = "",
        page_size: int = 0,
        page_token: str = "",
        not_before_offset: int = 0,
    ) -> values.ListReply:
        """A page of resources by name.

        A page goes on after the last name of the one before, so a resource
        that stays is listed exactly once whatever comes and goes meanwhile.

        Raises:
            WharfError: ``BAD_REQUEST`` when the token is of another listing.
        """
        await self._reach(not_before_offset)
        listing = ["list", kind.value, service]
        after = _parse_token(page_token, listing)
        held = self._backend.state.of_kind(kind)
        start = bisect.bisect_right(
            held, after, key=lambda entry: entry.resource.name
        )
        scope = _Scope(identity, frozenset((kind,)), service)
        entries = (
            entry for entry in held[start:] if scope.holds(entry.resource)
        )
        size = _page_size(page_size)
        page = list(itertools.islice(entries, size))
        token = ""
        if next(entries, None) is not None:
            token = _token(listing, page[-1].resource.name)
        items = tuple(self._stored(entry) for entry in page)
        return values.ListReply(items, token, self._offset)

    async def watch(
        self,
        identity: values.Identity,
        *,
        kinds: Sequence[resources.Kind] = (),
        service: str = "",
    ) -> AsyncIterator[values.WatchEvent]:
        """The state in force, then every change as it comes into force.

        Raises:
            WharfError: ``UNKNOWN_RESOURCE`` when the watcher is so slow that
                changes it has not seen are no longer kept; watch anew.
        """
        scope = _Scope(identity, frozenset(kinds), service)
        offset = self._offset
        held = [
            entry
            for kind in resources.Kind
            for entry in self._backend.state.of_kind(kind)
            if scope.holds(entry.resource)
        ]
        for entry in held:
            yield _created(entry, offset)
        yield values.WatchEvent(is_snapshot_end=True, applied_offset=offset)
        async for step in self._backend.steps(offset):
            event = scope.event(step)
            if event is not None:
                yield event

    async def history(
        self,
        identity: values.Identity,
        kind: resources.Kind,
        name: str,
        *,
        page_size: int = 0,
        page_token: str = "",
    ) -> values.HistoryReply:
        """Changes of a resource, newest first, as far back as is kept.

        Raises:
            WharfError: ``BAD_REQUEST`` when the token is of another history.
        """
        listing = ["history", kind.value, name]
        after = _parse_token(page_token, listing)
        kept = self._backend.history(kind, name)
        if not _may_see_history(identity, kept):
            kept = []
        entries = [
            entry
            for entry in reversed(kept)
            if not after or entry.generation < int(after)
        ]
        size = _page_size(page_size)
        page = entries[:size]
        token = ""
        if len(entries) > size:
            token = _token(listing, str(page[-1].generation))
        return values.HistoryReply(tuple(page), token, self._offset)

    async def operation(
        self, identity: values.Identity, operation_id: str
    ) -> values.Operation:
        """What became of an operation, or of the changes of an apply.

        Of an apply it tells the changes that were judged: the first that was
        refused, or else the last that was accepted.

        Raises:
            WharfError: ``FORBIDDEN`` for another's operation on what the
                identity may not see.
        """
        entries = self._backend.operations(operation_id)
        for entry in entries:
            _check_operation(identity, entry)
        if not entries:
            state = values.OperationState.NOT_SEEN
            return values.Operation(
                operation_id, state, applied_offset=self._offset
            )
        accepted = [entry for entry in entries if _is_accepted(entry)]
        refused = [entry for entry in entries if not _is_accepted(entry)]
        told = refused[0] if refused else accepted[-1]
        detail = told.detail
        if len(entries) > 1 or told.operation_id != operation_id:
            detail = (
                f"{len(accepted)} of {len(entries)} judged changes are in"
                f" force; {told.operation_id} {detail}"
            ).strip()
        return values.Operation(
            operation_id,
            told.state,
            0 if refused else told.generation,
            detail,
            self._offset,
        )

    @property
    def _offset(self) -> int:
        return self._backend.state.next_offset

    async def _reach(self, offset: int) -> None:
        until_ms = self._clock.now_ms() + _REACH_MS
        while self._offset < offset:
            left_ms = until_ms - self._clock.now_ms()
            if left_ms <= 0:
                detail = f"folded up to {self._offset} only, not {offset}"
                kind = errors.ErrorKind.LOG_UNAVAILABLE
                raise errors.WharfError(kind, detail)
            await self._backend.changed(self._offset, left_ms)

    def _stored(self, entry: states.Entry) -> values.StoredResource:
        return values.StoredResource(
            entry.resource, entry.generation, self._offset
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Scope:
    """What one watcher is told of."""

    identity: values.Identity
    kinds: frozenset[resources.Kind]
    service: str

    def holds(self, resource: resources.Resource | None) -> bool:
        if resource is None:
            return False
        kind = resources.KIND_OF[type(resource)]
        if self.kinds and kind not in self.kinds:
            return False
        return _belongs(resource, self.service) and identities.may_see(
            self.identity, resource
        )

    def event(self, step: backends.Step) -> values.WatchEvent | None:
        """The step as this watcher sees it.

        A resource that leaves the scope is told as deleted, and one that
        comes into it as created.
        """
        was_held, is_held = self.holds(step.before), self.holds(step.after)
        if not was_held and not is_held:
            return None
        effect = values.Effect.CHANGE
        if not was_held:
            effect = values.Effect.CREATE
        elif not is_held:
            effect = values.Effect.DELETE
        return values.WatchEvent(
            effect,
            step.kind,
            step.name,
            step.generation,
            step.after if is_held else None,
            applied_offset=step.generation,
        )


def _created(entry: states.Entry, offset: int) -> values.WatchEvent:
    return values.WatchEvent(
        values.Effect.CREATE,
        resources.KIND_OF[type(entry.resource)],
        entry.resource.name,
        entry.generation,
        entry.resource,
        applied_offset=offset,
    )


def _belongs(resource: resources.Resource, service: str) -> bool:
    if not service:
        return True
    match resource:
        case resources.Service(name=name):
            return name == service
        case resources.Endpoint(service=of):
            return of == service
        case resources.Account(services=services):
            return not services or service in services
        case resources.Operator(services=services):
            return not services or service in services
        case resources.Model():
            return True


def _may_see_history(
    identity: values.Identity, entries: Sequence[values.HistoryEntry]
) -> bool:
    # A resource that moved between services shows both in its history.
    bodies = [entry.resource for entry in entries if entry.resource]
    if not bodies:
        return not identity.services
    return all(identities.may_see(identity, body) for body in bodies)


def _is_accepted(entry: values.HistoryEntry) -> bool:
    return entry.state is values.OperationState.ACCEPTED


def _check_operation(
    identity: values.Identity, entry: values.HistoryEntry
) -> None:
    if entry.actor == identity.name or not identity.services:
        return
    body = entry.resource
    if body is None or not identities.may_see(identity, body):
        detail = f"operation {entry.operation_id} is another operator's"
        raise errors.WharfError(errors.ErrorKind.FORBIDDEN, detail)


def _page_size(asked: int) -> int:
    if asked < 0:
        detail = "page_size: is below zero"
        raise errors.WharfError(errors.ErrorKind.BAD_REQUEST, detail)
    return min(asked or DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)


def _token(listing: list[str], after: str) -> str:
    text = json.dumps([*listing, after])
    return base64.urlsafe_b64encode(text.encode()).decode()


def _parse_token(token: str, listing: list[str]) -> str:
    if not token:
        return ""
    try:
        *of, after = json.loads(base64.urlsafe_b64decode(token.encode()))
    except (ValueError, TypeError):
        of, after = [], ""
    if of != listing or not isinstance(after, str):
        detail = "page_token: is not of this listing"
        raise errors.WharfError(errors.ErrorKind.BAD_REQUEST, detail)
    return after
