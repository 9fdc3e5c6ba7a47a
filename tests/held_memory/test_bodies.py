"""Time and size limits of request bodies, on a virtual clock."""

from __future__ import annotations

import pytest

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.experiments import virtual_time
from jujubewharf.held_memory import bodies


class _Trickle:
    """An endless body that yields one byte after each pause."""

    def __init__(self, clock: clocks.Clock, pause_ms: float) -> None:
        self._clock = clock
        self._pause_ms = pause_ms

    async def read(self, n: int = -1) -> bytes:
        await self._clock.sleep_ms(self._pause_ms)
        return b"x"


def test_whole_body_has_one_timeout():
    """A slow body times out although each single read is fast enough."""

    async def main() -> float:
        clock = clocks.Clock()
        with pytest.raises(errors.WharfError) as caught:
            await bodies.read_body(
                _Trickle(clock, 900), clock, max_bytes=100, timeout_ms=10_000
            )
        assert caught.value.kind is errors.ErrorKind.SLOW_BODY
        return clock.now_ms()

    assert virtual_time.run(main()) == 10_000


def test_chunked_body_is_limited_by_chunk_timeout_and_size():
    async def main(pause_ms: float) -> tuple[errors.ErrorKind, int]:
        clock = clocks.Clock()
        content = _Trickle(clock, pause_ms)
        passed_bytes = 0
        with pytest.raises(errors.WharfError) as caught:
            async for chunk in bodies.iter_chunks(
                content, clock, max_bytes=100, timeout_ms=1_000
            ):
                passed_bytes += len(chunk)
        return caught.value.kind, passed_bytes

    assert virtual_time.run(main(900)) == (errors.ErrorKind.BODY_TOO_LARGE, 100)
    assert virtual_time.run(main(1_100)) == (errors.ErrorKind.SLOW_BODY, 0)
