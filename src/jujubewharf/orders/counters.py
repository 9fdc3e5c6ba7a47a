"""Counters of orders sent, failed and deferred."""

from __future__ import annotations

from opentelemetry import metrics

from jujubewharf.engines import client
from jujubewharf.orders import disruption_limits

_METER = metrics.get_meter("jujubewharf")
_GIVEN = _METER.create_counter(
    "orders.given", description="Orders that engines took."
)
_FAILED = _METER.create_counter(
    "orders.failed", description="Orders that failed, by fault."
)
_DEFERRED = _METER.create_counter(
    "orders.put_off", description="Turns put off, by reason."
)


def order_given(kind: client.OrderKind) -> None:
    """Counts an order that an engine accepted."""
    _GIVEN.add(1, {"kind": kind.value})


def order_failed(kind: client.OrderKind, fault: client.EngineFault) -> None:
    """Counts an order that failed."""
    _FAILED.add(1, {"kind": kind.value, "reason": fault.value})


def count_deferral(reason: disruption_limits.DeferralReason) -> None:
    """Counts a deferred reconciliation of an engine."""
    _DEFERRED.add(1, {"reason": reason.value})
