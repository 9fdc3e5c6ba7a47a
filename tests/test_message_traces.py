"""A seed fixes a history, so that a failure can be played again."""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parents[1]
_HASH_SEEDS = ("0", "1", "2", "3")


def _start(hash_seed: str) -> subprocess.Popen[str]:
    paths = os.pathsep.join((str(_ROOT), str(_ROOT / "platform")))
    environment = {**os.environ, "PYTHONPATH": paths}
    return subprocess.Popen(
        [sys.executable, "-W", "ignore", "-m", "tests.message_traces"],
        env={**environment, "PYTHONHASHSEED": hash_seed},
        cwd=_ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )


def test_order_of_sets_does_not_decide_what_is_sent():
    """A seed that failed passed in the next process, which hashed otherwise."""
    processes = [_start(hash_seed) for hash_seed in _HASH_SEEDS]
    printed = [process.communicate()[0] for process in processes]
    assert [process.returncode for process in processes] == [0] * 4
    assert printed[0].count("messages") == 3
    assert len(set(printed)) == 1, printed
