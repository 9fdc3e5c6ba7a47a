"""How long requests wait for memory, and the retry-after of refused ones.

When engines stay full for longer than a request can wait and still meet its
latency target, the retry-after decides whether callers run into the same burst
again, and whether all of them retry at once when it is over.
"""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.admission import tickets
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import come_back
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import runs

# Share of the latency target assumed for prefill and the first event before
# that time was observed.
_DEFAULT_START_SHARE = 0.35
# Largest share of the latency target that the observed time may take.
# Otherwise requests would not wait at all once engines are slow, and would
# keep being refused.
_MAX_START_SHARE = 0.6
# Longest wait of a request that has already missed its latency target. It waits
# because another refusal would cost it the response. Callers cancel a stream
# that hasn't started after 2 s or four times the target, whichever is longer.
_LATE_WAIT_MS = 2_000.0
_LATE_WAIT_TARGET_FACTOR = 3.6
# Time to reserve for the response itself, as a multiple of the mean time that
# responses hold their memory.
_RESPONSE_TIME_FACTOR = 1.2
# Share of a caller's timeout assumed for the response before it was observed.
_DEFAULT_RESPONSE_SHARE = 0.3
# Earliest retry-after, as a share of the mean time that responses hold memory.
# By then most of the responses that fill the engines have ended.
_EARLIEST_RETRY_SHARE = 0.8
# Share of released memory that is planned for retries. The rest is left to new
# requests.
_RETRY_MEMORY_SHARE = 1 / 3
# Timeout assumed for callers that don't send one.
_DEFAULT_CALLER_TIMEOUT_MS = 10_000.0
_MIN_RETRY_AFTER_MS = 300.0
# Interval at which a waiting request asks again, as a share of the mean time
# between releases of memory on an engine. Memory that requests of other
# instances release is only found by asking.
_ASK_INTERVAL_SHARE = 1 / 6
_DEFAULT_ASK_INTERVAL_MS = 70.0
# Factor by which the interval is longer for requests that have missed their
# latency target. They wait for seconds and would otherwise make most of the
# calls to engines during a burst.
_LATE_INTERVAL_FACTOR = 4.0
# Factor by which memory may come free faster than the mean hold time says
# before a request that waits for it is refused wrongly.
_RELEASE_SPEED_FACTOR = 3.0


