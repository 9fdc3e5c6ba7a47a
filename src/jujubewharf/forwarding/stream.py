"""Forwards streamed requests and resumes broken streams on other engines.

If the route allows it, a stream that breaks resumes on another engine. The
caller sees a single stream.
"""

from __future__ import annotations

from collections.abc import AsyncGenerator
import contextlib
import dataclasses

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import attempts
from jujubewharf.forwarding import budget as budgets
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import completion_estimate
from jujubewharf.forwarding import events
from jujubewharf.forwarding import failover
from jujubewharf.forwarding import observations as observed
from jujubewharf.forwarding import request_log
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import runs
from jujubewharf.forwarding import silence_log
from jujubewharf.forwarding import upstream_reader
from jujubewharf.stream_versions import resume_log
from jujubewharf.stream_versions import resumptions

# Time without an event after which another engine is looked for. Events are
# about 50 ms apart, pauses in which an engine frees memory for other requests
# last less than a second, and callers cancel after 2 s or more.
IDLE_TIMEOUT_MS = 1_000.0
# The same for the first event, which waits for the prefill result or for
# prefill.
FIRST_EVENT_TIMEOUT_MS = 1_500.0


class StreamForwarder:
    """Forwards streamed requests.

    Args:
        sender: Sends requests to engines.
        resumed: Binds streams to the version that began them.
        failovers: Goes on with streams whose engine is silent.
        budget: Retry budget of the fleet.
        observations: Records the latency and length of answers.
        clock: Time source.
    """

    def __init__(
        self,
        sender: attempts.StreamAttempts,
        resumed: resumptions.Resumptions,
        failovers: failover.Failover,
        budget: budgets.FleetRetryBudget,
        observations: observed.Observer,
        clock: clocks.Clock,
    ) -> None:
        self._attempts = sender
        self._failover = failovers
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
        reader = upstream_reader.UpstreamReader(upstream, self._clock)
        estimate = self._new_estimate(run, reader)
        try:
            while True:
                try:
                    heard = await self._next_events(run, reader, last)
                    if heard.reader is not reader:
                        reader = heard.reader
                        estimate = self._new_estimate(run, reader)
                    if heard.arrived is None:
                        self._record_length(run, last)
                        return
                    for event in heard.arrived:
                        estimate.event()
                        if event.number is not None:
                            _check_order(reader.engine.name, last, event)
                            last = event.number
                        if run.event_ms is None:
                            self._resumptions.begin(run, reader.engine)
                        run.record_event(self._clock.now_ms())
                        yield event.data
                except client.EngineError as error:
                    # Closing the connection cancels the engine's work.
                    await reader.aclose()
                    upstream = await self._resume(
                        run, reader.engine, error, last
                    )
                    reader = upstream_reader.UpstreamReader(
                        upstream, self._clock
                    )
                    estimate = self._new_estimate(run, reader)
        finally:
            await reader.aclose()

    async def _next_events(
        self,
        run: runs.Run,
        reader: upstream_reader.UpstreamReader,
        last: int | None,
    ) -> failover.Heard:
        """Waits for the next events, from another engine if need be.

        Raises:
            EngineError: The answer broke off.
        """
        limit_ms = None
        if run.route.repeat is routes.Repeat.CONTINUE:
            limit_ms = (
                IDLE_TIMEOUT_MS if reader.has_begun else FIRST_EVENT_TIMEOUT_MS
            )
        if await reader.is_heard_within(limit_ms):
            return failover.Heard(reader, reader.take())
        return await self._failover.next_events(run, reader, last)

    def _new_estimate(
        self, run: runs.Run, reader: upstream_reader.UpstreamReader
    ) -> completion_estimate.CompletionEstimate:
        return completion_estimate.CompletionEstimate(
            self._observations, run, reader.upstream, self._clock
        )

    async def _resume(
        self,
        run: runs.Run,
        former: resources.Endpoint,
        error: client.EngineError,
        last: int | None,
    ) -> attempts.Upstream:
        """Resumes a broken stream on another engine.

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
        reasons = silence_log.NotReplaced
        former = error
        while True:
            try:
                self._resumptions.check_engines(run)
            except errors.WharfError as gone:
                self._log_early_end(run, former, reasons.NO_ENGINE, last)
                raise _broken_error() from gone
            left = self._budget.remaining(run.service)
            is_allowed = run.route.repeat is routes.Repeat.CONTINUE
            may_run_again = is_allowed and run.has_attempts_left
            if not may_run_again or not self._budget.take(run.service):
                request_log.log_denied_retry(
                    run, "stream_broken", budget_left=left
                )
                reason = (
                    reasons.NO_BUDGET if may_run_again else reasons.NO_ATTEMPT
                )
                self._log_early_end(run, former, reason, last)
                raise _broken_error() from error
            try:
                return await self._attempts.attempt(run, after_event=last)
            except client.EngineError as again:
                error = again
            except errors.WharfError:
                self._log_early_end(run, former, reasons.NO_ENGINE, last)
                raise

    def _log_early_end(
        self,
        run: runs.Run,
        former: client.EngineError,
        reason: silence_log.NotReplaced,
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

    def _record_length(self, run: runs.Run, last: int | None) -> None:
        if run.call.work is None or run.traits is None or last is None:
            return
        tokens = last * run.traits.event_tokens
        self._observations.record_length(run.call.work.answer_tokens, tokens)


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
