"""Routine log lines of single requests.

Handles several lines per request. They are logged at once for a sample of the
requests, which is the same at every instance. Those of other requests are
buffered and logged only if the request fails or misses its target, with the
time at which they occurred.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import zlib

import structlog

from jujubewharf import clock as clocks
from jujubewharf.forwarding import runs

_logger = structlog.get_logger()

# Routine lines are logged at once for one request in this many.
SAMPLE_ONE_IN = 16
# Routine lines buffered per request; later ones are dropped.
_MAX_BUFFERED_LINES = 32


def is_sampled(request_id: str) -> bool:
    """Returns whether a request's routine lines are logged at once."""
    return zlib.crc32(request_id.encode()) % SAMPLE_ONE_IN == 0


def log_routine(run: runs.Run, event: str, **fields: object) -> None:
    """Logs a routine line at once, or buffers it."""
    request_id = run.call.request_id
    if is_sampled(request_id):
        _logger.info(event, request=request_id, **fields)
    elif len(run.deferred_log_lines) < _MAX_BUFFERED_LINES:
        at_ms = asyncio.get_running_loop().time() * clocks.MS_PER_S
        since_ms = round(at_ms - run.call.arrived_ms)
        run.deferred_log_lines.append(
            {"event": event, "since_ms": since_ms, **fields}
        )


def flush_routine(run: runs.Run) -> None:
    """Logs the buffered lines of a request that failed or was late."""
    for line in run.deferred_log_lines:
        _logger.info(request=run.call.request_id, is_late=True, **line)
    run.deferred_log_lines.clear()


def order_fields(
    run: runs.Run, preceded_by: Mapping[int, int] | None
) -> dict[str, object]:
    """Returns the fields that tell the place of a request in its queue."""
    fields: dict[str, object] = {
        "priority": run.priority,
        "account": run.call.account,
    }
    if preceded_by is not None:
        counts = sorted(preceded_by.items())
        fields["preceded_by"] = {str(p): count for p, count in counts}
    return fields
