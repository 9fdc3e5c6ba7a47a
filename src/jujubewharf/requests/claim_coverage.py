"""Which keys the records of a claim stream vouch for.

A log that is restored from a copy has lost its newest claims, and one that
nobody used for longer than its retention has dropped claims that are still
needed. A key that may have been claimed in such a gap must not be claimed
again: its request may have run. A coverage record on the stream states when the
last gap ended. Keys that were created later can't have been claimed in it.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jujubewharf.requests import claim_records
    from jujubewharf.requests import claim_shard

# A key is accepted while its time is this far ahead of the instance's clock.
MAX_KEY_AHEAD_MS = 60_000.0
MAX_CLOCK_DIFFERENCE_MS = 15_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Coverage:
    """Completeness of a stream's claims.

    Attributes:
        epoch: Number of times that the log had been restored.
        since_wall_ms: Wall-clock time in ms before which claims may be missing;
            ``None`` if none are.
    """

    epoch: int
    since_wall_ms: float | None


class CoverageTracker:
    """Follows the coverage of one stream as its records are applied.

    Args:
        retention: Retention periods of claims and of the log.

    Attributes:
        epoch: Epoch of the log that the stream was read from.
        current: Coverage of the stream; ``None`` until it was read to its end.
    """

    def __init__(self, retention: claim_shard.Retention) -> None:
        self.epoch = 0
        self.current: Coverage | None = None
        self._retention = retention
        self._is_truncated = False
        self._has_gone_back = False
        self._found: Coverage | None = None
        self._found_wall_ms: float | None = None
        self._first_wall_ms: float | None = None

    def begin(
        self, *, is_truncated: bool = False, has_gone_back: bool = False
    ) -> None:
        """Starts over before the stream is read from its oldest record.

        Args:
            is_truncated: Whether the log has dropped older records.
            has_gone_back: Whether the log has lost records and states no epoch.
        """
        self.current = None
        self._is_truncated = is_truncated
        self._has_gone_back |= has_gone_back
        self._found = None
        self._found_wall_ms = None
        self._first_wall_ms = None

    def observe(self, batch: claim_records.Batch) -> None:
        """Records a batch that was read from or appended to the stream."""
        wall_ms = batch.appended_wall_ms
        if self._first_wall_ms is None:
            self._first_wall_ms = wall_ms
        coverage = batch.coverage
        if coverage is None or coverage.epoch != self.epoch:
            return
        if self._found is None or _is_later(coverage, self._found):
            self._found = coverage
            if self.current is not None:
                self.current = coverage
        if coverage == self._found:
            self._found_wall_ms = wall_ms

    def settle(self, wall_ms: float) -> bool:
        """Derives the coverage once the stream was read to its end.

        Args:
            wall_ms: Current wall-clock time.

        Returns:
            Whether a gap was found, which ends now.
        """
        if self.current is not None:
            return False
        has_gone_back, self._has_gone_back = self._has_gone_back, False
        if has_gone_back:
            self.current = Coverage(self.epoch, wall_ms)
        elif self._found is not None and self._reaches_back(wall_ms):
            self.current = self._found
        elif self.epoch == 0 and self._log_keeps_claims():
            self.current = Coverage(0, None)
        else:
            self.current = Coverage(self.epoch, wall_ms)
        return self.current.since_wall_ms == wall_ms

    def vouches_for(
        self, claim: claim_records.ClaimRecord, wall_ms: float
    ) -> bool:
        """Returns whether a claim of the key would be on the stream."""
        if self.current is None:
            return False
        since_ms = self.current.since_wall_ms
        if since_ms is None:
            return True
        if claim.is_dated:
            margin_ms = MAX_KEY_AHEAD_MS + MAX_CLOCK_DIFFERENCE_MS
            return claim.wall_ms > since_ms + margin_ms
        held_ms = self._retention.undated_ms + MAX_CLOCK_DIFFERENCE_MS
        return wall_ms > since_ms + held_ms

    def due(self, wall_ms: float) -> Coverage | None:
        """Returns the coverage if it has to be appended now.

        A gap is recorded at once. The record is appended again before the log
        drops it, since without it the stream vouches for nothing.
        """
        if self.current is None:
            return None
        if self.current == self._found and self._found_wall_ms is not None:
            age_ms = wall_ms - self._found_wall_ms
            is_due = age_ms >= self._retention.reappend_after_ms
            return self.current if is_due else None
        if self.current.since_wall_ms is not None:
            return self.current
        if self._first_wall_ms is None or self._log_outlasts_claims():
            return None
        return self.current

    def _log_keeps_claims(self) -> bool:
        return not self._is_truncated or self._log_outlasts_claims()

    def _log_outlasts_claims(self) -> bool:
        return self._retention.log_ms >= self._retention.undated_ms

    def _reaches_back(self, wall_ms: float) -> bool:
        """Whether all claims that were held at the record are retained.

        Claims without a creation time are appended again before the coverage
        is, so none is further back than that interval. For a while after a gap
        there are none.
        """
        assert self._found is not None
        since_ms = self._found.since_wall_ms
        if self._log_keeps_claims():
            return True
        if since_ms is not None:
            if wall_ms <= since_ms + self._retention.undated_ms:
                return True
        assert self._first_wall_ms is not None
        assert self._found_wall_ms is not None
        retained_ms = self._found_wall_ms - self._first_wall_ms
        return retained_ms >= self._retention.reappend_after_ms


def _is_later(coverage: Coverage, other: Coverage) -> bool:
    since_ms, other_ms = coverage.since_wall_ms, other.since_wall_ms
    if since_ms is None:
        return False
    return other_ms is None or since_ms > other_ms
