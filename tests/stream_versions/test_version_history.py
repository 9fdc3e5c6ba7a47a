"""Which versions a service has had, and when that is known for sure."""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.configuration import resources
from jujubewharf.experiments import virtual_time
from jujubewharf.stream_versions import version_history
from tests.leadership import stream_versions as versions

LONG_MS = 28_000.0
SERVICE = versions.deployments.ENGINES


def _engines(*names: str) -> list[resources.Endpoint]:
    return [
        versions.engine(f"d-{name}", name, resources.Role.DECODE).endpoint
        for name in names
    ]


def _run(test):
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        await clock.sleep_ms(1.0)
        await test(version_history.VersionHistory(clock), clock)

    virtual_time.run(main())


def test_only_version_needs_a_long_view():
    async def test(history, clock):
        history.set_endpoints(_engines("v1"))
        await clock.sleep_ms(LONG_MS - 1.0)
        assert history.only_version(SERVICE, for_ms=LONG_MS) is None
        await clock.sleep_ms(1.0)
        assert history.only_version(SERVICE, for_ms=LONG_MS) == "v1"
        history.mark_incomplete()
        assert history.only_version(SERVICE, for_ms=LONG_MS) is None

    _run(test)


def test_first_start_of_a_deployment_has_missed_nothing():
    async def main():
        clock = clocks.Clock(wall_origin_ms=0.0)
        history = version_history.VersionHistory(clock, is_first_start=True)
        # A link to a leader may begin before the first read.
        history.mark_incomplete()
        assert history.only_version(SERVICE, for_ms=LONG_MS) is None
        history.set_endpoints(_engines("v1"))
        assert history.only_version(SERVICE, for_ms=LONG_MS) == "v1"
        history.mark_incomplete()
        assert history.only_version(SERVICE, for_ms=LONG_MS) is None

    virtual_time.run(main())


# A version that came and went within one read may have begun streams.
def test_version_that_has_gone_counts_for_as_long_as_streams_last():
    async def test(history, clock):
        history.set_endpoints(_engines("v1"))
        await clock.sleep_ms(LONG_MS)
        history.note_record(_engines("v2")[0])
        assert history.only_version(SERVICE, for_ms=LONG_MS) is None
        await clock.sleep_ms(LONG_MS + 1.0)
        assert history.only_version(SERVICE, for_ms=LONG_MS) == "v1"

    _run(test)


def test_restarted_instance_takes_over_what_others_have_seen():
    async def test(history, clock):
        other = version_history.VersionHistory(clock)
        other.set_endpoints(_engines("v1", "v2"))
        other.set_endpoints(_engines("v1"))
        await clock.sleep_ms(LONG_MS - 10.0)
        history.set_endpoints(_engines("v1"))
        for_ms = other.complete_for_ms
        history.merge(other.seen(), complete_for_ms=for_ms)
        await clock.sleep_ms(5.0)
        assert history.only_version(SERVICE, for_ms=LONG_MS) is None
        await clock.sleep_ms(10.0)
        assert history.only_version(SERVICE, for_ms=LONG_MS) == "v1"

    _run(test)


# Instances whose view lags took a stream of a new version for one of the old.
def test_new_version_begins_no_streams_until_all_know_it():
    async def test(history, clock):
        old, new = _engines("v1", "v2")
        history.set_endpoints([old])
        await clock.sleep_ms(LONG_MS)
        history.set_endpoints([old, new])
        assert history.without_new_versions([old, new]) == [old]
        assert history.without_new_versions([new]) == [new]
        await clock.sleep_ms(version_history.NEW_VERSION_MS)
        assert history.without_new_versions([old, new]) == [old, new]

    _run(test)


def test_new_version_serves_if_no_other_can():
    async def test(history, clock):
        old = versions.prefill_engine("v1").endpoint
        (new,) = _engines("v2")
        history.set_endpoints([old])
        await clock.sleep_ms(LONG_MS)
        history.set_endpoints([old, new])
        assert history.without_new_versions([old, new]) == [old, new]

    _run(test)


# An instance took over that another one had missed nothing, though that one had
# not read the registrations for a while.
def test_old_view_tells_others_nothing_for_sure():
    async def test(history, clock):
        history.set_endpoints(_engines("v1"))
        await clock.sleep_ms(LONG_MS)
        assert history.told_complete_for_ms == LONG_MS
        history.view_age_ms = lambda: version_history.MAX_VIEW_AGE_MS + 1.0
        assert history.told_complete_for_ms == 0.0

    _run(test)


# An engine whose registration had gone began a stream, and its version counted
# as gone since its registration was.
def test_stream_that_begins_late_counts_for_its_version():
    async def test(history, clock):
        history.set_endpoints(_engines("v1", "v2"))
        history.set_endpoints(_engines("v2"))
        await clock.sleep_ms(LONG_MS)
        history.note_begun(SERVICE, "v1")
        await clock.sleep_ms(LONG_MS - 1.0)
        assert history.only_version(SERVICE, for_ms=LONG_MS) is None
        await clock.sleep_ms(2.0)
        assert history.only_version(SERVICE, for_ms=LONG_MS) == "v2"

    _run(test)
