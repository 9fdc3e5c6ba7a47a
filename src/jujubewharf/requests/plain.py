"""Runs calls of plain services: endpoint choice, retries and errors.

A call that is not repeatable is sent at most once. A retry requires that
nothing was sent, or that the call is repeatable and its body is still buffered.
There is no retry once the reply has begun.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses
from typing import Protocol

from opentelemetry import metrics
import structlog

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf import hashing
from jujubewharf.configuration import resources
from jujubewharf.engines import client
from jujubewharf.engines import endpoint_client
from jujubewharf.requests import plain_body
from jujubewharf.requests import plain_endpoints
from jujubewharf.requests import retries
from jujubewharf.telemetry import goodput

ATTEMPT_HEADER = "X-Attempt"
_MAX_ATTEMPTS = 3
_RETRY_AFTER_MS = 1_000.0
_NOT_RUN_FAULTS = frozenset(
    {client.EngineFault.UNREACHABLE, client.EngineFault.REFUSED_IDENTITY}
)

_retries = metrics.get_meter("jujubewharf").create_counter(
    "plain.retries",
    description="Plain calls sent again, by reason.",
)


@dataclasses.dataclass(frozen=True, slots=True)
class PlainRequest:
    """A validated plain call.

    Attributes:
        request_id: Id minted by the instance that accepted the call.
        service: Requested service.
        method: HTTP method.
        path_query: Path and query relative to the service's prefix.
        arrived_ms: Clock reading at arrival, in ms.
        deadline_ms: Time limit in ms, counted from arrival.
        headers: End-to-end headers.
        body: Body stream; ``None`` without a body.
        account: Name of the client account.
        key: Idempotency key of the caller; ``None`` without one.
        priority: Higher priorities leave the queue first.
        is_repeatable: Whether the call may be sent more than once.
    """

    request_id: str
    service: resources.Service
    method: str
    path_query: str
    arrived_ms: float
    deadline_ms: float
    headers: tuple[tuple[str, str], ...] = ()
    body: AsyncIterator[bytes] | None = None
    account: str = ""
    key: str | None = None
    priority: int = 0
    is_repeatable: bool = False

    @property
    def deadline_at_ms(self) -> float:
        """Clock reading of the deadline, in ms."""
        return self.arrived_ms + self.deadline_ms


class Claims(Protocol):
    """Decides across the fleet which call with a key may be sent."""

    async def claim(
        self,
        key: str,
        request_id: str,
        body_digest: str,
        *,
        account: str = "",
    ) -> None:
        """Claims the key for one call.

        Raises:
            WharfError: The call must not be sent.
        """
        ...

    def abandon(self, request_id: str) -> None:
        """Records that the call was not and will not be sent."""
        ...


@dataclasses.dataclass(slots=True)
class _Progress:
    """State of a call over all its attempts."""

    attempts: int = 0
    is_claimed: bool = False
    may_have_run: bool = False
    excluded: frozenset[str] = frozenset()


class PlainRunner:
    """Runs plain calls.

    Args:
        endpoints: Client for endpoints.
        chooser: Chooses an endpoint for each attempt.
        clock: Source of time and timeouts.
        claims: See the attribute.

    Attributes:
        claims: Claims for calls with a key that are not repeatable; ``None``
            for an instance that runs alone and checks no keys.
    """

    def __init__(
        self,
        endpoints: endpoint_client.EndpointClient,
        chooser: plain_endpoints.EndpointChooser,
        clock: clocks.Clock,
        *,
        claims: Claims | None = None,
    ) -> None:
        self._endpoints = endpoints
        self._chooser = chooser
        self._clock = clock
        self.claims = claims
        self._budget = retries.RetryBudget()
        self._logger = structlog.get_logger()

    @contextlib.asynccontextmanager
    async def run(
        self, request: PlainRequest
    ) -> AsyncIterator[endpoint_client.PlainReply]:
        """Calls an endpoint; the reply's body is read inside the block.

        Raises:
            WharfError: The call failed before the reply or during its body.
        """
        progress = _Progress()
        stopwatch = goodput.Stopwatch(
            request.service, request.arrived_ms, self._clock
        )
        left_ms = request.deadline_at_ms - self._clock.now_ms()
        try:
            async with self._clock.timeout_ms(left_ms):
                async with contextlib.AsyncExitStack() as stack:
                    reply = await self._start(stack, request, progress)
                    stopwatch.record_first_output()
                    yield reply
        except errors.WharfError as error:
            stopwatch.record_outcome(error.kind.value)
            raise
        except client.EngineError as error:
            failure = _failure_error(request, error, progress)
            stopwatch.record_outcome(failure.kind.value)
            raise failure from error
        except TimeoutError as error:
            failure = _deadline_error(request, progress)
            stopwatch.record_outcome(failure.kind.value)
            raise failure from error
        except BaseException:
            # The caller disconnected.
            stopwatch.record_outcome(errors.ErrorKind.CANCELLED.value)
            raise
        finally:
            if progress.is_claimed and not progress.may_have_run:
                # The caller is told that the call did not run, so its key must
                # be usable again.
                assert self.claims is not None
                self.claims.abandon(request.request_id)
        stopwatch.record_completion()

    async def _start(
        self,
        stack: contextlib.AsyncExitStack,
        request: PlainRequest,
        progress: _Progress,
    ) -> endpoint_client.PlainReply:
        body = plain_body.ReplayableBody(request.body)
        self._budget.accepted(request.service)
        await self._claim(request, progress, body)
        try:
            return await self._run_attempts(stack, request, progress, body)
        finally:
            if self.claims is not None and not progress.may_have_run:
                self.claims.abandon(request.request_id)

    async def _run_attempts(
        self,
        stack: contextlib.AsyncExitStack,
        request: PlainRequest,
        progress: _Progress,
        body: plain_body.ReplayableBody,
    ) -> endpoint_client.PlainReply:
        while True:
            try:
                return await self._attempt(stack, request, progress, body)
            except client.EngineError as error:
                self._on_attempt_failed(request, progress, body, error)

    async def _claim(
        self,
        request: PlainRequest,
        progress: _Progress,
        body: plain_body.ReplayableBody,
    ) -> None:
        if request.is_repeatable or request.key is None:
            return
        if self.claims is None:
            return
        start = await body.peek()
        heading = f"{request.method} {request.path_query}\n".encode()
        await self.claims.claim(
            request.key,
            request.request_id,
            hashing.digest(heading + start),
            account=request.account,
        )

    async def _attempt(
        self,
        stack: contextlib.AsyncExitStack,
        request: PlainRequest,
        progress: _Progress,
        body: plain_body.ReplayableBody,
    ) -> endpoint_client.PlainReply:
        endpoint = self._chooser.choose(
            request.service.name, excluded=progress.excluded
        )
        if endpoint is None:
            raise errors.WharfError(
                errors.ErrorKind.NO_FITTING_ENGINE,
                retry_after_ms=_RETRY_AFTER_MS,
                ran=_ran(progress),
            )
        progress.attempts += 1
        attempt_id = f"{request.request_id}.{progress.attempts}"
        call = endpoint_client.PlainCall(
            request_id=request.request_id,
            method=request.method,
            path_query=request.path_query,
            headers=(*request.headers, (ATTEMPT_HEADER, attempt_id)),
            body=body.read(),
        )
        async with contextlib.AsyncExitStack() as attempt:
            attempt.enter_context(self._chooser.track_call(endpoint))
            was_sent = progress.may_have_run
            progress.may_have_run = True
            try:
                reply = await attempt.enter_async_context(
                    self._endpoints.call(endpoint, call)
                )
            except client.EngineError as error:
                if error.fault in _NOT_RUN_FAULTS:
                    progress.may_have_run = was_sent
                raise
            stack.push_async_exit(attempt.pop_all())
        return reply

    def _on_attempt_failed(
        self,
        request: PlainRequest,
        progress: _Progress,
        body: plain_body.ReplayableBody,
        error: client.EngineError,
    ) -> None:
        if body.failure is not None:
            kind = body.failure.kind
            raise errors.WharfError(kind, ran=_ran(progress)) from error
        self._logger.info(
            "plain_attempt_failed",
            request=request.request_id,
            attempt=progress.attempts,
            endpoint=error.engine,
            fault=error.fault.value,
        )
        self._chooser.failed(error.engine)
        progress.excluded |= {error.engine}
        service = request.service.name
        may_repeat = request.is_repeatable or not progress.may_have_run
        if (
            not may_repeat
            or not body.is_replayable
            or progress.attempts >= _MAX_ATTEMPTS
            or not self._chooser.has_any(service, excluded=progress.excluded)
            or not self._budget.take(request.service)
        ):
            raise _failure_error(request, error, progress)
        _retries.add(1, {"reason": error.fault.value})


def _ran(progress: _Progress) -> errors.Ran:
    return errors.Ran.UNKNOWN if progress.may_have_run else errors.Ran.NO


def _failure_error(
    request: PlainRequest, error: client.EngineError, progress: _Progress
) -> errors.WharfError:
    if not progress.may_have_run:
        kind = errors.ErrorKind.NO_FITTING_ENGINE
        return errors.WharfError(kind, retry_after_ms=_RETRY_AFTER_MS)
    if not request.is_repeatable:
        return errors.WharfError(errors.ErrorKind.OUTCOME_UNKNOWN)
    return errors.WharfError(
        errors.ErrorKind.ENDPOINT_FAILED, retry_after_ms=_RETRY_AFTER_MS
    )


def _deadline_error(
    request: PlainRequest, progress: _Progress
) -> errors.WharfError:
    if progress.may_have_run and not request.is_repeatable:
        return errors.WharfError(errors.ErrorKind.OUTCOME_UNKNOWN)
    kind = errors.ErrorKind.DEADLINE_EXCEEDED
    return errors.WharfError(kind, ran=_ran(progress))
