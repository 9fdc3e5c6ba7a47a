"""Log lines and counters of decisions about single requests.

There is one function per decision, which defines the event's name and fields;
``docs/operating/logs.md`` lists them. Each line has the request's id, what
decided, and the age of the data that the decision was based on.

Refusals, failures, retries, late answers and changes of state are always
logged. ``request_lines`` logs or buffers the others.
"""

from __future__ import annotations

from collections.abc import Mapping

from opentelemetry import metrics
import structlog

from jujubewharf import errors
from jujubewharf.admission import tickets
from jujubewharf.engines import client
from jujubewharf.forwarding import runs
from jujubewharf.telemetry import log_numbers
from jujubewharf.telemetry import request_lines

_METER = metrics.get_meter("jujubewharf")
_ENDED = _METER.create_counter(
    "forwarding.requests", description="Ended requests, by outcome."
)
_REFUSALS = _METER.create_counter(
    "forwarding.refusals", description="Requests without answer, by reason."
)
_RETRIES = _METER.create_counter(
    "forwarding.retries", description="Further sendings, by reason."
)
_FAULTS = _METER.create_counter(
    "forwarding.faults", description="Failed calls to engines, by fault."
)
_ANSWERS = _METER.create_counter(
    "forwarding.answers",
    description="Whole answers by class, in time or late.",
)
_FIRST_RESPONSE_MS = _METER.create_histogram(
    "forwarding.first_answer",
    unit="ms",
    description="Time from arrival to an answer's start, by service.",
)
_COMPLETION_MS = _METER.create_histogram(
    "forwarding.completion",
    unit="ms",
    description="Time from arrival to an answer's end, by service.",
)
_GAP_MS = _METER.create_histogram(
    "forwarding.longest_gap",
    unit="ms",
    description="Longest time between two events of a stream, by service.",
)
_WAIT_MS = _METER.create_histogram(
    "forwarding.place_wait",
    unit="ms",
    description="Time until a decode engine had reserved a place.",
)

_logger = structlog.get_logger()

FINISHED = "finished"
CANCELLED = "cancelled"
_SUCCESSFUL = frozenset({FINISHED, CANCELLED})


def log_refusal(
    request_id: str,
    error: errors.WharfError,
    *,
    route: str,
    held_ms: float,
    configuration: int | None,
) -> None:
    """Logs a request that this system refused itself."""
    _REFUSALS.add(1, {"reason": error.kind.value})
    retry_after_ms = error.retry_after_ms
    _logger.info(
        "request_refused",
        request=request_id,
        reason=error.kind.value,
        ran=error.ran.value,
        retry_after_ms=None
        if retry_after_ms is None
        else round(retry_after_ms),
        route=route,
        held_ms=round(held_ms),
        configuration=configuration,
        detail=error.detail,
    )


def log_attempt(
    run: runs.Run, engine: str, *, stage: str, left_ms: float, age_ms: float
) -> None:
    """Logs an attempt to send a request to an engine.

    Args:
        run: The request.
        engine: Name of the engine.
        stage: Requested stage: ``prefill``, ``decode`` or ``plain``.
        left_ms: Timeout of the attempt, in milliseconds.
        age_ms: Age of the endpoint list that the choice was based on.
    """
    request_lines.log_routine(
        run,
        "request_sent",
        engine=engine,
        stage=stage,
        left_ms=round(left_ms),
        registry_age_ms=log_numbers.whole_ms(age_ms),
        configuration=run.configuration_version,
        tried=len(run.tried),
    )


def log_engine_failure(
    run: runs.Run, error: client.EngineError, *, stage: str, took_ms: float
) -> None:
    """Logs a failed call to an engine."""
    _FAULTS.add(1, {"fault": error.fault.value, "stage": stage})
    _logger.info(
        "engine_call_failed",
        request=run.call.request_id,
        engine=error.engine,
        stage=stage,
        fault=error.fault.value,
        detail=error.detail,
        took_ms=round(took_ms),
        may_have_run=run.may_have_run,
    )


def log_retry(run: runs.Run, reason: str, *, budget_left: float) -> None:
    """Logs a retry of a request."""
    _RETRIES.add(1, {"reason": reason})
    _logger.info(
        "request_retried",
        request=run.call.request_id,
        reason=reason,
        budget_left=round(budget_left, 1),
        tried=sorted(run.tried),
    )


def log_denied_retry(run: runs.Run, reason: str, *, budget_left: float) -> None:
    """Logs that a request is not retried, with the reason."""
    _RETRIES.add(1, {"reason": f"denied_{reason}"})
    _logger.info(
        "retry_denied",
        request=run.call.request_id,
        reason=reason,
        budget_left=round(budget_left, 1),
        may_have_run=run.may_have_run,
        tried=sorted(run.tried),
    )


def log_placement(
    run: runs.Run,
    engine: str,
    *,
    tokens: int,
    free_tokens: int,
    waited_ms: float,
    decided_by: str,
    preceded_by: Mapping[int, int] | None = None,
    ahead: int | None = None,
) -> None:
    """Logs that a decode engine reserved memory for a request.

    Args:
        run: The request.
        engine: Name of the engine.
        tokens: Reserved memory.
        free_tokens: Memory that had to be free in addition.
        waited_ms: Time in the wait queue.
        decided_by: Role of the instance that logs the line: ``leading``,
            ``following`` where the leader decided, or ``alone``.
        preceded_by: Requests that preceded it in the queue, by priority;
            ``None`` if the leader placed it, whose own line tells.
        ahead: Their number, if the leader told it.
    """
    _WAIT_MS.record(waited_ms, {"service": run.service})
    request_lines.log_routine(
        run,
        "request_placed",
        engine=engine,
        tokens=tokens,
        free_tokens=free_tokens,
        waited_ms=round(waited_ms),
        decided_by=decided_by,
        **({} if ahead is None else {"ahead": ahead}),
        **request_lines.order_fields(run, preceded_by),
    )


