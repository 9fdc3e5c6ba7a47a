"""Shares the load of plain endpoints between the leader and its followers.

The leader's part handles one digest per heartbeat for all followers together.
Its size and cost depend on the number of plain endpoints, not on the number of
calls or engines.
"""

from __future__ import annotations

from collections.abc import Iterable
import heapq
import math

from jujubewharf.configuration import resources
from jujubewharf.endpoint_load import table
from jujubewharf.peers import load_messages


class LoadDigests:
    """Creates digests for followers, and applies what other instances report.

    Args:
        loads: Load reports known to this instance.
    """

    def __init__(self, loads: table.LoadTable) -> None:
        self._loads = loads
        self._plain: frozenset[str] = frozenset()
        # Receipt time of each report in the last digest, by endpoint.
        self._sent_ms: dict[str, float] = {}

    def set_endpoints(self, endpoints: Iterable[resources.Endpoint]) -> None:
        """Replaces the endpoints that accept work."""
        self._plain = frozenset(
            endpoint.name
            for endpoint in endpoints
            if endpoint.role is resources.Role.PLAIN
        )

    def next_digest(self) -> load_messages.LoadDigest | None:
        """Returns the digest to send now.

        Returns:
            ``None`` if no report is newer than in the last digest.
        """
        known = {
            name: load
            for name in self._plain
            if (load := self._loads.get(name)) is not None
        }
        received_ms = {name: self._loads.received_ms(name) for name in known}
        newest = heapq.nsmallest(
            load_messages.MAX_DIGEST_LOADS,
            known,
            key=lambda name: (-received_ms[name], name),
        )
        has_news = any(
            received_ms[name] > self._sent_ms.get(name, -math.inf)
            for name in newest
        )
        if not has_news:
            return None
        self._sent_ms = {name: received_ms[name] for name in newest}
        return load_messages.LoadDigest.from_loads(
            load_messages.EndpointLoad.from_known(name, known[name])
            for name in newest
        )

    def apply(self, loads: Iterable[load_messages.EndpointLoad]) -> None:
        """Applies reports that another instance has sent.

        Endpoints that are unknown here are left out, which bounds the table;
        a later digest has them once their registration has arrived.
        """
        for load in loads:
            if load.endpoint not in self._plain:
                continue
            report = load.report()
            if report is not None:
                self._loads.record(load.endpoint, report, age_ms=load.age_ms)
