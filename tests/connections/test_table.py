"""Which connections make room for others."""

from __future__ import annotations

import dataclasses

from jujubewharf.connections import counts
from jujubewharf.connections import table


@dataclasses.dataclass(eq=False)
class _Connection:
    is_replaceable: bool = True
    ended: counts.Reason | None = None

    def end(self, reason: counts.Reason) -> None:
        self.ended = reason


def _listener(
    *, max_count: int = 8, max_bytes: int = 10_000_000
) -> table.Listener:
    bounds = table.Bounds(max_count * 2, max_bytes)
    return table.Connections(bounds).listener(table.Kind.CALLERS)


def _admitted(listener, count: int) -> list[_Connection]:
    found = [_Connection() for _ in range(count)]
    assert all(listener.admit(connection) for connection in found)
    return found


def test_oldest_without_a_head_makes_room_then_the_longest_idle():
    """A crowd that opens connections and waits kept all places."""
    listener = _listener()
    idle, *silent = _admitted(listener, 8)
    listener.record_request(idle)
    listener.record_idle(idle)
    for position in range(7):
        _admitted(listener, 1)
        assert silent[position].ended is counts.Reason.REPLACED
        assert idle.ended is None
        assert len(listener) == 8


def test_connections_with_a_request_are_never_replaced():
    """A request that an engine ran lost its answer."""
    listener = _listener()
    busy = _admitted(listener, 8)
    for connection in busy:
        listener.record_request(connection)
    assert not listener.admit(_Connection())
    assert not any(connection.ended for connection in busy)
    listener.record_idle(busy[3])
    _admitted(listener, 1)
    assert busy[3].ended is counts.Reason.REPLACED


def test_idle_connection_with_an_unsent_answer_is_left_alone():
    """A slow caller lost the end of its answer."""
    listener = _listener()
    slow, *others = _admitted(listener, 8)
    for connection in (slow, *others):
        listener.record_request(connection)
        listener.record_idle(connection)
    slow.is_replaceable = False
    _admitted(listener, 1)
    assert slow.ended is None
    assert others[0].ended is counts.Reason.REPLACED


def test_unfinished_heads_take_no_more_than_their_share_of_the_memory():
    """Each was within its bound, and all together beyond the machine's."""
    listener = _listener(max_count=100, max_bytes=500_000)
    connections = _admitted(listener, 20)
    for connection in connections:
        listener.record_head(connection, 30_000)
    kept = [c for c in connections if c.ended is None]
    assert kept == connections[-len(kept) :]
    assert len(kept) * 30_000 <= 500_000
    kept_bytes = listener._all.held_bytes
    assert kept_bytes <= 500_000
    for connection in kept:
        listener.remove(connection)
    assert listener._all.held_bytes == 0


def test_one_listeners_crowd_takes_no_places_of_another():
    connections = table.Connections(table.Bounds(256, 10_000_000))
    callers = connections.listener(table.Kind.CALLERS)
    peers = connections.listener(table.Kind.PEERS)
    busy = _admitted(callers, 128)
    for connection in busy:
        callers.record_request(connection)
    assert not callers.admit(_Connection())
    assert peers.admit(_Connection())
