"""Rate limits, drain notices and backoffs that endpoints send."""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.engines import notices
from jujubewharf.experiments import virtual_time
from jujubewharf.forwarding import backpressure
from tests.forwarding import deployments

ENDPOINT = deployments.plain_endpoint("s1").endpoint
MAX_BACKOFF_MS = 600_000.0


def _run(test):
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        await clock.sleep_ms(1_000.0)
        await test(backpressure.Backpressure(clock), clock)

    virtual_time.run(main())


def _notice(clock, *, asked_ago_ms=10.0, **more) -> notices.Notice:
    return notices.Notice(clock.now_ms() - asked_ago_ms, **more)


def test_outdated_answer_does_not_end_the_limit():
    """An answer to a request sent before the limit must not end the limit."""

    async def test(known, clock):
        known.apply_notice(ENDPOINT, _notice(clock, rate_limit_per_s=1.5))
        await clock.sleep_ms(100.0)
        old = _notice(clock, asked_ago_ms=200.0, ends_limit=True)
        known.apply_notice(ENDPOINT, old)
        assert known.rate_limit_per_s("s1") == 1.5
        known.apply_notice(ENDPOINT, _notice(clock, ends_limit=True))
        assert known.rate_limit_per_s("s1") is None

    _run(test)


def test_outdated_answer_does_not_raise_the_limit():
    """Answers can arrive out of order."""

    async def test(known, clock):
        known.apply_notice(ENDPOINT, _notice(clock, rate_limit_per_s=1.5))
        await clock.sleep_ms(100.0)
        old = _notice(clock, asked_ago_ms=200.0, rate_limit_per_s=6.0)
        known.apply_notice(ENDPOINT, old)
        assert known.rate_limit_per_s("s1") == 1.5
        known.apply_notice(
            ENDPOINT,
            _notice(clock, asked_ago_ms=200.0, rate_limit_per_s=1.0),
        )
        assert known.rate_limit_per_s("s1") == 1.0
        await clock.sleep_ms(100.0)
        known.apply_notice(ENDPOINT, _notice(clock, rate_limit_per_s=6.0))
        assert known.rate_limit_per_s("s1") == 6.0

    _run(test)


def test_refusal_does_not_end_the_limit():
    async def test(known, clock):
        known.apply_notice(ENDPOINT, _notice(clock, rate_limit_per_s=1.5))
        await clock.sleep_ms(100.0)
        known.apply_notice(ENDPOINT, _notice(clock))
        assert known.rate_limit_per_s("s1") == 1.5

    _run(test)


def test_stricter_terms_win():
    """After a partition either instance may have the newer terms."""

    async def test(known, clock):
        known.apply_notice(ENDPOINT, _notice(clock, rate_limit_per_s=3.0))
        known.apply_terms(notices.Terms("s1", 1.5), is_news=False)
        assert known.rate_limit_per_s("s1") == 1.5
        known.apply_terms(notices.Terms("s1", 4.0), is_news=False)
        assert known.rate_limit_per_s("s1") == 1.5
        known.apply_terms(notices.Terms("s1", None), is_news=False)
        assert known.rate_limit_per_s("s1") == 1.5

    _run(test)


def test_changed_terms_of_another_instance_apply():
    async def test(known, clock):
        known.apply_notice(ENDPOINT, _notice(clock, rate_limit_per_s=3.0))
        assert known.apply_terms(notices.Terms("s1", 4.0), is_news=True)
        assert not known.apply_terms(notices.Terms("s1", 4.0), is_news=True)
        assert known.rate_limit_per_s("s1") == 4.0
        known.apply_terms(notices.Terms("s1"), is_news=True)
        assert known.terms == ()

    _run(test)


def test_new_limit_ends_the_deferral():
    async def test(known, clock):
        known.apply_notice(ENDPOINT, _notice(clock, rate_limit_per_s=0.2))
        known.defer("s1", 5_000.0)
        assert known.wait_ms(["s1"]) == 5_000.0
        assert known.wait_ms(["s1", "s2"]) is None
        await clock.sleep_ms(100.0)
        known.apply_notice(ENDPOINT, _notice(clock, rate_limit_per_s=50.0))
        assert not known.is_deferred("s1")

    _run(test)


def test_only_changes_are_broadcast():
    async def test(known, clock):
        told = []
        known.on_terms_changed = told.append
        for limit in (1.5, 1.5, 2.0):
            known.apply_notice(ENDPOINT, _notice(clock, rate_limit_per_s=limit))
            await clock.sleep_ms(100.0)
        known.apply_notice(ENDPOINT, _notice(clock, backoff_ms=100.0))
        assert told == [notices.Terms("s1", 1.5), notices.Terms("s1", 2.0)]

    _run(test)


def test_backoff_out_of_all_proportion_ends():
    """One wrong figure must not put an endpoint out of use for good."""

    async def test(known, clock):
        known.apply_notice(ENDPOINT, _notice(clock, backoff_ms=1e15))
        await clock.sleep_ms(MAX_BACKOFF_MS - 1.0)
        assert known.is_backing_off("s1")
        await clock.sleep_ms(2.0)
        assert not known.is_backing_off("s1")

    _run(test)
