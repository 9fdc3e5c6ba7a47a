"""Response chunks do not depend on how the bytes were split."""

from __future__ import annotations

import json

import pytest

from jujubewharf.engines import client
from jujubewharf.engines import http


class _Content:
    def __init__(self, parts: list[bytes]) -> None:
        self._parts = parts

    async def iter_any(self):
        for part in self._parts:
            yield part


def _line(first_index: int, *tokens: str, is_last: bool = False) -> bytes:
    item = {"first_index": first_index, "tokens": tokens, "is_last": is_last}
    return json.dumps(item).encode() + b"\n"


LINES = [_line(0, "a"), _line(1, "b", "c"), _line(3, "é", is_last=True)]


async def _read(parts: list[bytes]) -> list[client.TokenChunk]:
    return [chunk async for chunk in http._chunks(_Content(parts))]


@pytest.mark.parametrize("size", [1, 7, 50, 10_000])
async def test_response_is_complete_for_any_part_size(size):
    data = b"".join(LINES)
    parts = [data[at : at + size] for at in range(0, len(data), size)]
    chunks = await _read(parts)
    assert [t for chunk in chunks for t in chunk.tokens] == list("abcé")
    assert [chunk.is_last for chunk in chunks][-1] is True
    next_index = 0
    for chunk in chunks:
        assert chunk.first_index == next_index
        next_index += len(chunk.tokens)


async def test_lines_received_together_form_one_chunk():
    chunks = await _read([b"".join(LINES)])
    assert chunks == [client.TokenChunk(0, ("a", "b", "c", "é"), True)]


async def test_gaps_and_repeats_start_a_new_chunk():
    gap = await _read([_line(0, "a") + _line(2, "c")])
    assert [chunk.first_index for chunk in gap] == [0, 2]
    repeat = await _read([_line(0, "a") + _line(0, "a")])
    assert [chunk.first_index for chunk in repeat] == [0, 0]


async def test_truncated_last_line_is_ignored():
    assert await _read([_line(0, "a")[:-3]]) == []
