"""Cache of ended answers for callers that ask again."""

from __future__ import annotations

import collections
import dataclasses

import msgpack

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.requests import answer as answers
from jujubewharf.requests import model_request

MAX_BYTES = 8_000_000
RETENTION_MS = 120_000.0
CLAIMED_RETENTION_MS = 900_000.0
_OVERHEAD_BYTES = 600


@dataclasses.dataclass(frozen=True, slots=True)
class CachedAnswer:
    """One ended answer in packed form.

    Attributes:
        request: The request without its prompt.
        end: How the answer ended.
        packed: Tokens of the answer as msgpack.
        expires_ms: Clock reading at which the answer expires, in ms.
    """

    request: model_request.ModelRequest
    end: answers.End
    packed: bytes
    expires_ms: float

    @property
    def size_bytes(self) -> int:
        """Memory charged for the answer, in bytes."""
        return len(self.packed) + _OVERHEAD_BYTES

    def texts(self) -> tuple[str, ...]:
        """Unpacks the tokens."""
        return tuple(msgpack.unpackb(self.packed))


class AnswerCache:
    """Ended answers, limited in age and bytes; the oldest are evicted first.

    Args:
        clock: Source of time.
        max_bytes: Memory limit in bytes.
    """

    def __init__(
        self, clock: clocks.Clock, *, max_bytes: int = MAX_BYTES
    ) -> None:
        self._clock = clock
        self._max_bytes = max_bytes
        self._bytes = 0
        self._by_id: collections.OrderedDict[str, CachedAnswer] = (
            collections.OrderedDict()
        )
        self._id_of_key: dict[bytes, str] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def add(
        self,
        key: bytes,
        request: model_request.ModelRequest,
        answer: answers.Answer,
    ) -> None:
        """Adds an answer that has ended."""
        assert answer.end is not None
        packed = msgpack.packb(answer.texts)
        self.add_packed(key, request, answer.end, packed)

    def add_packed(
        self,
        key: bytes,
        request: model_request.ModelRequest,
        end: answers.End,
        packed: bytes,
    ) -> None:
        """Adds an answer whose tokens are already packed."""
        keep_ms = (
            RETENTION_MS if request.is_repeatable else CLAIMED_RETENTION_MS
        )
        cached = CachedAnswer(
            dataclasses.replace(request, prompt=""),
            _end_for_retries(end),
            packed,
            self._clock.now_ms() + keep_ms,
        )
        self._drop(request.request_id)
        self._by_id[request.request_id] = cached
        self._id_of_key[key] = request.request_id
        self._bytes += cached.size_bytes
        self._evict()

    def by_id(self, request_id: str) -> CachedAnswer | None:
        """Returns the answer of a run, unless it has expired."""
        cached = self._by_id.get(request_id)
        if cached is None or cached.expires_ms <= self._clock.now_ms():
            return None
        return cached

    def by_key(self, key: bytes) -> CachedAnswer | None:
        """Returns the latest answer of a key."""
        request_id = self._id_of_key.get(key)
        return None if request_id is None else self.by_id(request_id)

    def forget_key(self, key: bytes) -> None:
        """Removes the answer of a key that is about to run again."""
        request_id = self._id_of_key.get(key)
        if request_id is not None:
            self._drop(request_id)

    def items(self) -> list[tuple[bytes, CachedAnswer]]:
        """Returns all answers with their keys."""
        return [
            (key, self._by_id[request_id])
            for key, request_id in self._id_of_key.items()
            if request_id in self._by_id
        ]

    def expire(self) -> None:
        """Removes expired answers."""
        now_ms = self._clock.now_ms()
        due = [i for i, k in self._by_id.items() if k.expires_ms <= now_ms]
        for request_id in due:
            self._drop(request_id)
        stale = [k for k, i in self._id_of_key.items() if i not in self._by_id]
        for key in stale:
            del self._id_of_key[key]

    def _evict(self) -> None:
        while self._bytes > self._max_bytes:
            self._drop(next(iter(self._by_id)))

    def _drop(self, request_id: str) -> None:
        cached = self._by_id.pop(request_id, None)
        if cached is not None:
            self._bytes -= cached.size_bytes


def _end_for_retries(end: answers.End) -> answers.End:
    """Returns the end to report to callers that ask again.

    A run that was cancelled because its caller left has an unknown outcome for
    other callers.
    """
    match end:
        case model_request.Failed(errors.ErrorKind.CANCELLED, ran) if (
            ran is not errors.Ran.NO
        ):
            kind = errors.ErrorKind.OUTCOME_UNKNOWN
            return model_request.Failed(kind, errors.Ran.UNKNOWN)
    return end
