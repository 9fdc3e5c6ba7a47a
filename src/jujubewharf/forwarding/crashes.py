"""Which engines crashed while they worked on a request, over all its tries.

An engine ends under all that it runs, so most of the requests that it ran are
innocent. One that an engine has answered whole is: its record is cleared. One
under which three engines have crashed, with no whole answer since, is in
quarantine and goes to no further engine, but for one try: it may have been
beside crashes each time, and only a run tells.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.forwarding import beliefs
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import crash_reports
from jujubewharf.forwarding import fingerprints

# An innocent request is beside a crash now and then, and beside three in a row
# hardly ever; each crash costs an engine and all that it ran.
QUARANTINE_CRASHES = 3
# A try that was let through has come to its end by then, one way or another. If
# it neither came through nor crashed an engine, it told nothing.
TRIAL_MS = 15_000.0
# Each may reach an engine, and one that tells nothing may be by intent.
_MOST_TRIALS = 2
# A crash counts for this long, so that one wrong suspicion of an innocent
# request ends by itself.
KEPT_MS = 600_000.0
# Requests that are remembered, and crashes of each: a caller may make up any
# number of requests, and no instance's memory may grow with them.
MOST_RECORDS = 1_024
_MOST_CRASHES = 8
_MOST_LABEL_CHARS = 64
# Two instances that tell each other of one moment reckon it a little apart.
_SAME_MS = 1_000.0
_NEVER_MS = float("-inf")


def _nobody(fingerprint: fingerprints.Fingerprint) -> None:
    """Stands in where nobody is to be told."""


@dataclasses.dataclass(slots=True)
class _Record:
    """What is known of one request.

    Attributes:
        label: Id of one of its tries, which names it in log lines.
        crashes_ms: Engines that crashed under it, and when.
        cleared_ms: When an engine last answered it whole; crashes up to then
            don't count.
        trials: Tries that were let through in quarantine.
        trial_ms: When the last of them was.
    """

    label: str
    crashes_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    cleared_ms: float = _NEVER_MS
    trials: int = 0
    trial_ms: float = _NEVER_MS

    @property
    def is_quarantined(self) -> bool:
        """Whether it goes to no further engine."""
        return len(self.crashes_ms) >= QUARANTINE_CRASHES

    @property
    def changed_ms(self) -> float:
        """When anything of it was last seen."""
        return max((self.cleared_ms, *self.crashes_ms.values()))

    def state(self) -> tuple[object, ...]:
        """What makes it differ from what was known before."""
        crashed = frozenset(self.crashes_ms)
        return crashed, self.cleared_ms, self.trials, self.trial_ms

    def drop(self, oldest_ms: float) -> None:
        """Forgets what doesn't count any more."""
        oldest_ms = max(oldest_ms, self.cleared_ms)
        if self.trial_ms <= oldest_ms:
            self.trials = 0
        for engine, at_ms in list(self.crashes_ms.items()):
            if at_ms <= oldest_ms:
                del self.crashes_ms[engine]
        oldest_first = sorted(self.crashes_ms, key=self.crashes_ms.__getitem__)
        for engine in oldest_first[:-_MOST_CRASHES]:
            del self.crashes_ms[engine]


