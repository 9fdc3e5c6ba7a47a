"""Rules of streams that are taken up after all instances were killed."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

from tests.leadership import stream_versions as versions

# Time after which an instance that is back has to serve as any other.
STABLE_MS = 3_000.0
# The users' bound and the least number of resumptions that it is about.
LEAST_SHARE = 0.5
LEAST_JUDGED = 12
# Interval at which the engines that serve are counted.
WATCH_INTERVAL_MS = 100.0
# Time for which engines of a version must serve after a request.
_SERVED_FOR_MS = 1_000.0
# Time within which the store has what began.
_WRITTEN_WITHIN_MS = 150.0


@dataclasses.dataclass(slots=True)
class Verdict:
    """What a history showed.

    Attributes:
        mixed: Streams that hold events of two versions.
        gaps: Streams with missing or doubled events.
        streams: Streams that were taken up after a kill of all.
        resumed: Requests to take them up.
        went_on: Those that brought events.
        taken: Streams that callers took up over a kill of all, while two
            engines of the version served.
        taken_on: Those that went on.
        judged: Streams that callers took up at instances in touch, while two
            engines of the version served.
        judged_on: Those that went on.
        new: New streams at instances in touch, from the kills on.
        begun: Those that began.
    """

    mixed: int = 0
    gaps: int = 0
    streams: int = 0
    resumed: int = 0
    went_on: int = 0
    taken: int = 0
    taken_on: int = 0
    judged: int = 0
    judged_on: int = 0
    new: int = 0
    begun: int = 0

    def add(self, other: Verdict) -> None:
        """Adds the verdict on another history."""
        for field in dataclasses.fields(Verdict):
            value = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, value)

    @property
    def is_lost(self) -> bool:
        """Whether fewer streams go on than the users' bound asks."""
        if not self.new:
            return False
        least = LEAST_SHARE * self.begun / self.new
        shares = ((self.judged_on, self.judged), (self.taken_on, self.taken))
        return any(
            went_on < least * count
            for went_on, count in shares
            if count >= LEAST_JUDGED
        )


@dataclasses.dataclass(slots=True)
class Record:
    """What happened in a history; times are clock readings in ms.

    Attributes:
        killed_ms: When all instances were killed.
        back_ms: When all of them ran again.
        serving: How many decode engines of each version served at a time.
        lost_ms: Times whose records neither an instance nor the restored store
            has.
    """

    killed_ms: list[float] = dataclasses.field(default_factory=list)
    back_ms: list[float] = dataclasses.field(default_factory=list)
    serving: list[tuple[float, dict[str, int]]] = dataclasses.field(
        default_factory=list
    )
    lost_ms: list[tuple[float, float]] = dataclasses.field(default_factory=list)

    def judge(self, streams: Iterable[versions.Stream]) -> Verdict:
        """Returns the verdict on all streams."""
        verdict = Verdict()
        for stream in streams:
            verdict.mixed += stream.is_mixed
            verdict.gaps += not stream.is_in_order
            self._judge_new(verdict, stream)
            self._judge_taken_up(verdict, stream)
        return verdict

    def _judge_new(self, verdict: Verdict, stream: versions.Stream) -> None:
        for found in stream.tries:
            if found.resumed_version is None and self._is_in_touch(found):
                verdict.new += 1
                verdict.begun += found.events > 0

    def _judge_taken_up(
        self, verdict: Verdict, stream: versions.Stream
    ) -> None:
        """Judges the requests that take a stream up after a kill of all."""
        taken_up = [
            found
            for found in stream.resumptions
            if self._is_over_a_kill(stream, found)
        ]
        verdict.streams += bool(taken_up)
        verdict.resumed += len(taken_up)
        verdict.went_on += sum(found.events > 0 for found in taken_up)
        if not self._is_known(stream):
            return
        served = [f for f in taken_up if self._least_serving(f) >= 2]
        in_touch = [f for f in served if self._is_in_touch(f)]
        verdict.taken += bool(served)
        verdict.taken_on += any(found.events for found in served)
        verdict.judged += bool(in_touch)
        verdict.judged_on += any(found.events for found in in_touch)

    def _is_known(self, stream: versions.Stream) -> bool:
        """Whether anybody can know where a stream began.

        What began between the copy of a store and the kill is in neither.
        """
        return not any(
            begin_ms - _WRITTEN_WITHIN_MS <= stream.began_ms <= end_ms
            for begin_ms, end_ms in self.lost_ms
        )

    def _is_over_a_kill(
        self, stream: versions.Stream, found: versions.Try
    ) -> bool:
        first_ms = stream.tries[0].at_ms
        return any(first_ms < at < found.at_ms for at in self.killed_ms)

    def _is_in_touch(self, found: versions.Try) -> bool:
        """Whether instances have run for a while after a kill, undisturbed."""
        is_back = any(at + STABLE_MS <= found.at_ms for at in self.back_ms)
        is_disturbed = any(
            found.at_ms - STABLE_MS < at < found.at_ms + _SERVED_FOR_MS
            for at in self.killed_ms
        )
        return is_back and not is_disturbed and not found.was_reset

    def _least_serving(self, found: versions.Try) -> int:
        """Engines of a version that serve while a request may be placed."""
        version = found.resumed_version
        assert version is not None
        until_ms = found.at_ms + _SERVED_FOR_MS
        return min(
            (
                serving.get(version, 0)
                for at_ms, serving in self.serving
                if found.at_ms - WATCH_INTERVAL_MS <= at_ms <= until_ms
            ),
            default=0,
        )
