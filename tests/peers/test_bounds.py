"""Bounds of peer messages: what enters has them, what leaves can be encoded."""

from __future__ import annotations

import dataclasses
import math
import struct

import hypothesis
from hypothesis import strategies as st
import msgpack
import pytest

from jujubewharf.leadership import followers as _all_messages  # noqa: F401
from jujubewharf.peers import codec
from jujubewharf.peers import messages

MAX_FLOAT = 1e21
MAX_STRING = 262_144
EXAMPLES = 400

EDGES = [
    0,
    -1,
    2**31,
    2**63 - 1,
    2**64 - 1,
    -(2**63),
    1e308,
    -1e308,
    1e-320,
    math.nan,
    math.inf,
    -math.inf,
    "",
    "x" * (MAX_STRING + 1),
    b"",
    b"\xff",
    None,
    True,
    [],
    {},
    [None],
    [[]] * 40,
    {"a": 1},
]
edges = st.sampled_from(EDGES)
values = st.one_of(edges, st.lists(edges, max_size=3))


def _sound(hint: str):
    """Returns a value of the wire for a field's declared type."""
    for name, value in (
        ("tuple", []),
        ("dict", {}),
        ("str", "a"),
        ("bytes", b"a"),
        ("bool", False),
        ("int", 1),
        ("float", 1.0),
    ):
        if hint.startswith(name):
            return value
    return None


def _numbers_and_strings(value):
    match value:
        case bool() | None:
            pass
        case int() | float() | str():
            yield value
        case tuple() | list() | frozenset() | set():
            for item in value:
                yield from _numbers_and_strings(item)
        case dict():
            yield from _numbers_and_strings(list(value.items()))
        case _ if dataclasses.is_dataclass(value):
            for field in dataclasses.fields(value):
                yield from _numbers_and_strings(getattr(value, field.name))


def _is_bounded(value) -> bool:
    match value:
        case str():
            return len(value) <= MAX_STRING
        case int():
            return -(2**63) <= value < 2**64
        case _:
            return math.isfinite(value) and abs(value) <= MAX_FLOAT


# The derandomized seed is a digest of the function's source.
@hypothesis.settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(
    number=st.sampled_from(sorted(messages.TYPE_OF_NUMBER)),
    changes=st.lists(st.tuples(st.integers(0, 12), values), max_size=3),
)
def test_received_messages_are_bounded_and_can_be_sent_on(number, changes):
    """A number of a peer must not become infinite in sums of the receiver.

    A message whose fields lie outside the bounds is dropped and counted.
    """
    fields = dataclasses.fields(messages.TYPE_OF_NUMBER[number])
    sent = [_sound(str(field.type)) for field in fields]
    for at, value in changes:
        if sent:
            sent[at % len(sent)] = value
    body = msgpack.packb([codec.FrameKind.TELL, 0, number, sent])
    try:
        frame = codec.decode(body)
    except codec.DroppedFrameError:
        return
    assert all(map(_is_bounded, _numbers_and_strings(frame.message)))
    assert codec.decode(codec.body_of(codec.encode(frame))) == frame


@messages.message(9_399)
@dataclasses.dataclass(frozen=True, slots=True)
class Anything(messages.Message):
    number: int = 0
    text: str = ""
    share: float = 0.0


@pytest.mark.parametrize(
    "message",
    [
        Anything(2**64),
        Anything(-(2**63) - 1),
        Anything(10**400),
        Anything(text="\ud800"),
        Anything(text=object()),
    ],
)
def test_what_cant_be_encoded_is_one_kind_of_error(message):
    """Senders tell it from other failures, and drop this message only."""
    frame = codec.Frame(codec.FrameKind.TELL, 0, message)
    with pytest.raises(codec.UnencodableError):
        codec.encode(frame)


def test_largest_numbers_are_encoded():
    frame = codec.Frame(codec.FrameKind.TELL, 0, Anything(2**64 - 1))
    data = codec.encode(frame)
    (size,) = struct.unpack(">I", data[:4])
    assert size == len(codec.body_of(data))
    assert codec.decode(codec.body_of(data)) == frame
