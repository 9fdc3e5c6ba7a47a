"""How long requests wait for memory, and the retry-after of refused ones.

When engines stay full for longer than a request can wait and still meet its
latency target, the retry-after decides whether callers run into the same burst
again, and whether all of them retry at once when it is over.
"""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import come_back
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import runs

# Share of the latency target assumed for prefill and the first event before
# that time was observed.
_BEGIN_OF_TARGET = 0.35
# Largest share of the latency target that the observed time may take.
# Otherwise requests would not wait at all once engines are slow, and would
# keep being refused.
_MOST_BEGIN_OF_TARGET = 0.6
# Longest wait of a request that has already missed its latency target. Callers
# cancel a stream that hasn't started after 2 s or four times the target,
# whichever is longer.
_LATE_WAIT_MS = 2_000.0
_LATE_WAIT_OF_TARGET = 3.6
# Time to reserve for the response itself, as a multiple of the mean time that
# responses hold their memory.
_STAY_MARGIN = 1.2
# Share of a caller's timeout assumed for the response before it was observed.
_STAY_OF_PATIENCE = 0.3
# Earliest retry-after, as a share of the mean time that responses hold memory.
# By then most of the responses that fill the engines have ended.
_COME_BACK_OF_STAY = 0.8
# Share of released memory that is planned for retries. The rest is left to new
# requests.
_PROMISED_PART = 1 / 3
# Timeout assumed for callers that don't send one.
_UNKNOWN_PATIENCE_MS = 10_000.0
_SHORTEST_COME_BACK_MS = 300.0


class Patience:
    """Computes wait times of requests and the retry-after of refused ones.

    Args:
        work: Cost estimates.
        clock: Clock that request times are measured with.
    """

    def __init__(self, work: costs.WorkCosts, clock: clocks.Clock) -> None:
        self._work = work
        self._clock = clock
        self._longest_ms: dict[str, float] = {}
        self._promised_ms = 0.0

    def in_time_ms(self, run: runs.Run) -> float:
        """Returns how long a request can wait and still meet its target.

        0 if it can't meet its latency target any more.
        """
        if run.may_have_run:
            return 0.0
        target_ms = run.route.target_ms
        begin_ms = self._work.begin_ms
        if begin_ms is None:
            begin_ms = target_ms * _BEGIN_OF_TARGET
        begin_ms = min(begin_ms, target_ms * _MOST_BEGIN_OF_TARGET)
        return max(0.0, target_ms - begin_ms - self._spent_ms(run))

    def late_ms(self, run: runs.Run) -> float:
        """Returns how long a request waits that has missed its target.

        0 or less if the response can't complete before the deadline; the
        request is then refused without a wait.
        """
        longest_ms = max(
            _LATE_WAIT_MS, run.route.target_ms * _LATE_WAIT_OF_TARGET
        )
        return min(longest_ms, run.left_ms(self._clock) - self._answer_ms(run))

    def come_back_ms(self, call: calls.Call, running: int) -> float:
        """Returns the retry-after of a refused request, in milliseconds.

        Each call returns a later time than the one before, spaced by the time
        in which memory for one request comes free. With equal times the
        callers would fill the engines together again.

        Args:
            call: The refused request.
            running: Number of responses that this instance is running.
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
        """Returns how long the caller has been waiting.

        A retried request has a shorter timeout left than the longest one seen
        on its route. The difference is time spent before this attempt.
        """
        spent_ms = self._clock.now_ms() - run.call.arrived_ms
        patience_ms = run.call.patience_ms
        if patience_ms is None:
            return spent_ms
        route = run.route.name
        longest_ms = max(self._longest_ms.get(route, 0.0), patience_ms)
        self._longest_ms[route] = longest_ms
        return spent_ms + longest_ms - patience_ms
