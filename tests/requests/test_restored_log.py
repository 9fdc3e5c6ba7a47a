"""The log comes back from a copy and has lost acknowledged claims."""

from __future__ import annotations

import contextlib

import aiohttp
from aiohttp import web
import pytest

from jujubewharf import clock as clocks
from jujubewharf.platform import http_log
from jujubewharf.platform import log
from jujubewharf.requests import claim_records
from jujubewharf.requests import claim_shard
from jujubewharf.standins import log as log_standins

KEY = b"\x00\x00\x00\x00key"


@contextlib.asynccontextmanager
async def _log_server():
    """A log over HTTP; yields its state and a function that makes clients."""
    clock = clocks.Clock()
    memory_log = log_standins.MemoryLog(clock, append_ms=0.0)
    runner = web.AppRunner(log_standins.LogServer(memory_log).app())
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    url = f"http://127.0.0.1:{runner.addresses[0][1]}"
    try:
        async with aiohttp.ClientSession() as session:
            yield memory_log, lambda: http_log.HttpLog(url, session, clock)
    finally:
        await runner.cleanup()


def _shard(client) -> claim_shard.ClaimShard:
    return claim_shard.ClaimShard(
        0, client, clocks.Clock(), claim_shard.Retention()
    )


def _claim(request_id: str) -> claim_records.ClaimRecord:
    return claim_records.ClaimRecord(
        KEY, b"", "e1", request_id, "", clocks.Clock().wall_ms(), False
    )


@pytest.mark.parametrize("more", [0, 1, 3])
async def test_lost_claim_is_not_won_again(more):
    """An instance that used the log before the restore claims nothing more.

    As much or more is appended again, so that no offset tells.
    """
    async with _log_server() as (memory_log, new_client):
        client, other = _shard(new_client()), _shard(new_client())
        await other.load()
        former = memory_log.copy()
        assert (await client.claim(_claim("first"))).request_id == "first"
        memory_log.restore(former)
        for _ in range(more):
            batch = claim_records.Batch(0.0, ())
            stream = claim_shard.stream_of(0)
            await memory_log.append(stream, [claim_records.encode(batch)])
        with pytest.raises(claim_shard.ClaimUnavailableError) as caught:
            await other.claim(_claim("second"))
        assert not caught.value.is_new


async def test_append_to_a_restored_log_is_of_unknown_outcome():
    async with _log_server() as (memory_log, new_client):
        client = new_client()
        await client.append("s", [b"1"])
        memory_log.restore({})
        with pytest.raises(log.AppendUnknownError):
            await client.append("s", [b"2"])
        with pytest.raises(log.LogUnavailableError):
            await client.read("s", 0)


async def test_process_that_starts_later_uses_the_restored_log():
    async with _log_server() as (memory_log, new_client):
        await new_client().append("s", [b"1"])
        memory_log.restore({})
        assert await new_client().append("s", [b"2"]) == [0]


async def test_started_instance_does_not_win_a_lost_claim():
    """A request that may run once runs twice.

    Its claim was lost, and the instance that is asked again started later.
    """
    async with _log_server() as (memory_log, new_client):
        former = memory_log.copy()
        first = _shard(new_client())
        assert (await first.claim(_claim("first"))).request_id == "first"
        memory_log.restore(former)
        with pytest.raises(claim_shard.ClaimUnavailableError):
            await _shard(new_client()).claim(_claim("second"))
