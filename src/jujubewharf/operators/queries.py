"""Queries of the current configuration and its history."""

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

_OFFSET_TIMEOUT_MS = 5_000.0


class Queries:
    """Reads the configuration within the scope of an identity.

    Args:
        backend: Configuration to read.
        clock: Clock of the instance.
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
        """Returns a resource.

        Args:
            identity: Identity of the caller.
            kind: Resource kind.
            name: Resource name.
            not_before_offset: Log offset that must be applied before the
                read, so that operators can read their own writes at any
                instance.

        Raises:
            WharfError: ``UNKNOWN_RESOURCE`` if the resource does not exist
                or the identity may not see it; ``LOG_UNAVAILABLE`` if the
                offset is not reached in time.
        """
        await self._wait_for_offset(not_before_offset)
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
        """Returns a page of resources, sorted by name.

        Each page starts after the last name of the previous page, so a
        resource that exists throughout the listing is returned exactly once.

        Raises:
            WharfError: ``BAD_REQUEST`` if the token belongs to another
                listing.
        """
        await self._wait_for_offset(not_before_offset)
        listing = ["list", kind.value, service]
        after = _parse_page_token(page_token, listing)
        held = self._backend.state.of_kind(kind)
        start = bisect.bisect_right(
            held, after, key=lambda entry: entry.resource.name
        )
        selection = _Selection(identity, frozenset((kind,)), service)
        entries = (
            entry
            for entry in held[start:]
            if selection.includes(entry.resource)
        )
        size = _page_size(page_size)
        page = list(itertools.islice(entries, size))
        token = ""
        if next(entries, None) is not None:
            token = _page_token(listing, page[-1].resource.name)
        items = tuple(self._stored(entry) for entry in page)
        return values.ListReply(items, token, self._applied_offset)

    async def watch(
        self,
        identity: values.Identity,
        *,
        kinds: Sequence[resources.Kind] = (),
        service: str = "",
    ) -> AsyncIterator[values.WatchEvent]:
        """Yields the current state, then every change as it is applied.

        Raises:
            WharfError: ``UNKNOWN_RESOURCE`` if the caller falls behind so far
                that changes it has not seen are no longer in the history; it
                has to start a new watch.
        """
        selection = _Selection(identity, frozenset(kinds), service)
        offset = self._applied_offset
        held = [
            entry
            for kind in resources.Kind
            for entry in self._backend.state.of_kind(kind)
            if selection.includes(entry.resource)
        ]
        for entry in held:
            yield _created(entry, offset)
        yield values.WatchEvent(is_snapshot_end=True, applied_offset=offset)
        async for change in self._backend.applied_changes(offset):
            event = selection.event(change)
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
        """Returns a page of the retained changes of a resource, newest first.

        Raises:
            WharfError: ``BAD_REQUEST`` if the token belongs to another
                history.
        """
        listing = ["history", kind.value, name]
        after = _parse_page_token(page_token, listing)
        retained = self._backend.history(kind, name)
        if not _may_see_history(identity, retained):
            retained = []
        entries = [
            entry
            for entry in reversed(retained)
            if not after or entry.generation < int(after)
        ]
        size = _page_size(page_size)
        page = entries[:size]
        token = ""
        if len(entries) > size:
            token = _page_token(listing, str(page[-1].generation))
        return values.HistoryReply(tuple(page), token, self._applied_offset)

    async def operation(
        self, identity: values.Identity, operation_id: str
    ) -> values.Operation:
        """Returns the outcome of an operation or an apply.

        The result of an apply describes its first rejected change, or its
        last accepted change if none was rejected.

        Raises:
            WharfError: ``FORBIDDEN`` if another operator requested the
                operation and the identity may not see the resource.
        """
        entries = self._backend.operations(operation_id)
        for entry in entries:
            _check_operation_access(identity, entry)
        if not entries:
            state = values.OperationState.NOT_SEEN
            return values.Operation(
                operation_id, state, applied_offset=self._applied_offset
            )
        accepted = [entry for entry in entries if _is_accepted(entry)]
        refused = [entry for entry in entries if not _is_accepted(entry)]
        reported = refused[0] if refused else accepted[-1]
        detail = reported.detail
        if len(entries) > 1 or reported.operation_id != operation_id:
            detail = (
                f"{len(accepted)} of {len(entries)} judged changes are in"
                f" force; {reported.operation_id} {detail}"
            ).strip()
        return values.Operation(
            operation_id,
            reported.state,
            0 if refused else reported.generation,
            detail,
            self._applied_offset,
        )

    @property
    def _applied_offset(self) -> int:
        return self._backend.state.next_offset

    async def _wait_for_offset(self, offset: int) -> None:
        deadline_ms = self._clock.now_ms() + _OFFSET_TIMEOUT_MS
        while self._applied_offset < offset:
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                detail = (
                    f"folded up to {self._applied_offset} only, not {offset}"
                )
                kind = errors.ErrorKind.LOG_UNAVAILABLE
                raise errors.WharfError(kind, detail)
            await self._backend.wait_past_offset(
                self._applied_offset, remaining_ms
            )

    def _stored(self, entry: states.Entry) -> values.StoredResource:
        return values.StoredResource(
            entry.resource, entry.generation, self._applied_offset
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Selection:
    """Resources that one caller may see and has selected."""

    identity: values.Identity
    kinds: frozenset[resources.Kind]
    service: str

    def includes(self, resource: resources.Resource | None) -> bool:
        if resource is None:
            return False
        kind = resources.KIND_OF[type(resource)]
        if self.kinds and kind not in self.kinds:
            return False
        return _matches_service(resource, self.service) and identities.may_see(
            self.identity, resource
        )

    def event(self, change: backends.AppliedChange) -> values.WatchEvent | None:
        """Returns the event for a change; ``None`` if it is out of scope.

        A resource that leaves the scope is reported as deleted, and one that
        enters it as created.
        """
        was_included, is_included = (
            self.includes(change.before),
            self.includes(change.after),
        )
        if not was_included and not is_included:
            return None
        effect = values.Effect.CHANGE
        if not was_included:
            effect = values.Effect.CREATE
        elif not is_included:
            effect = values.Effect.DELETE
        return values.WatchEvent(
            effect,
            change.kind,
            change.name,
            change.generation,
            change.after if is_included else None,
            applied_offset=change.generation,
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


def _matches_service(resource: resources.Resource, service: str) -> bool:
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
    # The history of a resource that moved between services shows both.
    bodies = [entry.resource for entry in entries if entry.resource]
    if not bodies:
        return not identity.services
    return all(identities.may_see(identity, body) for body in bodies)


def _is_accepted(entry: values.HistoryEntry) -> bool:
    return entry.state is values.OperationState.ACCEPTED


def _check_operation_access(
    identity: values.Identity, entry: values.HistoryEntry
) -> None:
    if entry.actor == identity.name or not identity.services:
        return
    body = entry.resource
    if body is None or not identities.may_see(identity, body):
        detail = f"operation {entry.operation_id} is another operator's"
        raise errors.WharfError(errors.ErrorKind.FORBIDDEN, detail)


def _page_size(requested_size: int) -> int:
    if requested_size < 0:
        detail = "page_size: is below zero"
        raise errors.WharfError(errors.ErrorKind.BAD_REQUEST, detail)
    return min(requested_size or DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)


def _page_token(listing: list[str], after: str) -> str:
    text = json.dumps([*listing, after])
    return base64.urlsafe_b64encode(text.encode()).decode()


def _parse_page_token(token: str, listing: list[str]) -> str:
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
