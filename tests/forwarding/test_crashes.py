"""Quarantine of requests that crash engines, and the crash history."""

from __future__ import annotations

import random

import pytest

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import crash_records
from jujubewharf.forwarding import crash_table
from jujubewharf.forwarding import crashes
from jujubewharf.forwarding import fingerprints
from jujubewharf.peers import codec
from jujubewharf.peers import crash_messages
from tests.forwarding import deployments


class _World:
    def __init__(self) -> None:
        self.deployment = deployments.Deployment()
        self.clock = self.deployment.clock

    def history(self) -> crashes.CrashHistory:
        return crashes.CrashHistory(self.clock)

    def call(self, body: bytes = b"body", **more):
        return self.deployment.call("/verdicts/1", body=body, **more)


def _run(test) -> None:
    async def main():
        await clocks.Clock(wall_origin_ms=0.0).sleep_ms(1_000.0)
        await test(_World())

    virtual_time.run(main())


def _crash(history, call, *engines: str) -> None:
    for engine in engines:
        history.record_crash(call, engine, stage="run")


def _is_quarantined(history, call) -> bool:
    try:
        history.check(call)
    except errors.WharfError as error:
        assert error.kind is errors.ErrorKind.QUARANTINED
        return True
    return False


def test_three_crashes_quarantine_a_request():
    async def test(world):
        history = world.history()
        _crash(history, world.call(), "a", "b")
        assert not _is_quarantined(history, world.call())
        _crash(history, world.call(), "c")
        assert _is_quarantined(history, world.call())
        assert not _is_quarantined(history, world.call(b"other"))

    _run(test)


def test_repeated_crashes_of_one_engine_count_once():
    async def test(world):
        history = world.history()
        _crash(history, world.call(), "a", "a", "a", "a")
        assert not _is_quarantined(history, world.call())

    _run(test)


def test_complete_answer_ends_quarantine():
    """A complete answer shows that the request does not cause crashes."""

    async def test(world):
        history = world.history()
        _crash(history, world.call(), "a", "b", "c")
        history.record_success(world.call())
        assert not _is_quarantined(history, world.call())
        await world.clock.sleep_ms(1.0)
        _crash(history, world.call(), "d", "e")
        assert not _is_quarantined(history, world.call())
        _crash(history, world.call(), "f")
        assert _is_quarantined(history, world.call())

    _run(test)


def test_quarantine_expires_and_returns_with_the_next_crash():
    async def test(world):
        history = world.history()
        _crash(history, world.call(), "a")
        await world.clock.sleep_ms(1_000.0)
        _crash(history, world.call(), "b", "c")
        await world.clock.sleep_ms(crash_table.RETENTION_MS - 500.0)
        assert not _is_quarantined(history, world.call())
        _crash(history, world.call(), "d")
        assert _is_quarantined(history, world.call())

    _run(test)


def test_eviction_spares_other_accounts():
    """An account with many records evicts only its own."""

    async def test(world):
        history = world.history()
        known = world.call(b"known", account="small")
        _crash(history, known, "a", "b", "c")
        sure = world.call(b"sure", account="large")
        _crash(history, sure, "a", "b", "c")
        for number in range(3 * crash_table.MAX_RECORDS):
            made_up = world.call(b"%d" % number, account="large")
            _crash(history, made_up, f"e{number}")
        assert len(history) <= crash_table.MAX_RECORDS
        assert _is_quarantined(history, known)
        assert _is_quarantined(history, sure)

    _run(test)


def test_quarantine_is_per_account():
    async def test(world):
        history = world.history()
        _crash(history, world.call(account="acme"), "a", "b", "c")
        assert not _is_quarantined(history, world.call(account="other"))

    _run(test)


def test_bodies_are_hashed_only_for_matching_outlines(monkeypatch):
    """Hashing the body of every request would be too expensive."""

    async def test(world):
        history = world.history()
        _crash(history, world.call(b"body"), "a")
        read = []
        fingerprint = fingerprints.Fingerprint

        def from_call(call):
            read.append(call.body)
            return fingerprint(fingerprints.Outline.from_call(call), b"d")

        monkeypatch.setattr(fingerprint, "from_call", from_call)
        history.check(world.call(b"another length"))
        assert read == []
        history.check(world.call(b"BODY"))
        assert read == [b"BODY"]

    _run(test)


def test_reports_survive_the_codec():
    async def test(world):
        sender, receiver = world.history(), world.history()
        _crash(sender, world.call(), "a", "b", "c")
        news = crash_messages.CrashReports(sender.reports())
        frame = codec.Frame(codec.FrameKind.TELL, 0, news)
        (report,) = codec.decode(codec.encode(frame)[4:]).message.reports
        assert receiver.merge(report)
        assert not receiver.merge(report)
        assert _is_quarantined(receiver, world.call())

    _run(test)


