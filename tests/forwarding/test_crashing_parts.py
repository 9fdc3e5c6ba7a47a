"""Evidence against parts of prompts: what counts, clears and explains."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf import errors
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import crash_records
from jujubewharf.forwarding import crash_reports
from jujubewharf.forwarding import crashes
from jujubewharf.forwarding import fingerprints
from tests.forwarding import deployments

FIRST, BAD, OTHER = "m/first:200", "m/bad:900", "m/other:900"


class _World:
    """A history, and requests that are never alike."""

    def __init__(self) -> None:
        self._deployment = deployments.Deployment()
        self.clock = self._deployment.clock
        self.history = crashes.CrashHistory(self.clock)
        self._count = 0

    def call(self, *parts: str, body: bytes | None = None, **more):
        self._count += 1
        if body is None:
            body = b"%d" % self._count
        return self._deployment.call(
            "/verdicts/1", body=body, shared_parts=parts, **more
        )

    def crash(self, *engines: str, parts=(FIRST, BAD), **more) -> None:
        """Records crashes of engines, each under another request."""
        more.setdefault("stage", "run")
        for engine in engines:
            self.history.record_crash(self.call(*parts), engine, **more)

    def blocks(self, *parts: str) -> bool:
        return self.history.is_quarantined(self.call(*parts))


def _run(test) -> None:
    async def main():
        test(_World())

    virtual_time.run(main())


def test_part_is_quarantined_and_its_crashes_are_explained():
    """The first part was beside each crash, as were sound requests."""

    def test(world):
        sound = world.call(FIRST, body=b"sound")
        for engine in ("e1", "e2", "e3"):
            world.crash(engine)
            world.history.record_crash(sound, engine, stage="run")
        assert world.blocks(FIRST, BAD)
        assert not world.blocks(FIRST)
        assert not world.history.is_quarantined(sound)
        with pytest.raises(errors.WharfError) as raised:
            world.history.check(world.call(FIRST, BAD))
        assert raised.value.kind is errors.ErrorKind.QUARANTINED
        assert f"3 engines crashed on part {BAD}" in raised.value.detail

    _run(test)


@pytest.mark.parametrize(
    "more", [{"stage": "prefill"}, {"written_ms": crashes.CRASH_WITHIN_MS}]
)
def test_requests_that_were_read_or_in_the_middle_accuse_no_part(more):
    def test(world):
        world.crash("e1", "e2", "e3", "e4", **more)
        assert not world.blocks(FIRST, BAD)

    _run(test)


# A request that crashes engines again and again had its parts shut out.
def test_crashes_of_one_request_accuse_no_part():
    def test(world):
        call = world.call(FIRST, BAD, body=b"the same")
        for engine in ("e1", "e2", "e3", "e4"):
            world.history.record_crash(call, engine, stage="run")
        assert world.history.is_quarantined(call)
        assert not world.blocks(FIRST, BAD)

    _run(test)


def test_engine_that_goes_on_writing_clears_the_parts():
    async def main():
        world = _World()
        world.crash("e1", "e2")
        await asyncio.sleep(1.0)
        world.history.record_writing(world.call(FIRST))
        await asyncio.sleep(1.0)
        world.crash("e3", "e4", parts=(FIRST,))
        assert not world.blocks(FIRST)
        assert not world.blocks(FIRST, BAD)
        world.crash("e5")
        assert world.blocks(FIRST, BAD)

    virtual_time.run(main())


def test_good_name_of_a_part_allows_for_two_crashes_more():
    def test(world):
        for _ in range(40):
            world.history.record_written(world.call(FIRST))
        world.crash("e1", "e2", "e3", "e4", parts=(FIRST,))
        assert not world.blocks(FIRST)
        world.crash("e5", parts=(FIRST,))
        assert world.blocks(FIRST)

    _run(test)


# Such a report took the part that all prompts share for a request.
def test_part_reported_through_an_older_build_is_not_quarantined():
    def test(world):
        call = world.call(FIRST, BAD)
        report = crash_reports.CrashReport(
            fingerprints.Fingerprint.from_part(call, FIRST),
            "r1",
            tuple(crash_reports.Crash(f"e{n}", 1.0) for n in range(4)),
        )
        world.history.merge(report)
        assert not world.blocks(FIRST)

    _run(test)


# Parts of single conversations took the place of requests that often came.
def test_parts_do_not_displace_the_good_names_of_requests():
    def test(world):
        for _ in range(20):
            world.history.record_success(world.call(body=b"popular"))
        for number in range(300):
            world.history.record_written(world.call(f"m/{number}:1"))
        popular = world.call(body=b"popular")
        for engine in ("e1", "e2", "e3", "e4"):
            world.history.record_crash(popular, engine, stage="run")
        assert not world.history.is_quarantined(popular)

    _run(test)


def test_one_trial_tells_about_one_subject():
    def test(world):
        world.crash("e1", "e2", "e3")
        world.crash("e4", "e5", "e6", parts=(OTHER,))
        both = world.history.quarantined_subjects(world.call(OTHER, BAD))
        assert len(both) == 2
        call = world.call(FIRST, BAD)
        (subject,) = world.history.quarantined_subjects(call)
        assert world.history.begin_trial(subject)
        assert not world.history.begin_trial(subject)

    _run(test)


def test_part_of_another_account_is_not_shut_out():
    def test(world):
        for engine in ("e1", "e2", "e3"):
            call = world.call(FIRST, BAD, account="one")
            world.history.record_crash(call, engine, stage="run")
        is_quarantined = world.history.is_quarantined
        assert is_quarantined(world.call(FIRST, BAD, account="one"))
        assert not is_quarantined(world.call(FIRST, BAD, account="two"))

    _run(test)


def test_reports_of_parts_reach_other_instances_and_the_store():
    def test(world):
        world.crash("e1", "e2", "e3")
        other = _World()
        for report in world.history.reports():
            data = crash_records.encode(report, wall_ms=5.0)
            other.history.merge(crash_records.decode(data, wall_ms=5.0))
        assert other.blocks(FIRST, BAD)
        assert not other.blocks(FIRST)

    _run(test)


def test_report_of_an_older_build_is_understood():
    """It names neither requests nor positions."""

    def test(world):
        call = world.call(body=b"whole")
        report = crash_reports.CrashReport(
            fingerprints.Fingerprint.from_call(call),
            "r1",
            tuple(crash_reports.Crash(f"e{n}", 1.0) for n in range(3)),
        )
        world.history.merge(report)
        assert world.history.is_quarantined(call)

    _run(test)
