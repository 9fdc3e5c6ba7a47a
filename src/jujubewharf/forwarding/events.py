"""Cuts a stream of server-sent events into whole, numbered events.

Events are passed on as they came. Only their ids are read: an engine may stop
in the middle of an event, and a stream that goes on at another engine must
neither leave out an event nor give one twice.
"""

from __future__ import annotations

import dataclasses

_END = b"\n\n"
_ID = b"id:"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One whole event.

    Attributes:
        number: Its id; ``None`` for one without, such as a comment.
        data: Its bytes, with the empty line that ends it.
    """

    number: int | None
    data: bytes


class EventCutter:
    """Collects bytes and gives out the events that are whole."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_partial(self) -> bool:
        """Whether an event has begun that isn't whole yet."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Takes bytes in; returns the events that they completed."""
        *whole, self._rest = (self._rest + data).split(_END)
        return [Event(_number(part), part + _END) for part in whole]


def _number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return int(text) if text.isdigit() else None
    return None
