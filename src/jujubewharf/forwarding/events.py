"""Splits a stream of server-sent events into complete, numbered events.

Events are forwarded unchanged; only their ids are parsed. A stream that breaks
inside an event can then resume on another engine without losing or repeating
events.
"""

from __future__ import annotations

import dataclasses

EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1_048_576
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


class EventTooLargeError(Exception):
    """An event has no end within the bound of its size."""


class EventSplitter:
    """Buffers bytes and returns complete events.

    Args:
        max_bytes: Bound of the size of an event.
    """

    def __init__(self, *, max_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        # Bytes of the buffer in which no event ends.
        self._searched = 0

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that they complete.

        Raises:
            EventTooLargeError: The event that has begun is too large.
        """
        self._buffer += data
        found: list[Event] = []
        begin = 0
        at = self._buffer.find(EVENT_END, self._searched)
        while at >= 0:
            end = at + len(EVENT_END)
            event = bytes(self._buffer[begin:end])
            found.append(Event(_parse_number(event), event))
            begin = end
            at = self._buffer.find(EVENT_END, begin)
        del self._buffer[:begin]
        if len(self._buffer) > self._max_bytes:
            raise EventTooLargeError
        # The end may lie across this part and the next one.
        self._searched = max(0, len(self._buffer) - len(EVENT_END) + 1)
        return found


def _parse_number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID_PREFIX):
            text = line[len(_ID_PREFIX) :].strip()
            is_number = text.isdigit() and len(text) <= _MAX_DIGITS
            return int(text) if is_number else None
    return None
