"""Forwards streamed requests and resumes broken streams on other engines.

If the route allows it, a stream that breaks resumes on another engine. The
caller sees a single stream.
"""

from __future__ import annotations

from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
import contextlib
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import attempts
from jujubewharf.forwarding import budget as budgets
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import events
from jujubewharf.forwarding import observations as observed
from jujubewharf.forwarding import request_log
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import runs
from jujubewharf.forwarding import silence_log
from jujubewharf.stream_versions import resume_log
from jujubewharf.stream_versions import resumptions

# Time without an event after which a resumable stream is moved to another
# engine. Events are about 50 ms apart, pauses in which an engine frees memory
# for other requests last less than a second, and callers cancel after 2 s or
# more.
IDLE_TIMEOUT_MS = 1_000.0
# The same for the first event, which waits for the prefill result or for
# prefill.
FIRST_EVENT_TIMEOUT_MS = 1_500.0
# Number of events from which the total time of an answer is extrapolated.
_ESTIMATE_EVENTS = 8


class StreamForwarder:
    """Forwards streamed requests.

    Args:
        sender: Sends requests to engines.
        resumed: Binds streams to the version that began them.
        budget: Retry budget of the fleet.
        observations: Records the latency and length of answers.
        clock: Time source.
    """

    def __init__(
        self,
        sender: attempts.StreamAttempts,
        resumed: resumptions.Resumptions,
        budget: budgets.FleetRetryBudget,
        observations: observed.Observer,
        clock: clocks.Clock,
    ) -> None:
        self._attempts = sender
        self._resumptions = resumed
        self._budget = budget
        self._observations = observations
        self._clock = clock

    async def begin(
        self, stack: contextlib.AsyncExitStack, run: runs.Run
    ) -> calls.Reply:
        """Returns an answer, whose body is read while the stack is open.

        Raises:
            WharfError: No engine answers.
        """
        upstream = await self._first_attempt(run)
        stack.push_async_exit(upstream.exit_stack)
        if not upstream.reply.is_success:
            return upstream.reply
        if run.call.last_event is not None:
            resume_log.log_resumption(
                run,
                upstream.engine,
                former=None,
                after_event=run.call.last_event,
            )
        body = self._relay(run, upstream)
        await stack.enter_async_context(contextlib.aclosing(body))
        return dataclasses.replace(upstream.reply, body=body, length=None)

    async def _first_attempt(self, run: runs.Run) -> attempts.Upstream:
        """Sends the request until an engine answers or no retry is allowed."""
        while True:
            try:
                return await self._attempts.attempt(
                    run, after_event=run.call.last_event
                )
            except client.EngineError as error:
                self._check_retry(run, error)

    def _check_retry(self, run: runs.Run, error: client.EngineError) -> None:
        """Checks that the request may be retried.

        Raises:
            WharfError: No retry is allowed.
        """
        if error.fault is client.EngineFault.NO_PATH:
            # Placed again, it would fail again within milliseconds.
            raise run.failure(error.detail) from error
        left = self._budget.remaining(run.service)
        reason = error.fault.value
        if not run.may_run_again or not run.has_attempts_left:
            request_log.log_denied_retry(run, reason, budget_left=left)
            raise run.failure() from error
        if run.tried and not self._budget.take(run.service):
            request_log.log_denied_retry(run, reason, budget_left=left)
            raise run.failure() from error
        request_log.log_retry(run, reason, budget_left=left)

    async def _relay(
        self, run: runs.Run, upstream: attempts.Upstream
    ) -> AsyncGenerator[bytes, None]:
        """Yields the whole stream, using further engines if it breaks."""
        last = run.call.last_event
        while True:
            failure: client.EngineError | None = None
            async with upstream.exit_stack:
                try:
                    async for event in self._complete_events(run, upstream):
                        if event.number is not None:
                            _check_order(upstream.engine.name, last, event)
                            last = event.number
                        if run.event_ms is None:
                            self._resumptions.begin(run, upstream.engine)
                        run.record_event(self._clock.now_ms())
                        yield event.data
                    self._record_length(run, last)
                    return
                except client.EngineError as error:
                    failure = error
            upstream = await self._resume(run, upstream.engine, failure, last)

    async def _resume(
        self,
        run: runs.Run,
        former: resources.Endpoint,
        error: client.EngineError,
        last: int | None,
    ) -> attempts.Upstream:
        """Resumes a broken stream on another engine.

        The connection to the failed engine is already closed, which cancels its
        work.

        Args:
            run: The request.
            former: The engine that broke off.
            error: How it broke off.
            last: Number of the last event that the caller has.

        Raises:
            WharfError: The stream could not be resumed.
        """
        run.lost_by.add(error.engine)
        self._observations.record_failure(error)
        request_log.log_engine_failure(run, error, stage="stream", took_ms=0.0)
        upstream = await self._attempt_elsewhere(run, error, last)
        if not upstream.reply.is_success:
            await upstream.exit_stack.aclose()
            raise _broken_error()
        resume_log.log_resumption(
            run, upstream.engine, former=former, after_event=last or 0
        )
        return upstream

    async def _attempt_elsewhere(
        self, run: runs.Run, error: client.EngineError, last: int | None
    ) -> attempts.Upstream:
        """Returns another engine's answer, starting after the last event.

        Raises:
            WharfError: No further attempt is allowed.
        """
        ended = silence_log.EarlyEnd
        former = error
        while True:
            try:
                self._resumptions.check_engines(run)
            except errors.WharfError as gone:
                self._log_early_end(run, former, ended.NO_ENGINE, last)
                raise _broken_error() from gone
            left = self._budget.remaining(run.service)
            is_allowed = run.route.repeat is routes.Repeat.CONTINUE
            may_run_again = is_allowed and run.has_attempts_left
            if not may_run_again or not self._budget.take(run.service):
                request_log.log_denied_retry(
                    run, "stream_broken", budget_left=left
                )
                reason = ended.NO_BUDGET if may_run_again else ended.NO_ATTEMPT
                self._log_early_end(run, former, reason, last)
                raise _broken_error() from error
            try:
                return await self._attempts.attempt(run, after_event=last)
            except client.EngineError as again:
                error = again
            except errors.WharfError:
                self._log_early_end(run, former, ended.NO_ENGINE, last)
                raise

    def _log_early_end(
        self,
        run: runs.Run,
        former: client.EngineError,
        reason: silence_log.EarlyEnd,
        last: int | None,
    ) -> None:
        silence_log.log_early_end(
            run,
            former.engine,
            reason,
            detail=former.detail,
            last_event=last,
            budget_left=self._budget.remaining(run.service),
        )

    async def _complete_events(
        self, run: runs.Run, upstream: attempts.Upstream
    ) -> AsyncIterator[events.Event]:
        splitter = events.EventSplitter()
        name = upstream.engine.name
        body = upstream.reply.body
        estimate = _CompletionEstimate(
            self._observations, run, upstream, self._clock
        )
        while True:
            try:
                limit_ms = self._idle_timeout_ms(run, upstream)
                async with self._clock.timeout_ms(limit_ms):
                    part = await anext(body, None)
            except TimeoutError:
                silence_log.log_silence(
                    run,
                    name,
                    silent_ms=limit_ms or 0.0,
                    has_begun=upstream.has_begun,
                    budget_left=self._budget.remaining(run.service),
                )
                fault = client.EngineFault.LOST
                raise client.EngineError(fault, name, "silent") from None
            if part is None:
                break
            upstream.has_begun = True
            for event in splitter.feed(part):
                estimate.event()
                yield event
        if splitter.has_partial:
            fault = client.EngineFault.LOST
            raise client.EngineError(fault, name, "ended inside an event")

    def _record_length(self, run: runs.Run, last: int | None) -> None:
        if run.call.work is None or run.traits is None or last is None:
            return
        tokens = last * run.traits.event_tokens
        self._observations.record_length(run.call.work.answer_tokens, tokens)

    def _idle_timeout_ms(
        self, run: runs.Run, upstream: attempts.Upstream
    ) -> float | None:
        if run.route.repeat is not routes.Repeat.CONTINUE:
            return None
        return IDLE_TIMEOUT_MS if upstream.has_begun else FIRST_EVENT_TIMEOUT_MS


class _CompletionEstimate:
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


def _check_order(engine: str, last: int | None, event: events.Event) -> None:
    """Checks that event numbers are consecutive.

    Raises:
        EngineError: An event is missing or repeated.
    """
    if last is not None and event.number != last + 1:
        fault = client.EngineFault.LOST
        detail = f"event {event.number} after {last}"
        raise client.EngineError(fault, engine, detail)


def _broken_error() -> errors.WharfError:
    return errors.WharfError(
        errors.ErrorKind.ANSWER_BROKEN, ran=errors.Ran.UNKNOWN
    )
