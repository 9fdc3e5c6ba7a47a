"""Software versions that the endpoints of each service have had of late.

While a service has had one version only for as long as streams last, each of
its streams began there, whoever forwarded it.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.forwarding import registration

# Time for which a new version of a service is known before resumable streams
# begin there. By then all instances that read the store know the version.
NEW_VERSION_MS = 2_000.0
# Greatest age of this instance's view of the registrations at which it still
# knows all versions at which streams may have begun.
MAX_VIEW_AGE_MS = 1_500.0
# Time after which a version begins streams though the store doesn't name it.
# The store is away then, and nobody learns of further versions.
_UNMARKED_MS = 10_000.0
# Versions that have gone are forgotten after this time.
_KEEP_MS = 600_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class SeenVersion:
    """A version of a service.

    Attributes:
        service: The service.
        version: The software version.
        first_ms: Clock reading when it was first known.
        last_ms: Clock reading when it was last registered, or began a stream.
    """

    service: str
    version: str
    first_ms: float
    last_ms: float


class VersionHistory:
    """Records which versions the endpoints of services have registered.

    Args:
        clock: Time source.
        is_first_start: Whether the deployment starts for the first time, so
            that no stream can have begun at a version that has gone.

    Attributes:
        on_change: Called when others should hear what this instance has seen.
        view_age_ms: Returns the time since the registrations were read.
        marked: Services and versions that the store names as those at which
            streams may have begun; ``None`` without such a store.
    """

    def __init__(
        self, clock: clocks.Clock, *, is_first_start: bool = False
    ) -> None:
        self.on_change: Callable[[], None] = lambda: None
        self.view_age_ms: Callable[[], float] = lambda: 0.0
        self.marked: frozenset[tuple[str, str]] | None = None
        self._clock = clock
        self._is_first_start = is_first_start
        # Since when no version can have been missed.
        self._complete_since_ms: float | None = None
        self._seen: dict[tuple[str, str], SeenVersion] = {}
        self._present: set[tuple[str, str]] = set()

    @property
    def complete_for_ms(self) -> float:
        """Time for which no version can have been missed."""
        if self._complete_since_ms is None:
            return 0.0
        return self._clock.now_ms() - self._complete_since_ms

    @property
    def told_complete_for_ms(self) -> float:
        """Time for which others may trust that no version was missed.

        A version that came since an old view was read, and has gone before the
        other instance reads for the first time, would be missed by both.
        """
        if self.view_age_ms() > MAX_VIEW_AGE_MS:
            return 0.0
        return self.complete_for_ms

    def set_endpoints(self, endpoints: Iterable[resources.Endpoint]) -> None:
        """Records the endpoints that are registered now."""
        if self._complete_since_ms is None:
            self._complete_since_ms = (
                float("-inf") if self._is_first_start else self._clock.now_ms()
            )
        self._touch_present()
        self._present = {
            (e.service, registration.software_version(e)) for e in endpoints
        }
        self._touch_present()
        self._forget_old()

    def note_record(self, endpoint: resources.Endpoint) -> None:
        """Records a registration that may be replaced within the same read."""
        version = registration.software_version(endpoint)
        self._touch((endpoint.service, version))

    def note_begun(self, service: str, version: str) -> None:
        """Records that a stream began, also at an engine that has left."""
        self._touch((service, version))

    def mark_incomplete(self) -> None:
        """Records that registrations may have been missed until now."""
        if self._complete_since_ms is not None:
            self._complete_since_ms = self._clock.now_ms()

    def merge(
        self, seen: Iterable[SeenVersion], *, complete_for_ms: float
    ) -> None:
        """Adds what another instance has seen."""
        is_new = False
        for other in seen:
            key = (other.service, other.version)
            is_new |= key not in self._seen
            known = self._seen.get(key, other)
            self._seen[key] = SeenVersion(
                *key,
                min(known.first_ms, other.first_ms),
                max(known.last_ms, other.last_ms),
            )
        if self._complete_since_ms is not None:
            since_ms = self._clock.now_ms() - complete_for_ms
            self._complete_since_ms = min(self._complete_since_ms, since_ms)
        if is_new:
            self.on_change()

    def seen(self) -> tuple[SeenVersion, ...]:
        """Returns all versions that were seen of late."""
        self._touch_present()
        return tuple(self._seen.values())

    def merge_stored(
        self, versions: Iterable[tuple[str, str]], *, is_complete: bool
    ) -> None:
        """Adds versions that the store names.

        No stream begins at a version before the store names it, so that those
        of a complete record are all, whatever this instance has missed.
        """
        for key in versions:
            self._touch(key)
        if is_complete and self._complete_since_ms is not None:
            self._complete_since_ms = float("-inf")

    def versions_of_late(
        self, for_ms: float, *, new_for_ms: float = float("inf")
    ) -> frozenset[tuple[str, str]]:
        """Returns services and versions that were seen within a time.

        Args:
            for_ms: The time, in ms.
            new_for_ms: Greatest time since they were first known, in ms.
        """
        now_ms = self._clock.now_ms()
        return frozenset(
            (seen.service, seen.version)
            for seen in self.seen()
            if now_ms - seen.last_ms <= for_ms
            and now_ms - seen.first_ms <= new_for_ms
        )

    def only_version(self, service: str, *, for_ms: float) -> str | None:
        """Returns the version of a service if it had no other one of late.

        Args:
            service: The service.
            for_ms: Time back from now, in ms.

        Returns:
            ``None`` if there were several or may have been.
        """
        if self.complete_for_ms < for_ms:
            return None
        self._touch_present()
        oldest_ms = self._clock.now_ms() - for_ms
        versions = [
            seen.version
            for seen in self._seen.values()
            if seen.service == service and seen.last_ms >= oldest_ms
        ]
        return versions[0] if len(versions) == 1 else None

    def without_new_versions(
        self, engines: Sequence[resources.Endpoint]
    ) -> Sequence[resources.Endpoint]:
        """Returns the engines at which resumable streams may begin.

        Engines of a new version are left out until all instances know it and
        the store names it, as long as others can decode.
        """
        versions = {registration.software_version(e) for e in engines}
        if len(versions) < 2:
            return engines
        settled = [e for e in engines if self._is_settled(e)]
        if any(engine.can_decode for engine in settled):
            return settled
        return engines

    def _is_settled(self, engine: resources.Endpoint) -> bool:
        known_for_ms = self._clock.now_ms() - self._first_ms(engine)
        if known_for_ms >= _UNMARKED_MS or self.marked is None:
            return known_for_ms >= NEW_VERSION_MS
        key = (engine.service, registration.software_version(engine))
        return known_for_ms >= NEW_VERSION_MS and key in self.marked

    def _first_ms(self, engine: resources.Endpoint) -> float:
        key = (engine.service, registration.software_version(engine))
        seen = self._seen.get(key)
        return self._clock.now_ms() if seen is None else seen.first_ms

    def _touch_present(self) -> None:
        for key in self._present:
            self._touch(key)

    def _touch(self, key: tuple[str, str]) -> None:
        now_ms = self._clock.now_ms()
        known = self._seen.get(key)
        first_ms = now_ms if known is None else known.first_ms
        self._seen[key] = SeenVersion(*key, first_ms, now_ms)
        if known is None:
            self.on_change()

    def _forget_old(self) -> None:
        oldest_ms = self._clock.now_ms() - _KEEP_MS
        for key, seen in list(self._seen.items()):
            if seen.last_ms < oldest_ms:
                del self._seen[key]
