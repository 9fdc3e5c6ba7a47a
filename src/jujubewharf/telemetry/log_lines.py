"""Log lines as an instance wrote them."""

from __future__ import annotations

import dataclasses
import datetime
import json


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A parsed log line.

    Attributes:
        at_s: Unix time of the line in seconds.
        instance: Name of the instance that wrote it.
        event: Name of the event.
        fields: All fields of the line.
    """

    at_s: float
    instance: str
    event: str
    fields: dict[str, object]

    def number(self, name: str) -> float | None:
        """Returns a numeric field; ``None`` if it is missing."""
        value = self.fields.get(name)
        if isinstance(value, int | float) and not isinstance(value, bool):
            return float(value)
        return None


def parse(raw: str) -> Line | None:
    """Parses a JSON line, which may have a prefix from a log collector."""
    _, brace, rest = raw.partition("{")
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
        at = datetime.datetime.fromisoformat(fields["timestamp"])
        event = str(fields["event"])
    except (ValueError, KeyError, TypeError):
        return None
    return Line(at.timestamp(), str(fields.get("instance", "")), event, fields)
