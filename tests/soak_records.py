"""What a random failure run writes down of its callers and of itself."""

from __future__ import annotations

import collections
import dataclasses

from jujubewharf.requests import model_request


@dataclasses.dataclass
class Intent:
    """What one caller wants, whatever it takes.

    Attributes:
        key: Its idempotency key; ``None`` lets the instance mint one.
        tokens: Length of the answer.
        words: Length of the prompt.
        is_repeatable: Whether it may run more than once.
        submissions: Each time it was sent.
    """

    key: str | None
    tokens: int
    words: int
    is_repeatable: bool
    submissions: list[Submission] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Submission:
    """One sending of a request and all that came back."""

    request: model_request.ModelRequest
    instance: str
    events: list[model_request.Event] = dataclasses.field(default_factory=list)
    is_over: bool = False

    @property
    def end(self):
        """The last event, if it is an end."""
        last = self.events[-1] if self.events else None
        return None if isinstance(last, model_request.Tokens) else last


@dataclasses.dataclass
class Report:
    """What one run did and what was wrong."""

    seed: int
    violations: list[str] = dataclasses.field(default_factory=list)
    faults: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    ends: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
