"""Log lines and counters of streams that resume at another engine.

``docs/operating/logs.md`` lists the lines.
"""

from __future__ import annotations

import enum

from opentelemetry import metrics
import structlog

from jujubewharf.configuration import resources
from jujubewharf.forwarding import registration
from jujubewharf.forwarding import runs

_METER = metrics.get_meter("jujubewharf")
_RESUMPTIONS = _METER.create_counter(
    "forwarding.resumptions",
    description="Streams that resumed at another engine, by who resumed them.",
)

_logger = structlog.get_logger()


class ResumedBy(enum.Enum):
    """Who resumes a stream: this instance, or its caller with a new request."""

    ROUTER = "router"
    CALLER = "caller"


def log_resumption(
    run: runs.Run,
    engine: resources.Endpoint,
    *,
    former: resources.Endpoint | None,
    after_event: int,
) -> None:
    """Logs that a stream was resumed at another engine.

    Args:
        run: The request.
        engine: Engine at which it resumes.
        former: Engine that broke off; ``None`` if the caller resumes.
        after_event: Number of the last event that the caller has.
    """
    resumed_by = ResumedBy.CALLER if former is None else ResumedBy.ROUTER
    _RESUMPTIONS.add(1, {"resumed_by": resumed_by.value})
    fields: dict[str, object] = {}
    if former is not None:
        fields["former_engine"] = former.name
        fields["former_version"] = registration.software_version(former)
    _logger.info(
        "stream_resumed",
        request=run.call.request_id,
        resumed_by=resumed_by.value,
        resumes=run.call.resumes,
        engine=engine.name,
        version=registration.software_version(engine),
        after_event=after_event,
        **fields,
    )
