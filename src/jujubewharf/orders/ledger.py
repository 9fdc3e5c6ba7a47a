"""What the lease records mean to one reader, judged by its own clock.

The log's records carry no time, and no two clocks agree. So nobody compares
clocks: a holder counts its lease from before it sent the record and stops
early; every other instance counts from when it read the record and waits
longer. Only the *rates* of clocks have to agree, within the margins.

Each record is a compare-and-set on its engine: it counts only if no other
record about the engine lies between the last one its writer had read and
itself. A writer knows that every earlier lease has run out by its own clock
or was released, so a claim that counts never overlaps an older lease.
"""

from __future__ import annotations

import dataclasses
import enum

from jujubewharf.orders import records

_MAX_ENTRIES = 512


class Verdict(enum.Enum):
    """What became of a record.

    ``UNDECIDED`` means that this reader began too late on the log to tell.
    """

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNDECIDED = "undecided"


@dataclasses.dataclass(slots=True)
class Entry:
    """One engine's lease, as this reader sees it.

    Attributes:
        last_offset: Offset of the last record about the engine.
        holder: Instance that holds the lease or may.
        fence: Offset of that lease's claim.
        purpose: Why the engine is ordered.
        busy_until_ms: Clock reading at which no holder is left, at latest.
    """

    last_offset: int
    holder: str = ""
    fence: int = -1
    purpose: records.Purpose = records.Purpose.ADAPTER
    busy_until_ms: float = float("-inf")


class Ledger:
    """Folds lease records.

    Args:
        margin_ms: How much longer than the lease a reader waits.
        max_lease_ms: Longest lease that any instance takes.

    Attributes:
        next_offset: Offset of the next record to fold.
    """

    def __init__(self, *, margin_ms: float, max_lease_ms: float) -> None:
        self.next_offset = 0
        self._margin_ms = margin_ms
        self._max_lease_ms = max_lease_ms
        self._start_offset = 0
        self._blind_until_ms = float("inf")
        self._entries: dict[str, Entry] = {}

    def restart(self, offset: int, now_ms: float) -> None:
        """Begins to read at an offset, without what lies before it.

        Leases may be running that were written before the offset; until they
        have all run out, every engine counts as held.
        """
        self.next_offset = offset
        self._start_offset = offset
        self._blind_until_ms = now_ms + self._max_lease_ms + self._margin_ms
        self._entries.clear()

    def apply(
        self, offset: int, record: records.LeaseRecord, now_ms: float
    ) -> Verdict:
        """Folds one record, read just now."""
        entry = self._entries.get(record.engine)
        verdict = self._judge(entry, record)
        if entry is None:
            entry = Entry(offset)
            self._entries[record.engine] = entry
        entry.last_offset = offset
        self.next_offset = offset + 1
        if verdict is not Verdict.REJECTED:
            self._take_over(entry, offset, record, now_ms)
        self._forget_old(now_ms)
        return verdict

    def after(self, engine: str) -> int:
        """What a new record about the engine must carry as ``after``."""
        entry = self._entries.get(engine)
        before_start = self._start_offset - 1
        return before_start if entry is None else entry.last_offset

    def is_free(self, engine: str, now_ms: float) -> bool:
        """Whether no lease of the engine can be running."""
        if now_ms < self._blind_until_ms:
            return False
        entry = self._entries.get(engine)
        return entry is None or entry.busy_until_ms <= now_ms

    def held(self, now_ms: float) -> dict[str, Entry]:
        """Engines whose lease runs or may run, by name."""
        return {
            name: entry
            for name, entry in sorted(self._entries.items())
            if entry.busy_until_ms > now_ms
        }

    def entry(self, engine: str) -> Entry | None:
        """What is known of one engine's lease."""
        return self._entries.get(engine)

    def _judge(
        self, entry: Entry | None, record: records.LeaseRecord
    ) -> Verdict:
        if entry is not None:
            fits = record.after >= entry.last_offset
            return Verdict.ACCEPTED if fits else Verdict.REJECTED
        if record.after >= self._start_offset - 1:
            return Verdict.ACCEPTED
        return Verdict.UNDECIDED

    def _take_over(
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
                entry.busy_until_ms = max(entry.busy_until_ms, until_ms)
            case records.Verb.RENEW:
                entry.fence = record.fence
                entry.busy_until_ms = max(entry.busy_until_ms, until_ms)
            case records.Verb.RELEASE if entry.fence == record.fence:
                entry.busy_until_ms = now_ms
        entry.holder = record.holder
        entry.purpose = record.purpose

    def _forget_old(self, now_ms: float) -> None:
        """Keeps the number of entries bounded.

        Forgetting moves the start: this reader then no longer judges records
        that name an ``after`` below it, and takes them for leases.
        """
        if len(self._entries) <= _MAX_ENTRIES:
            return
        free = [
            (entry.last_offset, name)
            for name, entry in self._entries.items()
            if entry.busy_until_ms <= now_ms
        ]
        for last_offset, name in sorted(free)[: _MAX_ENTRIES // 2]:
            del self._entries[name]
            self._start_offset = max(self._start_offset, last_offset + 1)
