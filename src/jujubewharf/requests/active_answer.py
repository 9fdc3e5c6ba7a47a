"""An answer that this instance runs or relays, with its readers."""

from __future__ import annotations

import asyncio
import dataclasses

from jujubewharf import errors
from jujubewharf.requests import answer as answers
from jujubewharf.requests import keys
from jujubewharf.requests import model_request
from jujubewharf.requests import relay as relays

LINGER_MS = 2_000.0
LINGER_CLAIMED_MS = 15_000.0


@dataclasses.dataclass(slots=True)
class ActiveAnswer:
    """An answer that runs on this instance or is relayed from another.

    Attributes:
        request: The request.
        key: Digest of account and key.
        answer: The answer so far.
        replaces: Id of the failed run of the same key that this run replaces.
        task: Task that owns the answer until its end.
        run_task: Task that runs the request on engines.
        local_readers: Number of local callers that read the answer.
        remote_readers: Number of pull requests in progress from other
            instances.
        was_pulled: Whether another instance ever read the answer.
        last_reader_left_ms: Clock reading when the last reader left, in ms.
        source: Run that the answer is relayed from, while it is.
        taken_over: Run at the instance that took the request over.
        has_run: Whether this instance started to run the request.
        is_claimed: Whether a claim was requested.
        may_have_run: Whether an earlier run of the key may have been
            dispatched.
        linger_task: Task that waits for a reader to return.
    """

    request: model_request.ModelRequest
    key: bytes
    answer: answers.Answer
    replaces: str = ""
    task: asyncio.Task[None] | None = None
    run_task: asyncio.Task[None] | None = None
    local_readers: int = 0
    remote_readers: int = 0
    was_pulled: bool = False
    last_reader_left_ms: float = 0.0
    source: relays.Source | None = None
    taken_over: relays.Source | None = None
    has_run: bool = False
    is_claimed: bool = False
    may_have_run: bool = False
    linger_task: asyncio.Task[None] | None = None

    @property
    def body(self) -> bytes:
        """Digest of the request body."""
        return keys.body_of(self.request.body_digest)

    @property
    def has_readers(self) -> bool:
        """Whether any caller or instance is reading the answer."""
        return bool(self.local_readers or self.remote_readers)

    @property
    def may_run_again(self) -> bool:
        """Whether the answer failed so that a retry of the key may run anew."""
        match self.answer.end:
            case model_request.Failed(ran=ran):
                return self.request.is_repeatable or ran is errors.Ran.NO
        return False

    @property
    def linger_ms(self) -> float:
        """How long the answer continues without readers, in ms.

        A caller with a key may be about to retry at another instance. The limit
        bounds how long engine memory is held without a reader.
        """
        can_be_known = self.request.has_callers_key or self.was_pulled
        if self.source is not None or not can_be_known:
            return 0.0
        return LINGER_MS if self.request.is_repeatable else LINGER_CLAIMED_MS

    @property
    def ran_so_far(self) -> errors.Ran:
        """What to report if the request fails before it runs here."""
        return errors.Ran.UNKNOWN if self.may_have_run else errors.Ran.NO


def failed(error: errors.WharfError) -> model_request.Failed:
    """Converts an error into the last event of an answer."""
    return model_request.Failed(
        error.kind,
        error.ran,
        error.detail,
        retry_after_ms=error.retry_after_ms,
    )
