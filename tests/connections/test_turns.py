"""Turns of connections that cost much to read."""

from __future__ import annotations

import asyncio

from jujubewharf.connections import turns


class _Reader:
    """Has always something to read."""

    def __init__(self, waiting: turns.ReadTurns) -> None:
        self.reads = 0
        self._turns = waiting

    def pause_turn(self) -> None:
        pass

    def resume_turn(self) -> None:
        self.reads += 1
        self._turns.wait(self)


async def test_a_turn_of_the_loop_reads_one_connection_however_many_wait():
    """A turn read all of a crowd, and others waited for as long."""
    waiting = turns.ReadTurns()
    readers = [_Reader(waiting) for _ in range(50)]
    for reader in readers:
        waiting.wait(reader)
    passes = 100
    for _ in range(passes):
        await asyncio.sleep(0)
    assert sum(reader.reads for reader in readers) <= passes
    # They take turns.
    assert {reader.reads for reader in readers} <= {1, 2}


async def test_removed_connection_gets_no_turn():
    waiting = turns.ReadTurns()
    first, second = _Reader(waiting), _Reader(waiting)
    waiting.wait(first)
    waiting.wait(second)
    waiting.remove(first)
    await asyncio.sleep(0)
    assert (first.reads, second.reads) == (0, 1)
