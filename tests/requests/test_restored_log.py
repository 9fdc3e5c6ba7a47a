"""The log comes back from a copy and has lost acknowledged claims."""

from __future__ import annotations

import contextlib
import dataclasses

import aiohttp
from aiohttp import web
import pytest

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.experiments import virtual_time
from jujubewharf.platform import http_log
from jujubewharf.platform import log
from jujubewharf.requests import claim_coverage
from jujubewharf.requests import claim_records
from jujubewharf.requests import claim_shard
from jujubewharf.requests import keys
from jujubewharf.standins import log as log_standins
from tests.requests import claim_histories
from tests.requests import deployments
from tests.requests import test_answer_service

KEY = b"\x00\x00\x00\x00key"
# A key that is this far ahead when a gap ends may have been claimed in it.
_NEW_KEY_MS = (
    claim_coverage.MAX_KEY_AHEAD_MS + claim_coverage.MAX_CLOCK_DIFFERENCE_MS
)


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


def _batch(request_id: str) -> bytes:
    claim = dataclasses.replace(_claim(request_id), key=request_id.encode())
    return claim_records.encode(claim_records.Batch(0.0, (claim,)))


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


def _dated_claim(
    request_id: str, *, age_ms: float
) -> claim_records.ClaimRecord:
    created_ms = clocks.Clock().wall_ms() - age_ms
    return claim_records.ClaimRecord(
        KEY, b"", "e1", request_id, "", created_ms, True
    )


async def test_key_created_after_the_restore_is_claimed():
    """A restore must not keep new requests from being served."""
    async with _log_server() as (memory_log, new_client):
        memory_log.restore({})
        shard = _shard(new_client())
        await shard.load()
        for age_ms in (1_000.0, -_NEW_KEY_MS + 10_000):
            with pytest.raises(claim_shard.ClaimUnknownError):
                await shard.claim(_dated_claim("first", age_ms=age_ms))
        new = _dated_claim("second", age_ms=-_NEW_KEY_MS - 1_000)
        assert (await shard.claim(new)).request_id == "second"


async def test_calm_start_after_a_restore_is_no_further_gap():
    """Keys would be refused anew after each start."""
    async with _log_server() as (memory_log, new_client):
        memory_log.restore({})
        await _shard(new_client()).reappend()
        later = _shard(new_client())
        await later.load()
        (record,) = (await memory_log.read(claim_shard.stream_of(0), 0)).records
        assert (
            later._coverage.current
            == claim_records.decode(record.payload).coverage
        )


@pytest.mark.parametrize("restores", [0, 1])
async def test_calm_start_of_all_finds_earlier_claims(restores):
    """A log that was not restored meanwhile vouches for what is on it."""
    async with _log_server() as (memory_log, new_client):
        assert await _shard(new_client()).claim(_claim("first"))
        for _ in range(restores):
            memory_log.restore(memory_log.copy())
        later = _shard(new_client())
        assert (await later.claim(_claim("second"))).request_id == "first"


async def test_running_instance_still_knows_a_lost_claim_and_appends_it():
    """Callers would get no answer, and later instances know nothing of it."""
    async with _log_server() as (memory_log, new_client):
        former = memory_log.copy()
        shard = _shard(new_client())
        await shard.claim(_claim("first"))
        memory_log.restore(former)
        assert (await shard.claim(_claim("second"))).request_id == "first"
        await shard.reappend()
        later = _shard(new_client())
        assert (await later.claim(_claim("third"))).request_id == "first"


async def test_claim_that_was_replaced_in_lost_records_is_not_replaced_again():
    """The abandoned run holds the key again, as if its successor never ran."""
    async with _log_server() as (memory_log, new_client):
        shard = _shard(new_client())
        await shard.claim(_claim("abandoned"))
        former = memory_log.copy()
        successor = dataclasses.replace(
            _claim("successor"), replaces="abandoned"
        )
        assert (await shard.claim(successor)).request_id == "successor"
        memory_log.restore(former)
        again = dataclasses.replace(_claim("again"), replaces="abandoned")
        with pytest.raises(claim_shard.ClaimUnknownError):
            await _shard(new_client()).claim(again)


@pytest.mark.parametrize("more", [0, 1, 3])
async def test_claim_lost_by_a_log_without_epoch_is_not_won_again(more):
    """Only the end of the log, which has gone back, tells of the restore."""
    clock = clocks.Clock()
    memory_log = log_standins.MemoryLog(clock, append_ms=0.0)
    stream = claim_shard.stream_of(0)
    shard = _shard(memory_log)
    for number in range(5):
        await memory_log.append(stream, [_batch(f"filler-{number}")])
    await shard.load()
    memory_log.wipe()
    for number in range(more):
        await memory_log.append(stream, [_batch(f"more-{number}")])
    with pytest.raises(claim_shard.ClaimUnknownError):
        await shard.claim(_claim("second"))


async def test_claim_dropped_while_nobody_ran_is_not_won_again():
    """The log forgot it, and no instance was there to append it again."""
    clock = clocks.Clock()
    memory_log = log_standins.MemoryLog(clock, append_ms=0.0)
    retention = claim_shard.Retention(log_ms=3_600_000.0)
    first = claim_shard.ClaimShard(0, memory_log, clock, retention)
    await first.claim(_claim("first"))
    memory_log.truncate(claim_shard.stream_of(0), 1)
    later = claim_shard.ClaimShard(0, memory_log, clock, retention)
    with pytest.raises(claim_shard.ClaimUnknownError):
        await later.claim(_claim("second"))


def test_lost_claim_is_unknown_at_an_instance_that_started_later():
    """The first instance is gone, so nobody knows that the request ran."""

    async def scenario(d):
        former = d.bench.log.copy()
        request = d.request(key="k", is_repeatable=False)
        assert deployments.is_whole(await d.ask(request, "e1"))
        for name in test_answer_service.THREE:
            d.bench.kill_instance(name)
        d.bench.log.restore(former)
        for name in test_answer_service.THREE:
            await d.restart(name)
        await d.clock.sleep_ms(5_000)
        again = d.request(key="k", is_repeatable=False)
        end = (await d.ask(again, "e2"))[-1]
        return end, d.dispatches()

    end, dispatches = test_answer_service.run(scenario)
    assert deployments.kind_of(end) is errors.ErrorKind.CLAIM_UNKNOWN
    assert deployments.ran_of(end) is errors.Ran.UNKNOWN
    assert dispatches == 1


def test_former_owner_answers_for_a_shard_that_a_started_instance_owns():
    """Until it has appended what was lost, the former owner alone knows it."""

    async def scenario(d):
        key = keys.key_of("", "k")
        shard = claim_shard.shard_of(key)
        former = d.bench.log.copy()
        owner, successor, claimer = d.core("e1").claims._owners(shard)
        core = d.core(claimer)
        core.claims._owners = lambda _: [successor]
        assert (await core.claims.claim(key, "first")).is_won
        await d.bench.stop_instance(claimer)
        d.bench.log.restore(former)
        d.bench.kill_instance(owner)
        await d.restart(owner)
        started = d.core(owner).claims
        started._owners = lambda _: [owner, successor]
        try:
            return (await started.claim(key, "second")).request_id
        except errors.WharfError as error:
            return error.kind

    assert test_answer_service.run(scenario) == "first"


@pytest.mark.parametrize("seed", range(12))
def test_no_key_runs_twice_over_restores_and_starts(seed):
    """A claim is lost, and its key is sent again to whoever is there."""
    virtual_time.run(claim_histories.History(seed).run())
