"""Prints what the instances of some seeded histories send each other.

``python -m tests.message_traces`` prints a line for each history. Equal lines
under different values of ``PYTHONHASHSEED`` show that a seed fixes a history.
"""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import logging
from unittest import mock
import zlib

import structlog

from jujubewharf.experiments import virtual_time
from jujubewharf.peers import link as links
from tests import soak
from tests.forwarding import deployments
from tests.leadership import restored_histories
from tests.requests import claim_histories


class Trace:
    """Number and checksum of the messages that were sent."""

    def __init__(self) -> None:
        self._count = 0
        self._checksum = 0

    def __str__(self) -> str:
        return f"{self._count} messages, checksum {self._checksum:08x}"

    def add(self, peer: str, content: str) -> None:
        self._count += 1
        line = f"{peer} {content}".encode()
        self._checksum = zlib.crc32(line, self._checksum)


@contextlib.contextmanager
def traced() -> Iterator[Trace]:
    """Records all messages of links, in the order in which they are sent."""
    trace = Trace()
    tell, tell_encoded = links.Link.tell, links.Link.tell_encoded

    def traced_tell(self, message):
        trace.add(self.peer, type(message).__name__)
        return tell(self, message)

    def traced_tell_encoded(self, data):
        trace.add(self.peer, data.hex())
        return tell_encoded(self, data)

    with (
        mock.patch.object(links.Link, "tell", traced_tell),
        mock.patch.object(links.Link, "tell_encoded", traced_tell_encoded),
    ):
        yield trace


def main() -> None:
    logging.disable(logging.CRITICAL)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    with traced() as trace:
        history = restored_histories.History(1, 6)
        deployments.run(history.run(for_ms=12_000.0))
        print("store", trace)
    with traced() as trace:
        virtual_time.run(claim_histories.History(5).run())
        print("claims", trace)
    with traced() as trace:
        soak.run_seed(1)
        print("soak", trace)


if __name__ == "__main__":
    main()
