"""Runs a model request: places it, runs attempts and retries failures.

Every exit from an attempt releases the resources it holds (see ``attempt``), so
that no engine memory remains allocated for a request that has ended.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
import zlib

import structlog

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.engines import client
from jujubewharf.engines import prefixes
from jujubewharf.requests import answer as answers
from jujubewharf.requests import attempt as attempts
from jujubewharf.requests import counters as request_counters
from jujubewharf.requests import model_request
from jujubewharf.requests import releases
from jujubewharf.requests import retries
from jujubewharf.routing import fleet as fleets
from jujubewharf.routing import jobs
from jujubewharf.routing import placer as placers


class TakenOverError(Exception):
    """Another instance has taken the request over.

    Args:
        owner: The other instance.
        request_id: Id of the run there.
    """

    def __init__(self, owner: str, request_id: str) -> None:
        super().__init__(f"{owner} took the request over as {request_id}")
        self.owner = owner
        self.request_id = request_id


async def _noop() -> None:
    return None


def _return_false() -> bool:
    return False


def _ignore_dispatch(attempt_id: str, engines: tuple[str, ...]) -> None:
    return None


@dataclasses.dataclass(frozen=True, slots=True)
class Hooks:
    """Callbacks from a running request to the owner of its answer.

    Attributes:
        on_dispatch: Called with the attempt id and the engine names before
            decode starts.
        confirm: Awaited before a further attempt; raises ``TakenOverError``
            when another instance has taken the request over.
        is_taken_over: Whether a cancellation means that another instance has
            taken the request over.
        may_have_run: Whether an earlier run of the key may have been
            dispatched.
    """

    on_dispatch: attempts.OnDispatch = _ignore_dispatch
    confirm: Callable[[], Awaitable[None]] = _noop
    is_taken_over: Callable[[], bool] = _return_false
    may_have_run: bool = False


class RequestRunner:
    """Runs model requests on the engines.

    Args:
        instance: Name of this instance, sent to engines as owner of attempts.
        fleet: Views of the engines.
        placer: Places requests on engines.
        clock: Source of time and timeouts.

    Attributes:
        counters: Counters of requests.
        releaser: Releases engine resources and tracks running attempts.
    """

    def __init__(
        self,
        instance: str,
        fleet: fleets.Fleet,
        placer: placers.Placer,
        clock: clocks.Clock,
    ) -> None:
        self.counters = request_counters.Counters()
        self._rng = random.Random(zlib.crc32(instance.encode()))
        self.releaser = releases.Releaser(
            fleet, clock, self.counters, self._rng
        )
        self._tools = attempts.AttemptDependencies(
            instance, fleet, placer, clock, self.releaser, self.counters
        )
        self._placer = placer
        self._clock = clock
        self._budget = retries.RetryBudget()
        self._logger = structlog.get_logger()

    @property
    def counts(self) -> request_counters.Counts:
        """Plain totals since the start of the process."""
        return self.counters.counts

    async def run(
        self,
        request: model_request.ModelRequest,
        answer: answers.Answer,
        hooks: Hooks = Hooks(),
    ) -> None:
        """Runs a request until its answer has ended.

        Raises:
            TakenOverError: Raised by ``hooks.confirm``; the answer has not
                ended.
        """
        progress = attempts.Progress(answer)
        if hooks.may_have_run:
            progress.dispatch = attempts.Dispatch.MAYBE
        self._budget.accepted(request.service)
        deadline_at_ms = request.arrived_ms + request.deadline_ms
        left_ms = deadline_at_ms - self._clock.now_ms()
        try:
            async with self._clock.timeout_ms(left_ms):
                attempt_id = await self._run_attempts(request, progress, hooks)
            self._finish(request, answer, attempt_id)
        except TimeoutError:
            kind = errors.ErrorKind.DEADLINE_EXCEEDED
            self._fail(errors.WharfError(kind), request, progress)
        except errors.WharfError as error:
            self._fail(error, request, progress)
        except TakenOverError:
            raise
        except asyncio.CancelledError:
            if hooks.is_taken_over():
                raise
            kind = errors.ErrorKind.CANCELLED
            self._fail(errors.WharfError(kind), request, progress)
            raise
        except Exception:
            self._logger.exception("request_crashed", id=request.request_id)
            kind = errors.ErrorKind.INTERNAL
            self._fail(errors.WharfError(kind), request, progress)

    async def _run_attempts(
        self,
        request: model_request.ModelRequest,
        progress: attempts.Progress,
        hooks: Hooks,
    ) -> str:
        backoff = retries.Backoff(self._rng)
        first_job = _job(request)

        def make_job() -> jobs.Job:
            return dataclasses.replace(
                first_job,
                first_index=len(progress.answer.texts),
                excluded=progress.exclusions.active_at(self._clock.now_ms()),
            )

        while True:
            progress.attempts += 1
            attempt = attempts.AttemptRun(
                self._tools, request, progress, make_job, hooks.on_dispatch
            )
            try:
                async with self._placer.place(make_job()) as choice:
                    await attempt.run(choice)
                return attempt.attempt_id
            except client.EngineError as error:
                self._on_attempt_failed(request, progress, error)
                await self._clock.sleep_ms(backoff.next_ms())
                await hooks.confirm()
            except errors.WharfError as error:
                await self._wait_for_excluded(error, progress)

    def _on_attempt_failed(
        self,
        request: model_request.ModelRequest,
        progress: attempts.Progress,
        error: client.EngineError,
    ) -> None:
        self._logger.info(
            "attempt_failed",
            request=request.request_id,
            attempt=progress.attempts,
            engine=error.engine,
            fault=error.fault.value,
        )
        self._placer.record_failure(error.engine, error.fault)
        progress.exclusions.add(error, self._clock.now_ms())
        is_dispatched = progress.dispatch is not attempts.Dispatch.NO
        if is_dispatched and not request.is_repeatable:
            raise errors.WharfError(errors.ErrorKind.OUTCOME_UNKNOWN)
        if is_dispatched and error.fault is client.EngineFault.LOST:
            progress.lost_engines.add(error.engine)
        if len(progress.lost_engines) >= retries.MAX_LOST_ENGINES:
            raise errors.WharfError(errors.ErrorKind.QUARANTINED)
        if progress.attempts >= retries.MAX_ATTEMPTS:
            raise self._engine_failed(error)
        # A refusal costs the engine nothing, so it doesn't use the retry
        # budget.
        was_refused = error.fault in retries.NO_EFFECT_FAULTS
        if not was_refused and not self._budget.take(request.service):
            raise self._engine_failed(error)
        self.counters.retried(error.fault.value)

    def _engine_failed(self, error: client.EngineError) -> errors.WharfError:
        return errors.WharfError(
            errors.ErrorKind.ENGINE_FAILED,
            error.fault.value,
            retry_after_ms=retries.DEFAULT_RETRY_AFTER_MS,
        )

    async def _wait_for_excluded(
        self, error: errors.WharfError, progress: attempts.Progress
    ) -> None:
        """Waits for exclusions to expire if no other engine fits.

        Raises:
            WharfError: Waiting does not help.
        """
        now_ms = self._clock.now_ms()
        expires_ms = progress.exclusions.next_expiry_ms(now_ms)
        is_no_engine_fitting = error.kind is errors.ErrorKind.NO_FITTING_ENGINE
        is_out_of_attempts = progress.attempts >= retries.MAX_ATTEMPTS
        if not is_no_engine_fitting or expires_ms is None or is_out_of_attempts:
            raise error
        await self._clock.sleep_until_ms(expires_ms)

    def _finish(
        self,
        request: model_request.ModelRequest,
        answer: answers.Answer,
        attempt_id: str,
    ) -> None:
        service = request.service
        arrived_ms = request.arrived_ms
        first_ms = answer.first_token_ms or self._clock.now_ms()
        met_first_answer_target = (
            first_ms - arrived_ms <= service.first_answer_target_ms
        )
        duration_ms = self._clock.now_ms() - arrived_ms
        met_completion_target = duration_ms <= service.completion_target_ms
        self.counters.finished(
            within_targets=met_first_answer_target and met_completion_target
        )
        count = len(answer.texts)
        answer.finish(model_request.Finished(count, answer.digest, attempt_id))

    def _fail(
        self,
        error: errors.WharfError,
        request: model_request.ModelRequest,
        progress: attempts.Progress,
    ) -> None:
        is_dispatched = progress.dispatch is not attempts.Dispatch.NO
        is_retryable = errors.TABLE[error.kind].retryable
        if is_dispatched and is_retryable and not request.is_repeatable:
            # A retryable error would make a client without a key send the
            # request again, and a request that is not repeatable would run
            # twice.
            error = errors.WharfError(errors.ErrorKind.OUTCOME_UNKNOWN)
        self.counters.refused(error.kind.value)
        progress.answer.finish(
            model_request.Failed(
                error.kind,
                ran_of(error, progress),
                error.detail,
                retry_after_ms=error.retry_after_ms,
            )
        )


def _job(request: model_request.ModelRequest) -> jobs.Job:
    service = request.service
    return jobs.Job(
        service=service,
        prompt_tokens=len(prefixes.tokens_of(request.prompt)),
        max_tokens=request.max_tokens,
        prefix_hashes=prefixes.prefix_hashes(request.prompt),
        arrived_ms=request.arrived_ms,
        first_answer_by_ms=(
            request.arrived_ms + service.first_answer_target_ms
        ),
        complete_by_ms=request.arrived_ms + service.completion_target_ms,
        deadline_at_ms=request.arrived_ms + request.deadline_ms,
        priority=request.priority,
    )


def ran_of(error: errors.WharfError, progress: attempts.Progress) -> errors.Ran:
    """Returns whether a failed request ran; ``NO`` only when certain.

    After a prefill an engine has worked for the request even if no decode
    started, so the result is ``UNKNOWN``.
    """
    match progress.dispatch:
        case attempts.Dispatch.NO if progress.may_have_prefilled:
            return errors.Ran.UNKNOWN
        case attempts.Dispatch.NO:
            return errors.Ran.NO
        case attempts.Dispatch.MAYBE:
            return errors.Ran.UNKNOWN
        case attempts.Dispatch.YES:
            if error.ran is errors.Ran.UNKNOWN:
                return errors.Ran.UNKNOWN
            return errors.Ran.YES
