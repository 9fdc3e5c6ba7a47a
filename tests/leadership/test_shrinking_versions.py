"""Streams go on at a version of which two engines are left."""

from __future__ import annotations

from tests.leadership import shrinking_versions

# The users' bound: at least half as many resumed streams go on as new streams
# begin.
RESUMED_SHARE = 0.5
# Fewer resumptions than this would show nothing.
LEAST_RESUMED = 20


# New streams also begin at the engines that are left, and may fill them.
def test_streams_go_on_at_a_version_with_few_engines_near_capacity():
    history = shrinking_versions.play(0, 40.0)
    resumed = history.resumed[shrinking_versions.OLD]
    assert resumed.asked >= LEAST_RESUMED
    share = resumed.served / resumed.asked
    assert share >= RESUMED_SHARE * history.new.served / history.new.asked
