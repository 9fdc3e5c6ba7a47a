"""Writes log lines from a thread of its own, so that no request waits.

Whoever reads standard output may stall: a full pipe stops a writer. A line
that finds the queue full is dropped and counted, and the count is written
once lines move again.
"""

from __future__ import annotations

import collections
import json
import threading
from typing import TextIO

# Some seconds of lines at a few hundred a second, and under 2 MB.
MAX_WAITING_LINES = 4_000
_CLOSE_S = 0.3


class LineWriter:
    """Takes lines at once and writes them when it can.

    Args:
        stream: Where the lines go in the end.
        max_waiting: Lines that wait at most.

    Attributes:
        dropped: Lines dropped since the last count was written.
    """

    def __init__(
        self, stream: TextIO, *, max_waiting: int = MAX_WAITING_LINES
    ) -> None:
        self.dropped = 0
        self._stream = stream
        self._max_waiting = max_waiting
        self._waiting: collections.deque[str] = collections.deque()
        self._changed = threading.Condition()
        self._is_closed = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, line: str) -> int:
        """Queues a line, or drops it."""
        with self._changed:
            if len(self._waiting) >= self._max_waiting:
                self.dropped += 1
                return 0
            self._waiting.append(line)
            self._changed.notify()
        return len(line)

    def flush(self) -> None:
        """Nothing: the thread writes as soon as it can."""

    def close(self) -> None:
        """Writes what waits, for a short time at most."""
        with self._changed:
            self._is_closed = True
            self._changed.notify()
        self._thread.join(_CLOSE_S)

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._waiting and not self._is_closed:
                    self._changed.wait()
                text = "".join(self._waiting)
                self._waiting.clear()
                dropped, self.dropped = self.dropped, 0
                is_last = self._is_closed
            if dropped:
                text += _dropped_line(dropped)
            try:
                self._stream.write(text)
                self._stream.flush()
            except (OSError, ValueError):
                # Nobody reads any more; there is nowhere left to say so.
                return
            if is_last:
                return


def _dropped_line(count: int) -> str:
    line = {"event": "log_lines_dropped", "level": "warning", "lines": count}
    return json.dumps(line) + "\n"
