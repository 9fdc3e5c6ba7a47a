"""A validated model request and the events of its answer."""

from __future__ import annotations

import dataclasses
import re
import uuid

from jujubewharf import errors
from jujubewharf.configuration import resources

_MINTED_KEY = re.compile(r"(?P<instance>.+)~[0-9a-f]{32}")


def new_request_id(instance: str) -> str:
    """Creates a request id that contains the name of the instance."""
    return f"{instance}~{uuid.uuid4().hex}"


def minted_by(key: str) -> str | None:
    """Returns the instance that minted a key; ``None`` for a caller's own key.

    A minted key is not known to others before its answer begins, and only the
    instance that minted it runs it. It therefore needs no record or claim.
    """
    match = _MINTED_KEY.fullmatch(key)
    return match["instance"] if match else None


@dataclasses.dataclass(frozen=True, slots=True)
class ModelRequest:
    """A validated model request.

    Attributes:
        request_id: Id minted by the instance that accepted the request.
        key: Idempotency key of the caller, or the request id.
        body_digest: Digest of the body, to detect a key reused for another.
        account: Name of the client account.
        service: Requested service.
        prompt: Prompt text.
        max_tokens: Maximum number of tokens of the answer.
        arrived_ms: Clock reading at arrival, in ms.
        deadline_ms: Time limit in ms, counted from arrival.
        priority: Higher priorities go first.
        is_repeatable: Whether the request may be dispatched more than once.
        resume_from: Number of tokens of the answer that the caller already has.
    """

    request_id: str
    key: str
    body_digest: str
    account: str
    service: resources.Service
    prompt: str
    max_tokens: int
    arrived_ms: float
    deadline_ms: float
    priority: int = 0
    is_repeatable: bool = True
    resume_from: int = 0

    @property
    def has_callers_key(self) -> bool:
        """Whether the caller sent an idempotency key."""
        return self.key != self.request_id


@dataclasses.dataclass(frozen=True, slots=True)
class Tokens:
    """Consecutive tokens of an answer.

    Attributes:
        first_index: Index of the first token, from 0.
        texts: Texts of the tokens.
    """

    first_index: int
    texts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The answer is complete.

    Attributes:
        count: Number of tokens.
        digest: Digest of all token texts in order.
        attempt_id: Attempt that produced the last token.
    """

    count: int
    digest: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The answer is missing or incomplete.

    Attributes:
        kind: Entry of the error table.
        ran: Whether an engine may have worked on the request.
        detail: Details of this failure.
        retry_after_ms: Time in ms after which to retry; ``None`` if unknown or
            of no use.
    """

    kind: errors.ErrorKind
    ran: errors.Ran
    detail: str = ""
    retry_after_ms: float | None = None


Event = Tokens | Finished | Failed