class CrashHistory:
    """Remembers under which requests engines crashed.

    Args:
        clock: Time.

    Attributes:
        on_seen: Told of which request this instance has seen something new.
        on_quarantine: Told which request goes to no further engine.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.on_seen: Callable[[fingerprints.Fingerprint], None] = _nobody
        self.on_quarantine: Callable[[fingerprints.Fingerprint], None] = _nobody
        self._clock = clock
        self._records: dict[fingerprints.Fingerprint, _Record] = {}
        # How many of them have an outline.
        self._outlines: dict[fingerprints.Outline, int] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __repr__(self) -> str:
        return f"CrashHistory(requests={len(self)})"

    def crashed(self, call: calls.Call, engine: str, *, stage: str) -> None:
        """Learns that an engine crashed while it worked on a request.

        Args:
            call: The request.
            engine: Name of the engine's start.
            stage: What it was asked for: ``prefill`` or ``run``.
        """
        fingerprint = fingerprints.Fingerprint.from_call(call)
        record = self._of(fingerprint, label=call.request_id)
        is_news = engine not in record.crashes_ms
        record.crashes_ms.setdefault(engine, self._clock.now_ms())
        record.drop(self._clock.now_ms() - KEPT_MS)
        beliefs.engine_crashed(
            call.request_id,
            engine,
            stage=stage,
            crashes=len(record.crashes_ms),
            label=record.label,
        )
        if is_news:
            self.on_seen(fingerprint)
            self._tell_quarantine(fingerprint)

    def came_through(self, call: calls.Call) -> None:
        """Learns that an engine has answered a request whole."""
        record = self._find(call)
        if record is None or not record.crashes_ms:
            return
        record.cleared_ms = self._clock.now_ms()
        record.drop(record.cleared_ms)
        self.on_seen(fingerprints.Fingerprint.from_call(call))

    def learn(self, report: crash_reports.CrashReport) -> bool:
        """Learns what another instance knows of a request.

        Returns:
            Whether any of it is new, and counts.
        """
        record = self._of(report.fingerprint, label=report.label)
        before = record.state()
        # The same name for it at all instances, in whichever order they heard.
        record.label = min(record.label, report.label)
        now_ms = self._clock.now_ms()
        record.cleared_ms = _later(
            record.cleared_ms, report.cleared_age_ms, now_ms
        )
        record.trial_ms = _later(record.trial_ms, report.trial_age_ms, now_ms)
        record.trials = max(record.trials, report.trials)
        for crash in report.crashes:
            record.crashes_ms.setdefault(crash.engine, now_ms - crash.age_ms)
        record.drop(now_ms - KEPT_MS)
        if record.state() == before:
            return False
        self._tell_quarantine(report.fingerprint)
        return True

    def known(self) -> tuple[fingerprints.Fingerprint, ...]:
        """Requests of which anything is remembered."""
        self._forget_old()
        return tuple(self._records)

    def reports(
        self, wanted: Iterable[fingerprints.Fingerprint] | None = None
    ) -> tuple[crash_reports.CrashReport, ...]:
        """What is known, of some requests or of all.

        Args:
            wanted: The requests; those that aren't known are left out.
        """
        self._forget_old()
        chosen = self._records if wanted is None else wanted
        return tuple(self._report(f) for f in chosen if f in self._records)

    def _report(
        self, fingerprint: fingerprints.Fingerprint
    ) -> crash_reports.CrashReport:
        record = self._records[fingerprint]
        now_ms = self._clock.now_ms()
        found = tuple(
            crash_reports.Crash(engine, now_ms - at_ms)
            for engine, at_ms in record.crashes_ms.items()
        )
        return crash_reports.CrashReport(
            fingerprint,
            record.label,
            found,
            _age_ms(record.cleared_ms, now_ms),
            record.trials,
            _age_ms(record.trial_ms, now_ms),
        )

    def count(self, call: calls.Call) -> int:
        """Engines that crashed under a request, and count against it."""
        record = self._find(call)
        if record is None:
            return 0
        record.drop(self._clock.now_ms() - KEPT_MS)
        return len(record.crashes_ms)

    def is_quarantined(self, call: calls.Call) -> bool:
        """Whether a request goes to no further engine."""
        return self.count(call) >= QUARANTINE_CRASHES

    def begin_trial(self, fingerprint: fingerprints.Fingerprint) -> bool:
        """Lets one try of a request through all the same, if none was.

        A second one may follow where it told nothing.
        """
        record = self._records.get(fingerprint)
        if record is None:
            # More is known where the try arrived than here.
            return False
        now_ms = self._clock.now_ms()
        record.drop(now_ms - KEPT_MS)
        if len(record.crashes_ms) > QUARANTINE_CRASHES:
            return False
        if record.trials and now_ms - record.trial_ms < TRIAL_MS:
            return False
        if record.trials >= _MOST_TRIALS:
            return False
        record.trials += 1
        record.trial_ms = now_ms
        self.on_seen(fingerprint)
        return True

    def check(self, call: calls.Call) -> None:
        """Passes where a request may be sent to an engine.

        Asked when a request arrives and right before each sending: another try
        of it may have crashed an engine meanwhile. The one that is let through
        passes until one more has crashed.

        Raises:
            WharfError: ``QUARANTINED``.
        """
        count = self.count(call)
        if count >= QUARANTINE_CRASHES + call.is_trial:
            detail = f"{count} engines crashed, see {self._label(call)}"
            raise errors.WharfError(errors.ErrorKind.QUARANTINED, detail)

    def _tell_quarantine(self, fingerprint: fingerprints.Fingerprint) -> None:
        if self._records[fingerprint].is_quarantined:
            self.on_quarantine(fingerprint)

    def _label(self, call: calls.Call) -> str:
        record = self._find(call)
        return "" if record is None else record.label

    def _find(self, call: calls.Call) -> _Record | None:
        """The record of a request; its body is read only for a likely one."""
        if not self._outlines:
            return None
        if fingerprints.Outline.from_call(call) not in self._outlines:
            return None
        return self._records.get(fingerprints.Fingerprint.from_call(call))

    def _of(
        self, fingerprint: fingerprints.Fingerprint, *, label: str
    ) -> _Record:
        """The record of a request, a new one where there is none."""
        record = self._records.get(fingerprint)
        if record is not None:
            return record
        record = _Record(label[:_MOST_LABEL_CHARS])
        self._make_room()
        self._records[fingerprint] = record
        count = self._outlines.get(fingerprint.outline, 0)
        self._outlines[fingerprint.outline] = count + 1
        return record

    def _make_room(self) -> None:
        """Keeps the number of records bounded.

        The account with the most gives way, and of its requests the one with
        the fewest crashes: a caller that makes up thousands of them pushes out
        none of another caller's, nor its own that are sure to crash engines.
        """
        if len(self._records) < MOST_RECORDS:
            return
        self._forget_old()
        while len(self._records) >= MOST_RECORDS:
            self._remove(self._least())

    def _forget_old(self) -> None:
        oldest_ms = self._clock.now_ms() - KEPT_MS
        for fingerprint, record in list(self._records.items()):
            record.drop(oldest_ms)
            if record.changed_ms <= oldest_ms:
                self._remove(fingerprint)

    def _least(self) -> fingerprints.Fingerprint:
        counts: dict[str, int] = {}
        for fingerprint in self._records:
            account = fingerprint.outline.account
            counts[account] = counts.get(account, 0) + 1
        largest = max(counts, key=lambda account: counts[account])
        return min(self._of_account(largest), key=self._weight)

    def _of_account(self, account: str) -> Iterator[fingerprints.Fingerprint]:
        return (f for f in self._records if f.outline.account == account)

    def _weight(self, of: fingerprints.Fingerprint) -> tuple[int, float]:
        record = self._records[of]
        return len(record.crashes_ms), record.changed_ms

    def _remove(self, fingerprint: fingerprints.Fingerprint) -> None:
        del self._records[fingerprint]
        self._outlines[fingerprint.outline] -= 1
        if not self._outlines[fingerprint.outline]:
            del self._outlines[fingerprint.outline]


def _later(known_ms: float, age_ms: float | None, now_ms: float) -> float:
    """The later of two moments, one of which is told by its age."""
    if age_ms is None or now_ms - age_ms <= known_ms + _SAME_MS:
        return known_ms
    return now_ms - age_ms


def _age_ms(at_ms: float, now_ms: float) -> float | None:
    return None if at_ms == _NEVER_MS else now_ms - at_ms
