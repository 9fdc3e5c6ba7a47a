"""Messages about the terms of endpoints; numbers 100 to 109."""

from __future__ import annotations

import dataclasses

from jujubewharf.engines import notices
from jujubewharf.peers import messages


@messages.message(100)
@dataclasses.dataclass(frozen=True, slots=True)
class TermsKnown(messages.Message):
    """On which terms endpoints take work.

    Attributes:
        terms: The terms.
        is_news: Whether they have just changed; else they are all that the
            sender knows, as a link begins.
    """

    terms: tuple[notices.Terms, ...]
    is_news: bool


@messages.message(101)
@dataclasses.dataclass(frozen=True, slots=True)
class PermitAsk(messages.Message):
    """A follower asks whether an endpoint's limit allows one more request."""

    endpoint: str


@messages.message(102)
@dataclasses.dataclass(frozen=True, slots=True)
class Permit(messages.Message):
    """The leader's answer.

    Attributes:
        wait_ms: 0 where the request is allowed; else when to ask again.
    """

    wait_ms: float
