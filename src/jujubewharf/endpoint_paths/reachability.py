"""Which endpoints this instance reaches by itself, by its own connections.

An endpoint is out of reach from a failed connection attempt until the next
connection to it. A group, all endpoints of a service with one role, is out of
reach once connections to several of its endpoints have failed in a row: single
endpoints also fail because they have ended.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.endpoint_paths import path_log

# Endpoints of a group that failed in a row, after which the fault is more
# likely this instance's.
_FAILED_IN_A_ROW = 2


@dataclasses.dataclass(slots=True)
class _Group:
    """Connections to the endpoints of one service and role.

    Attributes:
        failed: Endpoints that failed since the last connection to the group.
        reached_ms: Time of that connection; ``None`` if there was none.
        out_of_reach_ms: Time at which the group got out of reach; ``None``
            while it is in reach.
    """

    failed: dict[str, None] = dataclasses.field(default_factory=dict)
    reached_ms: float | None = None
    out_of_reach_ms: float | None = None


class Reachability:
    """Records connections to endpoints.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._groups: dict[str, _Group] = {}
        self._sizes: dict[str, int] = {}
        self._out_of_reach: set[str] = set()

    def set_endpoints(self, endpoints: Iterable[resources.Endpoint]) -> None:
        """Sets the endpoints that accept work, and forgets all others."""
        registered = list(endpoints)
        names = {endpoint.name for endpoint in registered}
        self._out_of_reach &= names
        self._sizes = {}
        for endpoint in registered:
            name = group_of(endpoint)
            self._sizes[name] = self._sizes.get(name, 0) + 1
        for group in self._groups.values():
            for gone in [n for n in group.failed if n not in names]:
                del group.failed[gone]

    def is_in_reach(self, endpoint: resources.Endpoint) -> bool:
        """Whether the last connection attempt to an endpoint succeeded."""
        return endpoint.name not in self._out_of_reach

    def is_cut_off(self, endpoint: resources.Endpoint) -> bool:
        """Whether the group of an endpoint is out of reach."""
        group = self._groups.get(group_of(endpoint))
        return group is not None and group.out_of_reach_ms is not None

    @property
    def cut_off_groups(self) -> list[str]:
        """Names of the groups that are out of reach."""
        return [
            name
            for name, group in self._groups.items()
            if group.out_of_reach_ms is not None
        ]

    def record_connection(self, endpoint: resources.Endpoint) -> None:
        """Records that a connection to an endpoint was made."""
        name = group_of(endpoint)
        group = self._groups.setdefault(name, _Group())
        now_ms = self._clock.now_ms()
        group.reached_ms = now_ms
        group.failed.clear()
        self._out_of_reach.discard(endpoint.name)
        if group.out_of_reach_ms is not None:
            after_ms = now_ms - group.out_of_reach_ms
            group.out_of_reach_ms = None
            path_log.log_in_reach(
                name, endpoint=endpoint.name, after_ms=after_ms
            )

    def record_failure(self, endpoint: resources.Endpoint) -> None:
        """Records that no connection to an endpoint could be made."""
        name = group_of(endpoint)
        group = self._groups.setdefault(name, _Group())
        group.failed[endpoint.name] = None
        self._out_of_reach.add(endpoint.name)
        needed = min(_FAILED_IN_A_ROW, self._sizes.get(name, 1))
        if group.out_of_reach_ms is None and len(group.failed) >= needed:
            now_ms = self._clock.now_ms()
            group.out_of_reach_ms = now_ms
            reached_ms = group.reached_ms
            path_log.log_out_of_reach(
                name,
                failed=list(group.failed),
                last_reached_ms=(
                    None if reached_ms is None else now_ms - reached_ms
                ),
            )


def group_of(endpoint: resources.Endpoint) -> str:
    """Returns the name of an endpoint's group."""
    return f"{endpoint.service}/{endpoint.role.value}"
