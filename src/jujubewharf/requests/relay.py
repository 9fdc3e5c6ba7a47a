"""Relays answers that other instances run."""

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

_PULL_WAIT_MS = 1_000.0
_PULL_SLACK_MS = 1_500.0
_RETRY_DELAY_MS = 300.0
_MAX_FAILURES = 3

# Failures after which a request that still has a caller may run again.
_INTERRUPTED_KINDS = frozenset(
    {errors.ErrorKind.CANCELLED, errors.ErrorKind.SHUTTING_DOWN}
)

PullHandler = Callable[
    [key_messages.PullRequest], Awaitable[key_messages.PullReply]
]


class FollowOutcome(enum.Enum):
    """Outcome of following a run."""

    DONE = "done"
    NOT_THERE = "not_there"
    UNREACHABLE = "unreachable"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class FollowResult:
    """Outcome of following a run, with its failure.

    Attributes:
        outcome: The outcome. The local answer has ended only if ``DONE``.
        failure: Failure of the run if ``FAILED``.
    """

    outcome: FollowOutcome
    failure: model_request.Failed | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """A run and the instance that owns it.

    Attributes:
        owner: Name of the instance.
        request_id: Id of the run.
    """

    owner: str
    request_id: str


class Relay:
    """Pulls answers from other instances.

    Args:
        peers: Messaging between instances.
        membership: Provides the suspected instances.
        clock: Source of time.
        ask_self: Handles pulls whose source is this instance.
    """

    def __init__(
        self,
        peers: network.PeerNetwork,
        membership: views.MembershipView,
        clock: clocks.Clock,
        ask_self: PullHandler,
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
    ) -> FollowResult:
        """Adds the tokens of a run to an answer until the run ends.

        Tokens that the answer already has are compared and skipped.

        Args:
            source: Run to follow.
            own: Run on whose behalf it is followed. Detects two runs that
                follow each other, which would wait forever.
            key: Digest of account and key.
            body: Digest of the request body.
            answer: Answer to add tokens to.

        Raises:
            WharfError: ``ANSWER_BROKEN`` or ``KEY_CONFLICT``.
        """
        index = 0
        is_first = True
        while True:
            pulled = await self._pull(source, key, body, index)
            if pulled is None:
                return FollowResult(FollowOutcome.UNREACHABLE)
            match key_messages.PullState(pulled.state):
                case key_messages.PullState.NOT_HERE:
                    return FollowResult(FollowOutcome.NOT_THERE)
                case key_messages.PullState.OTHER_BODY:
                    raise errors.WharfError(errors.ErrorKind.KEY_CONFLICT)
                case key_messages.PullState.ELSEWHERE:
                    source = Source(pulled.owner, pulled.request_id)
                    if source == own:
                        return FollowResult(FollowOutcome.NOT_THERE)
                    await self._clock.sleep_ms(_RETRY_DELAY_MS)
                    continue
                case key_messages.PullState.FAILED:
                    failure = _failure(pulled)
                    if is_first or failure.kind in _INTERRUPTED_KINDS:
                        return FollowResult(FollowOutcome.FAILED, failure)
                    answer.finish(failure)
                    return FollowResult(FollowOutcome.DONE)
            index = _add_pulled(answer, index, pulled)
            is_first = False
            if pulled.state == key_messages.PullState.FINISHED:
                if index >= pulled.count:
                    _finish(answer, pulled)
                    return FollowResult(FollowOutcome.DONE)

    async def _pull(
        self, source: Source, key: bytes, body: bytes, index: int
    ) -> key_messages.PullReply | None:
        message = key_messages.PullRequest(
            source.request_id, key, body, index, _PULL_WAIT_MS
        )
        if source.owner == self._peers.instance:
            return await self._ask_self(message)
        for failures in range(1, _MAX_FAILURES + 1):
            try:
                answer = await self._peers.ask(
                    source.owner,
                    message,
                    timeout_ms=_PULL_WAIT_MS + _PULL_SLACK_MS,
                )
            except network.PeerError:
                if self._membership.is_suspected(source.owner):
                    return None
                await self._clock.sleep_ms(_RETRY_DELAY_MS * failures)
                continue
            assert isinstance(answer, key_messages.PullReply)
            return answer
        return None


def _add_pulled(
    answer: answers.Answer, index: int, pulled: key_messages.PullReply
) -> int:
    """Appends new tokens; raises on a gap or on tokens that differ."""
    texts = list(pulled.texts)
    known = answer.texts[index : index + len(texts)]
    is_broken = pulled.first_index != index or texts[: len(known)] != known
    if is_broken:
        raise errors.WharfError(errors.ErrorKind.ANSWER_BROKEN)
    if len(texts) > len(known):
        answer.add(texts[len(known) :])
    return index + len(texts)


def _finish(answer: answers.Answer, pulled: key_messages.PullReply) -> None:
    actual = (len(answer.texts), answer.digest)
    if actual != (pulled.count, pulled.digest):
        raise errors.WharfError(errors.ErrorKind.ANSWER_BROKEN)
    answer.finish(
        model_request.Finished(pulled.count, pulled.digest, pulled.attempt_id)
    )


def _failure(pulled: key_messages.PullReply) -> model_request.Failed:
    kind = errors.ErrorKind(pulled.kind)
    return model_request.Failed(kind, errors.Ran(pulled.ran))
