"""Log lines and counters of paths to endpoints.

``docs/operating/logs.md`` lists the lines, ``docs/operating/metrics.md`` the
counters.
"""

from __future__ import annotations

from opentelemetry import metrics
import structlog

_METER = metrics.get_meter("jujubewharf")
_PATH_CHANGES = _METER.create_counter(
    "endpoint_paths.changes",
    description="Groups of endpoints that got out of reach or back in reach.",
)

_logger = structlog.get_logger()


def log_out_of_reach(
    group: str, *, failed: list[str], last_reached_ms: float | None
) -> None:
    """Logs that this instance reaches no endpoint of a group any more.

    Args:
        group: Service, and role for model engines.
        failed: Endpoints to which connections have failed since the last
            success.
        last_reached_ms: Time since the last success; ``None`` if there was
            none.
    """
    _PATH_CHANGES.add(1, {"group": group, "change": "out_of_reach"})
    _logger.warning(
        "endpoints_out_of_reach",
        group=group,
        failed=failed,
        last_reached_ms=_rounded(last_reached_ms),
    )


def log_in_reach(group: str, *, endpoint: str, after_ms: float) -> None:
    """Logs that this instance reaches endpoints of a group again.

    Args:
        group: Service, and role for model engines.
        endpoint: The endpoint that was reached.
        after_ms: Time since the group got out of reach.
    """
    _PATH_CHANGES.add(1, {"group": group, "change": "in_reach"})
    _logger.info(
        "endpoints_in_reach",
        group=group,
        endpoint=endpoint,
        after_ms=round(after_ms),
    )


def _rounded(time_ms: float | None) -> int | None:
    return None if time_ms is None else round(time_ms)
