"""Evidence that a request, or a part of prompts, crashes engines."""

from __future__ import annotations

from collections.abc import Collection
import dataclasses

# Number of crashes that quarantines a subject. One or two can be coincidence,
# three rarely are. Each crash costs an engine and all requests that it runs.
QUARANTINE_CRASHES = 3
# Complete answers that allow for one more crash, and bounds of these. A part
# that runs everywhere shows its innocence within moments, a request does not.
_ANSWERS_PER_CRASH = 4
_MAX_EXTRA_CRASHES = 8
_MAX_EXTRA_PART_CRASHES = 2
_MAX_CRASHES = QUARANTINE_CRASHES + _MAX_EXTRA_CRASHES + 1
# Requests beside which engines must have crashed before a part is suspected. If
# it was always the same one, the request is.
_MIN_REQUESTS = 2
NEVER_MS = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class EngineCrash:
    """A crash of one engine.

    Attributes:
        at_ms: Clock reading of the crash.
        request: Tells apart the requests that had a part; 0 for a request.
    """

    at_ms: float
    request: int = 0


@dataclasses.dataclass(slots=True)
class Evidence:
    """Crash history of one subject.

    Attributes:
        label: Request id of one of its tries, for log lines.
        position: Position of a part in its prompts, from 1; 0 for a request.
        crashes: Crashes by engine name.
        cleared_ms: Time of the last proof of innocence; earlier crashes do not
            count.
        trials: Number of trials allowed in quarantine.
        trial_ms: Time of the last trial.
        completions: Number of recent complete answers, within the bound that
            matters.
    """

    label: str
    position: int = 0
    crashes: dict[str, EngineCrash] = dataclasses.field(default_factory=dict)
    cleared_ms: float = NEVER_MS
    trials: int = 0
    trial_ms: float = NEVER_MS
    completions: int = 0

    @property
    def is_part(self) -> bool:
        """Whether the subject is a part of prompts."""
        return self.position > 0

    @property
    def max_crashes(self) -> int:
        """Number of crashes that quarantines the subject."""
        extra = self.completions // _ANSWERS_PER_CRASH
        if self.is_part:
            extra = min(extra, _MAX_EXTRA_PART_CRASHES)
        return QUARANTINE_CRASHES + extra

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key of parts; the first one explains the crashes of others.

        That is the part on which engines have written least, and then the one
        that fewer prompts share, which comes later in them.
        """
        return self.completions, -self.position

    def count(self, explained: Collection[str] = ()) -> int:
        """Returns the number of crashes that nothing else explains."""
        return sum(engine not in explained for engine in self.crashes)

    def is_quarantined(self, explained: Collection[str] = ()) -> bool:
        """Returns whether the subject may not be sent to any engine.

        Args:
            explained: Engines whose crashes another subject explains.
        """
        counted = [c for e, c in self.crashes.items() if e not in explained]
        if len(counted) < self.max_crashes:
            return False
        requests = {crash.request for crash in counted}
        return not self.is_part or len(requests) >= _MIN_REQUESTS

    def add_completions(self, count: int) -> None:
        """Adds complete answers, up to the bound."""
        most = _MAX_EXTRA_CRASHES * _ANSWERS_PER_CRASH
        self.completions = min(most, self.completions + count)

    @property
    def changed_ms(self) -> float:
        """Time of the last crash or proof of innocence."""
        crashes_ms = (crash.at_ms for crash in self.crashes.values())
        return max((self.cleared_ms, *crashes_ms))

    def snapshot(self) -> tuple[object, ...]:
        """Returns a snapshot for detecting changes."""
        return (
            frozenset(self.crashes),
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
        for engine, crash in list(self.crashes.items()):
            if crash.at_ms <= oldest_ms:
                del self.crashes[engine]
        oldest_first = sorted(self.crashes, key=lambda e: self.crashes[e].at_ms)
        for engine in oldest_first[:-_MAX_CRASHES]:
            del self.crashes[engine]
