"""The log writer drops lines rather than block when its reader stalls."""

from __future__ import annotations

import io
import threading

from jujubewharf.telemetry import line_writer


class Stalled(io.StringIO):
    """A stream that blocks each write until ``go_on`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.go_on = threading.Event()

    def write(self, text: str) -> int:
        self.go_on.wait(10)
        return super().write(text)


def test_lines_are_written_in_order():
    stream = io.StringIO()
    writer = line_writer.LineWriter(stream)
    for number in range(1_000):
        writer.write(f"{number}\n")
    writer.close()
    assert stream.getvalue().split() == [str(n) for n in range(1_000)]


def test_stalled_reader_drops_lines_without_blocking():
    """A stalled reader neither blocks writers nor lets the queue grow.

    The number of dropped lines is logged once the reader continues.
    """
    stream = Stalled()
    writer = line_writer.LineWriter(stream, max_queued=10)
    for number in range(1_000):
        writer.write(f"{number}\n")
    stream.go_on.set()
    writer.write("last\n")
    writer.close()
    lines = stream.getvalue().splitlines()
    assert len(lines) < 50
    assert any('"log_lines_dropped"' in line for line in lines)
