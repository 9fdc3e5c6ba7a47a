"""Log lines and counters of instance state that concern no single request.

They cover configurations, endpoint notices, cost estimates and role orders,
and are always logged. Lines about requests are in ``decisions``;
``docs/operating/logs.md`` lists both.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from opentelemetry import metrics
import structlog

from jujubewharf.admission import tickets
from jujubewharf.admission import wait_queue
from jujubewharf.forwarding import costs
from jujubewharf.forwarding import routes
from jujubewharf.plain_calls import decisions as plain_decisions
from jujubewharf.platform import epochs
from jujubewharf.telemetry import log_numbers

_METER = metrics.get_meter("jujubewharf")
_ROLE_ORDERS = _METER.create_counter(
    "forwarding.orders", description="Orders to engines, by outcome."
)
_NOTICES = _METER.create_counter(
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
_QUARANTINES = _METER.create_counter(
    "forwarding.quarantines",
    description="Requests and parts of prompts that were quarantined.",
)
_ADMISSIONS = _METER.create_counter(
    "forwarding.admissions",
    description="Model requests that waited for memory, by class and outcome.",
)

_PLAIN_DECISIONS = _METER.create_counter(
    "plain_calls.decisions",
    description="Plain calls that were decided here, by class and outcome.",
)

_MAX_LOGGED_ACCOUNTS = 10
_MAX_LOGGED_ORDERS = 20
_MAX_LOGGED_SERVICES = 20
_MAX_LOGGED_PARTS = 8

_logger = structlog.get_logger()


def log_active_configuration(
    configuration: routes.RoutingConfiguration, *, offset: int, told_by: str
) -> None:
    """Logs that a configuration version was activated.

    Args:
        configuration: The configuration.
        offset: Position of its record in the store.
        told_by: Source: ``store``, ``leader`` or ``follower``.
    """
    _logger.info(
        "configuration_in_force",
        version=configuration.version,
        **_position(offset),
        told_by=told_by,
        routes=len(configuration.routes),
        services=len(configuration.services),
        accounts=len(configuration.accounts or ()),
    )


def log_sent_configuration(
    version: int, *, offset: int, end: int, followers: int
) -> None:
    """Logs that the leader sent a configuration to some of its followers."""
    _logger.info(
        "configuration_sent",
        version=version,
        **_position(offset),
        end=epochs.split(end).offset,
        followers=followers,
    )


def log_received_configuration(
    version: int | None, *, offset: int, end: int, leader: str
) -> None:
    """Logs a leader's configuration; ``None`` if it must be read instead."""
    _logger.info(
        "configuration_received",
        version=version,
        **_position(offset),
        end=epochs.split(end).offset,
        leader=leader,
    )


def log_role_order(
    engine: str,
    *,
    role: str,
    fence: int,
    outcome: str,
    prefill_ms: float | None,
    decode_ms: float | None,
    registry_age_ms: float,
) -> None:
    """Logs an order to an engine to change its role."""
    _ROLE_ORDERS.add(1, {"outcome": outcome})
    _logger.info(
        "role_ordered",
        engine=engine,
        role=role,
        fence=fence,
        outcome=outcome,
        prefill_ms=_rounded(prefill_ms),
        decode_ms=_rounded(decode_ms),
        registry_age_ms=log_numbers.whole_ms(registry_age_ms),
    )


def log_role_orders_taken_over(
    service: str, roles: Mapping[str, str], *, source: str
) -> None:
    """Logs role orders of a predecessor that this leader counts as pending.

    Args:
        service: Service of the engines.
        roles: Ordered role of each engine; nothing is logged without any.
        source: ``ledger`` if the predecessor reported them, ``engines`` if
            the engines were found changing.
    """
    if not roles:
        return
    names = sorted(roles)
    _logger.info(
        "role_orders_taken_over",
        service=service,
        source=source,
        count=len(names),
        orders=[f"{name}={roles[name]}" for name in names[:_MAX_LOGGED_ORDERS]],
    )


def log_known_costs(fleet: costs.FleetCosts, *, reports: int) -> None:
    """Logs that the leader's cost estimates are sufficient for orders."""
    _logger.info(
        "costs_known",
        prefill_ms=_rounded(fleet.prefill_ms),
        decode_ms=_rounded(fleet.decode_ms),
        reports=reports,
    )


def log_missing_engine(
    engine: str, *, is_reachable: bool, registry_age_ms: float
) -> None:
    """Logs an entry that disappeared without an announced drain.

    An engine that still answers is shutting down.
    """
    _logger.info(
        "engine_vanished",
        engine=engine,
        answers=is_reachable,
        registry_age_ms=log_numbers.whole_ms(registry_age_ms),
    )


def log_endpoint_notice(
    endpoint: str,
    *,
    rate_limit_per_s: float | None,
    is_leaving: bool,
    backoff_ms: float,
    told_by: str,
) -> None:
    """Logs a change of the limits that an endpoint announced.

    Args:
        endpoint: Name of the endpoint.
        rate_limit_per_s: Requests per second that it accepts from all
            instances; ``None`` for no limit.
        is_leaving: Whether it drains and accepts no new requests.
        backoff_ms: Backoff that it asked of this instance, in milliseconds.
        told_by: Source: ``answer`` for a response of the endpoint, ``peer``
            for another instance, ``entry`` for its entry in the store before a
            restore.
    """
    kind = "no_limit" if rate_limit_per_s is None else "rate_limit"
    if is_leaving:
        kind = "leaving"
    elif backoff_ms > 0.0:
        kind = "backoff"
    _NOTICES.add(1, {"kind": kind, "told_by": told_by})
    _logger.info(
        "endpoint_said",
        endpoint=endpoint,
        rate_limit_per_s=rate_limit_per_s,
        is_leaving=is_leaving,
        backoff_ms=round(backoff_ms),
        told_by=told_by,
    )


