"""Records of a randomized run, for its checks and its report."""

from __future__ import annotations

import collections
import dataclasses

from jujubewharf.requests import model_request


@dataclasses.dataclass
class Intent:
    """A request that a caller sends until it has a final answer.

    Attributes:
        key: Idempotency key; ``None`` lets the instance generate one.
        tokens: Length of the answer in tokens.
        words: Length of the prompt in words.
        is_repeatable: Whether the request may run more than once.
        submissions: All attempts of the caller to send it.
    """

    key: str | None
    tokens: int
    words: int
    is_repeatable: bool
    submissions: list[Submission] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Submission:
    """One submission of a request, and the events received for it."""

    request: model_request.ModelRequest
    instance: str
    events: list[model_request.Event] = dataclasses.field(default_factory=list)
    is_over: bool = False

    @property
    def end(self):
        """The last event, if it ends the answer."""
        last = self.events[-1] if self.events else None
        return None if isinstance(last, model_request.Tokens) else last


@dataclasses.dataclass
class Report:
    """Outcome of one run: violations, and counts of faults and results."""

    seed: int
    violations: list[str] = dataclasses.field(default_factory=list)
    faults: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    ends: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
