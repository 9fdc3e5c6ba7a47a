"""Log lines and counters of what an instance believes beside its requests.

The configuration in force, what endpoints want, what requests cost, and the
orders that rest on it. Such lines are always written; lines of requests are in
``decisions``, and ``docs/operating/logs.md`` lists both.
"""

from __future__ import annotations

from opentelemetry import metrics
import structlog

from jujubewharf.forwarding import costs
from jujubewharf.forwarding import routes

_METER = metrics.get_meter("jujubewharf")
_ORDERS = _METER.create_counter(
    "forwarding.orders", description="Orders to engines, by outcome."
)
_SAID = _METER.create_counter(
    "forwarding.endpoint_notices",
    description="Changes of what endpoints want, by kind and who told.",
)
_PERMITS = _METER.create_counter(
    "forwarding.permits",
    description="Requests to limited endpoints, by outcome and who counts.",
)
_CRASHES = _METER.create_counter(
    "forwarding.engine_crashes",
    description="Requests under which an engine crashed, by stage.",
)

_logger = structlog.get_logger()


def configuration_in_force(
    configuration: routes.RoutingConfiguration, *, offset: int
) -> None:
    """Requests are handled by this version from now on."""
    _logger.info(
        "configuration_in_force",
        version=configuration.version,
        offset=offset,
        routes=len(configuration.routes),
        services=len(configuration.services),
        accounts=len(configuration.accounts or ()),
    )


def ordered(
    engine: str,
    *,
    role: str,
    fence: int,
    outcome: str,
    prefill_ms: float | None,
    decode_ms: float | None,
    registry_age_ms: float,
) -> None:
    """An engine was ordered to change its role."""
    _ORDERS.add(1, {"outcome": outcome})
    _logger.info(
        "role_ordered",
        engine=engine,
        role=role,
        fence=fence,
        outcome=outcome,
        prefill_ms=_rounded(prefill_ms),
        decode_ms=_rounded(decode_ms),
        registry_age_ms=round(registry_age_ms),
    )


def costs_known(fleet: costs.FleetCosts, *, reports: int) -> None:
    """The leader has heard enough of costs to give orders."""
    _logger.info(
        "costs_known",
        prefill_ms=_rounded(fleet.prefill_ms),
        decode_ms=_rounded(fleet.decode_ms),
        reports=reports,
    )


def vanished(engine: str, *, answers: bool, registry_age_ms: float) -> None:
    """An engine's entry went without a word; one that answers is leaving."""
    _logger.info(
        "engine_vanished",
        engine=engine,
        answers=answers,
        registry_age_ms=round(registry_age_ms),
    )


def endpoint_said(
    endpoint: str,
    *,
    rate_limit_per_s: float | None,
    is_leaving: bool,
    backoff_ms: float,
    told_by: str,
) -> None:
    """It became known what an endpoint wants.

    Args:
        endpoint: The endpoint.
        rate_limit_per_s: What it takes from all instances; ``None`` for any.
        is_leaving: Whether it takes no new work any more.
        backoff_ms: How long it wants nothing of this instance.
        told_by: ``answer`` for its own answer, ``peer`` for another instance.
    """
    kind = "no_limit" if rate_limit_per_s is None else "rate_limit"
    if is_leaving:
        kind = "leaving"
    elif backoff_ms > 0.0:
        kind = "backoff"
    _SAID.add(1, {"kind": kind, "told_by": told_by})
    _logger.info(
        "endpoint_said",
        endpoint=endpoint,
        rate_limit_per_s=rate_limit_per_s,
        is_leaving=is_leaving,
        backoff_ms=round(backoff_ms),
        told_by=told_by,
    )


def engine_crashed(
    request: str, engine: str, *, stage: str, crashes: int, label: str
) -> None:
    """An engine crashed while it worked on a request.

    Args:
        request: Id of the try under which it crashed.
        engine: The engine.
        stage: What it was asked for: ``prefill`` or ``run``.
        crashes: Engines that crashed under all tries of the request.
        label: Id of one of these tries, by which they are found together.
    """
    _CRASHES.add(1, {"stage": stage})
    _logger.info(
        "engine_crashed",
        request=request,
        engine=engine,
        stage=stage,
        crashes=crashes,
        label=label,
    )


def permit_asked(*, is_granted: bool, counted_by: str) -> None:
    """An endpoint with a rate limit was to be sent a request."""
    outcome = "granted" if is_granted else "denied"
    _PERMITS.add(1, {"outcome": outcome, "counted_by": counted_by})


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 1)
