"""Requests of callers and answers of endpoints, as they are forwarded."""

from __future__ import annotations

from collections.abc import AsyncIterator
import dataclasses

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ModelWork:
    """Size of a model request.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        output_tokens: Maximum number of output tokens.
        expected_tokens: The caller's estimate of the output tokens, which may
            be inaccurate.
    """

    prompt_tokens: int
    output_tokens: int
    expected_tokens: int | None = None

    @property
    def answer_tokens(self) -> int:
        """Estimated number of output tokens."""
        if self.expected_tokens is None:
            return self.output_tokens
        return min(self.output_tokens, self.expected_tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A validated request of a caller.

    Attributes:
        request_id: Request id chosen by the caller, unique for each try.
        method: HTTP method.
        host: Value of the ``Host`` header.
        path_query: Path and query as received.
        headers: End-to-end headers, without those that the router sets.
        body: The whole body.
        arrived_ms: Clock reading when the last byte was read.
        caller_timeout_ms: Time that the caller waits from arrival, in ms;
            ``None`` if it set none.
        work: Size of a model request; ``None`` for plain requests.
        last_event: Number of the last event that the caller received in an
            earlier try.
        shared_parts: Names of the parts of the prompt that other requests may
            share, in order; each names its model.
        began_by: Id of the try that brought the first event, if the caller
            resumes a stream; ``None`` if it names none.
        account: Name of the client account, sent to endpoints; ``None`` if no
            key was given or none is required.
        is_trial: Whether this request is let through as a trial although it is
            in quarantine.
    """

    request_id: str
    method: str
    host: str
    path_query: str
    headers: Headers
    body: bytes
    arrived_ms: float
    caller_timeout_ms: float | None = None
    work: ModelWork | None = None
    last_event: int | None = None
    account: str | None = None
    is_trial: bool = False
    began_by: str | None = None
    shared_parts: tuple[str, ...] = ()

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.path_query.partition("?")[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer of an endpoint; iterating the body raises if it breaks off.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        body: Chunks of the body as they arrive.
        length: Size of the body in bytes, if known.
        is_framed: Whether the end of the body shows that it is whole. If not,
            it ends with the connection, whatever the reason.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    length: int | None = None
    is_framed: bool = True

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillSource:
    """Handle of a prefill result that waits on an engine to be fetched.

    Attributes:
        address: ``IP:PORT`` of the engine.
        handle: Name of the result on that engine.
    """

    address: str
    handle: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutboundRequest:
    """One request to one engine or endpoint.

    Attributes:
        call: The caller's request.
        left_ms: Time limit for the engine in milliseconds.
        priority: Priority on the engine, 0 is the highest.
        source: Prefill result for the engine to fetch.
        hold: Name of the memory reservation to use.
        after_event: Number of the last event that arrived; the engine continues
            after it.
    """

    call: Call
    left_ms: float
    priority: int | None = None
    source: PrefillSource | None = None
    hold: str | None = None
    after_event: int | None = None
