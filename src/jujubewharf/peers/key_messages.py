"""Messages about idempotency keys, answers, claims and living attempts."""

from __future__ import annotations

import dataclasses
import enum

from jujubewharf.peers import messages


class PullState(enum.IntEnum):
    """What an instance says of an answer that is asked for."""

    NOT_HERE = 0
    RUNNING = 1
    FINISHED = 2
    FAILED = 3
    ELSEWHERE = 4
    OTHER_BODY = 5


@messages.message(20)
@dataclasses.dataclass(frozen=True, slots=True)
class Register(messages.Message):
    """Asks a key's home to note who runs it; ``Registered`` says who does.

    Attributes:
        key: Digest of account and key.
        body: Digest of the request's body.
        owner: Instance that runs it.
        request_id: That run.
        replaces: Run that this one takes over from; empty for none.
        keep_ms: Time the record is kept.
        is_copy: Whether it comes from the key's other home.
        attempt_id: Latest attempt that was dispatched.
        engines: Engines that hold something for it.
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
    """A key's record; an empty ``request_id`` says that there is none."""

    body: bytes
    owner: str
    request_id: str
    attempt_id: str = ""
    engines: tuple[str, ...] = ()


@messages.message(22)
@dataclasses.dataclass(frozen=True, slots=True)
class Dispatched(messages.Message):
    """Tells a home which engines hold memory for the key's run."""

    key: bytes
    attempt_id: str
    engines: tuple[str, ...]


@messages.message(23)
@dataclasses.dataclass(frozen=True, slots=True)
class Lookup(messages.Message):
    """Asks a home for a key's record; answered by ``Registered``."""

    key: bytes


@messages.message(24)
@dataclasses.dataclass(frozen=True, slots=True)
class Pull(messages.Message):
    """Asks for an answer's tokens from a number on, waiting a while.

    Attributes:
        request_id: The run.
        key: Key that the asker was given; another key gets nothing.
        body: Digest of the body that came with it.
        first_index: Number of the first token wanted.
        wait_ms: Longest wait for it.
    """

    request_id: str
    key: bytes
    body: bytes
    first_index: int
    wait_ms: float


@messages.message(25)
@dataclasses.dataclass(frozen=True, slots=True)
class Pulled(messages.Message):
    """Tokens of an answer, and its end once there is one.

    Attributes:
        state: A ``PullState``.
        first_index: Number of the first token here.
        texts: Tokens.
        count: Tokens of the whole answer, when finished.
        digest: Digest of the whole answer, when finished.
        attempt_id: Attempt that finished it.
        kind: Error kind, when failed.
        ran: What may be said of a failed run.
        owner: Where it is, when elsewhere.
        request_id: Which run it is there.
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
class TakenOver(messages.Message):
    """Tells an owner that another instance runs its key now."""

    request_id: str
    by_owner: str
    by_request_id: str


@messages.message(27)
@dataclasses.dataclass(frozen=True, slots=True)
class AskNeeded(messages.Message):
    """Asks which attempts an instance still needs; passed on once.

    Attributes:
        owner: The instance.
        marks: Eight bytes for each attempt, see ``releases.mark_of``.
    """

    owner: str
    marks: bytes


@messages.message(28)
@dataclasses.dataclass(frozen=True, slots=True)
class NotNeeded(messages.Message):
    """The attempts, out of those asked for, that are not needed.

    Attributes:
        marks: Eight bytes for each attempt.
        is_owners_word: False when the owner could not be reached.
    """

    marks: bytes
    is_owners_word: bool = True


@messages.message(29)
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWanted(messages.Message):
    """Asks a claim shard's owner to claim a key on the log.

    Attributes:
        key: Digest of account and key.
        body: Digest of the request's body.
        owner: Instance that would run it.
        request_id: That run.
        replaces: Abandoned run that holds the key; empty for none.
        wall_ms: When the key was made, or when it was asked for.
        is_dated: Whether the key itself tells when it was made.
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
class ClaimHeld(messages.Message):
    """Who holds a key by the log; an empty ``request_id``: can't be told.

    Attributes:
        owner: Instance that holds it.
        request_id: The run that holds it.
        body: Digest of that run's body.
        is_expired: Whether the key is too old to be claimed.
        is_new: Whether the log was just read and shows no claim of the key.
    """

    owner: str = ""
    request_id: str = ""
    body: bytes = b""
    is_expired: bool = False
    is_new: bool = False


@messages.message(31)
@dataclasses.dataclass(frozen=True, slots=True)
class AskAbandoned(messages.Message):
    """Asks an owner whether it gave a run up before any dispatch."""

    request_id: str


@messages.message(32)
@dataclasses.dataclass(frozen=True, slots=True)
class Abandoned(messages.Message):
    """Whether the run never was and never will be dispatched."""

    is_abandoned: bool


@messages.message(33)
@dataclasses.dataclass(frozen=True, slots=True)
class HandOver(messages.Message):
    """Gives a finished answer to another instance before leaving.

    Attributes:
        account: Account of the caller.
        callers_key: The caller's key.
        body_digest: Digest of the request's body.
        request_id: The run that wrote it.
        is_repeatable: Whether the request may be repeated.
        packed: Its tokens, as ``requests.answer_cache`` packs them.
        count: Tokens of the whole answer.
        digest: Digest of the whole answer.
        attempt_id: Attempt that finished it.
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
class TookOver(messages.Message):
    """The answer is kept and its key's homes know."""


@messages.message(35)
@dataclasses.dataclass(frozen=True, slots=True)
class PullReply(messages.Message):
    """Asks for the reply to a plain call, waiting a while for its end."""

    request_id: str
    wait_ms: float


@messages.message(36)
@dataclasses.dataclass(frozen=True, slots=True)
class PulledReply(messages.Message):
    """The reply to a plain call, if it is whole.

    Attributes:
        is_running: Whether it may come yet.
        is_whole: Whether the rest is given.
        status: HTTP status.
        headers: End-to-end headers.
        body: The whole body.
    """

    is_running: bool = False
    is_whole: bool = False
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
