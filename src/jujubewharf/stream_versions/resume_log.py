"""Log lines and counters of streams that resume, or can't.

``docs/operating/logs.md`` lists the lines.
"""

from __future__ import annotations

import enum
import math

from opentelemetry import metrics
import structlog

from jujubewharf.configuration import resources
from jujubewharf.forwarding import registration
from jujubewharf.forwarding import runs
from jujubewharf.stream_versions import origin_search
from jujubewharf.stream_versions import origins

_METER = metrics.get_meter("jujubewharf")
_RESUMPTIONS = _METER.create_counter(
    "forwarding.resumptions",
    description="Streams that resumed, by who resumed them and who knew how.",
)
_REFUSED = _METER.create_counter(
    "forwarding.refused_resumptions",
    description="Streams that could not resume, by who wanted it and reason.",
)
_UNTOLD = _METER.create_counter(
    "forwarding.untold_streams",
    description="Streams whose beginning no other instance was told.",
)
_STORE_CALLS = _METER.create_counter(
    "forwarding.origin_store_calls",
    description="Calls about where streams began, by kind and outcome.",
)

_logger = structlog.get_logger()


class ResumedBy(enum.Enum):
    """Who resumes a stream: this instance, or its caller with a new request."""

    ROUTER = "router"
    CALLER = "caller"


class NotResumed(enum.Enum):
    """Why a stream can't resume.

    ``ORIGIN_UNKNOWN``: nobody knows which version began it.
    ``ORIGIN_IN_DOUBT``: it may have begun at several versions.
    ``VERSION_GONE``: no engine of its version accepts work.
    ``SERVICE_CHANGED``: its route no longer leads to its service.
    """

    ORIGIN_UNKNOWN = "origin_unknown"
    ORIGIN_IN_DOUBT = "origin_in_doubt"
    VERSION_GONE = "version_gone"
    SERVICE_CHANGED = "service_changed"


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
        engine: Engine at which it goes on.
        former: Engine that broke off; ``None`` if the caller resumes it.
        after_event: Number of the last event that the caller has.
    """
    resumed_by = ResumedBy.CALLER if former is None else ResumedBy.ROUTER
    fields: dict[str, object] = {}
    known_by = origins.KnownBy.ANSWER
    if former is not None:
        fields["former_engine"] = former.name
        fields["former_version"] = registration.software_version(former)
    elif run.origin is not None:
        known_by = run.origin.known_by
        if run.origin.age_ms is not None:
            fields["began_ms_ago"] = round(run.origin.age_ms)
    labels = {"resumed_by": resumed_by.value, "known_by": known_by.value}
    _RESUMPTIONS.add(1, labels)
    _logger.info(
        "stream_resumed",
        request=run.call.request_id,
        resumed_by=resumed_by.value,
        known_by=known_by.value,
        began_by=run.call.began_by,
        engine=engine.name,
        version=registration.software_version(engine),
        after_event=after_event,
        **fields,
    )


def count_untold() -> None:
    """Counts a stream whose beginning no other instance was told."""
    _UNTOLD.add(1)


def count_store_call(kind: str, outcome: str) -> None:
    """Counts a call to the store about where streams began."""
    _STORE_CALLS.add(1, {"kind": kind, "outcome": outcome})


def log_not_written(*, streams: int, detail: str) -> None:
    """Logs that the store didn't take where streams began.

    Args:
        streams: Number of streams that are written later.
        detail: What went wrong.
    """
    count_store_call("write", "unavailable")
    _logger.info("origins_not_written", streams=streams, detail=detail)


def log_refused_resumption(
    run: runs.Run,
    reason: NotResumed,
    origin: origins.StreamOrigin | None,
    *,
    search: origin_search.OriginSearch | None = None,
    view_age_ms: float | None = None,
) -> None:
    """Logs that a stream can't be resumed.

    Args:
        run: The request.
        reason: Why not.
        origin: Where the stream began, as far as it is known.
        search: Who was asked; ``None`` if nobody was.
        view_age_ms: Time since the last read of the registrations; ``None`` if
            it didn't matter.
    """
    is_within = run.call.last_event is None
    resumed_by = ResumedBy.ROUTER if is_within else ResumedBy.CALLER
    labels = {"resumed_by": resumed_by.value, "reason": reason.value}
    fields: dict[str, object] = {}
    if search is not None:
        labels["role"] = search.role
        fields["role"] = search.role
        fields["role_ms"] = round(search.role_ms)
        fields["asked"] = search.asked
        fields["answered"] = search.answered
    if view_age_ms is not None and math.isfinite(view_age_ms):
        fields["view_age_ms"] = round(view_age_ms)
    _REFUSED.add(1, labels)
    _logger.info(
        "stream_not_resumed",
        request=run.call.request_id,
        resumed_by=resumed_by.value,
        reason=reason.value,
        began_by=run.call.began_by,
        service=run.service,
        version=None if origin is None else origin.version,
        **fields,
    )
