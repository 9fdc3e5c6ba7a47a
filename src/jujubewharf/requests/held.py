"""An answer that an instance runs or relays, and who reads it."""

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
class Held:
    """An answer that is running here, or that is relayed from elsewhere.

    Attributes:
        request: What was asked.
        key: Digest of account and key.
        answer: The answer so far.
        replaces: Failed run of the same key here that this one replaces.
        task: Writes the answer.
        run_task: Part of it that speaks to engines.
        followers: Callers here that read it.
        pulls: Other instances that read it now.
        was_pulled: Whether another instance ever read it.
        left_ms: When the last reader left.
        source: Where it runs, while relayed.
        taken_over: Where it runs since another instance took it over.
        has_run: Whether its own run began here.
        is_claimed: Whether a claim was asked for.
        may_have_run: Whether an earlier run of the key may have begun.
        lingering: Waits for a reader to come back.
    """

    request: model_request.ModelRequest
    key: bytes
    answer: answers.Answer
    replaces: str = ""
    task: asyncio.Task[None] | None = None
    run_task: asyncio.Task[None] | None = None
    followers: int = 0
    pulls: int = 0
    was_pulled: bool = False
    left_ms: float = 0.0
    source: relays.Source | None = None
    taken_over: relays.Source | None = None
    has_run: bool = False
    is_claimed: bool = False
    may_have_run: bool = False
    lingering: asyncio.Task[None] | None = None

    @property
    def body(self) -> bytes:
        """Digest of the request's body."""
        return keys.body_of(self.request.body_digest)

    @property
    def has_readers(self) -> bool:
        """Whether anybody reads it now."""
        return bool(self.followers or self.pulls)

    @property
    def may_run_again(self) -> bool:
        """Whether it ended so that a retry of its key is to run anew."""
        match self.answer.end:
            case model_request.Failed(ran=ran):
                return self.request.is_repeatable or ran is errors.Ran.NO
        return False

    @property
    def linger_ms(self) -> float:
        """Time that it goes on without a reader.

        A caller that gave a key may be about to come back at another
        instance. Engine memory is held for nobody no longer than this.
        """
        can_be_known = self.request.has_callers_key or self.was_pulled
        if self.source is not None or not can_be_known:
            return 0.0
        return LINGER_MS if self.request.is_repeatable else LINGER_CLAIMED_MS

    @property
    def ran_so_far(self) -> errors.Ran:
        """What may be said when it ends before its own run began."""
        return errors.Ran.UNKNOWN if self.may_have_run else errors.Ran.NO


def failed(error: errors.WharfError) -> model_request.Failed:
    """An error as the last event of an answer."""
    return model_request.Failed(
        error.kind,
        error.ran,
        error.detail,
        retry_after_ms=error.retry_after_ms,
    )
