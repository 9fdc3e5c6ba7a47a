"""A checked model request and the numbered events that answer it."""

from __future__ import annotations

import dataclasses
import re
import uuid

from jujubewharf import errors
from jujubewharf.configuration import resources

_MINTED = re.compile(r"(?P<instance>.+)~[0-9a-f]{32}")


def mint_id(instance: str) -> str:
    """A request id that names the instance which minted it."""
    return f"{instance}~{uuid.uuid4().hex}"


def minted_by(key: str) -> str | None:
    """The instance that minted a key; ``None`` for a caller's own key.

    A minted key is known to nobody before its answer begins, so only its
    minter ever runs it: that needs no record and no claim anywhere.
    """
    match = _MINTED.fullmatch(key)
    return match["instance"] if match else None


@dataclasses.dataclass(frozen=True, slots=True)
class ModelRequest:
    """A request that passed the border's checks.

    Attributes:
        request_id: Minted by the instance that accepted it.
        key: The caller's idempotency key, or the request id.
        body_digest: Digest of the body, to tell a key's misuse.
        account: Name of the caller's account.
        service: Service asked for.
        prompt: Prompt text.
        max_tokens: Longest answer.
        arrived_ms: Clock reading at arrival.
        deadline_ms: Time after arrival at which it is given up on.
        priority: Higher goes first.
        is_repeatable: Whether it may be dispatched more than once.
        resume_from: Tokens of the answer that the caller has already.
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
        """Whether the key came with the request."""
        return self.key != self.request_id


@dataclasses.dataclass(frozen=True, slots=True)
class Tokens:
    """Some tokens of the answer; ``first_index`` numbers them from 0."""

    first_index: int
    texts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The answer is whole.

    Attributes:
        count: Tokens it has.
        digest: Digest of all token texts in order.
        attempt_id: Attempt that wrote the end of it.
    """

    count: int
    digest: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """There is no whole answer.

    Attributes:
        kind: Row of the error table.
        ran: Whether any engine was given the request.
        detail: What was wrong this time.
        retry_after_ms: When the caller should come back, if it helps.
    """

    kind: errors.ErrorKind
    ran: errors.Ran
    detail: str = ""
    retry_after_ms: float | None = None


Event = Tokens | Finished | Failed
