"""Where recent streams began: service and software version of the engine.

What engines of two software versions write doesn't fit together, and engines
don't check it. A caller may resume a stream at any instance, which therefore
has to learn where the stream began.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib

from jujubewharf import bearer
from jujubewharf import clock as clocks
from jujubewharf.forwarding import calls

# Number of streams that are remembered; the oldest give way.
_MAX_STREAMS = 20_000
_KEY_BYTES = 16
_LENGTH_BYTES = 8


class KnownBy(enum.Enum):
    """How an instance knows the version of a stream.

    ``ANSWER``: it forwards the stream itself. ``MEMORY``: it was told when the
    stream began, or forwarded the beginning. ``REPLICA``: a replica was asked.
    ``LEADER``: a leader of an older build was asked. ``STORE``: the platform's
    store was read, as nobody in reach remembers.
    ``ONLY_VERSION``: the service has had no other version for as long as
    streams last.
    """

    ANSWER = "answer"
    MEMORY = "memory"
    REPLICA = "replica"
    LEADER = "leader"
    STORE = "store"
    ONLY_VERSION = "only_version"


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    Attributes:
        service: Service of the engine.
        version: Software version of the engine; ``None`` if it is in doubt, and
            no engine may go on with the stream.
        known_by: How this instance knows it.
        age_ms: Time since the stream began; ``None`` if unknown.
    """

    service: str
    version: str | None
    known_by: KnownBy = dataclasses.field(default=KnownBy.ANSWER, compare=False)
    age_ms: float | None = dataclasses.field(default=None, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class OriginRecord:
    """What is remembered of one stream.

    Attributes:
        key: See ``stream_key``.
        service: Service of the engine that began it.
        version: Software version of that engine; ``None`` if in doubt.
        began_ms: Clock reading when it began.
        keep_until_ms: Clock reading until which it may be resumed.
    """

    key: bytes
    service: str
    version: str | None
    began_ms: float
    keep_until_ms: float


class StreamOrigins:
    """Remembers where recent streams began.

    Args:
        clock: Time source.
        max_streams: Number of streams that are remembered.
        known_by: How those that are found are known.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        *,
        max_streams: int = _MAX_STREAMS,
        known_by: KnownBy = KnownBy.MEMORY,
    ) -> None:
        self._clock = clock
        self._known_by = known_by
        self._max_streams = max_streams
        # In order of the last change, so that the oldest come first.
        self._records: dict[bytes, OriginRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def record(
        self, key: bytes, origin: StreamOrigin, *, keep_ms: float
    ) -> OriginRecord:
        """Remembers where a stream began; returns what is known now."""
        now_ms = self._clock.now_ms()
        return self.merge(
            OriginRecord(
                key,
                origin.service,
                origin.version,
                began_ms=now_ms - (origin.age_ms or 0.0),
                keep_until_ms=now_ms + keep_ms,
            )
        )

    def merge(self, record: OriginRecord) -> OriginRecord:
        """Takes a record over; returns what is known of the stream now.

        Two requests of one id began at different versions, or a caller has used
        the id of another stream: neither may then be resumed.
        """
        known = self._records.pop(record.key, None)
        if known is not None:
            record = _merged(known, record)
        self._records[record.key] = record
        self._remove_oldest()
        return record

    def find(self, key: bytes) -> StreamOrigin | None:
        """Returns where a stream began; ``None`` if it isn't remembered."""
        record = self.record_of(key)
        if record is None:
            return None
        return StreamOrigin(
            record.service,
            record.version,
            self._known_by,
            self._clock.now_ms() - record.began_ms,
        )

    def record_of(self, key: bytes) -> OriginRecord | None:
        """Returns what is remembered of a stream that may be resumed."""
        record = self._records.get(key)
        if record is None or record.keep_until_ms < self._clock.now_ms():
            return None
        return record

    def records(self) -> tuple[OriginRecord, ...]:
        """Returns all streams that may still be resumed, the oldest first."""
        now_ms = self._clock.now_ms()
        return tuple(
            record
            for record in self._records.values()
            if record.keep_until_ms >= now_ms
        )

    def _remove_oldest(self) -> None:
        now_ms = self._clock.now_ms()
        while self._records:
            oldest = next(iter(self._records.values()))
            is_over = oldest.keep_until_ms < now_ms
            if not is_over and len(self._records) <= self._max_streams:
                return
            del self._records[oldest.key]


def stream_key(call: calls.Call, request_id: str) -> bytes:
    """Returns the key of a stream that a caller's request began.

    It covers the caller, so that nobody can name the stream of another account.

    Args:
        call: A request of the same caller.
        request_id: Id of the request that brought the first event.
    """
    tokens = [v for n, v in call.headers if n.lower() == bearer.HEADER.lower()]
    digest = hashlib.blake2b(digest_size=_KEY_BYTES)
    for field in (call.host.lower(), call.account or "", request_id, *tokens):
        data = field.encode(errors="surrogateescape")
        digest.update(len(data).to_bytes(_LENGTH_BYTES, "big") + data)
    return digest.digest()


def _merged(known: OriginRecord, other: OriginRecord) -> OriginRecord:
    is_same = (known.service, known.version) == (other.service, other.version)
    return OriginRecord(
        known.key,
        known.service,
        known.version if is_same else None,
        min(known.began_ms, other.began_ms),
        max(known.keep_until_ms, other.keep_until_ms),
    )
