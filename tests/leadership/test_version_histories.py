"""Rules of streams hold in random histories of versions and restarts."""

from __future__ import annotations

import pytest

from tests.leadership import version_histories


# Streams held events of two versions when engines crashed, instances and the
# leader were killed, and releases rolled on and back.
@pytest.mark.parametrize("seed", range(4))
def test_streams_keep_their_version_over_kills_and_releases(seed):
    broken, counts = version_histories.play(seed)
    assert broken == []
    assert counts.resumed >= version_histories.LEAST_RESUMED
