"""Interprets lease records by the clock of one reader.

Log records carry no time, and clocks of instances are not compared. A holder
counts its lease from before it sent the record and stops early. Every other
instance counts from when it read the record and waits longer. Only the *rates*
of the clocks must agree, within the margins.

Each record is a compare-and-set on its engine: it is accepted only if no other
record of the engine lies between the last one that its writer had read and
itself. The writer knows by its own clock that every earlier lease has expired
or was released, so an accepted claim never overlaps an older lease.
"""

from __future__ import annotations

import dataclasses
import enum

from jujubewharf.orders import records

_MAX_ENTRIES = 512


class Verdict(enum.Enum):
    """Result of applying a record.

    ``UNDECIDED`` means that this reader lacks the earlier records to decide.
    """

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNDECIDED = "undecided"


@dataclasses.dataclass(slots=True)
class Entry:
    """The lease of one engine, as seen by this reader.

    Attributes:
        last_offset: Offset of the last record of the engine.
        holder: Instance that holds or may hold the lease.
        fence: Offset of the lease's claim.
        purpose: Purpose of the orders.
        held_until_ms: Clock reading after which the lease has certainly ended.
    """

    last_offset: int
    holder: str = ""
    fence: int = -1
    purpose: records.Purpose = records.Purpose.ADAPTER
    held_until_ms: float = float("-inf")


class Ledger:
    """State of all leases, built from the lease records.

    Args:
        margin_ms: Time that a reader waits after the end of a lease.
        max_lease_ms: Maximum duration of any instance's lease.

    Attributes:
        next_offset: Offset of the next record to apply.
    """

    def __init__(self, *, margin_ms: float, max_lease_ms: float) -> None:
        self.next_offset = 0
        self._margin_ms = margin_ms
        self._max_lease_ms = max_lease_ms
        self._start_offset = 0
        self._unknown_until_ms = float("inf")
        self._entries: dict[str, Entry] = {}

    def restart(self, offset: int, now_ms: float) -> None:
        """Starts reading at an offset, without the records before it.

        Leases written before the offset may still be valid. Until they must
        have expired, every engine counts as held.
        """
        self.next_offset = offset
        self._start_offset = offset
        self._unknown_until_ms = now_ms + self._max_lease_ms + self._margin_ms
        self._entries.clear()

    def apply(
        self, offset: int, record: records.LeaseRecord, now_ms: float
    ) -> Verdict:
        """Applies a record that was read at ``now_ms``."""
        entry = self._entries.get(record.engine)
        verdict = self._evaluate(entry, record)
        if entry is None:
            entry = Entry(offset)
            self._entries[record.engine] = entry
        entry.last_offset = offset
        self.next_offset = offset + 1
        if verdict is not Verdict.REJECTED:
            self._update_entry(entry, offset, record, now_ms)
        self._evict_ended(now_ms)
        return verdict

    def after(self, engine: str) -> int:
        """Returns the ``after`` value for a new record of the engine."""
        entry = self._entries.get(engine)
        last_before_start = self._start_offset - 1
        return last_before_start if entry is None else entry.last_offset

    def is_free(self, engine: str, now_ms: float) -> bool:
        """Whether no lease of the engine can be valid."""
        if now_ms < self._unknown_until_ms:
            return False
        entry = self._entries.get(engine)
        return entry is None or entry.held_until_ms <= now_ms

    def held(self, now_ms: float) -> dict[str, Entry]:
        """Returns the engines whose lease is or may be valid, by name."""
        return {
            name: entry
            for name, entry in sorted(self._entries.items())
            if entry.held_until_ms > now_ms
        }

    def entry(self, engine: str) -> Entry | None:
        """Returns the known lease of an engine."""
        return self._entries.get(engine)

    def _evaluate(
        self, entry: Entry | None, record: records.LeaseRecord
    ) -> Verdict:
        if entry is not None:
            is_in_order = record.after >= entry.last_offset
            return Verdict.ACCEPTED if is_in_order else Verdict.REJECTED
        if record.after >= self._start_offset - 1:
            return Verdict.ACCEPTED
        return Verdict.UNDECIDED

    def _update_entry(
        self,
        entry: Entry,
        offset: int,
        record: records.LeaseRecord,
        now_ms: float,
    ) -> None:
        until_ms = now_ms + record.lease_ms + self._margin_ms
        match record.verb:
            case records.Verb.CLAIM:
                entry.fence = offset
                entry.held_until_ms = max(entry.held_until_ms, until_ms)
            case records.Verb.RENEW:
                entry.fence = record.fence
                entry.held_until_ms = max(entry.held_until_ms, until_ms)
            case records.Verb.RELEASE if entry.fence == record.fence:
                entry.held_until_ms = now_ms
        entry.holder = record.holder
        entry.purpose = record.purpose

    def _evict_ended(self, now_ms: float) -> None:
        """Limits the number of entries by removing ended leases.

        This moves the start offset. Records whose ``after`` lies below it can
        no longer be decided and are treated as valid leases.
        """
        if len(self._entries) <= _MAX_ENTRIES:
            return
        ended = [
            (entry.last_offset, name)
            for name, entry in self._entries.items()
            if entry.held_until_ms <= now_ms
        ]
        for last_offset, name in sorted(ended)[: _MAX_ENTRIES // 2]:
            del self._entries[name]
            self._start_offset = max(self._start_offset, last_offset + 1)
