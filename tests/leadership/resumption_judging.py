"""Rules of streams that callers resume, and the requests they are about."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses

from tests.leadership import resumption_faults as faults
from tests.leadership import resumption_world as worlds
from tests.leadership import stream_versions as versions

# At least this share of the share of new streams that begin.
BOUND = 0.5
AIM = 0.9
# Fewer resumptions of one kind say nothing about a share.
LEAST_OF_A_KIND = 20
LEAST_SERVING = 2
# Time that a request may be silent before a reset, which is then no excuse.
_GRACE_MS = 1_000.0
_WATCH_INTERVAL_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Serving:
    """How many decode engines of each version serve at a time."""

    at_ms: float
    by_version: dict[str, int]


@dataclasses.dataclass(slots=True)
class Counts:
    """Requests of one kind, and those that brought events.

    Attributes:
        new: First requests.
        begun: First requests that brought events.
        resumed: Requests to resume.
        went_on: Requests to resume that brought events.
        reasons: Requests to resume that brought none, by kind of error.
    """

    new: int = 0
    begun: int = 0
    resumed: int = 0
    went_on: int = 0
    reasons: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, found: versions.Try) -> None:
        """Counts a request."""
        has_events = found.events > 0
        if found.resumed_version is None:
            self.new += 1
            self.begun += has_events
            return
        self.resumed += 1
        self.went_on += has_events
        if not has_events:
            self.reasons[_reason(found)] += 1

    def add_all(self, other: Counts) -> None:
        """Adds the counts of another history."""
        self.new += other.new
        self.begun += other.begun
        self.resumed += other.resumed
        self.went_on += other.went_on
        self.reasons += other.reasons

    def reaches(self, part: float) -> bool:
        """Whether as many go on as this part of the new ones that begin."""
        if self.resumed < LEAST_OF_A_KIND or not self.new:
            return True
        return self.went_on / self.resumed >= part * self.begun / self.new

    def __str__(self) -> str:
        return (
            f"new {self.begun}/{self.new},"
            f" resumed {self.went_on}/{self.resumed} {dict(self.reasons)}"
        )


@dataclasses.dataclass(slots=True)
class Verdict:
    """What a history showed.

    Attributes:
        in_touch: Requests at instances that were undisturbed and reached the
            store for a while.
        out_of_touch: Those at undisturbed instances that did not reach it.
        resumptions: All requests to resume.
        mixed: Streams that hold events of two versions.
        gaps: Streams with missing or doubled events.
    """

    in_touch: Counts = dataclasses.field(default_factory=Counts)
    out_of_touch: Counts = dataclasses.field(default_factory=Counts)
    resumptions: int = 0
    mixed: int = 0
    gaps: int = 0

    @property
    def judged(self) -> int:
        """Number of judged requests to resume."""
        return self.in_touch.resumed + self.out_of_touch.resumed

    def add(self, other: Verdict) -> None:
        """Adds the verdict on another history."""
        self.in_touch.add_all(other.in_touch)
        self.out_of_touch.add_all(other.out_of_touch)
        self.resumptions += other.resumptions
        self.mixed += other.mixed
        self.gaps += other.gaps

    def broken(self, instances: int) -> list[str]:
        """Returns the rules that were broken."""
        checks = {
            "too few judged": self.judged >= least_judged(instances),
            "two versions": self.mixed == 0,
            "order": self.gaps == 0,
            "half in touch": self.in_touch.reaches(BOUND),
            "aim in touch": self.in_touch.reaches(AIM),
            "aim out of touch": self.out_of_touch.reaches(AIM),
        }
        return [name for name, holds in checks.items() if not holds]

    def __str__(self) -> str:
        return (
            f"judged {self.judged} of {self.resumptions};"
            f" in touch: {self.in_touch};"
            f" out of touch: {self.out_of_touch};"
            f" {self.mixed} mixed, {self.gaps} out of order"
        )


def least_judged(instances: int) -> int:
    """Returns how many resumptions a history has to judge at least."""
    return 30 if instances < 20 else 100


class Judge:
    """Judges the streams of one history.

    Args:
        world: The world after the history.
        serving: Engines that served, in order of time.
    """

    def __init__(
        self, world: worlds.ResumptionWorld, serving: list[Serving]
    ) -> None:
        self._world = world
        self._serving = serving

    def judge(self, streams: Iterable[versions.Stream]) -> Verdict:
        """Returns the verdict on some streams."""
        verdict = Verdict()
        for stream in streams:
            verdict.mixed += stream.is_mixed
            verdict.gaps += not stream.is_in_order
            verdict.resumptions += len(stream.resumptions)
            for found in stream.tries:
                self._count(verdict, found)
        return verdict

    def _count(self, verdict: Verdict, found: versions.Try) -> None:
        if found.is_excused(silent_ms=_GRACE_MS) or self._is_disturbed(found):
            return
        version = found.resumed_version
        if version is not None and self._least(version, found) < LEAST_SERVING:
            return
        has_store = not self._world.storeless.overlap(
            found.instance, found.at_ms - faults.STABLE_MS, found.at_ms
        )
        counts = verdict.in_touch if has_store else verdict.out_of_touch
        counts.add(found)

    def _is_disturbed(self, found: versions.Try) -> bool:
        """Whether the instance was disturbed before the answer was due."""
        return self._world.disturbed.overlap(
            found.instance,
            found.at_ms - faults.STABLE_MS,
            found.at_ms + min(found.took_ms, _GRACE_MS),
        )

    def _least(self, version: str, found: versions.Try) -> int:
        """Engines of a version that serve while a request may be placed."""
        until_ms = found.at_ms + _GRACE_MS
        return min(
            (
                serving.by_version.get(version, 0)
                for serving in self._serving
                if found.at_ms - _WATCH_INTERVAL_MS <= serving.at_ms <= until_ms
            ),
            default=0,
        )


def _reason(found: versions.Try) -> str:
    if found.error is not None:
        return found.error.kind.value
    return "reset" if found.was_reset else "ended without events"
