"""Submission of changes by one or two instances, in virtual time."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.configuration import differences
from jujubewharf.configuration import records
from jujubewharf.configuration import resources
from jujubewharf.configuration import state as states
from jujubewharf.experiments import virtual_time
from jujubewharf.standins import log as logs
from tests.configuration import builders


def _run(scenario):
    """Runs a scenario with two instances on one log."""

    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        log = logs.MemoryLog(clock)
        async with (
            builders.running_follower(log, clock) as (here, _),
            builders.running_follower(log, clock) as (there, _),
        ):
            await scenario(log, here, there)

    virtual_time.run(main())


def test_verdict_is_returned_after_the_change_is_applied():
    async def scenario(log, here, there):
        del log
        verdicts = await here.submit([builders.put(builders.SERVICE)])
        assert verdicts[0].is_accepted
        assert here.operation(verdicts[0].operation_id) == verdicts[0]
        await asyncio.sleep(0.1)
        assert there.operation(verdicts[0].operation_id) == verdicts[0]

    _run(scenario)


def test_only_one_of_two_concurrent_changes_is_accepted():
    async def scenario(log, here, there):
        del log
        one, two = await asyncio.gather(
            here.submit(
                [builders.put(builders.SERVICE, expected_generation=0)]
            ),
            there.submit(
                [builders.put(builders.SERVICE, expected_generation=0)]
            ),
        )
        outcomes = sorted(verdict.outcome.value for verdict in one + two)
        assert outcomes == ["accepted", "conflict"]

    _run(scenario)


def test_lost_append_reply_is_resolved_by_reading_the_log():
    """The change is found in the log and not appended a second time."""

    async def scenario(log, here, there):
        del there
        log.lose_answers = 1
        verdicts = await here.submit([builders.put(builders.SERVICE)])
        assert verdicts[0].is_accepted
        assert log.appends[records.STREAM] == 1

    _run(scenario)


def test_unavailable_log_rejects_changes_without_appending():
    async def scenario(log, here, there):
        del there
        log.is_down = True
        with pytest.raises(errors.WharfError) as caught:
            await here.submit([builders.put(builders.SERVICE)])
        assert caught.value.kind is errors.ErrorKind.LOG_UNAVAILABLE
        assert caught.value.ran is errors.Ran.NO
        assert log.appends[records.STREAM] == 0

    _run(scenario)


def test_outage_after_append_is_reported_as_unknown_operation():
    """The error names the operation ID, and a retry appends no duplicate."""

    async def scenario(log, here, there):
        del there
        log.fails_after_next_append = True
        change = builders.put(builders.SERVICE, operation_id="op-lost")
        with pytest.raises(errors.WharfError) as caught:
            await here.submit([change])
        assert caught.value.kind is errors.ErrorKind.OPERATION_UNKNOWN
        assert caught.value.ran is errors.Ran.UNKNOWN
        assert "op-lost" in caught.value.detail
        log.is_down = False
        await asyncio.sleep(5)
        assert here.operation("op-lost").is_accepted
        assert (await here.submit([change]))[0].is_accepted
        assert log.appends[records.STREAM] == 1

    _run(scenario)


def test_all_validation_errors_are_reported_and_nothing_is_appended():
    async def scenario(log, here, there):
        del there
        bad = builders.engine("e 1", address="nowhere", slots=0)
        account = resources.Account("a", "secret-token", rate_per_s=-1)
        with pytest.raises(errors.WharfError) as caught:
            await here.submit([builders.put(bad), builders.put(account)])
        assert caught.value.kind is errors.ErrorKind.CONFIG_INVALID
        detail = caught.value.detail
        for named in (
            "changes[0].name",
            "changes[0].body.address",
            "changes[0].body.slots",
            "changes[0].body.service",
            "changes[1].body.token_sha256",
            "changes[1].body.rate_per_s",
        ):
            assert named in detail
        assert "secret-token" not in detail
        assert log.appends[records.STREAM] == 0

    _run(scenario)


def test_force_skips_the_safety_checks():
    async def scenario(log, here, there):
        del log, there
        initial = [
            builders.put(builders.SERVICE),
            builders.put(builders.engine("e1")),
        ]
        await here.submit(initial)
        refused = await here.submit([builders.delete(builders.engine("e1"))])
        assert refused[0].outcome is states.Outcome.UNSAFE
        error = refused[0].error()
        assert error.kind is errors.ErrorKind.CONFIG_UNSAFE
        deletion = builders.delete(builders.engine("e1"))
        assert (await here.submit([deletion], force=True))[0].is_accepted

    _run(scenario)


def test_rollback_submits_a_new_change_with_the_earlier_body():
    async def scenario(log, here, there):
        del log, there
        before = builders.engine("e1", slots=10)
        initial = [builders.put(builders.SERVICE), builders.put(before)]
        old = (await here.submit(initial))[1]
        await here.submit([builders.put(builders.engine("e1", slots=30))])
        kind = resources.Kind.ENDPOINT
        back = await here.rollback(
            kind, "e1", old.generation, operation_id="back", actor="eva"
        )
        assert back.generation > old.generation
        assert [item.after["slots"] for item in here.history(kind, "e1")] == [
            10,
            30,
            10,
        ]
        assert here.history(kind, "e1")[-1].actor == "eva"
        with pytest.raises(errors.WharfError) as caught:
            await here.rollback(
                kind, "e1", 99, operation_id="none", actor="eva"
            )
        assert caught.value.kind is errors.ErrorKind.UNKNOWN_RESOURCE

    _run(scenario)


def test_diff_reports_created_updated_and_deleted_resources():
    async def scenario(log, here, there):
        del log, there
        initial = [
            builders.SERVICE,
            builders.engine("e1"),
            builders.engine("e2"),
        ]
        await here.submit([builders.put(one) for one in initial])
        wanted = [builders.engine("e1", slots=3), builders.engine("e3")]
        found = here.diff([builders.SERVICE, *wanted], prune=True)
        assert [(one.name, one.action.value) for one in found] == [
            ("e1", "update"),
            ("e3", "create"),
            ("e2", "delete"),
        ]
        assert found[0].fields == (differences.FieldDifference("slots", 20, 3),)
        assert found[0].generation == 2

    _run(scenario)


def test_watch_yields_past_and_future_changes():
    async def scenario(log, here, there):
        del log
        await here.submit([builders.put(builders.SERVICE)])
        seen = []

        async def watch():
            async for item in there.watch(0):
                seen.append(item.name)

        task = asyncio.ensure_future(watch())
        await asyncio.sleep(0.1)
        await here.submit([builders.put(builders.engine("e1"))])
        await asyncio.sleep(0.1)
        task.cancel()
        assert seen == ["verdict-llm", "e1"]

    _run(scenario)
