"""Log lines and counters of permits of plain calls.

See ``request_log`` for what is logged at once.
"""

from __future__ import annotations

from opentelemetry import metrics
import structlog

from jujubewharf.forwarding import runs
from jujubewharf.telemetry import request_lines

_METER = metrics.get_meter("jujubewharf")
_PERMITS = _METER.create_counter(
    "forwarding.plain_permits",
    description="Permits of plain calls, by outcome and who decided.",
)
_PERMIT_WAIT_MS = _METER.create_histogram(
    "forwarding.permit_wait",
    unit="ms",
    description="Time until a plain call was granted a permit.",
)

_logger = structlog.get_logger()


def log_permit(
    run: runs.Run,
    endpoint: str,
    *,
    decided_by: str,
    waited_ms: float,
    ahead: int,
    load_age_ms: float | None,
) -> None:
    """Logs that a plain call may be sent to an endpoint.

    Args:
        run: The request.
        endpoint: Name of the endpoint.
        decided_by: Role of the instance that has the call: ``leading``,
            ``following`` where the leader decided, or ``alone``.
        waited_ms: Time that it waited.
        ahead: Calls that waited before it.
        load_age_ms: Age of the endpoint's load report; ``None`` if unknown.
    """
    _PERMITS.add(1, {"outcome": "granted", "decided_by": decided_by})
    _PERMIT_WAIT_MS.record(waited_ms, {"service": run.service})
    request_lines.log_routine(
        run,
        "plain_call_granted",
        endpoint=endpoint,
        decided_by=decided_by,
        waited_ms=round(waited_ms),
        ahead=ahead,
        load_age_ms=None if load_age_ms is None else round(load_age_ms),
        **request_lines.order_fields(run, None),
    )


def log_rejection(
    run: runs.Run,
    reason: str,
    *,
    decided_by: str,
    waited_ms: float,
    ahead: int,
    load_age_ms: float | None,
    retry_after_ms: float,
) -> None:
    """Logs that a plain call can't be served before its deadline.

    Args:
        run: The request.
        reason: Rule by which it was rejected.
        decided_by: See ``log_permit``.
        waited_ms: Time that it waited.
        ahead: Calls that waited before it.
        load_age_ms: Age of the oldest load report of the service's endpoints
            at the instance that decided; ``None`` if one is unknown.
        retry_after_ms: Time after which the caller may come back.
    """
    _PERMITS.add(1, {"outcome": reason, "decided_by": decided_by})
    _logger.info(
        "plain_call_rejected",
        request=run.call.request_id,
        reason=reason,
        decided_by=decided_by,
        waited_ms=round(waited_ms),
        ahead=ahead,
        load_age_ms=None if load_age_ms is None else round(load_age_ms),
        retry_after_ms=round(retry_after_ms),
        route=run.route.name,
        target_ms=round(run.route.target_ms),
        **request_lines.order_fields(run, None),
    )
