"""How long a request waits for memory, and when a refused one comes back.

The load this answers: a burst that fills the engines' memory for longer than
a request can wait and still meet its target. What is told to callers then
decides whether they meet the same burst again, and whether all of them come
back at once when it is over.
"""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import come_back
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import runs

# Part of the target that reading the prompt and the first event take, before
# it was observed.
_BEGIN_OF_TARGET = 0.35
# Part of the target that observed figure may take at most: with more left to
# it nobody would wait at all, and a slow spell would go on by itself.
_MOST_BEGIN_OF_TARGET = 0.6
# A request that has missed its target anyway waits this long, since to be
# refused again would cost it the answer. Callers leave a stream that hasn't
# begun after 2 s or four times the target, whichever is longer.
_LATE_WAIT_MS = 2_000.0
_LATE_WAIT_OF_TARGET = 3.6
# What is left of a request's time when its answer begins must do for the
# answer: the mean stay, with this much over it.
_STAY_MARGIN = 1.2
# Part of a caller's patience that an answer takes, before it was observed.
_STAY_OF_PATIENCE = 0.3
# A refused caller comes back when this part of a mean stay is over: most of
# what fills the engines now has ended by then.
_COME_BACK_OF_STAY = 0.8
# Part of the memory that comes free which is promised to callers that come
# back, so that as many new ones still find room.
_PROMISED_PART = 1 / 3
# Patience of a caller that didn't tell it.
_UNKNOWN_PATIENCE_MS = 10_000.0
_SHORTEST_COME_BACK_MS = 300.0


class Patience:
    """Decides how long requests wait, and when refused callers come back.

    Args:
        work: What requests cost.
        clock: Time.
    """

    def __init__(self, work: costs.WorkCosts, clock: clocks.Clock) -> None:
        self._work = work
        self._clock = clock
        self._longest_ms: dict[str, float] = {}
        self._promised_ms = 0.0

    def in_time_ms(self, run: runs.Run) -> float:
        """Time for which it can wait and still meet its target; 0 if none."""
        if run.may_have_run:
            return 0.0
        target_ms = run.route.target_ms
        begin_ms = self._work.begin_ms
        if begin_ms is None:
            begin_ms = target_ms * _BEGIN_OF_TARGET
        begin_ms = min(begin_ms, target_ms * _MOST_BEGIN_OF_TARGET)
        return max(0.0, target_ms - begin_ms - self._spent_ms(run))

    def late_ms(self, run: runs.Run) -> float:
        """Time for which it waits although it has missed its target.

        At most 0 where the answer can't be whole before its time is over: it
        is then refused without any wait.
        """
        longest_ms = max(
            _LATE_WAIT_MS, run.route.target_ms * _LATE_WAIT_OF_TARGET
        )
        return min(longest_ms, run.left_ms(self._clock) - self._answer_ms(run))

    def come_back_ms(self, call: calls.Call, running: int) -> float:
        """When a refused caller should come back.

        Each is told a later time than the one before, by the time in which
        memory for one comes free: told the same, they would fill the engines
        together once more.

        Args:
            call: What was refused.
            running: Answers that this instance has running.
        """
        patience_ms = call.patience_ms or _UNKNOWN_PATIENCE_MS
        longest_ms = patience_ms * come_back.OF_PATIENCE
        stay_ms = self._work.stay_ms or patience_ms * _STAY_OF_PATIENCE
        now_ms = self._clock.now_ms()
        earliest_ms = now_ms + stay_ms * _COME_BACK_OF_STAY
        apart_ms = stay_ms / max(1, running) / _PROMISED_PART
        at_ms = max(earliest_ms, self._promised_ms + apart_ms)
        at_ms = min(at_ms, now_ms + longest_ms)
        self._promised_ms = max(self._promised_ms, at_ms)
        return max(_SHORTEST_COME_BACK_MS, at_ms - now_ms)

    def _answer_ms(self, run: runs.Run) -> float:
        stay_ms = self._work.stay_ms
        if stay_ms is not None:
            return stay_ms * _STAY_MARGIN
        patience_ms = run.call.patience_ms or run.route.timeout_ms
        return patience_ms * _STAY_OF_PATIENCE

    def _spent_ms(self, run: runs.Run) -> float:
        """Time that the caller has waited already.

        A caller that was refused and came back has less patience left than
        those of its route begin with; the difference is what it has waited.
        """
        spent_ms = self._clock.now_ms() - run.call.arrived_ms
        patience_ms = run.call.patience_ms
        if patience_ms is None:
            return spent_ms
        route = run.route.name
        longest_ms = max(self._longest_ms.get(route, 0.0), patience_ms)
        self._longest_ms[route] = longest_ms
        return spent_ms + longest_ms - patience_ms
