"""The configuration held by one instance, whichever way news comes in."""

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

RECENT_RECORDS = 512

_meter = metrics.get_meter("jujubewharf")
_folded = _meter.create_counter(
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


class Holding:
    """Folds records and takes over states, and never goes back.

    Records come from the log and from peers, at the same time and in any
    order; only the very next one is ever folded, so it does not matter who
    brings it.

    Attributes:
        current: Configuration in force here; always the same object.
        caught_up: Set once the end of the log was seen, or a peer's state
            taken over.
        is_frozen: Whether the next record needs rules that this version
            lacks.
    """

    def __init__(self, state: states.State | None = None) -> None:
        self.current = state or states.State()
        self.caught_up = asyncio.Event()
        self.is_frozen = False
        self._recent: collections.deque[log.LogRecord] = collections.deque(
            maxlen=RECENT_RECORDS
        )
        self._listeners: list[Listener] = []
        self._logger = structlog.get_logger()

    @property
    def next_offset(self) -> int:
        """Offset of the next record to fold."""
        return self.current.next_offset

    def listen(self, listener: Listener) -> None:
        """Calls back after every run of records and every takeover."""
        self._listeners.append(listener)

    def fold(self, found: Iterable[log.LogRecord]) -> int:
        """Folds those records that come next, and leaves the others.

        Returns:
            How many were folded.
        """
        count = sum(1 for record in found if self._fold_one(record))
        if count:
            self._tell()
        return count

    def adopt(self, state: states.State, *, source: str) -> bool:
        """Takes over a state if it is further than the one held.

        Returns:
            Whether it was.
        """
        if state.next_offset <= self.next_offset:
            return False
        self._logger.info(
            "configuration_adopted",
            source=source,
            from_offset=self.next_offset,
            to_offset=state.next_offset,
        )
        self.current.take_over(state)
        self._recent.clear()
        _adopted.add(1, {"source": source})
        self._tell()
        return True

    def recent(self, from_offset: int, limit: int) -> list[log.LogRecord]:
        """Records folded lately, from an offset on.

        Returns:
            Nothing unless the record at that offset is still held.
        """
        if not self._recent or from_offset < self._recent[0].offset:
            return []
        found = [one for one in self._recent if one.offset >= from_offset]
        return found[:limit]

    def _fold_one(self, record: log.LogRecord) -> bool:
        if record.offset != self.next_offset or self.is_frozen:
            return False
        try:
            verdict = self.current.apply(record)
        except states.RulesTooNewError as error:
            # Folding on would judge by other rules than the fleet does. What
            # is in force stays so, until this instance is upgraded.
            self.is_frozen = True
            self._logger.error("configuration_frozen", detail=str(error))
            return False
        self._recent.append(record)
        _folded.add(1, {"outcome": verdict.outcome.value})
        return True

    def _tell(self) -> None:
        for listener in self._listeners:
            try:
                listener(self.current)
            except Exception:
                # One part that can't take a change in must not keep the
                # instance, and every other part, from the changes after it.
                _failures.add(1)
                self._logger.exception("configuration_listener_failed")
