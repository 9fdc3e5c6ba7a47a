"""Follows an answer that another instance runs."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.membership import view as views
from jujubewharf.peers import key_messages
from jujubewharf.peers import network
from jujubewharf.requests import answer as answers
from jujubewharf.requests import model_request

_WAIT_MS = 1_000.0
_ANSWER_MS = 1_500.0
_RETRY_MS = 300.0
_MAX_FAILURES = 3

# A run that ended like this left no answer, and its caller is still here.
_CUT_SHORT = frozenset(
    {errors.ErrorKind.CANCELLED, errors.ErrorKind.SHUTTING_DOWN}
)

AskSelf = Callable[[key_messages.Pull], Awaitable[key_messages.Pulled]]


class Ending(enum.Enum):
    """How following ended."""

    DONE = "done"
    NOT_THERE = "not_there"
    UNREACHABLE = "unreachable"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """How following ended.

    Attributes:
        ending: Only ``DONE`` gave the answer an end.
        failure: The run's failure when ``FAILED``.
    """

    ending: Ending
    failure: model_request.Failed | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """A run at an instance."""

    owner: str
    request_id: str


class Relay:
    """Pulls answers from other instances.

    Args:
        peers: Messages to other instances.
        membership: Who is suspected.
        clock: Time.
        ask_self: Answers a pull at this very instance.
    """

    def __init__(
        self,
        peers: network.PeerNetwork,
        membership: views.MembershipView,
        clock: clocks.Clock,
        ask_self: AskSelf,
    ) -> None:
        self._peers = peers
        self._membership = membership
        self._clock = clock
        self._ask_self = ask_self

    async def follow(
        self,
        source: Source,
        own: Source,
        key: bytes,
        body: bytes,
        answer: answers.Answer,
    ) -> Result:
        """Passes a run's tokens on to an answer, until its end.

        Tokens that the answer has already are compared and left out.

        Args:
            source: The run to follow.
            own: The request that follows it; two that followed one another
                would wait for ever.
            key: Digest of account and key.
            body: Digest of the request's body.
            answer: Where the tokens go.

        Raises:
            WharfError: The answer is broken, or the body is another.
        """
        index = 0
        is_first = True
        while True:
            pulled = await self._pull(source, key, body, index)
            if pulled is None:
                return Result(Ending.UNREACHABLE)
            match key_messages.PullState(pulled.state):
                case key_messages.PullState.NOT_HERE:
                    return Result(Ending.NOT_THERE)
                case key_messages.PullState.OTHER_BODY:
                    raise errors.WharfError(errors.ErrorKind.KEY_CONFLICT)
                case key_messages.PullState.ELSEWHERE:
                    source = Source(pulled.owner, pulled.request_id)
                    if source == own:
                        return Result(Ending.NOT_THERE)
                    await self._clock.sleep_ms(_RETRY_MS)
                    continue
                case key_messages.PullState.FAILED:
                    failure = _failure(pulled)
                    if is_first or failure.kind in _CUT_SHORT:
                        return Result(Ending.FAILED, failure)
                    answer.finish(failure)
                    return Result(Ending.DONE)
            index = _take(answer, index, pulled)
            is_first = False
            if pulled.state == key_messages.PullState.FINISHED:
                if index >= pulled.count:
                    _finish(answer, pulled)
                    return Result(Ending.DONE)

    async def _pull(
        self, source: Source, key: bytes, body: bytes, index: int
    ) -> key_messages.Pulled | None:
        message = key_messages.Pull(
            source.request_id, key, body, index, _WAIT_MS
        )
        if source.owner == self._peers.instance:
            return await self._ask_self(message)
        for failures in range(1, _MAX_FAILURES + 1):
            try:
                answer = await self._peers.ask(
                    source.owner, message, timeout_ms=_WAIT_MS + _ANSWER_MS
                )
            except network.PeerError:
                if self._membership.is_suspected(source.owner):
                    return None
                await self._clock.sleep_ms(_RETRY_MS * failures)
                continue
            assert isinstance(answer, key_messages.Pulled)
            return answer
        return None


def _take(
    answer: answers.Answer, index: int, pulled: key_messages.Pulled
) -> int:
    """Appends what is new; a hole or another text breaks the answer."""
    texts = list(pulled.texts)
    known = answer.texts[index : index + len(texts)]
    is_broken = pulled.first_index != index or texts[: len(known)] != known
    if is_broken:
        raise errors.WharfError(errors.ErrorKind.ANSWER_BROKEN)
    if len(texts) > len(known):
        answer.add(texts[len(known) :])
    return index + len(texts)


def _finish(answer: answers.Answer, pulled: key_messages.Pulled) -> None:
    whole = (len(answer.texts), answer.digest)
    if whole != (pulled.count, pulled.digest):
        raise errors.WharfError(errors.ErrorKind.ANSWER_BROKEN)
    answer.finish(
        model_request.Finished(pulled.count, pulled.digest, pulled.attempt_id)
    )


def _failure(pulled: key_messages.Pulled) -> model_request.Failed:
    kind = errors.ErrorKind(pulled.kind)
    return model_request.Failed(kind, errors.Ran(pulled.ran))
