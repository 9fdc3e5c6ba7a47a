"""Estimates how long an answer will take from its first events."""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.forwarding import attempts
from jujubewharf.forwarding import observations as observed
from jujubewharf.forwarding import runs

# Number of events from which the total time of an answer is extrapolated.
_ESTIMATE_EVENTS = 8


class CompletionEstimate:
    """Estimates the total time of an answer from the rate of its events.

    Args:
        observations: Records the estimate.
        run: The request.
        upstream: The engine's answer.
        clock: Time source.
    """

    def __init__(
        self,
        observations: observed.Observer,
        run: runs.Run,
        upstream: attempts.Upstream,
        clock: clocks.Clock,
    ) -> None:
        self._observations = observations
        self._run = run
        self._upstream = upstream
        self._clock = clock
        self._first_ms = 0.0
        self._count = 0

    def event(self) -> None:
        """Records the arrival of an event."""
        self._count += 1
        if self._count == 1:
            self._first_ms = self._clock.now_ms()
            self._observations.record_first_event(
                self._first_ms - self._upstream.placed_ms
            )
        elif self._count == _ESTIMATE_EVENTS:
            self._project()

    def _project(self) -> None:
        work, traits = self._run.call.work, self._run.traits
        if work is None or traits is None:
            return
        since_ms = self._clock.now_ms() - self._first_ms
        event_ms = since_ms / (_ESTIMATE_EVENTS - 1)
        event_count = work.answer_tokens / traits.event_tokens
        begun_ms = self._first_ms - self._upstream.placed_ms
        self._observations.record_projection(
            begun_ms + event_count * event_ms,
            memory_share=self._upstream.memory_part,
            engine=self._upstream.engine.name,
            event_ms=event_ms,
        )
