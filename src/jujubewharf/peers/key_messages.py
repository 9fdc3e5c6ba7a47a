"""Messages about idempotency keys, responses, claims and running attempts."""

from __future__ import annotations

import dataclasses
import enum

from jujubewharf.peers import messages


class PullState(enum.IntEnum):
    """State of a pulled response at the replying instance."""

    NOT_HERE = 0
    RUNNING = 1
    FINISHED = 2
    FAILED = 3
    ELSEWHERE = 4
    OTHER_BODY = 5


@messages.message(20)
@dataclasses.dataclass(frozen=True, slots=True)
class Register(messages.Message):
    """Registers the owner of a key at its home; answered by ``Registered``.

    Attributes:
        key: Digest of account and key.
        body: Digest of the request's body.
        owner: Instance that runs the request.
        request_id: Id of the run.
        replaces: Id of the run that this one replaces; empty for none.
        keep_ms: Retention of the record, in ms.
        is_copy: Whether the record is replicated from the key's other home.
        attempt_id: Latest attempt that was dispatched.
        engines: Engines that hold memory for the run.
    """

    key: bytes
    body: bytes
    owner: str
    request_id: str
    replaces: str
    keep_ms: float
    is_copy: bool = False
    attempt_id: str = ""
    engines: tuple[str, ...] = ()


@messages.message(21)
@dataclasses.dataclass(frozen=True, slots=True)
class Registered(messages.Message):
    """Record of a key; ``request_id`` is empty if there is none."""

    body: bytes
    owner: str
    request_id: str
    attempt_id: str = ""
    engines: tuple[str, ...] = ()


@messages.message(22)
@dataclasses.dataclass(frozen=True, slots=True)
class Dispatched(messages.Message):
    """Informs a home which engines hold memory for the run of a key."""

    key: bytes
    attempt_id: str
    engines: tuple[str, ...]


@messages.message(23)
@dataclasses.dataclass(frozen=True, slots=True)
class LookupRequest(messages.Message):
    """Requests a key's record from a home; answered by ``Registered``."""

    key: bytes


@messages.message(24)
@dataclasses.dataclass(frozen=True, slots=True)
class PullRequest(messages.Message):
    """Requests the tokens of a response by long polling.

    Attributes:
        request_id: Id of the run.
        key: Key of the caller's request; must be the key of the run.
        body: Digest of the body of the caller's request.
        first_index: Index of the first token wanted.
        wait_ms: Maximum wait for that token, in ms.
    """

    request_id: str
    key: bytes
    body: bytes
    first_index: int
    wait_ms: float


@messages.message(25)
@dataclasses.dataclass(frozen=True, slots=True)
class PullReply(messages.Message):
    """Reply to ``PullRequest``: tokens of a response, and its end if reached.

    Attributes:
        state: A ``PullState``.
        first_index: Index of the first token in ``texts``.
        texts: Tokens.
        count: Number of tokens of the whole response, if finished.
        digest: Digest of the whole response, if finished.
        attempt_id: Attempt that finished the response.
        kind: Error kind, if failed.
        ran: Whether a failed run may have been executed, as reported to
            callers.
        owner: Instance that runs the key, if elsewhere.
        request_id: Id of the run at that instance.
    """

    state: int
    first_index: int = 0
    texts: tuple[str, ...] = ()
    count: int = 0
    digest: str = ""
    attempt_id: str = ""
    kind: str = ""
    ran: str = ""
    owner: str = ""
    request_id: str = ""


@messages.message(26)
@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverNotice(messages.Message):
    """Informs an owner that another instance has taken over its key."""

    request_id: str
    by_owner: str
    by_request_id: str


@messages.message(27)
@dataclasses.dataclass(frozen=True, slots=True)
class NeededAttemptsRequest(messages.Message):
    """Asks which attempts an instance still needs; forwarded at most once.

    Attributes:
        owner: Instance that dispatched the attempts.
        digests: Eight bytes for each attempt, see ``releases.digest_of``.
    """

    owner: str
    digests: bytes


