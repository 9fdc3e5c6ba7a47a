"""Messages about where streams began; numbers 190 to 199.

Times are durations rather than timestamps, because clocks differ between
instances. They are whole milliseconds, which take fewer bytes.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools

from jujubewharf.peers import messages
from jujubewharf.stream_versions import origins
from jujubewharf.stream_versions import version_history

# Capability of instances whose registrations state software versions, in their
# hellos.
CAPABILITY = "software_versions"
# Capability of instances that keep where the streams of others began.
REPLICA_CAPABILITY = "origin_replicas"
# Capability of leaders that have the store keep the streams of followers.
STORE_CAPABILITY = "stored_origins"

# Bounds of what a message may state.
_MAX_STREAMS = 1_000
_MAX_KEY_BYTES = 64
_MAX_TEXT = 256
_MAX_REPLICAS = 1_000
_MAX_VERSIONS = 10_000
_MAX_MS = 3_600_000


@dataclasses.dataclass(frozen=True, slots=True)
class BegunStream:
    """Where one stream began.

    Attributes:
        key: See ``origins.stream_key``.
        service: Service of the engine.
        version: Software version of the engine; ``None`` if in doubt.
        age_ms: Time since it began.
        left_ms: Time for which it may be resumed.
    """

    key: bytes
    service: str
    version: str | None
    age_ms: int
    left_ms: int

    @property
    def is_bounded(self) -> bool:
        """Whether it takes no more memory than a stream should."""
        texts = (self.service, self.version or "")
        return len(self.key) <= _MAX_KEY_BYTES and all(
            len(text) <= _MAX_TEXT for text in texts
        )

    @classmethod
    def from_record(
        cls, record: origins.OriginRecord, now_ms: float
    ) -> BegunStream:
        """Creates it from what is remembered."""
        return cls(
            record.key,
            record.service,
            record.version,
            _bounded_ms(now_ms - record.began_ms),
            _bounded_ms(record.keep_until_ms - now_ms),
        )

    def record(self, now_ms: float) -> origins.OriginRecord:
        """Returns the stream with clock readings of the receiver."""
        return origins.OriginRecord(
            self.key,
            self.service,
            self.version,
            now_ms - _bounded_ms(self.age_ms),
            now_ms + _bounded_ms(self.left_ms),
        )


@messages.message(190)
@dataclasses.dataclass(frozen=True, slots=True)
class StreamsBegan(messages.Message):
    """Streams that began, of late on a new link to a leader."""

    streams: tuple[BegunStream, ...]

    @classmethod
    def from_records(
        cls, records: Iterable[origins.OriginRecord], now_ms: float
    ) -> StreamsBegan:
        """Creates a message from what is remembered."""
        return cls(tuple(BegunStream.from_record(r, now_ms) for r in records))

    def records(self, now_ms: float) -> Iterator[origins.OriginRecord]:
        """Returns the streams with clock readings of the receiver."""
        for stream in itertools.islice(self.streams, _MAX_STREAMS):
            if stream.is_bounded:
                yield stream.record(now_ms)


@messages.message(198)
@dataclasses.dataclass(frozen=True, slots=True)
class StreamsToStore(messages.Message):
    """Streams that began at a follower, for the leader to have stored."""

    streams: tuple[BegunStream, ...]

    @classmethod
    def from_records(
        cls, records: Iterable[origins.OriginRecord], now_ms: float
    ) -> StreamsToStore:
        """Creates a message from what is remembered."""
        return cls(tuple(BegunStream.from_record(r, now_ms) for r in records))

    def records(self, now_ms: float) -> Iterator[origins.OriginRecord]:
        """Returns the streams with clock readings of the receiver."""
        yield from StreamsBegan(self.streams).records(now_ms)


@messages.message(191)
@dataclasses.dataclass(frozen=True, slots=True)
class OriginRequest(messages.Message):
    """Asks a replica, or a leader of an older build, where a stream began."""

    key: bytes


@messages.message(192)
@dataclasses.dataclass(frozen=True, slots=True)
class OriginReply(messages.Message):
    """Reply to ``OriginRequest``; ``None`` if the receiver doesn't know."""

    stream: BegunStream | None

    def origin(self) -> origins.StreamOrigin | None:
        """Returns where the stream began; ``None`` if it isn't known."""
        if self.stream is None:
            return None
        return origins.StreamOrigin(
            self.stream.service,
            self.stream.version,
            origins.KnownBy.LEADER,
            float(self.stream.age_ms),
        )


