"""Load digests between builds of different age, and from a faulty sender."""

from __future__ import annotations

import struct
from unittest import mock

import msgpack
import pytest

from jujubewharf.endpoint_load import reports
from jujubewharf.endpoint_load import table
from jujubewharf.peers import codec
from jujubewharf.peers import counters
from jujubewharf.peers import load_messages
from jujubewharf.peers import messages

# Names of the platform's endpoints end in the time of their start.
NAME = "shop-api-0012@1764788123456"
MAX_FRAME_BYTES = 700


def _load(number: int) -> load_messages.EndpointLoad:
    return load_messages.EndpointLoad(
        f"{number:04d}-{NAME}", 6, 24, 6, 250, 480
    )


def _encode(message: messages.Message) -> bytes:
    return codec.encode(codec.Frame(codec.FrameKind.TELL, 0, message))


def _decode(fields: list[object]) -> load_messages.LoadDigest:
    body = msgpack.packb([int(codec.FrameKind.TELL), 0, 120, fields])
    message = codec.decode(body).message
    assert isinstance(message, load_messages.LoadDigest)
    return message


def test_digest_arrives_as_sent():
    loads = [_load(1), load_messages.EndpointLoad("s1", 0, 0, 8)]
    sent = load_messages.LoadDigest.from_loads(loads)
    received = codec.decode(codec.body_of(_encode(sent))).message
    assert received == sent
    assert list(received.loads()) == loads


def test_digest_is_bounded():
    """Each instance receives two of them per second on its control budget."""
    sent = load_messages.LoadDigest.from_loads(_load(n) for n in range(1_000))
    assert len(list(sent.loads())) == load_messages.MAX_DIGEST_LOADS
    assert len(_encode(sent)) <= MAX_FRAME_BYTES


def test_reader_takes_no_more_loads_than_a_digest_may_have():
    """The table of a follower must not grow with what a faulty leader sends."""
    many = [1] * 1_000
    names = [f"s{n}" for n in range(1_000)]
    received = _decode([names, many, many, many, many, many])
    assert len(list(received.loads())) == load_messages.MAX_DIGEST_LOADS


def test_columns_of_different_length_are_cut():
    received = _decode([["s1", "s2"], [1, 2], [0], [8, 8], [None, 100], [5, 5]])
    assert list(received.loads()) == [
        load_messages.EndpointLoad("s1", 1, 0, 8, None, 5)
    ]


@pytest.mark.parametrize(
    "fields",
    [
        [["s1"], ["many"], [0], [8], [None], [5]],
        [["s1"], [1.5], [0], [8], [None], [5]],
        [["s1"], [float("nan")], [0], [8], [None], [5]],
        [["s1"], [1], [0], [8], [None]],
        ["s1", 1, 0, 8, None, 5],
        [[7], [1], [0], [8], [None], [5]],
    ],
)
def test_malformed_digest_is_dropped(fields):
    with pytest.raises(codec.DroppedFrameError) as caught:
        _decode(fields)
    assert caught.value.reason is counters.DropReason.MALFORMED


@pytest.mark.parametrize(
    "load",
    [
        load_messages.EndpointLoad("s1", -1, 0, 8),
        load_messages.EndpointLoad("s1", 0, 2**40, 8),
        load_messages.EndpointLoad("s1", 0, 0, 0),
        load_messages.EndpointLoad("s1", 0, 0, 8, -250),
    ],
)
def test_invalid_report_of_another_instance_is_rejected(load):
    assert load.report() is None


def test_report_keeps_its_values():
    report = reports.LoadReport(3, 1, 8, 2.5)
    known = table.KnownLoad(report, 12.4)
    load = load_messages.EndpointLoad.from_known("s1", known)
    assert load == load_messages.EndpointLoad("s1", 3, 1, 8, 250, 12)
    assert load.report() == report


def test_older_build_drops_the_digest_and_keeps_the_stream():
    """An older build must not take the unknown message for a broken stream."""
    data = _encode(load_messages.LoadDigest.from_loads([_load(1)]))
    assert struct.unpack(">I", data[:4]) == (len(data) - 4,)
    with mock.patch.dict(messages.TYPE_OF_NUMBER):
        del messages.TYPE_OF_NUMBER[120]
        with pytest.raises(codec.DroppedFrameError) as caught:
            codec.decode(codec.body_of(data))
    assert caught.value.reason is counters.DropReason.UNKNOWN_MESSAGE
    assert caught.value.kind is codec.FrameKind.TELL
