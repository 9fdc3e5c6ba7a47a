"""What the daemon may not load: each instance has 64 MB for all."""

from __future__ import annotations

import subprocess
import sys

_UNWANTED = ("looptime", "matplotlib", "numpy", "typer")
_SCRIPT = """
import sys
import jujubewharf.entry
print(*sorted(sys.modules))
"""


def test_the_daemon_loads_no_library_of_the_tools():
    """Each instance holds its imports, needed or not.

    Numpy alone took 12 MB, for breaking ties. A fresh interpreter imports
    the daemon's module, since this one has loaded the libraries for other
    tests.
    """
    done = subprocess.run(
        [sys.executable, "-c", _SCRIPT],
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = done.stdout.split()
    assert "jujubewharf.entry" in loaded
    assert [name for name in _UNWANTED if name in loaded] == []