@messages.message(28)
@dataclasses.dataclass(frozen=True, slots=True)
class UnneededAttempts(messages.Message):
    """Reply to ``NeededAttemptsRequest``: attempts no longer needed.

    Attributes:
        digests: Eight bytes for each attempt.
        is_from_owner: Whether the owner itself replied; false if it could
            not be reached.
    """

    digests: bytes
    is_from_owner: bool = True


@messages.message(29)
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest(messages.Message):
    """Requests that a claim shard's owner claim a key on the log.

    Attributes:
        key: Digest of account and key.
        body: Digest of the request's body.
        owner: Instance that is to run the request.
        request_id: Id of the run.
        replaces: Id of the abandoned run that holds the key; empty for none.
        wall_ms: Wall clock time at which the key was created, or else at
            which it was requested, in ms.
        is_dated: Whether the key itself contains its creation time.
    """

    key: bytes
    body: bytes
    owner: str
    request_id: str
    replaces: str
    wall_ms: float
    is_dated: bool


@messages.message(30)
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReply(messages.Message):
    """Reply to ``ClaimRequest``: the holder of a key according to the log.

    Attributes:
        owner: Instance that holds the key.
        request_id: Id of the run that holds the key; empty if unknown.
        body: Digest of that run's body.
        is_expired: Whether the key is too old to be claimed.
        is_new: Whether the log was read to its end and has no claim of the
            key.
        is_unknown: Whether the key may have been claimed in records that the
            log has lost.
    """

    owner: str = ""
    request_id: str = ""
    body: bytes = b""
    is_expired: bool = False
    is_new: bool = False
    is_unknown: bool = False


@messages.message(31)
@dataclasses.dataclass(frozen=True, slots=True)
class AbandonedRequest(messages.Message):
    """Asks an owner whether it abandoned a run before any dispatch."""

    request_id: str


@messages.message(32)
@dataclasses.dataclass(frozen=True, slots=True)
class AbandonedReply(messages.Message):
    """Reply to ``AbandonedRequest``.

    Attributes:
        is_abandoned: Whether the run never was and never will be dispatched.
    """

    is_abandoned: bool


@messages.message(33)
@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHandover(messages.Message):
    """Transfers a finished response to another instance during a drain.

    Attributes:
        account: Client account of the caller.
        callers_key: Idempotency key of the caller.
        body_digest: Digest of the request's body.
        request_id: Id of the run that produced the response.
        is_repeatable: Whether the request may be repeated.
        packed: Tokens as packed by ``requests.answer_cache``.
        count: Number of tokens of the whole response.
        digest: Digest of the whole response.
        attempt_id: Attempt that finished the response.
    """

    account: str
    callers_key: str
    body_digest: str
    request_id: str
    is_repeatable: bool
    packed: bytes
    count: int
    digest: str
    attempt_id: str


@messages.message(34)
@dataclasses.dataclass(frozen=True, slots=True)
class HandoverReply(messages.Message):
    """Reply to ``ResponseHandover``, once cached and registered."""


@messages.message(35)
@dataclasses.dataclass(frozen=True, slots=True)
class PlainPullRequest(messages.Message):
    """Requests the response to a non-streamed call by long polling.

    Attributes:
        request_id: Id of the run.
        wait_ms: Maximum wait for its end, in ms.
    """

    request_id: str
    wait_ms: float


@messages.message(36)
@dataclasses.dataclass(frozen=True, slots=True)
class PlainPullReply(messages.Message):
    """Reply to ``PlainPullRequest``: the response if complete.

    Attributes:
        is_running: Whether the call is still running.
        is_complete: Whether the response is complete; else the fields below are
            unset.
        status: HTTP status.
        headers: End-to-end headers.
        body: Complete response body.
    """

    is_running: bool = False
    is_complete: bool = False
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@messages.message(37)
@dataclasses.dataclass(frozen=True, slots=True)
class HolderRequest(messages.Message):
    """Asks who holds a key, from memory; answered by ``ClaimReply``."""

    key: bytes
