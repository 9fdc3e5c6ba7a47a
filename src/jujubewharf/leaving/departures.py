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

_CHECK_MS = 250.0
_FACT_TTL_MS = 15_000.0
_RENEW_MS = 5_000.0
_TAKEN_BACK = ""

_COUNTER = metrics.get_meter("jujubewharf").create_counter(
    "leaving.noticed", description="Endpoints first noticed leaving here."
)


class Source(enum.Enum):
    """Source of the first notice, as far as this instance knows."""

    LIST = "list"
    ENDPOINT = "endpoint"
    PEER = "peer"


ListedEndpoints = Callable[[], Iterable[live_list.LiveMember]]
SayLeaving = Callable[[], Iterable[str]]


class Departures(mode.Service):
    """Endpoints that get no new work because some source reports them leaving.

    Drains by operators are not included: they are part of the configuration,
    which every instance reads itself.

    Args:
        facts: Facts shared with other instances.
        listed: Returns the endpoints on the platform's list.
        say_leaving: Returns the endpoints that recently announced that they
            leave.
        clock: Clock.

    Attributes:
        listed: Returns the endpoints on the platform's list.
    """

    def __init__(
        self,
        facts: all_facts.Facts,
        listed: ListedEndpoints,
        say_leaving: SayLeaving,
        clock: clocks.Clock,
    ) -> None:
        super().__init__()
        self._facts = facts
        self.listed = listed
        self._say_leaving = say_leaving
        self._clock = clock
        self._first_hand: dict[str, Source] = {}
        self._told_ms: dict[str, float] = {}
        self._noticed: set[str] = set()
        self._logger = structlog.get_logger()

    def is_leaving(self, endpoint: str) -> bool:
        """Whether an endpoint gets no new work."""
        if endpoint in self._first_hand:
            return True
        return self._is_told(endpoint)

    def check(self) -> None:
        """Collects first-hand notices now, and publishes changes."""
        found = self._find()
        for name in sorted(self._first_hand.keys() - found.keys()):
            self._tell(name, _TAKEN_BACK)
            self._told_ms.pop(name, None)
        self._first_hand = found
        now_ms = self._clock.now_ms()
        for name, source in sorted(found.items()):
            told_ms = self._told_ms.get(name, float("-inf"))
            is_due = now_ms - told_ms >= _RENEW_MS
            if is_due and not self._is_told_for_long(name):
                self._tell(name, source.value)
                self._told_ms[name] = now_ms
        self._note()

    @mode.Service.task
    async def _watch(self) -> None:
        while not self.should_stop:
            self.check()
            await self._clock.sleep_ms(_CHECK_MS)

    def _find(self) -> dict[str, Source]:
        found = {
            member.name: Source.LIST
            for member in self.listed()
            if member.state is live_list.LiveState.LEAVING
        }
        for name in self._say_leaving():
            found.setdefault(name, Source.ENDPOINT)
        return found

    def _is_told(self, endpoint: str) -> bool:
        topic = all_facts.Topic.ENDPOINT_LEAVING
        fact = self._facts.get(topic, endpoint)
        return fact is not None and fact.value != _TAKEN_BACK

    def _is_told_for_long(self, endpoint: str) -> bool:
        """Whether another instance has renewed the fact recently.

        Avoids that each instance of a fleet that reads the same list publishes
        the same fact.
        """
        topic = all_facts.Topic.ENDPOINT_LEAVING
        fact = self._facts.get(topic, endpoint)
        if fact is None or fact.value == _TAKEN_BACK:
            return False
        left_ms = fact.expires_ms - self._clock.now_ms()
        return left_ms > _FACT_TTL_MS - _RENEW_MS

    def _tell(self, endpoint: str, value: str) -> None:
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

    def _note(self) -> None:
        topic = all_facts.Topic.ENDPOINT_LEAVING
        told = {
            fact.subject: Source.PEER
            for fact in self._facts.about(topic)
            if fact.value != _TAKEN_BACK
        }
        leaving = told | self._first_hand
        for name in sorted(leaving.keys() - self._noticed):
            source = leaving[name].value
            _COUNTER.add(1, {"source": source})
            self._logger.info("endpoint_leaving", endpoint=name, source=source)
        self._noticed = set(leaving)
