"""Log lines and metrics of the memory that is held for callers."""

from __future__ import annotations

from opentelemetry import metrics
import structlog

_METER = metrics.get_meter("jujubewharf")
_REFUSALS = _METER.create_counter(
    "callers.memory_refusals",
    description="Requests refused because memory for them was full.",
)


def log_refusal(
    size_bytes: int, *, held_bytes: int, bound_bytes: int, is_growth: bool
) -> None:
    """Logs a request that was refused for want of memory."""
    _REFUSALS.add(1, {"reason": "grown" if is_growth else "unread"})
    structlog.get_logger().warning(
        "caller_memory_full",
        size_bytes=size_bytes,
        held_bytes=held_bytes,
        bound_bytes=bound_bytes,
        is_partly_read=is_growth,
    )


def log_eviction(held_bytes: int, *, is_slow: bool, is_for_peer: bool) -> None:
    """Logs a body that was given up, partly read, to make room for others."""
    reason = "slow" if is_slow else "peer" if is_for_peer else "grown"
    _REFUSALS.add(1, {"reason": reason})
    structlog.get_logger().warning(
        "caller_body_evicted",
        held_bytes=held_bytes,
        is_slow=is_slow,
        is_for_peer=is_for_peer,
    )


def log_bound(bound_bytes: int, *, resident_bytes: int) -> None:
    """Logs how much may be held for callers, as the instance starts."""
    structlog.get_logger().info(
        "caller_memory_bound",
        bound_bytes=bound_bytes,
        resident_bytes=resident_bytes,
    )
