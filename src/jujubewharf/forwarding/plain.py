"""Forwards plain requests: selects an endpoint, sends, retries."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Collection
import contextlib
import dataclasses
import functools
import random

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.forwarding import backpressure as all_backpressure
from jujubewharf.forwarding import budget as budgets
from jujubewharf.forwarding import buffered_replies
from jujubewharf.forwarding import calls
from jujubewharf.forwarding import come_back
from jujubewharf.forwarding import events
from jujubewharf.forwarding import limits as all_limits
from jujubewharf.forwarding import open_calls
from jujubewharf.forwarding import ports
from jujubewharf.forwarding import registry as registries
from jujubewharf.forwarding import request_log
from jujubewharf.forwarding import routes
from jujubewharf.forwarding import runs
from jujubewharf.plain_calls import decisions
from jujubewharf.plain_calls import permits as all_permits
from jujubewharf.requests import plain_endpoints
from jujubewharf.stream_versions import resume_log
from jujubewharf.stream_versions import resumptions

# Share of a route's target time after which an unanswered request that may be
# repeated is sent to a second endpoint as well. Leaves time for that one.
_SLOW_SHARE_OF_TARGET = 0.75
_SERVER_ERROR = 500
# Reserve before the deadline for forwarding an earlier endpoint's error.
_DEADLINE_RESERVE_MS = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class _OpenReply:
    """An endpoint's answer.

    Attributes:
        reply: The answer.
        exit_stack: Releases what its attempt holds on close.
    """

    reply: calls.Reply
    exit_stack: contextlib.AsyncExitStack


class PlainForwarder:
    """Forwards plain requests.

    Args:
        backends: Client for endpoints.
        registry: Registered endpoints.
        chooser: Selects endpoints where calls need no permit.
        permits: Permits of calls where endpoints report their load.
        resumed: Binds streams to the version that began them.
        budget: Retry budget of the fleet.
        limits: Rate limits set by endpoints.
        backpressure: Rate limits, backoffs and drain notices sent by endpoints.
        clock: Time source.
        rng: Jitter of retry-after times.
    """

    def __init__(
        self,
        backends: ports.Backends,
        registry: registries.Registry,
        chooser: plain_endpoints.EndpointChooser,
        permits: all_permits.PlainPermits,
        resumed: resumptions.Resumptions,
        budget: budgets.FleetRetryBudget,
        limits: all_limits.Permits,
        backpressure: all_backpressure.Backpressure,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._retry_scheduler = come_back.RetryScheduler(clock, rng)
        self._backends = backends
        self._registry = registry
        self._chooser = chooser
        self._permits = permits
        self._resumptions = resumed
        self._budget = budget
        self._limits = limits
        self._backpressure = backpressure
        self._clock = clock

    async def begin(
        self, stack: contextlib.AsyncExitStack, run: runs.Run
    ) -> calls.Reply:
        """Returns an answer, whose body is read while the stack is open.

        Raises:
            WharfError: There is no answer.
        """
        async with open_calls.OpenCalls(_close, self._clock) as attempts:
            return await self._first_reply(stack, run, attempts)

    async def _first_reply(
        self,
        stack: contextlib.AsyncExitStack,
        run: runs.Run,
        attempts: open_calls.OpenCalls[_OpenReply],
    ) -> calls.Reply:
        """Returns the first answer, or an endpoint's own error without one.

        Raises:
            WharfError: There is no answer.
        """
        failed = self._of_other_versions(run)
        error_reply: calls.Reply | None = None
        may_try_again = True
        while True:
            if may_try_again:
                has_error = error_reply is not None
                attempts.begin(
                    functools.partial(self._attempt, run, failed),
                    slow_at_ms=self._error_reply_at_ms(run)
                    if has_error
                    else None,
                )
            event = await attempts.next_event()
            match event:
                case open_calls.Answered(_OpenReply(reply, exit_stack)):
                    stack.push_async_exit(exit_stack)
                    if reply.status < _SERVER_ERROR:
                        return reply
                    error_reply = reply
                    attempts.set_limit_of_all(self._error_reply_at_ms(run))
                    may_try_again = self._may_retry(run, "failed", attempts)
                case open_calls.Slow():
                    if error_reply is not None:
                        return error_reply
                    may_try_again = self._may_retry_slow(run, event, attempts)
                    attempts.set_limit(self._slow_at_ms(run))
                case open_calls.Failed(client.EngineError() as failure):
                    has_path = failure.fault is not client.EngineFault.NO_PATH
                    reason = failure.fault.value
                    may_try_again = has_path and self._may_retry(
                        run, reason, attempts
                    )
                case _:
                    # No other endpoint takes it. Those that have it keep it.
                    may_try_again = False
                    attempts.set_limit(None)
            if not may_try_again and not attempts:
                if error_reply is not None:
                    return error_reply
                assert isinstance(event, open_calls.Failed)
                raise self._final_error(run, event.error)

    def _may_retry_slow(
        self,
        run: runs.Run,
        slow: open_calls.Slow,
        attempts: open_calls.OpenCalls[_OpenReply],
    ) -> bool:
        """Returns whether a call whose endpoint is slow may go to another."""
        if slow.is_first:
            self._chooser.failed(slow.endpoint)
        elif self._budget.remaining(run.service) < 1.0:
            return False
        return self._may_retry(run, "slow", attempts)

    def _final_error(self, run: runs.Run, failure: Exception) -> Exception:
        """Returns the error for a request whose last attempt has failed."""
        match failure:
            case all_permits.NoEndpointError():
                return self._no_endpoint_error(run)
            case client.EngineError():
                error = run.failure()
                error.__cause__ = failure
                return error
            case _:
                return failure

    def _of_other_versions(self, run: runs.Run) -> set[str]:
        """Returns the endpoints at which a resumed stream can't go on."""
        endpoints = self._registry.of_service(run.service)
        fitting = resumptions.of_version(run, endpoints)
        return {e.name for e in endpoints} - {e.name for e in fitting}

    async def _acquire(
        self,
        held: contextlib.AsyncExitStack,
        run: runs.Run,
        failed: set[str],
    ) -> all_permits.Permit:
        """Returns a permit, which ``held`` returns.

        Args:
            held: Returns the permit on close.
            run: The request.
            failed: Endpoints that must not get it; its endpoint is added.

        Raises:
            NoEndpointError: No endpoint accepts the request now.
            WharfError: The request can't be served in time.
        """
        while True:
            async with contextlib.AsyncExitStack() as stack:
                permit = await self._acquire_any(stack, run, failed)
                failed.add(permit.endpoint.name)
                if resumptions.of_version(run, [permit.endpoint]):
                    held.push_async_exit(stack.pop_all())
                    return permit
                # It has registered since the others were left out.

    async def _acquire_any(
        self,
        held: contextlib.AsyncExitStack,
        run: runs.Run,
        failed: Collection[str],
    ) -> all_permits.Permit:
        if self._permits.applies_to(run.service):
            return await held.enter_async_context(
                self._permits.acquire(run, excluded=frozenset(failed))
            )
        endpoint = await self._choose(run, failed)
        if endpoint is None:
            raise all_permits.NoEndpointError
        return all_permits.Permit(endpoint)

    async def _choose(
        self, run: runs.Run, failed: Collection[str]
    ) -> resources.Endpoint | None:
        """Returns an endpoint that accepts a request now, if there is one."""
        while True:
            endpoint = self._chooser.choose(
                run.service, excluded=frozenset(failed)
            )
            if endpoint is None:
                return None
            if not await self._limits.take(endpoint.name):
                # The endpoint is now deferred and not selected again.
                continue
            if self._chooser.accepts_work(endpoint.name):
                # It may have started to drain while the leader was asked.
                return endpoint

    def _no_endpoint_error(self, run: runs.Run) -> errors.WharfError:
        """Returns the error for a request that no endpoint accepts."""
        names = [e.name for e in self._registry.of_service(run.service)]
        wait_ms = self._backpressure.wait_ms(names)
        if wait_ms is None:
            return run.failure()
        caller_timeout_ms = run.call.caller_timeout_ms or run.left_ms(
            self._clock
        )
        after_ms = self._retry_scheduler.next_retry_after_ms(
            run.service,
            free_in_ms=wait_ms,
            interval_ms=self._backpressure.request_interval_ms(names),
            max_ms=caller_timeout_ms * come_back.MAX_TIMEOUT_SHARE,
        )
        return run.failure("all endpoints deferred", retry_after_ms=after_ms)

    def _may_retry(
        self,
        run: runs.Run,
        reason: str,
        attempts: open_calls.OpenCalls[_OpenReply],
    ) -> bool:
        if attempts.has_unsent:
            # It will be sent, and counts as an attempt from then on.
            return False
        left = self._budget.remaining(run.service)
        if not run.tried:
            # No endpoint has received any part of the request.
            return True
        if not run.may_run_again or not run.has_attempts_left:
            return False
        if not self._budget.take(run.service):
            request_log.log_denied_retry(run, reason, budget_left=left)
            return False
        request_log.log_retry(run, reason, budget_left=left)
        return True

    async def _attempt(
        self,
        run: runs.Run,
        failed: set[str],
        attempt: open_calls.OpenCall,
    ) -> _OpenReply:
        """Sends the request to one endpoint.

        Args:
            run: The request.
            failed: Endpoints that must not get it; its endpoint is added.
            attempt: The attempt.

        Raises:
            EngineError: The endpoint gave no answer.
            NoEndpointError: No endpoint accepts the request.
            WharfError: The request can't be served in time.
        """
        async with contextlib.AsyncExitStack() as stack:
            async with contextlib.AsyncExitStack() as held:
                permit = await self._acquire(held, run, failed)
                attempt.sent(permit.endpoint.name, self._slow_at_ms(run))
                reply = await self._send(stack, held, run, permit, attempt)
            return _OpenReply(reply, stack.pop_all())

    async def _send(
        self,
        stack: contextlib.AsyncExitStack,
        held: contextlib.AsyncExitStack,
        run: runs.Run,
        permit: all_permits.Permit,
        attempt: open_calls.OpenCall,
    ) -> calls.Reply:
        """Sends the request to the permit's endpoint.

        ``held`` is emptied into ``stack`` if the answer has not yet ended.
        """
        endpoint = permit.endpoint
        began_ms = self._clock.now_ms()
        run.record_attempt(endpoint.name)
        request_log.log_attempt(
            run,
            endpoint.name,
            stage="plain",
            left_ms=run.left_ms(self._clock),
            age_ms=self._registry.age_ms,
        )
        error: client.EngineError | None = None
        try:
            return await self._exchange(stack, held, run, permit)
        except client.EngineError as failure:
            error = failure
            permit.outcome = decisions.Outcome.FAILED
            run.record_failure(error)
            if error.fault is client.EngineFault.REFUSED_IDENTITY:
                self._registry.remove_replaced(endpoint.name)
            if error.fault is client.EngineFault.REFUSED_FULL:
                permit.outcome = decisions.Outcome.FULL
            else:
                self._chooser.failed(endpoint.name)
            raise
        except asyncio.CancelledError:
            if attempt.is_slow:
                permit.outcome = decisions.Outcome.FAILED
                error = client.EngineError(
                    client.EngineFault.LOST, endpoint.name, "no answer in time"
                )
            raise
        finally:
            if error is not None:
                took_ms = self._clock.now_ms() - began_ms
                request_log.log_engine_failure(
                    run, error, stage="plain", took_ms=took_ms
                )

    async def _exchange(
        self,
        stack: contextlib.AsyncExitStack,
        held: contextlib.AsyncExitStack,
        run: runs.Run,
        permit: all_permits.Permit,
    ) -> calls.Reply:
        endpoint = permit.endpoint
        outbound = calls.OutboundRequest(
            run.call,
            run.left_ms(self._clock),
            after_event=run.call.last_event,
        )
        is_complete = False
        async with contextlib.AsyncExitStack() as attempt:
            attempt.enter_context(self._chooser.track_call(endpoint))
            reply = await attempt.enter_async_context(
                self._backends.send(endpoint, outbound)
            )
            if not run.route.is_stream:
                reply, is_complete = await buffered_replies.buffered(reply)
            elif reply.is_success:
                body = self._stream_body(run, endpoint, reply)
                reply = dataclasses.replace(reply, body=body)
            permit.outcome = decisions.Outcome.COMPLETED
            if reply.status >= _SERVER_ERROR:
                permit.outcome = decisions.Outcome.ERROR
            elif not is_complete:
                # The endpoint goes on working until the body has ended.
                permit.outcome = decisions.Outcome.STREAMED
                stack.push_async_exit(held.pop_all())
            stack.push_async_exit(attempt.pop_all())
        return reply

    async def _stream_body(
        self, run: runs.Run, endpoint: resources.Endpoint, reply: calls.Reply
    ) -> AsyncIterator[bytes]:
        """Passes a stream on, and checks that it ends behind an event.

        Raises:
            WharfError: It ended with its connection, inside an event.
        """
        if run.call.last_event is not None:
            resume_log.log_resumption(
                run, endpoint, former=None, after_event=run.call.last_event
            )
        tail = b""
        async for part in reply.body:
            if not tail and part:
                self._resumptions.begin(run, endpoint)
            tail = (tail + part)[-len(events.EVENT_END) :]
            yield part
        if tail and tail != events.EVENT_END:
            raise errors.WharfError(
                errors.ErrorKind.ANSWER_BROKEN, ran=errors.Ran.UNKNOWN
            )

    def _error_reply_at_ms(self, run: runs.Run) -> float:
        """Returns until when an answer is waited for that isn't an error."""
        return run.deadline_at_ms - _DEADLINE_RESERVE_MS

    def _slow_at_ms(self, run: runs.Run) -> float | None:
        """Returns when an attempt that begins now counts as slow.

        Returns:
            Clock reading; ``None`` to wait for the deadline.
        """
        if run.route.repeat is not routes.Repeat.AGAIN:
            return None
        if not run.has_attempts_left:
            return None
        slow_ms = run.route.target_ms * _SLOW_SHARE_OF_TARGET
        return self._clock.now_ms() + slow_ms


async def _close(unused: _OpenReply) -> None:
    await unused.exit_stack.aclose()
