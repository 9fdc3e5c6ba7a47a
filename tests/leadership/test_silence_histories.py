"""Bounds hold in random histories of engines that fall silent or die."""

from __future__ import annotations

import pytest

from tests.leadership import silence_histories


# Answers ended, came late or ran twice when engines, endpoints or instances
# were paused, hung, went dark or were cut off, beside changes of all kinds.
@pytest.mark.parametrize("seed", range(3))
def test_answers_outlast_pauses_and_leave_the_dead_in_time(seed):
    broken, _ = silence_histories.play(seed)
    assert broken == {}
