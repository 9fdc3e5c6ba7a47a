"""Log lines and counters of engines that fall silent within an answer.

A silent engine may be paused, hung, gone or out of reach. The lines tell what
was known of it, and who ended an answer that its engine had not ended.
"""

from __future__ import annotations

import enum

from opentelemetry import metrics
import structlog

from jujubewharf.forwarding import runs

_METER = metrics.get_meter("jujubewharf")
_SILENCES = _METER.create_counter(
    "forwarding.silences",
    description="Engines that fell silent within an answer.",
)
_KEPT = _METER.create_counter(
    "forwarding.kept_streams",
    description="Streams that no other engine took over from a silent one.",
)
_HEARD_AGAIN_MS = _METER.create_histogram(
    "forwarding.ended_silence",
    unit="ms",
    description="Silences of engines that went on with their stream.",
)
_EARLY_ENDS = _METER.create_counter(
    "forwarding.early_ends",
    description="Answers ended by this system before their engine, by reason.",
)

_logger = structlog.get_logger()


class NotReplaced(enum.Enum):
    """Why no other engine goes on with a stream.

    Attributes:
        NO_ATTEMPT: The route allows no further attempt.
        NO_BUDGET: The retry budget is exhausted.
        NO_ENGINE: No engine of the stream's version took it over.
    """

    NO_ATTEMPT = "no_attempt"
    NO_BUDGET = "no_budget"
    NO_ENGINE = "no_engine"


def log_silence(
    run: runs.Run,
    engine: str,
    *,
    silent_ms: float,
    has_begun: bool,
    budget_left: float,
) -> None:
    """Logs that an engine has sent nothing for some time.

    Args:
        run: The request.
        engine: Name of the engine.
        silent_ms: Time since it was last heard.
        has_begun: Whether any of its answer has arrived.
        budget_left: Retries that are left.
    """
    _SILENCES.add(1, {"service": run.service})
    _logger.info(
        "engine_silent",
        request=run.call.request_id,
        engine=engine,
        silent_ms=round(silent_ms),
        has_begun=has_begun,
        attempts_left=run.route.max_attempts - len(run.tried),
        budget_left=round(budget_left, 1),
    )


def log_kept(run: runs.Run, engines: list[str], reason: NotReplaced) -> None:
    """Logs that silent engines keep a stream that no other engine takes over.

    Args:
        run: The request.
        engines: Names of the silent engines.
        reason: Why nothing replaces them.
    """
    _KEPT.add(1, {"reason": reason.value})
    _logger.info(
        "stream_kept",
        request=run.call.request_id,
        engines=engines,
        reason=reason.value,
        attempts_left=run.route.max_attempts - len(run.tried),
    )


def log_heard_again(run: runs.Run, engine: str, *, silent_ms: float) -> None:
    """Logs that a silent engine goes on with its stream.

    Args:
        run: The request.
        engine: Name of the engine.
        silent_ms: Time for which it was silent.
    """
    _HEARD_AGAIN_MS.record(silent_ms, {"service": run.service})
    _logger.info(
        "engine_heard_again",
        request=run.call.request_id,
        engine=engine,
        silent_ms=round(silent_ms),
    )


def log_early_end(
    run: runs.Run,
    engine: str,
    reason: NotReplaced,
    *,
    detail: str,
    last_event: int | None,
    budget_left: float,
) -> None:
    """Logs that this system ends an answer that its engine has not ended.

    Args:
        run: The request.
        engine: Name of the engine that had the answer.
        reason: Why nothing replaced it.
        detail: What was known of the engine.
        last_event: Number of the last event that the caller has.
        budget_left: Retries that are left.
    """
    _EARLY_ENDS.add(1, {"reason": reason.value, "detail": detail})
    _logger.info(
        "answer_ended_early",
        request=run.call.request_id,
        engine=engine,
        reason=reason.value,
        detail=detail,
        last_event=last_event,
        attempts_left=run.route.max_attempts - len(run.tried),
        budget_left=round(budget_left, 1),
    )
