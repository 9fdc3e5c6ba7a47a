"""Modules that an instance must not import, to save memory and start time."""

from __future__ import annotations

import pathlib
import subprocess
import sys

_UNWANTED = ("looptime", "matplotlib", "numpy", "typer")
_SCRIPT = """
import sys
import jujubewharf.entry
print(*sorted(sys.modules))
"""


def test_daemon_imports_no_libraries_of_the_tools():
    """Libraries of the tools would add to the memory of each instance."""
    done = subprocess.run(
        [sys.executable, "-c", _SCRIPT],
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = done.stdout.split()
    assert "jujubewharf.entry" in loaded
    assert [name for name in _UNWANTED if name in loaded] == []


_FORWARDING_UNWANTED = (
    "cryptography",
    "google.protobuf",
    "grpc",
    "jujubewharf.requests.claims",
    "jujubewharf.operators",
    "jujubewharf.peers.mesh",
    "jujubewharf.requests.answer_service",
    "looptime",
    "numpy",
    "opentelemetry.exporter.otlp",
    "typer",
)
_FORWARDING_SCRIPT = """
import sys
sys.path.insert(0, sys.argv[1])
from users_platform import program
print(*sorted(sys.modules))
"""


def test_forwarding_instance_imports_no_unused_modules():
    """Unused modules would slow down each start of a forwarding instance."""
    platform = pathlib.Path(__file__).parents[1] / "platform"
    done = subprocess.run(
        [sys.executable, "-c", _FORWARDING_SCRIPT, str(platform)],
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = done.stdout.split()
    assert "jujubewharf.forwarding.entry" in loaded
    assert [name for name in _FORWARDING_UNWANTED if name in loaded] == []


_CORE_SCRIPT = """
import sys
import jujubewharf.core
print(*sorted(sys.modules))
"""


def test_core_imports_no_operator_modules():
    """The core must not depend on the operator interface, which uses it."""
    done = subprocess.run(
        [sys.executable, "-c", _CORE_SCRIPT],
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = done.stdout.split()
    assert "jujubewharf.core" in loaded
    assert [name for name in loaded if "operators" in name] == []
