"""Bounded table of the evidence against requests and parts of prompts."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterator

from jujubewharf import clock as clocks
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import crash_evidence
from jujubewharf.forwarding import fingerprints

# Retention of crashes, after which a wrongly quarantined subject is released.
RETENTION_MS = 600_000.0
# Bound the memory, because callers can send any number of distinct requests.
MAX_RECORDS = 1_024
_MAX_LABEL_CHARS = 64


class EvidenceTable:
    """Evidence by subject, with cheap look-ups for requests without any.

    Args:
        clock: Time source.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._records: dict[
            fingerprints.Fingerprint, crash_evidence.Evidence
        ] = {}
        # Number of records by outline.
        self._outlines: dict[fingerprints.Outline, int] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, fingerprint: fingerprints.Fingerprint) -> bool:
        return fingerprint in self._records

    def __getitem__(
        self, fingerprint: fingerprints.Fingerprint
    ) -> crash_evidence.Evidence:
        return self._records[fingerprint]

    def get(
        self, fingerprint: fingerprints.Fingerprint
    ) -> crash_evidence.Evidence | None:
        """Returns the record of a subject, if there is one."""
        return self._records.get(fingerprint)

    @property
    def subjects(self) -> Collection[fingerprints.Fingerprint]:
        """All subjects."""
        return self._records.keys()

    def current(
        self, fingerprint: fingerprints.Fingerprint
    ) -> crash_evidence.Evidence:
        """Returns a record without what no longer counts."""
        record = self._records[fingerprint]
        record.remove_expired(self._clock.now_ms() - RETENTION_MS)
        return record

    def find_request(self, call: calls.Call) -> fingerprints.Fingerprint | None:
        """Returns the fingerprint of a request that has a record.

        The body is hashed only if the outline matches a record.
        """
        if not self._outlines:
            return None
        if fingerprints.Outline.from_call(call) not in self._outlines:
            return None
        fingerprint = fingerprints.Fingerprint.from_call(call)
        return fingerprint if fingerprint in self._records else None

    def find_parts(self, call: calls.Call) -> list[fingerprints.Fingerprint]:
        """Returns the parts of a request's prompt that have a record."""
        if not self._outlines:
            return []
        found = []
        for position, part in enumerate(call.shared_parts, start=1):
            if fingerprints.Outline.from_part(call, part) not in self._outlines:
                continue
            fingerprint = fingerprints.Fingerprint.from_part(call, part)
            record = self._records.get(fingerprint)
            if record is not None:
                # Reports that an older build passed on lack the position.
                record.position = record.position or position
                found.append(fingerprint)
        return found

    def get_or_create(
        self,
        fingerprint: fingerprints.Fingerprint,
        *,
        label: str,
        position: int = 0,
        completions: int = 0,
    ) -> crash_evidence.Evidence:
        """Returns the record of a subject, creating it if needed.

        Args:
            fingerprint: The subject.
            label: Request id of one of its tries.
            position: Position of a part in its prompts, from 1; 0 for a
                request.
            completions: Number of its recent complete answers.
        """
        record = self._records.get(fingerprint)
        if record is not None:
            return record
        record = crash_evidence.Evidence(label[:_MAX_LABEL_CHARS], position)
        record.add_completions(completions)
        self._evict()
        self._records[fingerprint] = record
        count = self._outlines.get(fingerprint.outline, 0)
        self._outlines[fingerprint.outline] = count + 1
        return record

    def _evict(self) -> None:
        """Evicts records until there is room for another one.

        Evicts from the account with the most records, fewest crashes first. An
        account that sends many distinct requests thus cannot evict the records
        of other accounts.
        """
        if len(self._records) < MAX_RECORDS:
            return
        self.remove_expired()
        while len(self._records) >= MAX_RECORDS:
            self._remove(self._eviction_candidate())

    def remove_expired(self) -> None:
        """Removes the subjects of which nothing counts any more."""
        oldest_ms = self._clock.now_ms() - RETENTION_MS
        for fingerprint, record in list(self._records.items()):
            record.remove_expired(oldest_ms)
            if record.changed_ms <= oldest_ms:
                self._remove(fingerprint)

    def _eviction_candidate(self) -> fingerprints.Fingerprint:
        counts: dict[str, int] = {}
        for fingerprint in self._records:
            account = fingerprint.outline.account
            counts[account] = counts.get(account, 0) + 1
        largest = max(counts, key=lambda account: counts[account])
        return min(self._fingerprints_of(largest), key=self._eviction_key)

    def _fingerprints_of(
        self, account: str
    ) -> Iterator[fingerprints.Fingerprint]:
        return (f for f in self._records if f.outline.account == account)

    def _eviction_key(
        self, fingerprint: fingerprints.Fingerprint
    ) -> tuple[int, float]:
        record = self._records[fingerprint]
        return len(record.crashes), record.changed_ms

    def _remove(self, fingerprint: fingerprints.Fingerprint) -> None:
        del self._records[fingerprint]
        self._outlines[fingerprint.outline] -= 1
        if not self._outlines[fingerprint.outline]:
            del self._outlines[fingerprint.outline]