def log_engine_crash(
    request: str,
    engine: str,
    *,
    stage: str,
    crashes: int,
    label: str,
    parts: Sequence[str],
    written_ms: float | None,
) -> None:
    """Logs an engine that crashed while it processed a request.

    Args:
        request: Id of the attempt during which it crashed.
        engine: Name of the engine.
        stage: Requested stage: ``prefill`` or ``run``.
        crashes: Number of engines that crashed in all attempts of the
            request.
        label: Id of one of these attempts, which identifies the request.
        parts: Names of the parts of its prompt that others may share.
        written_ms: Time since the engine's answer began; ``None`` if it had not
            begun.
    """
    _CRASHES.add(1, {"stage": stage})
    _logger.info(
        "engine_crashed",
        request=request,
        engine=engine,
        stage=stage,
        crashes=crashes,
        label=label,
        parts=parts[:_MAX_LOGGED_PARTS],
        written_ms=None if written_ms is None else round(written_ms),
    )


def log_quarantine(
    label: str, *, is_part: bool, engines: Sequence[str]
) -> None:
    """Logs that a request, or a part of prompts, is sent to no engine now.

    Args:
        label: Id of one of its attempts.
        is_part: Whether it is a part of prompts.
        engines: Engines that crashed.
    """
    subject = "part" if is_part else "request"
    _QUARANTINES.add(1, {"subject": subject})
    _logger.info(
        "quarantine_began", subject=subject, label=label, engines=engines
    )


def count_permit_request(*, is_granted: bool, counted_by: str) -> None:
    """Counts a permit requested for an endpoint with a rate limit."""
    outcome = "granted" if is_granted else "denied"
    _PERMITS.add(1, {"outcome": outcome, "counted_by": counted_by})


def log_unknown_accounts(accounts: Collection[str]) -> None:
    """Logs the accounts with a weight that the configuration doesn't have."""
    _logger.info(
        "weights_of_unknown_accounts",
        count=len(accounts),
        accounts=sorted(accounts)[:_MAX_LOGGED_ACCOUNTS],
    )


def log_settings(
    *,
    weights: Mapping[str, float],
    starving_share: float,
    is_enabled: bool,
    plain_queue: bool,
    parts: Mapping[str, Mapping[str, str]],
) -> None:
    """Logs the settings in force that concern overload.

    Args:
        weights: Weights of accounts by name.
        starving_share: See ``settings.AdmissionSettings``.
        is_enabled: Whether classes and accounts are told apart.
        plain_queue: Whether plain calls may wait in the router.
        parts: State of each part, with its reason, by service.
    """
    largest = sorted(weights.items(), key=lambda item: (-item[1], item[0]))
    _logger.info(
        "settings_in_force",
        account_weights=dict(largest[:_MAX_LOGGED_ACCOUNTS]),
        weight_count=len(weights),
        starving_share=starving_share,
        is_enabled=is_enabled,
        plain_queue=plain_queue,
        parts=dict(list(parts.items())[:_MAX_LOGGED_SERVICES]),
        service_count=len(parts),
    )


def log_part(part: str, service: str, *, is_active: bool, reason: str) -> None:
    """Logs a part that has become active or inactive for a service."""
    if is_active:
        _logger.info(
            "part_became_active", part=part, service=service, reason=reason
        )
    else:
        _logger.info(
            "part_became_inactive", part=part, service=service, reason=reason
        )


def count_served_wait(waiter: wait_queue.Waiter) -> None:
    """Counts a model request for which memory was reserved."""
    outcome = "late" if waiter.ticket.is_late else "in_time"
    _count_admission(waiter, outcome)
    if waiter.has_waited:
        _count_admission(waiter, "waited")


def count_rejected_wait(waiter: wait_queue.Waiter) -> None:
    """Counts a model request for which no memory was reserved."""
    _count_admission(waiter, f"rejected_{waiter.rejected_by.value}")


def _count_admission(waiter: wait_queue.Waiter, outcome: str) -> None:
    labels = {
        "priority": tickets.priority_label(waiter.ticket.priority),
        "accounts": waiter.account_group.value,
        "outcome": outcome,
    }
    _ADMISSIONS.add(1, labels)


def count_plain_decision(
    priority: int, decision: plain_decisions.Decision
) -> None:
    """Counts a plain call that this instance granted or rejected."""
    match decision:
        case plain_decisions.Granted():
            outcome = "granted"
        case plain_decisions.Rejected(reason=reason):
            outcome = reason.value
    labels = {
        "priority": tickets.priority_label(priority),
        "accounts": decision.account_group.value,
        "outcome": outcome,
    }
    _PLAIN_DECISIONS.add(1, labels)


def _position(offset: int) -> dict[str, int]:
    return dataclasses.asdict(epochs.split(offset))


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 1)
