"""Table of all connections that clients have open, with bounds over all.

A crowd that opens connections, or begins heads and stops, would use up the
process's descriptors or its memory. At a bound those are ended that have sent
no whole head, the oldest first, then those idle for longest. Connections with a
request are left alone.
"""

from __future__ import annotations

import dataclasses
import enum
import resource
from typing import Protocol

from jujubewharf.connections import counts
from jujubewharf.connections import turns

# What a connection takes without any bytes: protocol, parser, task, buffers.
_BASE_BYTES = 16_384
# Share of the process's memory that connections and heads may take.
_MEMORY_SHARE = 1 / 8
_DEFAULT_MEMORY_MB = 256.0
_BYTES_PER_MB = 1_000_000
_MOST_DESCRIPTORS = 65_536
# A listener always takes a few, however little the process may open.
_MIN_COUNT = 8


class Kind(enum.Enum):
    """What connects to a listener."""

    CALLERS = "callers"
    PEERS = "peers"
    READINESS = "readiness"
    METRICS = "metrics"


# Shares of the descriptors; the rest is for calls to endpoints and the store.
_SHARES = {
    Kind.CALLERS: 1 / 2,
    Kind.PEERS: 1 / 4,
    Kind.READINESS: 1 / 32,
    Kind.METRICS: 1 / 32,
}


class Connection(Protocol):
    """A connection of the table."""

    @property
    def is_replaceable(self) -> bool:
        """Whether no request would be lost with it."""
        ...

    def end(self, reason: counts.Reason) -> None:
        """Ends it at once."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of all connections of a process.

    Attributes:
        max_count: Descriptors, of which each listener has a share.
        max_bytes: Bytes that connections and unfinished heads may take.
    """

    max_count: int
    max_bytes: int

    @classmethod
    def of_process(
        cls,
        *,
        max_descriptors: int | None = None,
        memory_mb: float | None = None,
    ) -> Bounds:
        """Derives the bounds from what this process may use.

        Args:
            max_descriptors: Descriptors that it may open, if that is fewer than
                the system lets it.
            memory_mb: Memory that it may use, in MB; ``None`` if unknown.
        """
        found, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if found == resource.RLIM_INFINITY:
            found = _MOST_DESCRIPTORS
        descriptors = min(max_descriptors or found, found, _MOST_DESCRIPTORS)
        memory_bytes = (memory_mb or _DEFAULT_MEMORY_MB) * _BYTES_PER_MB
        return cls(descriptors, int(memory_bytes * _MEMORY_SHARE))


class Connections:
    """All connections of a process.

    Args:
        bounds: Bounds over all listeners; ``None`` for those of the process.

    Attributes:
        held_bytes: Bytes that connections and unfinished heads take.
        turns: Turns of connections that cost much to read.
    """

    def __init__(self, bounds: Bounds | None = None) -> None:
        self.held_bytes = 0
        self.turns = turns.ReadTurns()
        self._bounds = bounds or Bounds.of_process()
        self._listeners: list[Listener] = []

    def listener(self, kind: Kind) -> Listener:
        """Adds a listener of a kind."""
        count = int(self._bounds.max_count * _SHARES[kind])
        listener = Listener(self, kind, max_count=max(_MIN_COUNT, count))
        self._listeners.append(listener)
        return listener

    @property
    def is_full(self) -> bool:
        """Whether connections take more than they may."""
        return self.held_bytes > self._bounds.max_bytes

    def make_room(self, connection: Connection) -> bool:
        """Ends others until all take no more than they may.

        Args:
            connection: A connection that isn't ended.

        Returns:
            Whether there is room.
        """
        while self.is_full:
            found = any(
                listener.replace_one(connection) for listener in self._listeners
            )
            if not found:
                return False
        return True


class Listener:
    """The connections of one listener.

    Args:
        connections: All connections of the process.
        kind: What connects to it.
        max_count: Connections that it may have.
    """

    def __init__(
        self, connections: Connections, kind: Kind, *, max_count: int
    ) -> None:
        self.name = kind.value
        self._all = connections
        self._max_count = max_count
        self._held_bytes: dict[Connection, int] = {}
        # In the order in which they got into this state.
        self._without_head: dict[Connection, None] = {}
        self._idle: dict[Connection, None] = {}

    def __len__(self) -> int:
        return len(self._held_bytes)

    def admit(self, connection: Connection) -> bool:
        """Adds a new connection; returns whether there is room for it."""
        while len(self) >= self._max_count:
            if not self.replace_one(connection):
                return False
        self._held_bytes[connection] = 0
        self._without_head[connection] = None
        self._hold(connection, _BASE_BYTES)
        if self._all.make_room(connection):
            return True
        self.remove(connection)
        return False

    def remove(self, connection: Connection) -> None:
        """Removes a connection that has ended."""
        self._all.held_bytes -= self._held_bytes.pop(connection, 0)
        self._without_head.pop(connection, None)
        self._idle.pop(connection, None)

    def record_head(self, connection: Connection, head_bytes: int) -> None:
        """Records that a connection has sent so much of an unfinished head."""
        if connection not in self._held_bytes:
            return
        self._idle.pop(connection, None)
        self._without_head.setdefault(connection)
        self._hold(connection, _BASE_BYTES + head_bytes)
        if self._all.is_full and not self._all.make_room(connection):
            connection.end(counts.Reason.NO_ROOM)

    def record_request(self, connection: Connection) -> None:
        """Records that a head is whole; the connection is left alone."""
        if connection not in self._held_bytes:
            return
        self._without_head.pop(connection, None)
        self._idle.pop(connection, None)
        self._hold(connection, _BASE_BYTES)

    def record_idle(self, connection: Connection) -> None:
        """Records that a connection has no request any more."""
        if connection in self._held_bytes:
            self._idle[connection] = None

    def replace_one(self, connection: Connection) -> bool:
        """Ends the connection that is missed least, but not the given one."""
        for candidates in (self._without_head, self._idle):
            for candidate in candidates:
                if candidate is not connection and candidate.is_replaceable:
                    self.remove(candidate)
                    candidate.end(counts.Reason.REPLACED)
                    return True
        return False

    def _hold(self, connection: Connection, size_bytes: int) -> None:
        self._all.held_bytes += size_bytes - self._held_bytes[connection]
        self._held_bytes[connection] = size_bytes
