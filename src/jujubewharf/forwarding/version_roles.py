"""Keeps a decode engine for each software version of a service.

A stream goes on only at decode engines of the version that began it. A version
without one has its streams refused, however much capacity the others have.
Prefill engines aren't kept: a prompt may be prefilled by any version.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from jujubewharf.configuration import resources
from jujubewharf.forwarding import registration

_PREFILL = resources.Role.PREFILL
_DECODE = resources.Role.DECODE


@dataclasses.dataclass(frozen=True, slots=True)
class Candidates:
    """Decode engines in the order in which they become prefill engines.

    Attributes:
        engines: The engines; the last ones of their versions come last.
        kept_count: Number of engines at the end that must stay decode engines.
    """

    engines: Sequence[resources.Endpoint]
    kept_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceVersions:
    """Engines of one service by software version.

    Attributes:
        engines: Engines that accept requests, with the roles to count with.
        draining: Registered engines that accept no new requests. Streams that
            they began may have to go on elsewhere.
    """

    engines: Sequence[resources.Endpoint]
    draining: Sequence[resources.Endpoint] = ()

    @property
    def is_mixed(self) -> bool:
        """Whether engines of several versions are registered."""
        return len(set(_versions((*self.engines, *self.draining)))) > 1

    def restored(
        self, prefill_engines: Sequence[resources.Endpoint]
    ) -> list[resources.Endpoint]:
        """Returns prefill engines that must become decode engines.

        These are one engine for each version that has no decode engine. A
        single engine keeps its role: nothing tells that its version has begun
        a stream.

        Args:
            prefill_engines: Prefill engines that accept requests, the one that
                changes first at the start.
        """
        if not self.is_mixed:
            return []
        decodable = self._decodable()
        restored: dict[str, resources.Endpoint] = {}
        for engine in prefill_engines:
            version = registration.software_version(engine)
            if version not in decodable and self._has_several(version):
                restored.setdefault(version, engine)
        return list(restored.values())

    def candidates(
        self, decode_engines: Sequence[resources.Endpoint]
    ) -> Candidates:
        """Returns decode engines with the last ones of versions at the end.

        Args:
            decode_engines: Decode engines that accept requests, the one that
                changes first at the start.
        """
        if not self.is_mixed:
            return Candidates(decode_engines, 0)
        last_names = self._last_names(decode_engines)
        free = [e for e in decode_engines if e.name not in last_names]
        last = [e for e in decode_engines if e.name in last_names]
        single = [e for e in last if not self._has_several_of(e)]
        kept = [e for e in last if self._has_several_of(e)]
        return Candidates([*free, *single, *kept], len(kept))

    def needs(self, engine: resources.Endpoint, role: resources.Role) -> bool:
        """Returns whether an engine's version can't decode without a role."""
        version = registration.software_version(engine)
        others = (e for e in self.engines if e.name != engine.name)
        return (
            self.is_mixed
            and role is _DECODE
            and version not in _versions(e for e in others if e.can_decode)
        )

    def _decodable(self) -> set[str]:
        """Returns the versions that have a decode engine."""
        return set(_versions(e for e in self.engines if e.can_decode))

    def _last_names(
        self, decode_engines: Sequence[resources.Endpoint]
    ) -> set[str]:
        """Returns the engine of each version that would change last."""
        # Engines with both roles decode as well, whatever the plan does.
        also_decoded = set(
            _versions(
                e
                for e in self.engines
                if e.can_decode and e.role is not _DECODE
            )
        )
        last = {
            registration.software_version(engine): engine.name
            for engine in decode_engines
        }
        return {
            name
            for version, name in last.items()
            if version not in also_decoded
        }

    def _has_several_of(self, engine: resources.Endpoint) -> bool:
        return self._has_several(registration.software_version(engine))

    def _has_several(self, version: str) -> bool:
        registered = _versions((*self.engines, *self.draining))
        return list(registered).count(version) > 1


def is_same_version(
    engine: resources.Endpoint, other: resources.Endpoint
) -> bool:
    """Returns whether two engines have the same software version."""
    version = registration.software_version(engine)
    return version == registration.software_version(other)


def _versions(engines: Iterable[resources.Endpoint]) -> Iterator[str]:
    return (registration.software_version(engine) for engine in engines)
