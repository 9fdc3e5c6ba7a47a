"""Writes log lines in a background thread, so that no request waits.

Writing to standard output blocks when its reader stalls and the pipe is full.
Lines are queued; when the queue is full they are dropped, and the number of
dropped lines is logged once the reader continues.
"""

from __future__ import annotations

import collections
import json
import threading
from typing import TextIO

# Maximum number of queued lines: some seconds of lines at a few hundred per
# second, less than 2 MB.
MAX_QUEUED_LINES = 4_000
_CLOSE_TIMEOUT_S = 0.3


class LineWriter:
    """A text stream that never blocks its writers.

    Args:
        stream: The stream that the background thread writes to.
        max_queued: Maximum number of queued lines.

    Attributes:
        dropped: Number of dropped lines that has not been logged yet.
    """

    def __init__(
        self, stream: TextIO, *, max_queued: int = MAX_QUEUED_LINES
    ) -> None:
        self.dropped = 0
        self._stream = stream
        self._max_waiting = max_queued
        self._queue: collections.deque[str] = collections.deque()
        self._changed = threading.Condition()
        self._is_closed = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, line: str) -> int:
        """Queues a line, or drops it if the queue is full.

        Returns:
            Number of characters queued; 0 for a dropped line.
        """
        with self._changed:
            if len(self._queue) >= self._max_waiting:
                self.dropped += 1
                return 0
            self._queue.append(line)
            self._changed.notify()
        return len(line)

    def flush(self) -> None:
        """Does nothing; the background thread flushes after each write."""

    def close(self) -> None:
        """Writes the queued lines, with a short timeout."""
        with self._changed:
            self._is_closed = True
            self._changed.notify()
        self._thread.join(_CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._queue and not self._is_closed:
                    self._changed.wait()
                text = "".join(self._queue)
                self._queue.clear()
                dropped, self.dropped = self.dropped, 0
                is_last = self._is_closed
            if dropped:
                text += _dropped_line(dropped)
            try:
                self._stream.write(text)
                self._stream.flush()
            except (OSError, ValueError):
                # The reader has closed the stream, so this can't be logged.
                return
            if is_last:
                return


def _dropped_line(count: int) -> str:
    line = {"event": "log_lines_dropped", "level": "warning", "lines": count}
    return json.dumps(line) + "\n"
