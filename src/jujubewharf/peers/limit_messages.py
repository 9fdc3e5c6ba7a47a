"""Messages about the limits of endpoints; numbers 100 to 109."""

from __future__ import annotations

import dataclasses

from jujubewharf.engines import notices
from jujubewharf.peers import messages


@messages.message(100)
@dataclasses.dataclass(frozen=True, slots=True)
class EndpointTerms(messages.Message):
    """Shares the terms on which endpoints accept requests.

    Attributes:
        terms: Terms by endpoint.
        is_news: Whether these are changes; else they are all terms known to
            the sender, sent when a link opens.
    """

    terms: tuple[notices.Terms, ...]
    is_news: bool


@messages.message(101)
@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest(messages.Message):
    """A follower requests admission of one request under a rate limit."""

    endpoint: str


@messages.message(102)
@dataclasses.dataclass(frozen=True, slots=True)
class PermitReply(messages.Message):
    """The leader's reply to ``PermitRequest``.

    Attributes:
        wait_ms: 0 if the request is admitted; else the time after which to
            ask again, in ms.
    """

    wait_ms: float
