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

# Bounds of what a message may state.
_MAX_STREAMS = 1_000
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
        return cls(
            tuple(
                BegunStream(
                    record.key,
                    record.service,
                    record.version,
                    _bounded_ms(now_ms - record.began_ms),
                    _bounded_ms(record.keep_until_ms - now_ms),
                )
                for record in records
            )
        )

    def records(self, now_ms: float) -> Iterator[origins.OriginRecord]:
        """Returns the streams with clock readings of the receiver."""
        for stream in itertools.islice(self.streams, _MAX_STREAMS):
            yield origins.OriginRecord(
                stream.key,
                stream.service,
                stream.version,
                now_ms - _bounded_ms(stream.age_ms),
                now_ms + _bounded_ms(stream.left_ms),
            )


@messages.message(191)
@dataclasses.dataclass(frozen=True, slots=True)
class OriginRequest(messages.Message):
    """Asks the leader where a stream began."""

    key: bytes


@messages.message(192)
@dataclasses.dataclass(frozen=True, slots=True)
class OriginReply(messages.Message):
    """Reply to ``OriginRequest``; ``None`` if the leader doesn't know."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class KnownVersion:
    """A software version that a service has or had.

    Attributes:
        service: The service.
        version: The version.
        first_age_ms: Time since it was first known.
        last_age_ms: Time since it was last registered.
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
            _bounded_ms(history.complete_for_ms),
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
