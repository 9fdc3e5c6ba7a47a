"""Event streams are split at event boundaries, however the bytes arrive."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies
import pytest

from jujubewharf.forwarding import events

STREAM = b"id: 1\ndata: a\n\n: comment\n\nid: 2\ndata: b\ndata: c\n\n"


@given(strategies.lists(strategies.integers(0, len(STREAM)), max_size=6))
def test_any_split_gives_the_same_events(cuts):
    places = [0, *sorted(cuts), len(STREAM)]
    splitter = events.EventSplitter()
    found = [
        event
        for start, end in itertools.pairwise(places)
        for event in splitter.feed(STREAM[start:end])
    ]
    assert [event.number for event in found] == [1, None, 2]
    assert b"".join(event.data for event in found) == STREAM
    assert not splitter.has_partial


def test_incomplete_event_is_buffered():
    splitter = events.EventSplitter()
    found = splitter.feed(b"id: 7\ndata: x\n\nid: 8\nda")
    assert [event.number for event in found] == [7]
    assert splitter.has_partial


# What was left of an event was kept without a bound, and split again with each
# part that arrived.
def test_event_without_an_end_is_bounded():
    splitter = events.EventSplitter(max_bytes=100)
    assert splitter.feed(b"id: 1\n\n" + b"x" * 100)
    with pytest.raises(events.EventTooLargeError):
        splitter.feed(b"x")


@pytest.mark.parametrize(
    ("text", "number"),
    [
        (b"7", 7),
        (b" 12 ", 12),
        (b"9" * 15, 10**15 - 1),
        (b"9" * 16, None),
        (b"9" * 5_000, None),
        (b"-1", None),
        (b"", None),
        (b"\xb2", None),
    ],
)
def test_event_ids_of_any_size(text, number):
    """One of more than 4,300 digits failed its stream as an internal error."""
    (event,) = events.EventSplitter().feed(b"id:" + text + b"\n\n")
    assert event.number == number
