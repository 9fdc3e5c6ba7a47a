"""Decides at which engines a stream may go on.

A stream has a version from the first event that was passed on. From then on it
goes only to engines of that version, within one answer as well as with its
caller's next request. An instance that doesn't know the version refuses.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
from typing import Protocol

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.forwarding import registration
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import runs
from jujubewharf.stream_versions import lifetimes
from jujubewharf.stream_versions import origin_search
from jujubewharf.stream_versions import origins as all_origins
from jujubewharf.stream_versions import resume_log
from jujubewharf.stream_versions import version_history

# Engines of the version may be back, or the leader may know the stream by then.
_RETRY_AFTER_MS = 1_000.0


class SharedOrigins(Protocol):
    """Where streams began, as far as all instances together know."""

    def record(
        self, key: bytes, origin: all_origins.StreamOrigin, *, keep_ms: float
    ) -> None:
        """Records where a stream began, and tells other instances."""
        ...

    async def find(self, key: bytes) -> origin_search.OriginSearch:
        """Searches for where a stream began."""
        ...

    async def read_versions(self) -> None:
        """Reads the versions at which the store knows streams to begin."""
        ...


class Resumptions:
    """Binds streams to the version that began them.

    Args:
        shared: Where streams began.
        history: Versions that services have had.
        registry: Registered endpoints.
        confirm: Returns whether an endpoint is still the start of its process
            that is registered.
        clock: Time source.
        refresh_view: Reads the registrations now; returns when they have been
            read, or can't be within a short time.
        known_lifetimes: For how long streams may be taken up.
    """

    def __init__(
        self,
        shared: SharedOrigins,
        history: version_history.VersionHistory,
        registry: registries.Registry,
        confirm: Callable[[resources.Endpoint], Awaitable[bool]],
        clock: clocks.Clock,
        refresh_view: Callable[[], Awaitable[None]],
        known_lifetimes: lifetimes.StreamLifetimes,
    ) -> None:
        self._shared = shared
        self._history = history
        self._registry = registry
        self._confirm = confirm
        self._clock = clock
        self._refresh_view = refresh_view
        self._lifetimes = known_lifetimes
        self._confirmations: set[asyncio.Task[None]] = set()

    async def bind(self, run: runs.Run) -> None:
        """Binds a request that resumes a stream to the stream's version.

        Raises:
            WharfError: The stream can't be resumed; nothing was sent.
        """
        if run.call.last_event is None or not run.route.is_stream:
            return
        search = await self._search(run)
        origin = None if search is None else search.origin
        if origin is None:
            origin = await self._only_origin(run)
        if origin is None or origin.version is None:
            reason = resume_log.NotResumed.ORIGIN_UNKNOWN
            if origin is not None:
                reason = resume_log.NotResumed.ORIGIN_IN_DOUBT
            resume_log.log_refused_resumption(
                run,
                reason,
                origin,
                search=search,
                view_age_ms=self._registry.age_ms,
            )
            raise errors.WharfError(
                errors.ErrorKind.STREAM_ORIGIN_UNKNOWN,
                retry_after_ms=_RETRY_AFTER_MS,
            )
        if origin.service not in {share.service for share in run.route.shares}:
            reason = resume_log.NotResumed.SERVICE_CHANGED
            resume_log.log_refused_resumption(run, reason, origin)
            raise _version_gone_error()
        run.service = origin.service
        run.origin = origin
        self.check_engines(run)

    def check_engines(self, run: runs.Run) -> None:
        """Checks that an engine of the stream's version accepts work.

        Without one the caller hears it at once, and can begin anew.

        Raises:
            WharfError: ``STREAM_VERSION_GONE``.
        """
        engines = self._registry.of_service(run.service)
        if run.origin is None or has_engine(run, engines):
            return
        reason = resume_log.NotResumed.VERSION_GONE
        resume_log.log_refused_resumption(run, reason, run.origin)
        raise _version_gone_error()

    def begin(self, run: runs.Run, engine: resources.Endpoint) -> None:
        """Records that the first event of an answer is passed on."""
        if run.route.repeat is not routes.Repeat.CONTINUE:
            return
        if run.origin is not None:
            if run.call.began_by is not None:
                self._record(run, run.call.began_by, run.origin)
            return
        version = registration.software_version(engine)
        self._history.note_begun(run.service, version)
        origin = all_origins.StreamOrigin(run.service, version)
        if self._registry.is_latest_start(engine):
            run.origin = origin
            self._record(run, run.call.request_id, origin)
            return
        # Its id may belong to a later process by now, of another version.
        run.origin = dataclasses.replace(origin, version=None)
        task = asyncio.ensure_future(self._begin_confirmed(run, engine, origin))
        self._confirmations.add(task)
        task.add_done_callback(self._confirmations.discard)

    async def _begin_confirmed(
        self,
        run: runs.Run,
        engine: resources.Endpoint,
        origin: all_origins.StreamOrigin,
    ) -> None:
        if await self._confirm(engine):
            run.origin = origin
            self._record(run, run.call.request_id, origin)

    def _record(
        self, run: runs.Run, request_id: str, origin: all_origins.StreamOrigin
    ) -> None:
        key = all_origins.stream_key(run.call, request_id)
        keep_ms = self._lifetimes.keep_ms(run.route)
        self._shared.record(key, origin, keep_ms=keep_ms)

    async def _search(self, run: runs.Run) -> origin_search.OriginSearch | None:
        """Searches for the request that the caller names, if it names one."""
        if run.call.began_by is None:
            return None
        key = all_origins.stream_key(run.call, run.call.began_by)
        return await self._shared.find(key)

    async def _only_origin(
        self, run: runs.Run
    ) -> all_origins.StreamOrigin | None:
        """Returns the origin of all streams of a service with one version."""
        if len(run.route.shares) > 1:
            return None
        look_back_ms = self._lifetimes.look_back_ms(run.route)
        if self._history.complete_for_ms < look_back_ms:
            # Nobody in reach has seen all versions of that time.
            await self._shared.read_versions()
        if self._only_version(run) is None:
            return None
        if self._is_view_old:
            # Without a leader the registrations are read every few seconds.
            await self._refresh_view()
        version = self._only_version(run)
        if version is None or self._is_view_old:
            return None
        return all_origins.StreamOrigin(
            run.service, version, all_origins.KnownBy.ONLY_VERSION
        )

    def _only_version(self, run: runs.Run) -> str | None:
        return self._history.only_version(
            run.service, for_ms=self._lifetimes.look_back_ms(run.route)
        )

    @property
    def _is_view_old(self) -> bool:
        """Whether a version may have begun streams that isn't known here."""
        return self._registry.age_ms > version_history.MAX_VIEW_AGE_MS


def of_version(
    run: runs.Run, engines: Sequence[resources.Endpoint]
) -> Sequence[resources.Endpoint]:
    """Returns the engines at which a request may go on.

    These are all of them unless the request resumes a stream.
    """
    if run.origin is None:
        return engines
    version = run.origin.version
    return [e for e in engines if registration.software_version(e) == version]


def has_engine(run: runs.Run, engines: Sequence[resources.Endpoint]) -> bool:
    """Returns whether a request may go on at any of the engines."""
    fitting = of_version(run, engines)
    return any(e.can_decode or not run.route.is_model for e in fitting)


def _version_gone_error() -> errors.WharfError:
    return errors.WharfError(
        errors.ErrorKind.STREAM_VERSION_GONE, retry_after_ms=_RETRY_AFTER_MS
    )