@messages.message(194)
@dataclasses.dataclass(frozen=True, slots=True)
class StreamCopy(messages.Message):
    """Asks a replica to keep where one stream began.

    Its fields are those of ``BegunStream``, which take fewer bytes here.
    """

    key: bytes
    service: str
    version: str | None
    age_ms: int
    left_ms: int

    @classmethod
    def from_record(
        cls, record: origins.OriginRecord, now_ms: float
    ) -> StreamCopy:
        """Creates a message from what is remembered."""
        stream = BegunStream.from_record(record, now_ms)
        return cls(
            stream.key,
            stream.service,
            stream.version,
            stream.age_ms,
            stream.left_ms,
        )

    def stream(self) -> BegunStream:
        """Returns the stream."""
        return BegunStream(
            self.key, self.service, self.version, self.age_ms, self.left_ms
        )


@messages.message(195)
@dataclasses.dataclass(frozen=True, slots=True)
class StreamsRequest(messages.Message):
    """Asks a replica for all streams that it remembers.

    They are sent as ``StreamsBegan`` before the reply.
    """


@messages.message(196)
@dataclasses.dataclass(frozen=True, slots=True)
class StreamsKept(messages.Message):
    """Reply to ``StreamCopy`` and ``StreamsRequest``."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaAddress:
    """An instance that keeps where the streams of others began.

    Attributes:
        address: ``IP:PORT``.
        domain: Its failure domain.
    """

    address: str
    domain: str


@messages.message(197)
@dataclasses.dataclass(frozen=True, slots=True)
class OriginReplicas(messages.Message):
    """The replicas that the leader chose, or the last ones that it chose."""

    replicas: tuple[ReplicaAddress, ...]

    def bounded(self) -> tuple[ReplicaAddress, ...]:
        """Returns the replicas, up to the largest number that is accepted."""
        return self.replicas[:_MAX_REPLICAS]


@dataclasses.dataclass(frozen=True, slots=True)
class KnownVersion:
    """A software version that a service has or had.

    Attributes:
        service: The service.
        version: The version.
        first_age_ms: Time since it was first known.
        last_age_ms: Time since it was last registered, or began a stream.
    """

    service: str
    version: str
    first_age_ms: int
    last_age_ms: int


@messages.message(193)
@dataclasses.dataclass(frozen=True, slots=True)
class VersionsSeen(messages.Message):
    """Software versions that the sender has seen, first on each link.

    Attributes:
        versions: The versions.
        complete_for_ms: Time for which the sender can't have missed any.
    """

    versions: tuple[KnownVersion, ...]
    complete_for_ms: int

    @classmethod
    def from_history(
        cls, history: version_history.VersionHistory, now_ms: float
    ) -> VersionsSeen:
        """Creates a message from what this instance has seen."""
        return cls(
            tuple(
                KnownVersion(
                    seen.service,
                    seen.version,
                    _bounded_ms(now_ms - seen.first_ms),
                    _bounded_ms(now_ms - seen.last_ms),
                )
                for seen in history.seen()
            ),
            _bounded_ms(history.told_complete_for_ms),
        )

    def seen(self, now_ms: float) -> Iterator[version_history.SeenVersion]:
        """Returns the versions with clock readings of the receiver."""
        for known in itertools.islice(self.versions, _MAX_VERSIONS):
            yield version_history.SeenVersion(
                known.service,
                known.version,
                now_ms - _bounded_ms(known.first_age_ms),
                now_ms - _bounded_ms(known.last_age_ms),
            )


def _bounded_ms(value: float) -> int:
    return int(min(max(0.0, value), _MAX_MS))
