"""Detects leaving endpoints from all available sources.

The platform's list lags behind, an endpoint's own notice reaches only the
instances that call it, and an operator may act on one side of a partition. With
a single source some instances would keep sending new work after others knew
better. Notices from any source therefore count at once and are published to all
instances as facts that expire unless renewed, so a notice that no instance can
confirm any longer doesn't exclude an endpoint.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import enum

import mode
from opentelemetry import metrics
import structlog

from jujubewharf import clock as clocks
from jujubewharf.membership import facts as all_facts
from jujubewharf.platform import live_list

_CHECK_INTERVAL_MS = 250.0
_FACT_TTL_MS = 15_000.0
_RENEW_INTERVAL_MS = 5_000.0
_REVOKED = ""

_COUNTER = metrics.get_meter("jujubewharf").create_counter(
    "leaving.noticed", description="Endpoints first noticed leaving here."
)


class Source(enum.Enum):
    """Source of the first notice, as far as this instance knows."""

    LIST = "list"
    ENDPOINT = "endpoint"
    PEER = "peer"


ListedEndpoints = Callable[[], Iterable[live_list.LiveMember]]
SelfReportedEndpoints = Callable[[], Iterable[str]]


class LeavingEndpoints(mode.Service):
    """Endpoints that get no new work because some source reports them leaving.

    Drains by operators are not included: they are part of the configuration,
    which every instance reads itself.

    Args:
        facts: Facts shared with other instances.
        listed: Returns the endpoints on the platform's list.
        self_reported: Returns the endpoints that recently announced that they
            leave.
        clock: Clock.

    Attributes:
        listed: Returns the endpoints on the platform's list.
    """

    def __init__(
        self,
        facts: all_facts.Facts,
        listed: ListedEndpoints,
        self_reported: SelfReportedEndpoints,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._facts = facts
        self.listed = listed
        self._self_reported = self_reported
        self._clock = clock
        self._own_notices: dict[str, Source] = {}
        self._published_ms: dict[str, float] = {}
        self._logged: set[str] = set()
        self._logger = structlog.get_logger()

    def is_leaving(self, endpoint: str) -> bool:
        """Whether an endpoint gets no new work."""
        if endpoint in self._own_notices:
            return True
        return self._is_published(endpoint)

    def check(self) -> None:
        """Collects first-hand notices now, and publishes changes."""
        notices = self._collect()
        for name in sorted(self._own_notices.keys() - notices.keys()):
            self._publish(name, _REVOKED)
            self._published_ms.pop(name, None)
        self._own_notices = notices
        now_ms = self._clock.now_ms()
        for name, source in sorted(notices.items()):
            published_ms = self._published_ms.get(name, float("-inf"))
            is_due = now_ms - published_ms >= _RENEW_INTERVAL_MS
            if is_due and not self._is_recently_renewed(name):
                self._publish(name, source.value)
                self._published_ms[name] = now_ms
        self._log_changes()

    @mode.Service.task
    async def _watch(self) -> None:
        while not self.should_stop:
            self.check()
            await self._clock.sleep_ms(_CHECK_INTERVAL_MS)

    def _collect(self) -> dict[str, Source]:
        notices = {
            member.name: Source.LIST
            for member in self.listed()
            if member.state is live_list.LiveState.LEAVING
        }
        for name in self._self_reported():
            notices.setdefault(name, Source.ENDPOINT)
        return notices

    def _is_published(self, endpoint: str) -> bool:
        topic = all_facts.Topic.ENDPOINT_LEAVING
        fact = self._facts.get(topic, endpoint)
        return fact is not None and fact.value != _REVOKED

    def _is_recently_renewed(self, endpoint: str) -> bool:
        """Whether another instance has renewed the fact recently.

        Avoids that each instance of a fleet that reads the same list publishes
        the same fact.
        """
        topic = all_facts.Topic.ENDPOINT_LEAVING
        fact = self._facts.get(topic, endpoint)
        if fact is None or fact.value == _REVOKED:
            return False
        left_ms = fact.expires_ms - self._clock.now_ms()
        return left_ms > _FACT_TTL_MS - _RENEW_INTERVAL_MS

    def _publish(self, endpoint: str, value: str) -> None:
        topic = all_facts.Topic.ENDPOINT_LEAVING
        fact = self._facts.get(topic, endpoint)
        version = int(self._clock.wall_ms())
        if fact is not None:
            version = max(version, fact.version + 1)
        self._facts.publish(
            topic,
            endpoint,
            version=version,
            value=value,
            ttl_ms=_FACT_TTL_MS,
        )

    def _log_changes(self) -> None:
        topic = all_facts.Topic.ENDPOINT_LEAVING
        published = {
            fact.subject: Source.PEER
            for fact in self._facts.by_topic(topic)
            if fact.value != _REVOKED
        }
        leaving = published | self._own_notices
        for name in sorted(leaving.keys() - self._logged):
            source = leaving[name].value
            _COUNTER.add(1, {"source": source})
            self._logger.info("endpoint_leaving", endpoint=name, source=source)
        self._logged = set(leaving)
