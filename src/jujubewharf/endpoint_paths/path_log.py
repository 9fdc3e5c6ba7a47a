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

_RELAYED = _METER.create_counter(
    "endpoint_paths.relayed",
    description="Calls to endpoints made by a peer, by side and outcome.",
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


def log_reached_by_peer(endpoint: str, *, peer: str) -> None:
    """Logs that a peer reached an endpoint that this instance doesn't."""
    _logger.warning("endpoint_reached_by_peer", endpoint=endpoint, peer=peer)


def log_relayed_call(
    endpoint: str, *, peer: str, request_id: str | None, asked: int
) -> None:
    """Logs that a peer makes a call for this instance.

    Args:
        endpoint: The endpoint.
        peer: The instance that makes the call.
        request_id: The caller's request; ``None`` for calls about state.
        asked: Number of peers that were asked.
    """
    _RELAYED.add(1, {"side": "caller", "outcome": "made"})
    if request_id is not None:
        _logger.info(
            "call_made_by_peer",
            request=request_id,
            endpoint=endpoint,
            peer=peer,
            asked=asked,
        )


def log_no_peer(endpoint: str, *, asked: int) -> None:
    """Logs that no peer makes a call for this instance.

    Args:
        endpoint: The endpoint.
        asked: Number of peers that were asked.
    """
    _RELAYED.add(1, {"side": "caller", "outcome": "no_peer"})
    _logger.info("no_peer_for_call", endpoint=endpoint, asked=asked)


def log_call_for_peer(
    endpoint: str, *, peer: str, request_id: str | None, refused: str | None
) -> None:
    """Logs that this instance made a call for a peer, or refused it.

    Args:
        endpoint: The endpoint.
        peer: The instance that asked.
        request_id: The caller's request; ``None`` for calls about state.
        refused: Reason of the refusal; ``None`` if the call was made.
    """
    outcome = "made" if refused is None else refused
    _RELAYED.add(1, {"side": "peer", "outcome": outcome})
    if request_id is not None:
        _logger.info(
            "call_for_peer",
            request=request_id,
            endpoint=endpoint,
            peer=peer,
            refused=refused,
        )


def _rounded(time_ms: float | None) -> int | None:
    return None if time_ms is None else round(time_ms)