def log_failed_placement(
    run: runs.Run,
    *,
    tokens: int,
    free_tokens: int,
    engines: dict[str, list[str]],
    waiting: int,
    age_ms: float,
    rejected_by: str,
    decided_by: str,
    waited_ms: float,
    preceded_by: Mapping[int, int],
) -> None:
    """Logs that no decode engine had memory while a request waited.

    Args:
        run: The request.
        tokens: Required memory.
        free_tokens: Memory that had to be free in addition.
        engines: Names of the engines by availability.
        waiting: Number of other requests in the queue.
        age_ms: Age of the endpoint list.
        rejected_by: Rule that ended the wait.
        decided_by: Role of the instance that decided.
        waited_ms: Time in the wait queue.
        preceded_by: Requests that preceded it in the queue, by priority.
    """
    _logger.info(
        "request_not_placed",
        request=run.call.request_id,
        tokens=tokens,
        free_tokens=free_tokens,
        engines=engines,
        waiting=waiting,
        registry_age_ms=log_numbers.whole_ms(age_ms),
        rejected_by=rejected_by,
        decided_by=decided_by,
        waited_ms=round(waited_ms),
        **request_lines.order_fields(run, preceded_by),
    )


def log_local_placement(run: runs.Run, reason: str, *, leader: str) -> None:
    """Logs that this instance places a request that the leader couldn't."""
    _logger.info(
        "request_placed_alone",
        request=run.call.request_id,
        reason=reason,
        leader=leader,
    )


def log_leader_refusal(
    run: runs.Run,
    *,
    leader: str,
    waited_ms: float,
    come_back_ms: float,
    is_over_quota: bool,
) -> None:
    """Logs that the leader refused a request for lack of memory or quota."""
    _logger.info(
        "request_refused_by_leader",
        request=run.call.request_id,
        leader=leader,
        waited_ms=round(waited_ms),
        come_back_ms=round(come_back_ms),
        is_over_quota=is_over_quota,
    )


def log_exhausted_quota(
    run: runs.Run, account: str, *, wait_ms: float, counted_by: str
) -> None:
    """Logs that an account has exhausted its quota.

    Args:
        run: The request.
        account: Name of the account.
        wait_ms: Time until the quota suffices for the request.
        counted_by: Role of the instance whose count decided: ``leading``,
            ``following`` or ``alone``.
    """
    _logger.info(
        "request_over_quota",
        request=run.call.request_id,
        account=account,
        units=round(run.units),
        wait_ms=round(wait_ms),
        counted_by=counted_by,
    )


def log_response_start(run: runs.Run, *, status: int, took_ms: float) -> None:
    """Logs the start of a response from an engine."""
    _FIRST_RESPONSE_MS.record(took_ms, {"service": run.service})
    run.first_response_ms = took_ms
    request_lines.log_routine(
        run,
        "answer_begun",
        status=status,
        took_ms=round(took_ms),
    )


def log_quarantine_trial(run: runs.Run) -> None:
    """Logs that a quarantined request is sent to one more engine."""
    _logger.info("quarantine_trial", request=run.call.request_id)


def log_end(run: runs.Run, outcome: str, *, took_ms: float) -> None:
    """Logs the end of a request."""
    _ENDED.add(1, {"service": run.service, "outcome": outcome})
    _COMPLETION_MS.record(took_ms, {"service": run.service})
    if run.event_ms is not None:
        _GAP_MS.record(run.longest_gap_ms, {"service": run.service})
    if outcome not in _SUCCESSFUL:
        request_lines.flush_routine(run)
        _logger.info(
            "request_failed",
            request=run.call.request_id,
            outcome=outcome,
            route=run.route.name,
            service=run.service,
            configuration=run.configuration_version,
            took_ms=round(took_ms),
            tried=sorted(run.tried),
            may_have_run=run.may_have_run,
        )
        return
    is_late = outcome == FINISHED and _has_missed_target(run, took_ms)
    if outcome == FINISHED:
        labels = {
            "service": run.service,
            "priority": tickets.priority_label(run.priority),
            "outcome": "late" if is_late else "in_time",
        }
        _ANSWERS.add(1, labels)
    fields: dict[str, object] = {
        "outcome": outcome,
        "took_ms": round(took_ms),
        "longest_gap_ms": round(run.longest_gap_ms),
    }
    if not is_late:
        request_lines.log_routine(run, "request_ended", **fields)
        return
    request_lines.flush_routine(run)
    _logger.info(
        "request_ended",
        request=run.call.request_id,
        **fields,
        has_missed_target=True,
        target_ms=round(run.route.target_ms),
        route=run.route.name,
        service=run.service,
        **request_lines.order_fields(run, None),
    )


def _has_missed_target(run: runs.Run, took_ms: float) -> bool:
    """Returns whether an answer was late.

    The target of a stream is the time to its first event.
    """
    if run.route.is_stream and run.first_response_ms is not None:
        took_ms = run.first_response_ms
    return took_ms > run.route.target_ms
