"""Counts the connections that were ended here, by listener and reason."""

from __future__ import annotations

import enum

from opentelemetry import metrics

_CLOSED = metrics.get_meter("jujubewharf").create_counter(
    "connections.closed",
    description="Clients' connections that were ended here, by reason.",
)


class Reason(enum.Enum):
    """Why a connection was ended.

    Attributes:
        MALFORMED: It sent what is no request.
        LARGE_HEAD: A head was larger than any allowed one.
        FRAMING: Sizes, extensions or trailers of a body had no end.
        SLOW_HEAD: A head wasn't whole in time.
        NO_ROOM: There were as many connections as there may be, all in use.
        REPLACED: It was idle, or its head wasn't whole, and others needed its
            place.
    """

    MALFORMED = "malformed"
    LARGE_HEAD = "large_head"
    FRAMING = "framing"
    SLOW_HEAD = "slow_head"
    NO_ROOM = "no_room"
    REPLACED = "replaced"


def count(listener: str, reason: Reason) -> None:
    """Counts a connection that is ended."""
    _CLOSED.add(1, {"listener": listener, "reason": reason.value})
