"""Endpoints that are registered in the platform's store."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

import structlog

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.forwarding import registration
from jujubewharf.forwarding import registry_index
from jujubewharf.platform import epochs
from jujubewharf.telemetry import containment

# Time after an outage of the store within which running endpoints register
# again, excluding this instance's polling interval.
LAPSE_GRACE_MS = 2_400.0
# Time after a restore of the store for which an endpoint that was known to be
# gone stays so, although the copy shows it as ready. The store drops the
# entries of endpoints that are gone within that time.
RESTORE_HOLD_MS = 5_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Newest store entry of one endpoint.

    Attributes:
        key: Name under which the endpoint registered; earlier starts may have
            used it too.
        offset: Position in the store; the higher one is newer.
        endpoint: The endpoint; ``None`` if the entry was removed. ``drained``
            is set if the entry says that the endpoint drains.
        is_unreadable: Whether the entry could not be decoded.
    """

    key: str
    offset: int
    endpoint: resources.Endpoint | None
    is_unreadable: bool = False


class Registry:
    """Tracks which endpoints are registered and which of them accept work.

    The store can return an old state after a newer one, and drops the entries
    of running endpoints during an outage. Records are therefore only applied if
    they are newer than the known one, and entries that vanish during an outage
    are kept until running endpoints must have registered again and a later
    read still lacks them.

    Endpoints that restart may register under the same key. Each start has its
    own endpoint name, and records of an earlier start are ignored once a later
    one is known.

    A store that was restored from a copy shows an older state than was known
    before. Endpoints that have registered since are kept like those that vanish
    in an outage; those that have begun to drain go on draining, and those that
    have left stay away until the store has had time to drop them again.

    While the store is unavailable, an endpoint that drains is still stored as
    ready. Drain notices in the endpoint's answers take precedence.

    Args:
        clock: Time source.
        sent_drain_notice: Returns whether the endpoint of this name has sent a
            drain notice.

    Attributes:
        on_drained_before_restore: Called with the name of each endpoint that
            drained when the store was restored.
        on_record: Called with the endpoint of each record that is applied,
            also if a later one of the same read replaces it.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        sent_drain_notice: Callable[[str], bool] = lambda name: False,
    ) -> None:
        self.on_record: Callable[[resources.Endpoint], None]
        self.on_record = lambda endpoint: None
        self.on_drained_before_restore: Callable[[str], None]
        self.on_drained_before_restore = lambda name: None
        self._clock = clock
        self._says_it_leaves = sent_drain_notice
        self._records: dict[str, Record] = {}
        self._lapsed: dict[str, tuple[resources.Endpoint, float]] = {}
        # Entries of the copy that are not believed yet, and until when.
        self._held: dict[str, tuple[Record, float]] = {}
        self._epoch: int | None = None
        self._held_until_ms = 0.0
        self._started_ms: dict[str, int] = {}
        self._index = registry_index.RegistryIndex()
        self._is_unavailable = False
        self._available_since_ms = -LAPSE_GRACE_MS
        self._last_read_ms: float | None = None
        self._logger = structlog.get_logger()

    @property
    def is_loaded(self) -> bool:
        """Whether any record was read."""
        return bool(self._records)

    @property
    def is_store_unavailable(self) -> bool:
        """Whether the store is unavailable."""
        return self._is_unavailable

    @property
    def age_ms(self) -> float:
        """Time since the last successful read, for log lines."""
        if self._last_read_ms is None:
            return float("inf")
        return self._clock.now_ms() - self._last_read_ms

    def registered(self) -> list[resources.Endpoint]:
        """Returns all registered endpoints, including draining ones."""
        return [
            self._with_drain_notice(record.endpoint)
            for record in self._records.values()
            if record.endpoint
        ]

    @property
    def names(self) -> Container[str]:
        """Names of the endpoints for which ``is_registered`` is true."""
        return self._index.by_name.keys()

    def add_listener(self, listener: registry_index.Listener) -> None:
        """Registers a callback that gets all endpoints that accept work."""
        self._index.add_listener(listener)

    def of_service(self, service: str) -> Sequence[resources.Endpoint]:
        """Returns the endpoints of a service that accept work."""
        self._settle()
        return self._index.of_service(service)

    def takes_work(self, name: str) -> bool:
        """Returns whether an endpoint accepts work now.

        Checked again right before each attempt, because the endpoint may have
        started to drain while the request waited.
        """
        self._settle()
        endpoint = self._index.by_name.get(name)
        return endpoint is not None and not endpoint.drained

    def is_registered(self, name: str) -> bool:
        """Returns whether an endpoint is registered or was until an outage."""
        return name in self._index.by_name

    def is_latest_start(self, endpoint: resources.Endpoint) -> bool:
        """Returns whether no later start of an endpoint can be unknown here.

        Where endpoints keep their names over restarts, one may have started
        again while the store is unavailable.
        """
        started_ms = registration.started_ms(endpoint)
        if started_ms is None:
            return True
        if self._is_unavailable:
            return False
        key = registration.public_name(endpoint)
        return self._started_ms.get(key, started_ms) <= started_ms

    def handle_drain_notice(self) -> None:
        """Updates the index after an endpoint has sent a drain notice."""
        self._rebuild_index()

    def get(self, name: str) -> resources.Endpoint | None:
        """Returns an endpoint's registration, even if it drains.

        Endpoints whose entry vanished during an outage are left out.
        """
        endpoint = self._index.by_name.get(name)
        if (
            endpoint is None
            or registration.public_name(endpoint) in self._lapsed
        ):
            return None
        return endpoint

    def remove_replaced(self, name: str) -> None:
        """Removes an endpoint whose address belongs to another endpoint now.

        Otherwise an instance that is cut off from the store would keep sending
        requests to it. A newer record of the endpoint restores it.
        """
        endpoint = self._index.by_name.get(name)
        if endpoint is None:
            return
        key = registration.public_name(endpoint)
        known = self._records.get(key)
        if known is not None and known.endpoint is not None:
            self._replace(known, Record(key, known.offset, None))
        self._lapsed.pop(key, None)
        self._rebuild_index()

    def mark_store_unavailable(self) -> None:
        """Records that the store is unavailable."""
        self._is_unavailable = True

    def mark_store_available(self, *, age_ms: float = 0.0) -> None:
        """Records that the store answers.

        Args:
            age_ms: Time in ms since the answer, which the leader may have got.
        """
        self.mark_confirmed(age_ms=age_ms)
        if self._is_unavailable:
            self._is_unavailable = False
            self._available_since_ms = self._clock.now_ms()
            self._extend_waits()

    def mark_confirmed(self, *, age_ms: float) -> None:
        """Records a later read of the store that found no more records."""
        read_ms = self._clock.now_ms() - age_ms
        self._last_read_ms = max(read_ms, self._last_read_ms or 0.0)

    def mark_read_up_to(self, end: int) -> None:
        """Records the end position of a read, before its records are applied.

        The time of a restore counts from the first read after it, which may
        have no records.
        """
        self._note_epoch(end)

    def apply(self, records: Iterable[Record]) -> None:
        """Applies changed records.

        A record that can't be applied, or at whose change a listener fails, is
        treated like an unreadable one. The others are applied.
        """
        changed: list[Record] = []
        for record in records:
            try:
                if self._apply(record):
                    changed.append(record)
            except Exception as error:
                self._reject(record, error)
        if self._try_rebuild() is not None:
            self._apply_singly(changed)

    def _apply_singly(self, changed: Sequence[Record]) -> None:
        """Rejects the records at whose change a listener fails."""
        for record in changed:
            self._withdraw(record)
        is_due_to_others = self._try_rebuild() is not None
        for record in changed:
            self._records[record.key] = record
            error = None if is_due_to_others else self._try_rebuild()
            if error is not None:
                self._reject(record, error)
        self._rebuild_index()

    def _reject(self, record: Record, error: Exception) -> None:
        containment.report_failure("registry", error, endpoint=record.key)
        self._withdraw(record)

    def _withdraw(self, record: Record) -> None:
        """Replaces a record by an unreadable one."""
        self._records[record.key] = Record(
            record.key, record.offset, None, is_unreadable=True
        )
        self._lapsed.pop(record.key, None)
        self._held.pop(record.key, None)

    def _apply(self, record: Record) -> bool:
        """Applies a record; returns whether its endpoint changed."""
        self._note_epoch(record.offset)
        known = self._records.get(record.key)
        is_later = known is None or record.offset > known.offset
        latest_start_ms = self._started_ms.get(record.key)
        if not is_later or self._is_of_earlier_start(record):
            return False
        is_new_start = self._started_ms.get(record.key) != latest_start_ms
        if (
            known is not None
            and not is_new_start
            and self._contradicts(known, record)
        ):
            self._hold(record)
            return False
        self._held.pop(record.key, None)
        self._replace(known, record)
        if record.endpoint is not None:
            self.on_record(record.endpoint)
        is_known = known is not None and known.endpoint == record.endpoint
        return record.endpoint is not None and not is_known

    def apply_all(self, records: Sequence[Record], end: int) -> None:
        """Applies a full read of the store.

        Args:
            records: All entries.
            end: End offset of the store before the read. Older known records
                that are not among the entries were removed.
        """
        self.mark_read_up_to(end)
        self.apply(records)
        keys = {record.key for record in records}
        for key, known in list(self._records.items()):
            was_there = known.offset < end
            if key in keys or not was_there:
                continue
            self._held.pop(key, None)
            if known.endpoint is not None:
                self._replace(known, Record(key, end - 1, None))
        self._rebuild_index()

    def _note_epoch(self, position: int) -> None:
        """Prepares for older entries if the store was restored."""
        epoch = epochs.split(position).epoch
        if self._epoch is not None and epoch > self._epoch:
            now_ms = self._clock.now_ms()
            self._available_since_ms = now_ms
            self._held_until_ms = now_ms + RESTORE_HOLD_MS
            self._extend_waits()
            for record in list(self._records.values()):
                if record.endpoint is not None and record.endpoint.drained:
                    self.on_drained_before_restore(record.endpoint.name)
        self._epoch = max(epoch, self._epoch or 0)

    def _extend_waits(self) -> None:
        """Gives the store and endpoints the whole time after its return."""
        now_ms = self._clock.now_ms()
        for key, (endpoint, _) in list(self._lapsed.items()):
            self._lapsed[key] = (endpoint, now_ms + LAPSE_GRACE_MS)
        for key, (record, _) in list(self._held.items()):
            self._held[key] = (record, now_ms + RESTORE_HOLD_MS)

    def _hold(self, record: Record) -> None:
        """Keeps an endpoint away although the copy shows its entry."""
        self._records[record.key] = Record(record.key, record.offset, None)
        self._held[record.key] = (record, self._held_until_ms)
        assert record.endpoint is not None
        self._logger.info(
            "endpoint_held",
            endpoint=record.endpoint.name,
            **dataclasses.asdict(epochs.split(record.offset)),
            for_ms=round(self._held_until_ms - self._clock.now_ms()),
        )

    def _contradicts(self, known: Record, record: Record) -> bool:
        """Returns whether a copy shows an endpoint that is known to be gone."""
        is_from_copy = (
            epochs.split(record.offset).epoch > epochs.split(known.offset).epoch
        )
        return (
            is_from_copy
            and known.endpoint is None
            and record.key not in self._lapsed
            and not known.is_unreadable
            and record.endpoint is not None
            and self._clock.now_ms() < self._held_until_ms
        )

    def _is_of_earlier_start(self, record: Record) -> bool:
        """Returns whether a later start of the record's endpoint is known."""
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
        elif (
            before is not None
            and not before.drained
            and self._is_after_outage()
        ):
            until_ms = self._available_since_ms + LAPSE_GRACE_MS
            self._lapsed[record.key] = (before, until_ms)
        known = now or before
        if before != now and known is not None:
            self._logger.info(
                "endpoint_changed",
                endpoint=known.name,
                **dataclasses.asdict(epochs.split(record.offset)),
                is_lapsed=record.key in self._lapsed,
                service=known.service,
                address=known.address,
                version=registration.software_version(known),
                state=_state_of(now),
                role=known.role.value,
            )

    def _is_after_outage(self) -> bool:
        return self._clock.now_ms() < self._available_since_ms + LAPSE_GRACE_MS

    def _settle(self) -> None:
        """Applies what was only held or kept for a time that is over."""
        if self._is_unavailable:
            # Nobody can register or be dropped meanwhile.
            return
        if self._held:
            self._release_held()
        if self._lapsed:
            self._remove_lapsed()

    def _release_held(self) -> None:
        # An instance may not have noticed yet that the store is away again. A
        # read that ended after the hold includes what the store has dropped.
        read_ms = self._last_read_ms or 0.0
        due = [r for r, until_ms in self._held.values() if read_ms >= until_ms]
        for record in due:
            del self._held[record.key]
            self._replace(self._records[record.key], record)
        if due:
            self._rebuild_index()

    def _remove_lapsed(self) -> None:
        # The store may be away again without a failed read yet, so only a read
        # that ended after the grace shows that the entry is still missing.
        read_ms = self._last_read_ms or 0.0
        expired = [
            n for n, (_, until) in self._lapsed.items() if read_ms >= until
        ]
        for name in expired:
            del self._lapsed[name]
            self._logger.info("endpoint_gone_after_outage", endpoint=name)
        if expired:
            self._rebuild_index()

    def _with_drain_notice(
        self, endpoint: resources.Endpoint
    ) -> resources.Endpoint:
        """Marks an endpoint as draining if it has sent a drain notice."""
        if endpoint.drained or not self._says_it_leaves(endpoint.name):
            return endpoint
        return dataclasses.replace(endpoint, drained=True)

    def _rebuild_index(self) -> None:
        """Rebuilds the index; what a listener fails at concerns it alone."""
        failure = self._try_rebuild()
        if failure is not None:
            containment.report_failure("registry_listener", failure)

    def _try_rebuild(self) -> Exception | None:
        """Rebuilds the index; returns the failure of a listener."""
        lapsed = [self._with_drain_notice(e) for e, _ in self._lapsed.values()]
        return self._index.rebuild([*self.registered(), *lapsed])


def _state_of(endpoint: resources.Endpoint | None) -> str:
    if endpoint is None:
        return "gone"
    return "draining" if endpoint.drained else "ready"
