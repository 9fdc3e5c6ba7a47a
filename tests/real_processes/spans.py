"""Spans of time in which something was disturbed or served."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
import math
import time


@dataclasses.dataclass
class Span:
    """A span on the monotonic clock, which lasts until it is ended."""

    from_s: float
    until_s: float = math.inf

    def meets(self, from_s: float, until_s: float) -> bool:
        """Whether the spans have a moment in common."""
        return self.from_s <= until_s and from_s <= self.until_s

    def covers(self, from_s: float, until_s: float) -> bool:
        """Whether this span lasts all the time of another."""
        return self.from_s <= from_s and until_s <= self.until_s

    def end(self) -> None:
        """Ends the span now, unless it has ended."""
        self.until_s = min(self.until_s, time.monotonic())


def any_meets(spans: Iterable[Span], from_s: float, until_s: float) -> bool:
    """Whether any of the spans has a moment in common with another."""
    return any(span.meets(from_s, until_s) for span in spans)


@contextlib.contextmanager
def recorded(*lists: list[Span]) -> Iterator[None]:
    """Adds a span to each list, which ends with the block."""
    span = Span(time.monotonic())
    for spans in lists:
        spans.append(span)
    try:
        yield
    finally:
        span.end()
