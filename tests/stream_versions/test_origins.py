"""Memory of where streams began."""

from __future__ import annotations

import dataclasses

from jujubewharf import clock as clocks
from jujubewharf.experiments import virtual_time
from jujubewharf.stream_versions import origins
from tests.forwarding import deployments

V1 = origins.StreamOrigin("llm", "v1")
V2 = origins.StreamOrigin("llm", "v2")


def _run(test):
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        await test(origins.StreamOrigins(clock, max_streams=3), clock)

    virtual_time.run(main())


def test_streams_are_forgotten_after_their_time():
    async def test(memory, clock):
        memory.record(b"a", V1, keep_ms=1_000.0)
        await clock.sleep_ms(900.0)
        found = memory.find(b"a")
        assert found == V1
        assert found.age_ms == 900.0
        await clock.sleep_ms(200.0)
        assert memory.find(b"a") is None
        assert memory.records() == ()

    _run(test)


def test_oldest_streams_give_way():
    async def test(memory, clock):
        for key in (b"a", b"b", b"c"):
            memory.record(key, V1, keep_ms=1_000.0)
        memory.record(b"a", V1, keep_ms=1_000.0)
        memory.record(b"d", V1, keep_ms=1_000.0)
        assert len(memory) == 3
        assert memory.find(b"b") is None
        assert memory.find(b"a") == V1

    _run(test)


# An id that is used twice would have the stream go on at the wrong version.
def test_stream_of_two_versions_is_in_doubt():
    async def test(memory, clock):
        memory.record(b"a", V1, keep_ms=1_000.0)
        memory.record(b"a", V2, keep_ms=1_000.0)
        assert memory.find(b"a").version is None
        memory.record(b"a", V1, keep_ms=1_000.0)
        assert memory.find(b"a").version is None

    _run(test)


# A caller could have named another account's stream, and changed its version.
def test_key_covers_the_caller():
    call = deployments.Deployment().call
    keys = set()

    async def main():
        one = call("/verdicts/1", account="one")
        keys.add(origins.stream_key(one, "r"))
        keys.add(origins.stream_key(one, "s"))
        for changes in (
            {"account": "two"},
            {"host": "other.example"},
            {"headers": (("authorization", "Bearer k"),)},
        ):
            other = dataclasses.replace(one, **changes)
            keys.add(origins.stream_key(other, "r"))

    virtual_time.run(main())
    assert len(keys) == 5