def test_outdated_report_does_not_undo_clearance():
    """An outdated report after a partition does not undo a clearance."""

    async def test(world):
        cut, others = world.history(), world.history()
        _crash(cut, world.call(), "a", "b", "c")
        for report in cut.reports():
            others.merge(report)
        await world.clock.sleep_ms(2_000.0)
        others.record_success(world.call())
        await world.clock.sleep_ms(2_000.0)
        for report in cut.reports():
            others.merge(report)
        assert not _is_quarantined(others, world.call())
        for report in others.reports():
            cut.merge(report)
        assert not _is_quarantined(cut, world.call())

    _run(test)


def test_exchanged_reports_still_expire():
    """Two instances that exchange reports still forget old crashes."""

    async def test(world):
        first, second = world.history(), world.history()
        _crash(first, world.call(), "a", "b", "c")
        for _ in range(40):
            for report in first.reports():
                second.merge(report)
            for report in second.reports():
                first.merge(report)
            await world.clock.sleep_ms(crash_table.RETENTION_MS / 20)
        assert len(first) == len(second) == 0

    _run(test)


@pytest.mark.parametrize("seed", range(20))
def test_histories_converge_in_any_order(seed):
    async def test(world):
        rng = random.Random(seed)
        histories = [world.history() for _ in range(4)]
        bodies = [b"%d" % n for n in range(5)]
        for number in range(40):
            history, body = rng.choice(histories), rng.choice(bodies)
            if rng.random() < 0.2:
                history.record_success(world.call(body))
            else:
                _crash(history, world.call(body), f"e{number % 9}")
            if rng.random() < 0.3:
                sender, receiver = rng.sample(histories, 2)
                for report in sender.reports():
                    receiver.merge(report)
            await world.clock.sleep_ms(2_000.0)
        for _ in range(2):
            for sender in histories:
                for receiver in histories:
                    for report in sender.reports():
                        receiver.merge(report)
        for body in bodies:
            counts = {h.count(world.call(body)) for h in histories}
            assert len(counts) == 1

    _run(test)


def test_at_most_two_trials_without_result():
    """The number of trials is bounded even if none gives a result."""

    async def test(world):
        history = world.history()
        _crash(history, world.call(), "a", "b", "c")
        fingerprint = fingerprints.Fingerprint.from_call(world.call())
        granted = 0
        for _ in range(300):
            granted += history.begin_trial(fingerprint)
            await world.clock.sleep_ms(1_000.0)
        assert granted == 2

    _run(test)


def test_complete_answer_resets_trials():
    async def test(world):
        history = world.history()
        fingerprint = fingerprints.Fingerprint.from_call(world.call())
        for engines in ("abc", "def"):
            _crash(history, world.call(), *engines)
            assert history.begin_trial(fingerprint)
            assert not history.begin_trial(fingerprint)
            await world.clock.sleep_ms(1_000.0)
            history.record_success(world.call())
            await world.clock.sleep_ms(1_000.0)

    _run(test)


def test_trials_are_part_of_stored_reports():
    """A stored trial is not granted again after a restart or an election."""

    async def test(world):
        sender, receiver = world.history(), world.history()
        _crash(sender, world.call(), "a", "b", "c")
        fingerprint = fingerprints.Fingerprint.from_call(world.call())
        assert sender.begin_trial(fingerprint)
        (report,) = sender.reports()
        data = crash_records.encode(report, wall_ms=0.0)
        receiver.merge(crash_records.decode(data, wall_ms=0.0))
        assert not receiver.begin_trial(fingerprint)

    _run(test)


def test_no_trial_after_a_fourth_crash():
    async def test(world):
        history = world.history()
        _crash(history, world.call(), "a", "b", "c")
        fingerprint = fingerprints.Fingerprint.from_call(world.call())
        assert history.begin_trial(fingerprint)
        _crash(history, world.call(), "d")
        await world.clock.sleep_ms(60_000.0)
        assert not history.begin_trial(fingerprint)

    _run(test)


def _engines(count: int) -> list[str]:
    return [f"engine-{n}" for n in range(count)]


def test_request_that_often_came_through_may_be_beside_more_crashes():
    """A popular body runs on most engines, so it is beside most crashes."""

    async def test(world):
        history = world.history()
        for _ in range(16):
            history.record_success(world.call())
        _crash(history, world.call(), *_engines(4))
        assert not _is_quarantined(history, world.call())
        _crash(history, world.call(), *_engines(12))
        assert _is_quarantined(history, world.call())

    _run(test)


def test_good_name_is_of_one_body_and_passes():
    async def test(world):
        history = world.history()
        for _ in range(40):
            history.record_success(world.call())
        _crash(history, world.call(b"evil"), *_engines(3))
        assert _is_quarantined(history, world.call(b"evil"))
        await world.clock.sleep_ms(200_000.0)
        _crash(history, world.call(), *_engines(3))
        assert _is_quarantined(history, world.call())

    _run(test)


def test_good_name_is_shared():
    async def test(world):
        history, other = world.history(), world.history()
        for _ in range(16):
            history.record_success(world.call())
        _crash(history, world.call(), *_engines(4))
        for report in history.reports():
            stored = crash_records.encode(report, wall_ms=0.0)
            other.merge(crash_records.decode(stored, wall_ms=0.0))
        assert other.count(world.call()) == 4
        assert not _is_quarantined(other, world.call())

    _run(test)
