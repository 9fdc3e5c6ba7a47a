"""Bodies of requests to engines are sent without a copy."""

from __future__ import annotations

import asyncio

from jujubewharf.engines import body_payload


class _Writer:
    """Records the sizes of what is written."""

    def __init__(self) -> None:
        self.data = b""
        self.sizes: list[int] = []

    async def write(self, chunk) -> None:
        self.sizes.append(len(chunk))
        self.data += bytes(chunk)


# Written at once, what the engine hasn't read is copied and held twice.
def test_body_is_written_in_pieces():
    body = bytes(range(256)) * 1_000
    writer = _Writer()
    payload = body_payload.BodyPayload(body)
    asyncio.run(payload.write(writer))
    assert writer.data == body
    assert payload.size == len(body)
    assert len(writer.sizes) > 1
    assert max(writer.sizes) <= 65_536


def test_body_may_be_written_again():
    writer = _Writer()
    payload = body_payload.BodyPayload(b"body")
    asyncio.run(payload.write(writer))
    asyncio.run(payload.write(writer))
    assert writer.data == b"bodybody"
    assert payload.decode() == "body"
