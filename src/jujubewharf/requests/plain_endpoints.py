"""Chooses the endpoint of a plain call."""

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

Tells = Callable[[str], bool]


def nobody(endpoint: str) -> bool:
    """Stands in where nothing is known of endpoints."""
    return False


class Chooser:
    """The plain endpoints and this instance's calls to them.

    The endpoint with the fewest calls in flight is taken, those of the own
    domain first: a slow endpoint keeps its calls longer and so gets fewer,
    without any load report.

    Args:
        domain: Failure domain of this instance.
        clock: Time.
        is_leaving: Tells of an endpoint that it gets no new work.
        is_limited: Tells of an endpoint that it is in need, and takes a few
            requests. Of those that are equally busy it comes last: the others
            serve callers as well, and nobody has to be asked for a permit.
    """

    def __init__(
        self,
        domain: str,
        clock: clocks.Clock,
        *,
        is_leaving: Tells = nobody,
        is_limited: Tells = nobody,
    ) -> None:
        self._domain = domain
        self._clock = clock
        self._is_leaving = is_leaving
        self._is_limited = is_limited
        self._by_service: dict[str, list[resources.Endpoint]] = {}
        self._outstanding: collections.Counter[str] = collections.Counter()
        self._suspect_until_ms: dict[str, float] = {}
        self._last_turn: dict[str, int] = {}
        self._turn = 0

    def on_configuration(self, state: states.State) -> None:
        """Takes over the plain endpoints of a configuration."""
        endpoints: list[resources.Endpoint] = []
        for entry in state.of_kind(resources.Kind.ENDPOINT):
            assert isinstance(entry.resource, resources.Endpoint)
            endpoints.append(entry.resource)
        self.take_over(endpoints)

    def take_over(self, endpoints: Iterable[resources.Endpoint]) -> None:
        """Knows the plain ones of these endpoints from now on, and no other."""
        self._by_service = {}
        names: set[str] = set()
        for endpoint in endpoints:
            if endpoint.role is resources.Role.PLAIN:
                names.add(endpoint.name)
                of_service = self._by_service.setdefault(endpoint.service, [])
                of_service.append(endpoint)
        for table in (self._suspect_until_ms, self._last_turn):
            for name in [name for name in table if name not in names]:
                del table[name]

    def choose(
        self, service: str, *, excluded: frozenset[str] = frozenset()
    ) -> resources.Endpoint | None:
        """The best endpoint, or ``None``.

        A suspect one is taken where no other is left: suspicion may be wrong,
        and a refusal helps nobody.
        """
        usable = self._usable(service, excluded)
        trusted = [e for e in usable if not self._is_suspect(e.name)]
        near = [e for e in trusted if e.domain == self._domain]
        pool = near or trusted or usable
        if not pool:
            return None
        best = min(pool, key=self._rank)
        self._turn += 1
        self._last_turn[best.name] = self._turn
        return best

    def has_any(self, service: str, *, excluded: frozenset[str]) -> bool:
        """Whether ``choose`` would find one."""
        return bool(self._usable(service, excluded))

    def may_get_work(self, endpoint: str) -> bool:
        """Whether an endpoint may be sent work at this moment."""
        return not self._is_leaving(endpoint)

    @contextlib.contextmanager
    def counted(self, endpoint: resources.Endpoint) -> Iterator[None]:
        """Counts a call to an endpoint for the block."""
        self._outstanding[endpoint.name] += 1
        try:
            yield
        finally:
            self._outstanding[endpoint.name] -= 1
            if not self._outstanding[endpoint.name]:
                del self._outstanding[endpoint.name]

    def failed(self, endpoint: str) -> None:
        """Learns that a call found nobody or was lost."""
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
            self._last_turn.get(name, 0),
            name,
        )