class WaitPolicy:
    """Computes wait times of requests and the retry-after of refused ones.

    Args:
        cost_estimates: Observed costs of requests.
        clock: Clock that request times are measured with.
    """

    def __init__(
        self, cost_estimates: costs.CostEstimates, clock: clocks.Clock
    ) -> None:
        self._cost_estimates = cost_estimates
        self._clock = clock
        self._longest_timeout_ms: dict[str, float] = {}
        self._last_retry_at_ms: dict[int, float] = {}

    def new_ticket(
        self, run: runs.Run, cost: float, *, fastest: float = 1.0
    ) -> tickets.Ticket:
        """Returns the ticket of a request that begins to wait.

        A stream that is resumed is late but keeps its place among those in
        time: its caller already has part of the response, which a failure would
        waste.

        Args:
            run: The request.
            cost: Tokens that count towards the account's share.
            fastest: See ``late_wait_ms``.
        """
        wait_ms = self.on_time_wait_ms(run)
        is_late = wait_ms <= 0.0
        is_resumed = run.may_have_run or run.origin is not None
        if is_late:
            wait_ms = self.late_wait_ms(run, fastest=fastest)
        return tickets.Ticket(
            run.priority,
            run.call.account,
            cost,
            is_late=is_late and not is_resumed,
            is_resumed=is_resumed,
            due_ms=self._clock.now_ms() + wait_ms,
        )

    def ask_interval_ms(self, *, is_late: bool) -> float:
        """Returns the mean interval at which a waiting request asks again."""
        interval_ms = _DEFAULT_ASK_INTERVAL_MS
        if self._cost_estimates.decode_ms is not None:
            interval_ms = self._cost_estimates.decode_ms * _ASK_INTERVAL_SHARE
        return interval_ms * (_LATE_INTERVAL_FACTOR if is_late else 1.0)

    def is_hopeless(
        self, blocking_tokens: int, *, held_tokens: int, due_ms: float
    ) -> bool:
        """Returns whether a request certainly gets no memory until it is due.

        Args:
            blocking_tokens: Memory that goes to other requests before it.
            held_tokens: Memory that requests of its service hold.
            due_ms: Clock reading at which it is given up.
        """
        hold_ms = self._cost_estimates.memory_hold_ms
        if hold_ms is None:
            return False
        left_ms = due_ms - self._clock.now_ms()
        released_tokens = held_tokens * left_ms / hold_ms
        return blocking_tokens > released_tokens * _RELEASE_SPEED_FACTOR

    def expected_release_ms(self, held_tokens: int, tokens: int) -> float:
        """Returns the expected time in which some memory comes free."""
        hold_ms = self._cost_estimates.memory_hold_ms or 0.0
        return hold_ms * tokens / max(1, held_tokens)

    def on_time_wait_ms(self, run: runs.Run) -> float:
        """Returns how long a request can wait and still meet its target.

        0 if it can't meet its latency target any more.
        """
        if run.may_have_run:
            return 0.0
        target_ms = run.route.target_ms
        start_ms = self._cost_estimates.first_event_ms
        if start_ms is None:
            start_ms = target_ms * _DEFAULT_START_SHARE
        start_ms = min(start_ms, target_ms * _MAX_START_SHARE)
        return max(0.0, target_ms - start_ms - self._elapsed_ms(run))

    def late_wait_ms(self, run: runs.Run, *, fastest: float = 1.0) -> float:
        """Returns how long a request waits that has missed its target.

        0 or less if the response can't complete before the deadline; the
        request is then refused without a wait.

        Args:
            run: The request.
            fastest: Time of a response on the fastest engine, relative to the
                median one. Slower engines come last once the response can't
                complete there.
        """
        max_wait_ms = max(
            _LATE_WAIT_MS, run.route.target_ms * _LATE_WAIT_TARGET_FACTOR
        )
        return min(
            max_wait_ms,
            run.left_ms(self._clock) - self._response_ms(run, fastest),
        )

    def retry_after_ms(
        self,
        call: calls.Call,
        running_count: int,
        *,
        priority: int = 0,
        min_wait_ms: float = 0.0,
    ) -> float:
        """Returns the retry-after of a refused request, in milliseconds.

        Each call returns a later time than the one before, spaced by the time
        in which memory for one request comes free. With equal times the
        callers would fill the engines together again. Times of a class come
        after those of the higher classes, and don't delay theirs.

        Args:
            call: The refused request.
            running_count: Number of responses that this instance is running.
            priority: Priority of the request.
            min_wait_ms: Time for which the requests that precede it use all
                memory that comes free.
        """
        timeout_ms = call.caller_timeout_ms or _DEFAULT_CALLER_TIMEOUT_MS
        max_retry_after_ms = timeout_ms * come_back.MAX_TIMEOUT_SHARE
        memory_hold_ms = (
            self._cost_estimates.memory_hold_ms
            or timeout_ms * _DEFAULT_RESPONSE_SHARE
        )
        now_ms = self._clock.now_ms()
        earliest_ms = now_ms + max(
            memory_hold_ms * _EARLIEST_RETRY_SHARE, min_wait_ms
        )
        interval_ms = (
            memory_hold_ms / max(1, running_count) / _RETRY_MEMORY_SHARE
        )
        last_retry_at_ms = max(
            (t for p, t in self._last_retry_at_ms.items() if p <= priority),
            default=0.0,
        )
        retry_at_ms = max(earliest_ms, last_retry_at_ms + interval_ms)
        retry_at_ms = min(retry_at_ms, now_ms + max_retry_after_ms)
        self._last_retry_at_ms[priority] = max(last_retry_at_ms, retry_at_ms)
        return max(_MIN_RETRY_AFTER_MS, retry_at_ms - now_ms)

    def _response_ms(self, run: runs.Run, fastest: float) -> float:
        memory_hold_ms = self._cost_estimates.reference_hold_ms
        if memory_hold_ms is not None:
            return memory_hold_ms * fastest * _RESPONSE_TIME_FACTOR
        timeout_ms = run.call.caller_timeout_ms or run.route.timeout_ms
        return timeout_ms * _DEFAULT_RESPONSE_SHARE

    def _elapsed_ms(self, run: runs.Run) -> float:
        """Returns how long the caller has been waiting.

        A retried request has a shorter timeout left than the longest one seen
        on its route. The difference is time spent before this attempt.
        """
        elapsed_ms = self._clock.now_ms() - run.call.arrived_ms
        timeout_ms = run.call.caller_timeout_ms
        if timeout_ms is None:
            return elapsed_ms
        route = run.route.name
        longest_timeout_ms = max(
            self._longest_timeout_ms.get(route, 0.0), timeout_ms
        )
        self._longest_timeout_ms[route] = longest_timeout_ms
        return elapsed_ms + longest_timeout_ms - timeout_ms
