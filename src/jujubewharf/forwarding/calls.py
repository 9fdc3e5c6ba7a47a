"""A caller's request and its answer, as they are passed on."""

from __future__ import annotations

from collections.abc import AsyncIterator
import dataclasses

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelWork:
    """The size of a model request.

    Attributes:
        prompt_tokens: Tokens to read.
        output_tokens: Most tokens that the answer has.
        expected_tokens: The caller's estimate of them, which may be far off.
    """

    prompt_tokens: int
    output_tokens: int
    expected_tokens: int | None = None

    @property
    def answer_tokens(self) -> int:
        """Tokens that the answer will have, as far as is known."""
        if self.expected_tokens is None:
            return self.output_tokens
        return min(self.output_tokens, self.expected_tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request that passed the border's checks.

    Attributes:
        request_id: The caller's own id of this sending.
        method: HTTP method.
        host: Host that the caller named.
        path_query: Path and query as they were sent.
        headers: End-to-end headers, without those that the system sets.
        body: The whole body.
        arrived_ms: Clock reading when its last byte had been read.
        patience_ms: How long the caller waits from arrival; ``None`` when it
            didn't say.
        work: Size of a model request; ``None`` for plain ones.
        last_event: Last event that the caller has of an earlier sending.
        account: Name of the client account, which endpoints are told; ``None``
            where no key was shown or none is asked for.
        is_trial: Whether this try is let through although others of the same
            request have crashed engines.
    """

    request_id: str
    method: str
    host: str
    path_query: str
    headers: Headers
    body: bytes
    arrived_ms: float
    patience_ms: float | None = None
    work: ModelWork | None = None
    last_event: int | None = None
    account: str | None = None
    is_trial: bool = False

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.path_query.partition("?")[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer as an engine gave it; the body raises where it breaks off.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        body: The body as it arrives.
        length: Its size in bytes, where that is known.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    length: int | None = None

    @property
    def is_success(self) -> bool:
        """Whether the engine says that it did what was asked."""
        return 200 <= self.status < 300


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """A prefill result that waits on an engine to be fetched.

    Attributes:
        address: ``IP:PORT`` of that engine.
        handle: Names the result there.
    """

    address: str
    handle: str


@dataclasses.dataclass(frozen=True, slots=True)
class Sending:
    """One call to one engine.

    Attributes:
        call: What the caller sent.
        left_ms: Time that the engine is given.
        priority: Rank among the engine's requests, 0 first.
        source: Prefill result that the engine fetches first.
        hold: Reservation that it runs under.
        after_event: Last event that arrived; the engine goes on after it.
    """

    call: Call
    left_ms: float
    priority: int | None = None
    source: Source | None = None
    hold: str | None = None
    after_event: int | None = None
