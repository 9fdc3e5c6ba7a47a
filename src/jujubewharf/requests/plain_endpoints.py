"""Chooses endpoints for plain calls."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
from typing import TYPE_CHECKING

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources

if TYPE_CHECKING:
    from jujubewharf.configuration import state as states

_SUSPECT_MS = 2_000.0

EndpointPredicate = Callable[[str], bool]


def never(endpoint: str) -> bool:
    """Returns False; used when no endpoint states are available."""
    return False


class EndpointChooser:
    """Tracks plain endpoints and this instance's calls to them.

    Chooses the endpoint with the fewest calls in flight and prefers those in
    the own failure domain. Slow endpoints hold calls longer and so receive
    fewer, without load reports.

    Args:
        domain: Failure domain of this instance.
        clock: Source of time.
        is_leaving: Whether an endpoint gets no new work.
        is_limited: Whether an endpoint takes only a few requests. Among
            endpoints with equal load, limited ones are chosen last, because
            the others need no permit.
    """

    def __init__(
        self,
        domain: str,
        clock: clocks.Clock,
        *,
        is_leaving: EndpointPredicate = never,
        is_limited: EndpointPredicate = never,
    ) -> None:
        self._domain = domain
        self._clock = clock
        self._is_leaving = is_leaving
        self._is_limited = is_limited
        self._by_service: dict[str, list[resources.Endpoint]] = {}
        self._outstanding: collections.Counter[str] = collections.Counter()
        self._suspect_until_ms: dict[str, float] = {}
        self._last_choice: dict[str, int] = {}
        self._choice_count = 0

    def on_configuration(self, state: states.State) -> None:
        """Replaces the endpoints by those of a configuration."""
        endpoints: list[resources.Endpoint] = []
        for entry in state.of_kind(resources.Kind.ENDPOINT):
            assert isinstance(entry.resource, resources.Endpoint)
            endpoints.append(entry.resource)
        self.set_endpoints(endpoints)

    def set_endpoints(self, endpoints: Iterable[resources.Endpoint]) -> None:
        """Replaces the endpoints; only those with the plain role are used."""
        self._by_service = {}
        names: set[str] = set()
        for endpoint in endpoints:
            if endpoint.role is resources.Role.PLAIN:
                names.add(endpoint.name)
                of_service = self._by_service.setdefault(endpoint.service, [])
                of_service.append(endpoint)
        for table in (self._suspect_until_ms, self._last_choice):
            for name in [name for name in table if name not in names]:
                del table[name]

    def choose(
        self, service: str, *, excluded: frozenset[str] = frozenset()
    ) -> resources.Endpoint | None:
        """Returns the best endpoint, or ``None``.

        An endpoint that failed recently is only chosen if no other is left. It
        may work again, and a refusal would not help the caller.
        """
        usable = self._usable(service, excluded)
        trusted = [e for e in usable if not self._is_suspect(e.name)]
        same_domain = [e for e in trusted if e.domain == self._domain]
        candidates = same_domain or trusted or usable
        if not candidates:
            return None
        best = min(candidates, key=self._rank)
        self._choice_count += 1
        self._last_choice[best.name] = self._choice_count
        return best

    def has_any(self, service: str, *, excluded: frozenset[str]) -> bool:
        """Whether ``choose`` would return an endpoint."""
        return bool(self._usable(service, excluded))

    def avoided(self, service: str, excluded: frozenset[str]) -> frozenset[str]:
        """Returns the endpoints that a call must not go to.

        Those that failed recently are among them unless no other is left.
        """
        usable = self._usable(service, excluded)
        trusted = [e for e in usable if not self._is_suspect(e.name)]
        kept = {endpoint.name for endpoint in trusted or usable}
        names = {e.name for e in self._by_service.get(service, ())}
        return excluded | (names - kept)

    def accepts_work(self, endpoint: str) -> bool:
        """Whether an endpoint currently accepts new work."""
        return not self._is_leaving(endpoint)

    @contextlib.contextmanager
    def track_call(self, endpoint: resources.Endpoint) -> Iterator[None]:
        """Counts a call to an endpoint for the duration of the block."""
        self._outstanding[endpoint.name] += 1
        try:
            yield
        finally:
            self._outstanding[endpoint.name] -= 1
            if not self._outstanding[endpoint.name]:
                del self._outstanding[endpoint.name]

    def failed(self, endpoint: str) -> None:
        """Marks an endpoint as suspect after a failed call."""
        until_ms = self._clock.now_ms() + _SUSPECT_MS
        self._suspect_until_ms[endpoint] = until_ms

    def _usable(
        self, service: str, excluded: frozenset[str]
    ) -> list[resources.Endpoint]:
        return [
            endpoint
            for endpoint in self._by_service.get(service, [])
            if not endpoint.drained
            and endpoint.name not in excluded
            and not self._is_leaving(endpoint.name)
        ]

    def _is_suspect(self, name: str) -> bool:
        until_ms = self._suspect_until_ms.get(name)
        if until_ms is None:
            return False
        if self._clock.now_ms() < until_ms:
            return True
        del self._suspect_until_ms[name]
        return False

    def _rank(self, endpoint: resources.Endpoint) -> tuple[int, bool, int, str]:
        name = endpoint.name
        return (
            self._outstanding[name],
            self._is_limited(name),
            self._last_choice.get(name, 0),
            name,
        )
