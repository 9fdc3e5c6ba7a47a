"""Signals that arrive while the program is being imported."""

from __future__ import annotations

import pathlib
import subprocess
import sys

_START = pathlib.Path(__file__).parents[2] / "platform" / "start.py"
# Sends SIGHUP when the first module of the program is imported.
_SCRIPT = """
import os, runpy, signal, sys

class Signals:
    def find_spec(self, name, path=None, target=None):
        if name == "users_platform":
            os.kill(os.getpid(), signal.SIGHUP)
        return None

sys.meta_path.insert(0, Signals())
sys.path.insert(0, os.path.dirname(sys.argv[1]))
runpy.run_path(sys.argv[1], run_name="loaded")
print("alive")
"""


def test_sighup_during_start_is_ignored():
    """SIGHUP must not end the process before its handler is installed."""
    done = subprocess.run(
        [sys.executable, "-c", _SCRIPT, str(_START)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert (done.returncode, done.stdout.strip()) == (0, "alive")
