"""Tracks which engines crashed while they processed a request.

A crashed engine takes all its requests with it, so most requests that run
during a crash did not cause it. A complete answer clears a request. A request
under which three engines have crashed since its last complete answer is
quarantined: it is sent to no engine, except for trials that find out whether it
is the cause. One that has often come through may be beside more crashes than
that, because it runs on most engines.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import completions
from jujubewharf.forwarding import crash_reports
from jujubewharf.forwarding import fingerprints
from jujubewharf.forwarding import state_log

# Number of crashes that quarantines a request. One or two can be coincidence,
# three rarely are. Each crash costs an engine and all requests that it runs.
QUARANTINE_CRASHES = 3
# Complete answers that allow for one more crash, and bound of these.
_ANSWERS_PER_CRASH = 4
_MAX_EXTRA_CRASHES = 8
# Time after which a trial is considered to have ended without a result: neither
# a complete answer nor a crash was reported.
TRIAL_TIMEOUT_MS = 15_000.0
# Bounds the trials of one request, since each may crash an engine.
_MAX_TRIALS = 2
# Retention of crashes, after which a wrongly quarantined request is released.
RETENTION_MS = 600_000.0
# Bound the memory, because callers can send any number of distinct requests.
MAX_RECORDS = 1_024
_MAX_CRASHES = QUARANTINE_CRASHES + _MAX_EXTRA_CRASHES + 1
_MAX_LABEL_CHARS = 64
# Tolerance for timestamps of one event that two instances compute from ages.
_TIMESTAMP_TOLERANCE_MS = 1_000.0
_NEVER_MS = float("-inf")


def _ignore(fingerprint: fingerprints.Fingerprint) -> None:
    """Default callback that does nothing."""


@dataclasses.dataclass(slots=True)
class _Record:
    """Crash history of one request.

    Attributes:
        label: Request id of one of its tries, for log lines.
        crashes_ms: Time of each crash by engine name.
        cleared_ms: Time of the last complete answer; earlier crashes do not
            count.
        trials: Number of trials allowed in quarantine.
        trial_ms: Time of the last trial.
        completions: Number of recent complete answers, within the bound that
            matters.
    """

    label: str
    crashes_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    cleared_ms: float = _NEVER_MS
    trials: int = 0
    trial_ms: float = _NEVER_MS
    completions: int = 0

    @property
    def max_crashes(self) -> int:
        """Number of crashes that quarantines the request."""
        return QUARANTINE_CRASHES + self.completions // _ANSWERS_PER_CRASH

    @property
    def is_quarantined(self) -> bool:
        """Whether the request may not be sent to any engine."""
        return len(self.crashes_ms) >= self.max_crashes

    def add_completions(self, count: int) -> None:
        """Adds complete answers, up to the bound."""
        most = _MAX_EXTRA_CRASHES * _ANSWERS_PER_CRASH
        self.completions = min(most, self.completions + count)

    @property
    def changed_ms(self) -> float:
        """Time of the last crash or complete answer."""
        return max((self.cleared_ms, *self.crashes_ms.values()))

    def snapshot(self) -> tuple[object, ...]:
        """Returns a snapshot for detecting changes."""
        crashed = frozenset(self.crashes_ms)
        return (
            crashed,
            self.cleared_ms,
            self.trials,
            self.trial_ms,
            self.completions,
        )

    def remove_expired(self, oldest_ms: float) -> None:
        """Removes crashes and trials that no longer count."""
        oldest_ms = max(oldest_ms, self.cleared_ms)
        if self.trial_ms <= oldest_ms:
            self.trials = 0
        for engine, at_ms in list(self.crashes_ms.items()):
            if at_ms <= oldest_ms:
                del self.crashes_ms[engine]
        oldest_first = sorted(self.crashes_ms, key=self.crashes_ms.__getitem__)
        for engine in oldest_first[:-_MAX_CRASHES]:
            del self.crashes_ms[engine]


class CrashHistory:
    """Stores the crash history of requests.

    Args:
        clock: Time source.

    Attributes:
        on_update: Called with the request when this instance adds information.
        on_quarantine: Called with the request when it is quarantined.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.on_update: Callable[[fingerprints.Fingerprint], None] = _ignore
        self.on_quarantine: Callable[[fingerprints.Fingerprint], None] = _ignore
        self._clock = clock
        self._completions = completions.Completions(clock)
        self._records: dict[fingerprints.Fingerprint, _Record] = {}
        # Number of records by outline.
        self._outlines: dict[fingerprints.Outline, int] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __repr__(self) -> str:
        return f"CrashHistory(requests={len(self)})"

    def record_crash(
        self,
        call: calls.Call,
        engine: str,
        *,
        stage: str,
        written_ms: float | None = None,
    ) -> None:
        """Records that an engine crashed while it processed a request.

        Args:
            call: The request.
            engine: Name of the engine's registration.
            stage: Stage of processing: ``prefill`` or ``run``.
            written_ms: Time since the engine's answer began; ``None`` if it had
                not begun.
        """
        fingerprint = fingerprints.Fingerprint.from_call(call)
        record = self._get_or_create(fingerprint, label=call.request_id)
        is_new = engine not in record.crashes_ms
        record.crashes_ms.setdefault(engine, self._clock.now_ms())
        record.remove_expired(self._clock.now_ms() - RETENTION_MS)
        state_log.log_engine_crash(
            call.request_id,
            engine,
            stage=stage,
            crashes=len(record.crashes_ms),
            label=record.label,
            parts=call.shared_parts,
            written_ms=written_ms,
        )
        if is_new:
            self.on_update(fingerprint)
            self._notify_quarantine(fingerprint)

    def record_success(self, call: calls.Call) -> None:
        """Records that an engine answered a request completely."""
        self._completions.record(call)
        record = self._find(call)
        if record is None or not record.crashes_ms:
            return
        record.cleared_ms = self._clock.now_ms()
        record.add_completions(1)
        record.remove_expired(record.cleared_ms)
        self.on_update(fingerprints.Fingerprint.from_call(call))

    def merge(self, report: crash_reports.CrashReport) -> bool:
        """Merges a report from another instance.

        Returns:
            Whether the report changed the record.
        """
        record = self._get_or_create(report.fingerprint, label=report.label)
        before = record.snapshot()
        # All instances choose the same label, independent of the merge order.
        record.label = min(record.label, report.label)
        now_ms = self._clock.now_ms()
        record.cleared_ms = _latest_ms(
            record.cleared_ms, report.cleared_age_ms, now_ms
        )
        record.trial_ms = _latest_ms(
            record.trial_ms, report.trial_age_ms, now_ms
        )
        record.trials = max(record.trials, report.trials)
        record.add_completions(max(0, report.completions - record.completions))
        for crash in report.crashes:
            record.crashes_ms.setdefault(crash.engine, now_ms - crash.age_ms)
        record.remove_expired(now_ms - RETENTION_MS)
        if record.snapshot() == before:
            return False
        self._notify_quarantine(report.fingerprint)
        return True

    def known_fingerprints(self) -> tuple[fingerprints.Fingerprint, ...]:
        """Returns the fingerprints of all recorded requests."""
        self._remove_expired()
        return tuple(self._records)

    def reports(
        self, wanted: Iterable[fingerprints.Fingerprint] | None = None
    ) -> tuple[crash_reports.CrashReport, ...]:
        """Returns the reports of some or all requests.

        Args:
            wanted: Fingerprints of the requests, unknown ones are skipped;
                ``None`` for all.
        """
        self._remove_expired()
        chosen = self._records if wanted is None else wanted
        return tuple(self._report(f) for f in chosen if f in self._records)

    def _report(
        self, fingerprint: fingerprints.Fingerprint
    ) -> crash_reports.CrashReport:
        record = self._records[fingerprint]
        now_ms = self._clock.now_ms()
        engine_crashes = tuple(
            crash_reports.Crash(engine, now_ms - at_ms)
            for engine, at_ms in record.crashes_ms.items()
        )
        return crash_reports.CrashReport(
            fingerprint,
            record.label,
            engine_crashes,
            _age_ms(record.cleared_ms, now_ms),
            record.trials,
            _age_ms(record.trial_ms, now_ms),
            record.completions,
        )

    def count(self, call: calls.Call) -> int:
        """Returns the number of crashes that count against a request."""
        record = self._find(call)
        if record is None:
            return 0
        record.remove_expired(self._clock.now_ms() - RETENTION_MS)
        return len(record.crashes_ms)

    def is_quarantined(self, call: calls.Call) -> bool:
        """Returns whether a request may not be sent to any engine."""
        record = self._find(call)
        if record is None:
            return False
        record.remove_expired(self._clock.now_ms() - RETENTION_MS)
        return record.is_quarantined

    def begin_trial(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Starts a trial of a quarantined request if one is allowed.

        A further trial may start after the previous one ended without a result.

        Returns:
            Whether the trial may run.
        """
        record = self._records.get(fingerprint)
        if record is None:
            # The receiving instance has a record that has not arrived here.
            return False
        now_ms = self._clock.now_ms()
        record.remove_expired(now_ms - RETENTION_MS)
        if len(record.crashes_ms) > record.max_crashes:
            return False
        if record.trials and now_ms - record.trial_ms < TRIAL_TIMEOUT_MS:
            return False
        if record.trials >= _MAX_TRIALS:
            return False
        record.trials += 1
        record.trial_ms = now_ms
        self.on_update(fingerprint)
        return True

    def check(self, call: calls.Call) -> None:
        """Checks that a request may be sent to an engine.

        Called on arrival and again right before each attempt, because another
        try of the request may have crashed an engine in between. A trial passes
        until one more engine has crashed.

        Raises:
            WharfError: ``QUARANTINED``.
        """
        if not self.is_quarantined(call):
            return
        record = self._find(call)
        assert record is not None
        count = len(record.crashes_ms)
        if count >= record.max_crashes + call.is_trial:
            detail = f"{count} engines crashed, see {record.label}"
            raise errors.WharfError(errors.ErrorKind.QUARANTINED, detail)

    def _notify_quarantine(self, fingerprint: fingerprints.Fingerprint) -> None:
        if self._records[fingerprint].is_quarantined:
            self.on_quarantine(fingerprint)

    def _find(self, call: calls.Call) -> _Record | None:
        """Returns the record of a request.

        The body is hashed only if the outline matches a record.
        """
        if not self._outlines:
            return None
        if fingerprints.Outline.from_call(call) not in self._outlines:
            return None
        return self._records.get(fingerprints.Fingerprint.from_call(call))

    def _get_or_create(
        self, fingerprint: fingerprints.Fingerprint, *, label: str
    ) -> _Record:
        """Returns the record of a request, creating it if needed."""
        record = self._records.get(fingerprint)
        if record is not None:
            return record
        record = _Record(label[:_MAX_LABEL_CHARS])
        record.add_completions(self._completions.count(fingerprint))
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
        self._remove_expired()
        while len(self._records) >= MAX_RECORDS:
            self._remove(self._eviction_candidate())

    def _remove_expired(self) -> None:
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
        return len(record.crashes_ms), record.changed_ms

    def _remove(self, fingerprint: fingerprints.Fingerprint) -> None:
        del self._records[fingerprint]
        self._outlines[fingerprint.outline] -= 1
        if not self._outlines[fingerprint.outline]:
            del self._outlines[fingerprint.outline]


def _latest_ms(known_ms: float, age_ms: float | None, now_ms: float) -> float:
    """Returns the later of a timestamp and one that is given by its age."""
    if age_ms is None or now_ms - age_ms <= known_ms + _TIMESTAMP_TOLERANCE_MS:
        return known_ms
    return now_ms - age_ms


def _age_ms(at_ms: float, now_ms: float) -> float | None:
    return None if at_ms == _NEVER_MS else now_ms - at_ms
