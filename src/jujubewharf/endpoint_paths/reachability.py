"""Which endpoints this instance reaches by itself, by its own connections.

A failed connection shows a fault of this instance's path if a peer reaches the
endpoint meanwhile, or if connections to all endpoints of its group have failed
since the last success. A group are all endpoints of a service with one role;
some of them may also fail because they have ended.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.endpoint_paths import path_log

# Failed endpoints in a row after which the rest of the group is probed at once:
# callers' requests would try them one after the other.
_FAILED_IN_A_ROW = 2
# Time for which a failed connection to one endpoint is taken as evidence; then
# it is tried again.
_BELIEVED_MS = 2_000.0
# Time between two suspicions of a group. As most of its endpoints have ended,
# failures and connections alternate, and each would have the rest probed again.
_SUSPICION_INTERVAL_MS = 1_000.0
# Age up to which a connection shows that a group is in reach while others
# aren't.
_FRESH_MS = 1_000.0


@dataclasses.dataclass(slots=True)
class _Group:
    """Connections to the endpoints of one service and role.

    Attributes:
        failed: Endpoints that failed since the last connection to the group.
        reached_ms: Time of that connection; ``None`` if there was none.
        out_of_reach_ms: Time at which the group got out of reach; ``None``
            while it is in reach.
        suspected_ms: Time at which it was last suspected to be; ``None`` if it
            never was.
    """

    failed: dict[str, None] = dataclasses.field(default_factory=dict)
    reached_ms: float | None = None
    out_of_reach_ms: float | None = None
    suspected_ms: float | None = None


class Reachability:
    """Records connections to endpoints.

    Args:
        clock: Time source.

    Attributes:
        on_suspected: Called with the endpoints to probe when a group may be out
            of reach.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.on_suspected: Callable[[list[resources.Endpoint]], None]
        self.on_suspected = lambda endpoints: None
        self._clock = clock
        self._groups: dict[str, _Group] = {}
        self._endpoints: dict[str, list[resources.Endpoint]] = {}
        # Time of the last failed connection, by endpoint.
        self._failed_ms: dict[str, float] = {}
        # Endpoints that peers have reached since this instance failed to.
        self._reached_by_peers: set[str] = set()

    def set_endpoints(self, endpoints: Iterable[resources.Endpoint]) -> None:
        """Sets the endpoints that accept work, and forgets all others."""
        registered = list(endpoints)
        names = {endpoint.name for endpoint in registered}
        self._endpoints = {}
        for endpoint in registered:
            of_group = self._endpoints.setdefault(group_of(endpoint), [])
            of_group.append(endpoint)
        for gone in [n for n in self._failed_ms if n not in names]:
            del self._failed_ms[gone]
        self._reached_by_peers &= names
        for group in self._groups.values():
            for gone in [n for n in group.failed if n not in names]:
                del group.failed[gone]
        for gone in [n for n in self._groups if n not in self._endpoints]:
            del self._groups[gone]
        for name, group in self._groups.items():
            if not self._have_all_failed(name, group):
                # A new endpoint may be in reach.
                group.out_of_reach_ms = None

    def endpoints_of(self, group: str) -> list[resources.Endpoint]:
        """Returns the endpoints of a group that accept work."""
        return self._endpoints.get(group, [])

    def has_failed_recently(self, endpoint: resources.Endpoint) -> bool:
        """Whether the last connection attempt failed a moment ago."""
        failed_ms = self._failed_ms.get(endpoint.name)
        if failed_ms is None:
            return False
        return self._clock.now_ms() - failed_ms < _BELIEVED_MS

    def is_avoided(self, endpoint: resources.Endpoint) -> bool:
        """Whether a connection to an endpoint would most likely fail."""
        return (
            endpoint.name in self._reached_by_peers
            or self.is_cut_off(endpoint)
            or self.has_failed_recently(endpoint)
        )

    def is_cut_off(self, endpoint: resources.Endpoint) -> bool:
        """Whether the group of an endpoint is out of reach."""
        group = self._groups.get(group_of(endpoint))
        return group is not None and group.out_of_reach_ms is not None

    def to_probe(self) -> list[list[resources.Endpoint]]:
        """Returns endpoints whose paths need to be probed, by group.

        Of a group that is out of reach, and while one is, of each group without
        a connection lately: all endpoints. Of others, those that only peers
        reach.
        """
        is_any_cut_off = bool(self.cut_off_groups)
        needed = []
        for name, endpoints in self._endpoints.items():
            group = self._groups.get(name, _Group())
            is_unclear = is_any_cut_off and not self._is_fresh(group)
            if group.out_of_reach_ms is None and not is_unclear:
                endpoints = [
                    e for e in endpoints if e.name in self._reached_by_peers
                ]
            if endpoints:
                needed.append(endpoints)
        return needed

    def _is_fresh(self, group: _Group) -> bool:
        if group.reached_ms is None:
            return False
        return self._clock.now_ms() - group.reached_ms < _FRESH_MS

    @property
    def cut_off_groups(self) -> list[str]:
        """Names of the groups that are out of reach."""
        return [
            name
            for name, group in self._groups.items()
            if group.out_of_reach_ms is not None
        ]

    @property
    def is_fully_cut_off(self) -> bool:
        """Whether all groups are out of reach."""
        return bool(self._endpoints) and len(self.cut_off_groups) == len(
            self._endpoints
        )

    def record_connection(self, endpoint: resources.Endpoint) -> None:
        """Records that a connection to an endpoint was made."""
        name = group_of(endpoint)
        group = self._groups.setdefault(name, _Group())
        now_ms = self._clock.now_ms()
        group.reached_ms = now_ms
        group.failed.clear()
        self._failed_ms.pop(endpoint.name, None)
        self._reached_by_peers.discard(endpoint.name)
        if group.out_of_reach_ms is not None:
            after_ms = now_ms - group.out_of_reach_ms
            group.out_of_reach_ms = None
            for other in self.endpoints_of(name):
                self._failed_ms.pop(other.name, None)
                self._reached_by_peers.discard(other.name)
            path_log.log_in_reach(
                name, endpoint=endpoint.name, after_ms=after_ms
            )

    def record_peer_connection(
        self, endpoint: resources.Endpoint, peer: str
    ) -> None:
        """Records that a peer reached an endpoint that was avoided here."""
        if endpoint.name in self._reached_by_peers:
            return
        self._reached_by_peers.add(endpoint.name)
        path_log.log_reached_by_peer(endpoint.name, peer=peer)

    def record_failure(
        self, endpoint: resources.Endpoint, *, is_probe: bool = False
    ) -> None:
        """Records that no connection to an endpoint could be made.

        Args:
            endpoint: The endpoint.
            is_probe: Whether the connection was a probe, which is no reason for
                more probes.
        """
        name = group_of(endpoint)
        group = self._groups.setdefault(name, _Group())
        group.failed[endpoint.name] = None
        self._failed_ms[endpoint.name] = self._clock.now_ms()
        if group.out_of_reach_ms is not None:
            return
        if self._have_all_failed(name, group):
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
        elif len(group.failed) >= _FAILED_IN_A_ROW and not is_probe:
            self._suspect(name, group)

    def _suspect(self, name: str, group: _Group) -> None:
        """Has the rest of a group probed, unless that was done lately."""
        now_ms = self._clock.now_ms()
        if group.suspected_ms is not None:
            if now_ms - group.suspected_ms < _SUSPICION_INTERVAL_MS:
                return
        group.suspected_ms = now_ms
        self.on_suspected(
            [
                other
                for other in self.endpoints_of(name)
                if other.name not in group.failed
            ]
        )

    def _have_all_failed(self, name: str, group: _Group) -> bool:
        return all(e.name in group.failed for e in self.endpoints_of(name))


def group_of(endpoint: resources.Endpoint) -> str:
    """Returns the name of an endpoint's group."""
    return f"{endpoint.service}/{endpoint.role.value}"
