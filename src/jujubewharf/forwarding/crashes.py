"""Tracks which engines crashed while they processed a request.

A crashed engine takes all its requests with it, so most requests that run
during a crash did not cause it. The subject that did is a request, or a part of
prompts that many requests share, no two of them alike.

A complete answer clears a request, and an engine that goes on writing clears
the parts of the prompt. A subject under which three engines have crashed since
it was last cleared is quarantined: it is sent to no engine, except for trials
that find out whether it is the cause. One that has often come through may be
beside more crashes than that, because it runs on most engines. Crashes that a
quarantined part explains don't count against the requests beside it, and not
against the other parts of its prompts.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf import ordered_set
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import completions
from jujubewharf.forwarding import crash_evidence
from jujubewharf.forwarding import crash_reports
from jujubewharf.forwarding import crash_table
from jujubewharf.forwarding import fingerprints
from jujubewharf.forwarding import state_log

# Time after which a trial is considered to have ended without a result: neither
# a complete answer nor a crash was reported.
TRIAL_TIMEOUT_MS = 15_000.0
# Bounds the trials of one request, since each may crash an engine.
_MAX_TRIALS = 2
# Tolerance for timestamps of one event that two instances compute from ages.
_TIMESTAMP_TOLERANCE_MS = 1_000.0
# Time for which an engine that a part crashes writes at most. One that has
# written for longer shows that the parts of the prompt are innocent.
CRASH_WITHIN_MS = 250.0
_MARK_BYTES = 6
_RUN = "run"


def _ignore(fingerprint: fingerprints.Fingerprint) -> None:
    """Default callback that does nothing."""


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
        self._table = crash_table.EvidenceTable(clock)
        # Parts that were found in quarantine, in a fixed order.
        self._suspected_parts = ordered_set.OrderedSet[
            fingerprints.Fingerprint
        ]()

    def __len__(self) -> int:
        return len(self._table)

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
        if stage == _RUN and (written_ms or 0.0) < CRASH_WITHIN_MS:
            # The later parts first, which fewer prompts share.
            mark = int.from_bytes(fingerprint.digest[:_MARK_BYTES], "big") or 1
            for position, part in reversed(
                list(enumerate(call.shared_parts, start=1))
            ):
                subject = fingerprints.Fingerprint.from_part(call, part)
                record = self._get_or_create(
                    subject, label=call.request_id, position=position
                )
                self._add_crash(subject, record, engine, request=mark)
        record = self._get_or_create(fingerprint, label=call.request_id)
        self._add_crash(fingerprint, record, engine)
        state_log.log_engine_crash(
            call.request_id,
            engine,
            stage=stage,
            crashes=len(record.crashes),
            label=record.label,
            parts=call.shared_parts,
            written_ms=written_ms,
        )

    def _get_or_create(
        self,
        fingerprint: fingerprints.Fingerprint,
        *,
        label: str,
        position: int = 0,
    ) -> crash_evidence.Evidence:
        return self._table.get_or_create(
            fingerprint,
            label=label,
            position=position,
            completions=self._completions.count(fingerprint),
        )

    def _add_crash(
        self,
        fingerprint: fingerprints.Fingerprint,
        record: crash_evidence.Evidence,
        engine: str,
        *,
        request: int = 0,
    ) -> None:
        if engine in record.crashes:
            return
        was_quarantined = self._is_quarantined(fingerprint)
        now_ms = self._clock.now_ms()
        record.crashes[engine] = crash_evidence.EngineCrash(now_ms, request)
        record.remove_expired(now_ms - crash_table.RETENTION_MS)
        self.on_update(fingerprint)
        self._notify_quarantine(fingerprint)
        if self._is_quarantined(fingerprint) and not was_quarantined:
            state_log.log_quarantine(
                record.label,
                is_part=record.is_part,
                engines=sorted(record.crashes),
            )

    def record_success(self, call: calls.Call) -> None:
        """Records that an engine answered a request completely."""
        self._completions.record(call)
        fingerprint = self._table.find_request(call)
        if fingerprint is not None:
            self._clear(fingerprint)

    def record_written(self, call: calls.Call) -> None:
        """Records that an engine has written an answer for long enough."""
        self._completions.record_parts(call)
        self.record_writing(call)

    def record_writing(self, call: calls.Call) -> None:
        """Records that such an engine goes on writing.

        The parts of the prompt are innocent of all crashes up to now.
        """
        for fingerprint in self._table.find_parts(call):
            self._clear(fingerprint)

    def _clear(self, fingerprint: fingerprints.Fingerprint) -> None:
        record = self._table[fingerprint]
        if not record.crashes:
            return
        record.cleared_ms = self._clock.now_ms()
        record.add_completions(1)
        record.remove_expired(record.cleared_ms)
        self.on_update(fingerprint)

    def merge(self, report: crash_reports.CrashReport) -> bool:
        """Merges a report from another instance.

        Returns:
            Whether the report changed the record.
        """
        record = self._get_or_create(
            report.fingerprint, label=report.label, position=report.position
        )
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
            record.crashes.setdefault(
                crash.engine,
                crash_evidence.EngineCrash(
                    now_ms - crash.age_ms, crash.request
                ),
            )
        record.remove_expired(now_ms - crash_table.RETENTION_MS)
        if record.snapshot() == before:
            return False
        self._notify_quarantine(report.fingerprint)
        return True

    def known_fingerprints(self) -> tuple[fingerprints.Fingerprint, ...]:
        """Returns the fingerprints of all recorded requests."""
        self._table.remove_expired()
        return tuple(self._table.subjects)

    def reports(
        self, wanted: Iterable[fingerprints.Fingerprint] | None = None
    ) -> tuple[crash_reports.CrashReport, ...]:
        """Returns the reports of some or all requests.

        Args:
            wanted: Fingerprints of the requests, unknown ones are skipped;
                ``None`` for all.
        """
        self._table.remove_expired()
        chosen = self._table.subjects if wanted is None else wanted
        return tuple(self._report(f) for f in chosen if f in self._table)

    def _report(
        self, fingerprint: fingerprints.Fingerprint
    ) -> crash_reports.CrashReport:
        record = self._table[fingerprint]
        now_ms = self._clock.now_ms()
        engine_crashes = tuple(
            crash_reports.Crash(engine, now_ms - crash.at_ms, crash.request)
            for engine, crash in record.crashes.items()
        )
        return crash_reports.CrashReport(
            fingerprint,
            record.label,
            engine_crashes,
            _age_ms(record.cleared_ms, now_ms),
            record.trials,
            _age_ms(record.trial_ms, now_ms),
            record.completions,
            record.position,
        )

    def count(self, call: calls.Call) -> int:
        """Returns the number of crashes that count against a request."""
        fingerprint = self._table.find_request(call)
        if fingerprint is None:
            return 0
        return self._table.current(fingerprint).count(
            self._explained(fingerprint)
        )

    def is_quarantined(self, call: calls.Call) -> bool:
        """Returns whether a request may not be sent to any engine."""
        return bool(self.quarantined_subjects(call))

    def quarantined_subjects(
        self, call: calls.Call
    ) -> list[fingerprints.Fingerprint]:
        """Returns what of a request is in quarantine: itself, or its parts."""
        if not self._table:
            return []
        found = self._table.find_parts(call)
        request = self._table.find_request(call)
        if request is not None:
            found.append(request)
        return [f for f in found if self._is_quarantined(f)]

    def concerns(
        self, fingerprint: fingerprints.Fingerprint, call: calls.Call
    ) -> bool:
        """Returns whether a request, or a part of it, is the subject."""
        if fingerprint in self._table.find_parts(call):
            return True
        return fingerprint == self._table.find_request(call)

    def _is_quarantined(self, fingerprint: fingerprints.Fingerprint) -> bool:
        record = self._table.current(fingerprint)
        if not record.is_quarantined():
            return False
        return record.is_quarantined(self._explained(fingerprint))

    def _explained(
        self, fingerprint: fingerprints.Fingerprint
    ) -> Collection[str]:
        """Returns the engines whose crashes a part explains better."""
        own = self._table[fingerprint]
        engines: set[str] = set()
        for other in list(self._suspected_parts):
            record = self._table.get(other)
            if record is None or not record.is_quarantined():
                self._suspected_parts.discard(other)
            elif not own.is_part or record.rank < own.rank:
                engines |= record.crashes.keys()
        return engines

    def begin_trial(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Starts a trial of a quarantined request if one is allowed.

        A further trial may start after the previous one ended without a result.

        Returns:
            Whether the trial may run.
        """
        if fingerprint not in self._table:
            # The receiving instance has a record that has not arrived here.
            return False
        now_ms = self._clock.now_ms()
        record = self._table.current(fingerprint)
        if record.count(self._explained(fingerprint)) > record.max_crashes:
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
        subjects = self.quarantined_subjects(call)
        if not subjects:
            return
        record = self._table[subjects[0]]
        count = record.count(self._explained(subjects[0]))
        is_tried = call.is_trial and len(subjects) == 1
        if is_tried and count <= record.max_crashes:
            return
        what = "it"
        if record.is_part:
            what = "part " + self._part_name(call, subjects[0])
        detail = f"{count} engines crashed on {what}, see {record.label}"
        raise errors.WharfError(errors.ErrorKind.QUARANTINED, detail)

    def _part_name(
        self, call: calls.Call, fingerprint: fingerprints.Fingerprint
    ) -> str:
        for part in call.shared_parts:
            if fingerprints.Fingerprint.from_part(call, part) == fingerprint:
                return part
        return ""

    def _notify_quarantine(self, fingerprint: fingerprints.Fingerprint) -> None:
        record = self._table[fingerprint]
        if record.is_part and record.is_quarantined():
            self._suspected_parts.add(fingerprint)
        if self._is_quarantined(fingerprint):
            self.on_quarantine(fingerprint)


def _latest_ms(known_ms: float, age_ms: float | None, now_ms: float) -> float:
    """Returns the later of a timestamp and one that is given by its age."""
    if age_ms is None or now_ms - age_ms <= known_ms + _TIMESTAMP_TOLERANCE_MS:
        return known_ms
    return now_ms - age_ms


def _age_ms(at_ms: float, now_ms: float) -> float | None:
    return None if at_ms == crash_evidence.NEVER_MS else now_ms - at_ms
