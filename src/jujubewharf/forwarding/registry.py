"""The endpoints that have registered themselves, as the store shows them."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import itertools

import structlog

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.forwarding import registration

# An endpoint that lives is back in the store this long after its return, plus
# the time for this instance's next look.
LAPSE_GRACE_MS = 2_400.0

Listener = Callable[[Sequence[resources.Endpoint]], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The newest word of one endpoint.

    Attributes:
        key: Name under which it registered; it may be that of an earlier
            start.
        offset: Place in the store; of two words the later counts.
        endpoint: ``None`` when its entry was removed. ``drained`` is its own
            word that it leaves.
        is_unreadable: Whether there is an entry that can't be understood; it
            names no endpoint.
    """

    key: str
    offset: int
    endpoint: resources.Endpoint | None
    is_unreadable: bool = False


class Registry:
    """Which endpoints there are, and which of them take new work.

    The store may show an old state after a newer one, and drops entries of
    living endpoints while it is away. So a record counts only when it is
    later than what is known of its name, and an entry that vanished over an
    outage is kept for the time in which a living endpoint registers again.

    An endpoint that starts again may register under the key that it had. Its
    endpoint then has another name, so nothing that is known of the earlier
    start is taken for its own. A word of the earlier start that arrives after
    one of the later start is left out.

    The store may be away while an endpoint begins to leave, and its entry goes
    on to say that it is ready. Its own word in an answer counts before that.

    Args:
        clock: Time.
        says_it_leaves: Tells of an endpoint's start, by its name, whether it
            has said in an answer that it leaves.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        says_it_leaves: Callable[[str], bool] = lambda name: False,
    ) -> None:
        self._clock = clock
        self._says_it_leaves = says_it_leaves
        self._records: dict[str, Record] = {}
        self._lapsed: dict[str, tuple[resources.Endpoint, float]] = {}
        self._started_ms: dict[str, int] = {}
        self._by_name: dict[str, resources.Endpoint] = {}
        self._by_service: dict[str, list[resources.Endpoint]] = {}
        self._is_away = False
        self._back_ms = -LAPSE_GRACE_MS
        self._heard_ms: float | None = None
        self._listeners: list[Listener] = []
        self._logger = structlog.get_logger()

    @property
    def is_known(self) -> bool:
        """Whether anything was ever read."""
        return bool(self._records)

    @property
    def is_away(self) -> bool:
        """Whether the store can't be reached."""
        return self._is_away

    @property
    def age_ms(self) -> float:
        """Time since the store was last read; for log lines."""
        if self._heard_ms is None:
            return float("inf")
        return self._clock.now_ms() - self._heard_ms

    def present(self) -> list[resources.Endpoint]:
        """All that are registered, those that leave included."""
        return [
            self._as_it_says(record.endpoint)
            for record in self._records.values()
            if record.endpoint
        ]

    def listen(self, listener: Listener) -> None:
        """Calls back with all that take new work, whenever that may change."""
        self._listeners.append(listener)

    def of_service(self, service: str) -> Sequence[resources.Endpoint]:
        """Endpoints of a service that take new work."""
        self._forget_lapsed()
        return self._by_service.get(service, ())

    def takes_work(self, name: str) -> bool:
        """Whether an endpoint may be sent new work at this moment.

        Asked again right before each sending: the answer may change while a
        request waits for its place.
        """
        self._forget_lapsed()
        endpoint = self._by_name.get(name)
        return endpoint is not None and not endpoint.drained

    def knows(self, name: str) -> bool:
        """Whether an endpoint is registered, or was before an outage."""
        return name in self._by_name

    def begins_to_leave(self) -> None:
        """Learns that some endpoint has just said that it leaves."""
        self._index()

    def get(self, name: str) -> resources.Endpoint | None:
        """An endpoint's newest registration, also when it leaves."""
        endpoint = self._by_name.get(name)
        if (
            endpoint is None
            or registration.public_name(endpoint) in self._lapsed
        ):
            return None
        return endpoint

    def replaced(self, name: str) -> None:
        """Learns from whoever has its address now that an endpoint is gone.

        An instance that is cut off from the store would else send to it for
        as long as the cut lasts. A later word of the endpoint itself counts.
        """
        endpoint = self._by_name.get(name)
        if endpoint is None:
            return
        key = registration.public_name(endpoint)
        known = self._records.get(key)
        if known is not None and known.endpoint is not None:
            self._replace(known, Record(key, known.offset, None))
        self._lapsed.pop(key, None)
        self._index()

    def store_lost(self) -> None:
        """Learns that the store can't be reached."""
        self._is_away = True

    def store_back(self) -> None:
        """Learns that the store answers."""
        self._heard_ms = self._clock.now_ms()
        if self._is_away:
            self._is_away = False
            self._back_ms = self._clock.now_ms()

    def take(self, records: Iterable[Record]) -> None:
        """Takes over what the store shows of some endpoints."""
        for record in records:
            known = self._records.get(record.key)
            is_later = known is None or record.offset > known.offset
            if is_later and not self._is_of_earlier_start(record):
                self._replace(known, record)
        self._index()

    def take_all(self, records: Sequence[Record], end: int) -> None:
        """Takes over everything the store holds.

        Args:
            records: All entries.
            end: Where the store ended before they were read. What is known
                from before and isn't among them was removed.
        """
        self.take(records)
        keys = {record.key for record in records}
        for key, known in list(self._records.items()):
            was_there = known.offset < end
            if key not in keys and was_there and known.endpoint is not None:
                self._replace(known, Record(key, end - 1, None))
        self._index()

    def _is_of_earlier_start(self, record: Record) -> bool:
        """Whether a later start than the one that it tells of is known."""
        if record.endpoint is None:
            return False
        started_ms = registration.started_ms(record.endpoint)
        if started_ms is None:
            return False
        latest_ms = self._started_ms.get(record.key, started_ms)
        self._started_ms[record.key] = max(latest_ms, started_ms)
        return started_ms < latest_ms

    def _replace(self, former: Record | None, record: Record) -> None:
        before = former.endpoint if former is not None else None
        now = record.endpoint
        self._records[record.key] = record
        if now is not None or record.is_unreadable:
            self._lapsed.pop(record.key, None)
        elif before is not None and not before.drained and self._is_lapse():
            until_ms = self._back_ms + LAPSE_GRACE_MS
            self._lapsed[record.key] = (before, until_ms)
        known = now or before
        if before != now and known is not None:
            self._logger.info(
                "endpoint_changed",
                endpoint=known.name,
                offset=record.offset,
                is_lapsed=record.key in self._lapsed,
                service=known.service,
                address=known.address,
                state=_state_of(now),
                role=known.role.value,
            )

    def _is_lapse(self) -> bool:
        return self._clock.now_ms() < self._back_ms + LAPSE_GRACE_MS

    def _forget_lapsed(self) -> None:
        if not self._lapsed:
            return
        now_ms = self._clock.now_ms()
        over = [n for n, (_, until) in self._lapsed.items() if now_ms >= until]
        for name in over:
            del self._lapsed[name]
            self._logger.info("endpoint_gone_after_outage", endpoint=name)
        if over:
            self._index()

    def _as_it_says(self, endpoint: resources.Endpoint) -> resources.Endpoint:
        """A registration, leaving where the endpoint has said so itself."""
        if endpoint.drained or not self._says_it_leaves(endpoint.name):
            return endpoint
        return dataclasses.replace(endpoint, drained=True)

    def _index(self) -> None:
        self._by_service = {}
        present = self.present()
        lapsed = [self._as_it_says(e) for e, _ in self._lapsed.values()]
        self._by_name = {e.name: e for e in (*present, *lapsed)}
        for endpoint in (*present, *lapsed):
            if not endpoint.drained:
                of_service = self._by_service.setdefault(endpoint.service, [])
                of_service.append(endpoint)
        for listener in self._listeners:
            listener(list(itertools.chain(*self._by_service.values())))


def _state_of(endpoint: resources.Endpoint | None) -> str:
    if endpoint is None:
        return "gone"
    return "draining" if endpoint.drained else "ready"
