"""A short run of ``border_fuzz`` for the test suite."""

from __future__ import annotations

from tests import border_fuzz

SEEDS = (2, 3, 4)
RECORDS = 400


def test_records_of_another_writer_end_no_instance():
    """An entry that can't be used costs this entry, also at the next start.

    One with a number beyond 64 bits ended each instance that read it.
    """
    wrong = [line for seed in SEEDS for line in border_fuzz.run(seed, RECORDS)]
    assert wrong == []
