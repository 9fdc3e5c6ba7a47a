"""A reader of the logs that stalls costs lines, not requests."""

from __future__ import annotations

import io
import threading

from jujubewharf.telemetry import line_writer


class Stalled(io.StringIO):
    """Stops every write until it is let go."""

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


def test_a_stalled_reader_stops_nobody_and_the_loss_is_counted():
    """Lines are lost while nobody reads, and their number is told later.

    Without the bound memory would grow; without the thread the event loop
    would stand still in the first write.
    """
    stream = Stalled()
    writer = line_writer.LineWriter(stream, max_waiting=10)
    for number in range(1_000):
        writer.write(f"{number}\n")
    stream.go_on.set()
    writer.write("last\n")
    writer.close()
    lines = stream.getvalue().splitlines()
    assert len(lines) < 50
    assert any('"log_lines_dropped"' in line for line in lines)
