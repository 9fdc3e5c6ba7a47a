"""Configurations in few bytes, for links that carry them to all followers.

Routes and accounts of one configuration look alike: 44 routes and 16 accounts
take 13 KB as they are and 3 KB packed. So a leader can send to all what each
of hundreds of followers would else read at the store, after every change.
"""

from __future__ import annotations

import zlib

from jujubewharf.peers import codec
from jujubewharf.peers import leader_messages


def pack(news: leader_messages.ConfigurationNews) -> bytes:
    """News with its configuration, packed."""
    frame = codec.Frame(codec.FrameKind.TELL, 0, news)
    return zlib.compress(codec.body_of(codec.encode(frame)))


def unpack(packed: bytes) -> leader_messages.ConfigurationNews | None:
    """What ``pack`` was given; ``None`` for anything else.

    What is unpacked is bounded, so that a few bytes can't fill the memory.
    """
    unpacking = zlib.decompressobj()
    try:
        body = unpacking.decompress(packed, codec.MAX_FRAME_BYTES)
        if unpacking.unconsumed_tail:
            return None
        message = codec.decode(body).message
    except (zlib.error, codec.DroppedFrameError):
        return None
    if not isinstance(message, leader_messages.ConfigurationNews):
        return None
    return message
