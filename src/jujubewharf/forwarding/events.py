"""Splits a stream of server-sent events into complete, numbered events.

Events are forwarded unchanged; only their ids are parsed. A stream that breaks
inside an event can then resume on another engine without losing or repeating
events.
"""

from __future__ import annotations

import dataclasses

EVENT_END = b"\n\n"
_ID_PREFIX = b"id:"
# As for the number with which a caller resumes, see ``header_values``.
_MAX_DIGITS = 15


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A complete event.

    Attributes:
        number: Numeric event id; ``None`` for events without one, such as
            comments, and for an id of more than 15 digits.
        data: Bytes of the event, including the terminating empty line.
    """

    number: int | None
    data: bytes


class EventSplitter:
    """Buffers bytes and returns complete events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that they complete."""
        *complete, self._buffer = (self._buffer + data).split(EVENT_END)
        return [
            Event(_parse_number(part), part + EVENT_END) for part in complete
        ]


def _parse_number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID_PREFIX):
            text = line[len(_ID_PREFIX) :].strip()
            is_number = text.isdigit() and len(text) <= _MAX_DIGITS
            return int(text) if is_number else None
    return None
