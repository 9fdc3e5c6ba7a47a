"""The configuration state of one instance and its updates."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable

from opentelemetry import metrics
import structlog

from jujubewharf.configuration import state as states
from jujubewharf.platform import log

Listener = Callable[[states.State], None]

MAX_RECENT_RECORDS = 512

_meter = metrics.get_meter("jujubewharf")
_applied = _meter.create_counter(
    "configuration.folded",
    description="Records folded here, by the fold's verdict",
)
_adopted = _meter.create_counter(
    "configuration.adopted",
    description="Whole states taken over, by where from",
)
_failures = _meter.create_counter(
    "configuration.listener_failures",
    description="Parts of this instance that failed to take a change in",
)


class Replica:
    """Applies records and adopts states; its offset never decreases.

    Records arrive from the log and from peers concurrently and in any order.
    Only the record at the next offset is applied, so its source is
    irrelevant.

    Args:
        state: Initial state; empty by default.

    Attributes:
        current: Configuration in force; always the same object.
        caught_up: Set once the end of the log was reached, directly or via a
            peer.
        is_frozen: Whether the next record requires rules unknown to this
            version.
    """

    def __init__(self, state: states.State | None = None) -> None:
        self.current = state or states.State()
        self.caught_up = asyncio.Event()
        self.is_frozen = False
        self._recent_records: collections.deque[log.LogRecord] = (
            collections.deque(maxlen=MAX_RECENT_RECORDS)
        )
        self._listeners: list[Listener] = []
        self._logger = structlog.get_logger()

    @property
    def next_offset(self) -> int:
        """Offset of the next record to apply."""
        return self.current.next_offset

    def listen(self, listener: Listener) -> None:
        """Adds a callback for each applied batch and each adopted state."""
        self._listeners.append(listener)

    def apply_records(self, records: Iterable[log.LogRecord]) -> int:
        """Applies the records that come next, and ignores all others.

        Returns:
            Number of applied records.
        """
        count = sum(1 for record in records if self._apply_one(record))
        if count:
            self._notify_listeners()
        return count

    def adopt(self, state: states.State, *, source: str) -> bool:
        """Replaces the state by another one with a higher offset.

        Returns:
            Whether the state was replaced.
        """
        if state.next_offset <= self.next_offset:
            return False
        self._logger.info(
            "configuration_adopted",
            source=source,
            from_offset=self.next_offset,
            to_offset=state.next_offset,
        )
        self.current.replace_with(state)
        self._recent_records.clear()
        _adopted.add(1, {"source": source})
        self._notify_listeners()
        return True

    def recent_records(
        self, from_offset: int, limit: int
    ) -> list[log.LogRecord]:
        """Returns recently applied records from an offset on.

        Returns:
            At most ``limit`` records; none if the record at ``from_offset``
            has already been evicted.
        """
        if (
            not self._recent_records
            or from_offset < self._recent_records[0].offset
        ):
            return []
        found = [
            one for one in self._recent_records if one.offset >= from_offset
        ]
        return found[:limit]

    def _apply_one(self, record: log.LogRecord) -> bool:
        if record.offset != self.next_offset or self.is_frozen:
            return False
        try:
            verdict = self.current.apply(record)
        except states.RulesTooNewError as error:
            # Applying further records by other rules than the fleet would let
            # the states diverge. The state is frozen until an upgrade.
            self.is_frozen = True
            self._logger.error("configuration_frozen", detail=str(error))
            return False
        self._recent_records.append(record)
        _applied.add(1, {"outcome": verdict.outcome.value})
        return True

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            try:
                listener(self.current)
            except Exception:
                # A failing listener must not keep the instance, or the other
                # listeners, from receiving later changes.
                _failures.add(1)
                self._logger.exception("configuration_listener_failed")
