"""An instance of the platform's program whose streams to others can be cut."""

from __future__ import annotations

import functools
import os
import pathlib
import signal
import sys

_ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(_ROOT / part) for part in ("src", "platform")]

# As in ``platform/start.py``.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from users_platform import program  # noqa: E402

from tests.real_processes import cut_streams  # noqa: E402

if __name__ == "__main__":
    settings = pathlib.Path(os.environ["JUJUBEWHARF_NODE_FILE"])
    program.streams.TcpTransport = functools.partial(
        cut_streams.Transport, folder=settings.parent
    )
    sys.exit(program.main())
