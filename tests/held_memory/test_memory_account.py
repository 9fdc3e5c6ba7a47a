"""The account of the memory that is held for callers, on a virtual clock."""

from __future__ import annotations

import asyncio

import pytest

from jujubewharf import clock as clocks
from jujubewharf import errors
from jujubewharf.experiments import virtual_time
from jujubewharf.held_memory import bodies
from jujubewharf.held_memory import memory_account

MB = 1_000_000
BOUND_BYTES = 16 * MB
SMALL_BYTES = 1_000


class _Body:
    """A body that comes in pieces with pauses."""

    def __init__(
        self, clock: clocks.Clock, sizes: list[int], pause_ms: float
    ) -> None:
        self._clock = clock
        self._sizes = sizes
        self._pause_ms = pause_ms

    async def read(self, n: int = -1) -> bytes:
        await self._clock.sleep_ms(self._pause_ms)
        return b"x" * self._sizes.pop(0) if self._sizes else b""


class _Play:
    """Requests that hold memory for a while."""

    def __init__(self) -> None:
        self.clock = clocks.Clock()
        self.held = memory_account.HeldMemory(
            self.clock, bound_bytes=BOUND_BYTES
        )
        self.refusals: list[errors.WharfError] = []
        self.peak_bytes = 0

    async def request(
        self,
        size_bytes: int,
        hold_ms: float,
        timeout_ms: float | None = None,
        *,
        is_for_peer: bool = False,
    ) -> float | None:
        """Returns how long the request waited; ``None`` if it was refused."""
        began_ms = self.clock.now_ms()
        with self.held.lease(timeout_ms, is_for_peer=is_for_peer) as lease:
            try:
                await lease.take(size_bytes)
            except errors.WharfError as error:
                self.refusals.append(error)
                return None
            waited_ms = self.clock.now_ms() - began_ms
            self.peak_bytes = max(self.peak_bytes, self.held.total_bytes)
            await self.clock.sleep_ms(hold_ms)
            return waited_ms

    async def body(
        self,
        sizes: list[int],
        pause_ms: float,
        *,
        is_size_told: bool = True,
        is_for_peer: bool = False,
    ) -> bytes:
        """Reads a body that comes in pieces."""
        expected_bytes = sum(sizes) if is_size_told else None
        with self.held.lease(None, is_for_peer=is_for_peer) as lease:
            if expected_bytes is not None:
                await lease.take(expected_bytes)
            body = await bodies.read_body(
                _Body(self.clock, list(sizes), pause_ms),
                self.clock,
                max_bytes=8 * MB,
                timeout_ms=15_000,
                lease=lease,
                expected_bytes=expected_bytes,
            )
            self.peak_bytes = max(self.peak_bytes, self.held.total_bytes)
            return body


def test_sum_stays_within_the_bound_and_all_is_given_back():
    async def main() -> _Play:
        play = _Play()
        await asyncio.gather(*(play.request(4 * MB, 500) for _ in range(30)))
        return play

    play = virtual_time.run(main())
    assert 0 < play.peak_bytes <= BOUND_BYTES
    assert play.held.total_bytes == 0
    assert all(e.kind is errors.ErrorKind.MEMORY_FULL for e in play.refusals)
    assert all(e.ran is errors.Ran.NO for e in play.refusals)
    assert all(e.retry_after_ms for e in play.refusals)


def test_what_fits_soon_waits_and_what_does_not_is_refused_at_once():
    async def main() -> tuple[list[float | None], float]:
        play = _Play()
        steady = [
            asyncio.ensure_future(play.request(3 * MB, 200 * (n + 1)))
            for n in range(5)
        ]
        await play.clock.sleep_ms(450)
        first = asyncio.ensure_future(play.request(8 * MB, 10))
        await play.clock.sleep_ms(1)
        began_ms = play.clock.now_ms()
        second = await play.request(12 * MB, 10)
        refused_after_ms = play.clock.now_ms() - began_ms
        waited = [await first, second]
        await asyncio.gather(*steady)
        return waited, refused_after_ms

    (first, second), refused_after_ms = virtual_time.run(main())
    assert first is not None and 0 < first <= memory_account.MAX_WAIT_MS
    assert second is None
    assert refused_after_ms == 0


# A small request never waits behind a large one, nor is it refused for it.
def test_small_requests_pass_while_large_ones_wait():
    async def main() -> list[float | None]:
        play = _Play()
        large = [
            asyncio.ensure_future(play.request(4 * MB, 400)) for _ in range(9)
        ]
        await play.clock.sleep_ms(50)
        small = [await play.request(SMALL_BYTES, 0) for _ in range(20)]
        await asyncio.gather(*large)
        return small

    assert virtual_time.run(main()) == [0.0] * 20


# The bound falls as the instance itself comes to need more.
def test_small_requests_pass_while_the_bound_falls_below_what_is_held():
    async def main() -> float | None:
        play = _Play()
        large = asyncio.ensure_future(play.request(14 * MB, 400))
        await play.clock.sleep_ms(50)
        play.held.bound_bytes = 8 * MB
        waited = await play.request(SMALL_BYTES, 0)
        await large
        return waited

    assert virtual_time.run(main()) == 0.0


def test_retry_after_fits_into_the_callers_time():
    async def main() -> errors.WharfError:
        play = _Play()
        full = asyncio.ensure_future(play.request(15 * MB, 2_000))
        await play.clock.sleep_ms(10)
        assert await play.request(4 * MB, 0, timeout_ms=900) is None
        await full
        return play.refusals[0]

    error = virtual_time.run(main())
    assert error.retry_after_ms is not None
    assert 0 < error.retry_after_ms <= 900 / 3


# A body that hardly arrives would keep its memory for the whole time limit.
def test_body_that_hardly_arrives_makes_room_for_others():
    async def main() -> tuple[object, float | None]:
        play = _Play()
        slow = asyncio.ensure_future(play.body([7 * MB] + [10] * 50, 200))
        fast = asyncio.ensure_future(play.body([100_000] * 60, 50))
        await play.clock.sleep_ms(1_000)
        waited = await play.request(6 * MB, 10)
        results = await asyncio.gather(slow, fast, return_exceptions=True)
        return results, waited

    (slow, fast), waited = virtual_time.run(main())
    assert isinstance(slow, errors.WharfError)
    assert slow.kind is errors.ErrorKind.MEMORY_FULL
    assert slow.ran is errors.Ran.NO and slow.retry_after_ms
    assert fast == b"x" * 6 * MB
    assert waited is not None


def test_slow_body_is_kept_while_nobody_needs_its_memory():
    async def main() -> bytes:
        return await _Play().body([MB] + [10] * 20, 600)

    assert len(virtual_time.run(main())) == MB + 200


# Bodies without a told size that grow side by side would all be refused
# halfway; the one of which least was read makes room for the others.
def test_growing_bodies_are_given_up_from_the_least_read():
    async def main() -> tuple[list[object], _Play]:
        play = _Play()
        tasks = []
        for _ in range(4):
            reading = play.body([64_000] * 90, 10, is_size_told=False)
            tasks.append(asyncio.ensure_future(reading))
            await play.clock.sleep_ms(100)
        return await asyncio.gather(*tasks, return_exceptions=True), play

    results, play = virtual_time.run(main())
    whole = [result for result in results if isinstance(result, bytes)]
    assert results[0] == b"x" * 64_000 * 90
    assert len(whole) >= 2
    assert play.peak_bytes <= BOUND_BYTES
    assert play.held.total_bytes == 0


def test_cancelled_requests_give_their_memory_back():
    async def main() -> memory_account.HeldMemory:
        play = _Play()
        tasks = [
            asyncio.ensure_future(play.request(4 * MB, 10_000))
            for _ in range(6)
        ]
        await play.clock.sleep_ms(100)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert await play.request(15 * MB, 0) == 0.0
        return play.held

    held = virtual_time.run(main())
    assert held.total_bytes == held.arrived_bytes == held.waiting_bytes == 0


@pytest.mark.parametrize("is_size_told", [True, False])
def test_body_is_whole(is_size_told):
    async def main() -> bytes:
        play = _Play()
        return await play.body([7, 64_000, 1], 1, is_size_told=is_size_told)

    assert virtual_time.run(main()) == b"x" * 64_008


# Calls for peers took the memory that own callers' bodies need.
def test_bodies_of_peers_have_a_part_of_the_memory_only():
    async def main() -> tuple[list[float | None], list[float | None]]:
        play = _Play()
        peers = [
            asyncio.ensure_future(play.request(2 * MB, 500, is_for_peer=True))
            for _ in range(8)
        ]
        await play.clock.sleep_ms(1)
        own = [
            asyncio.ensure_future(play.request(2 * MB, 500)) for _ in range(5)
        ]
        return await asyncio.gather(*peers), await asyncio.gather(*own)

    for_peers, own = virtual_time.run(main())
    assert 0 < sum(waited is not None for waited in for_peers) <= 2
    assert own == [0.0] * 5


# Small calls of a peer were refused beside its large ones.
def test_small_call_of_a_peer_is_taken_beside_large_ones():
    async def main() -> float | None:
        play = _Play()
        large = asyncio.ensure_future(
            play.request(4 * MB, 500, is_for_peer=True)
        )
        await play.clock.sleep_ms(1)
        waited = await play.request(SMALL_BYTES, 1, is_for_peer=True)
        await large
        return waited

    assert virtual_time.run(main()) == 0.0


# An own caller was refused while a peer's body arrived, which had not been sent
# on and could have been asked of another peer.
def test_body_of_a_peer_gives_way_while_it_arrives():
    async def main() -> tuple[float | None, BaseException | bytes]:
        play = _Play()
        own = [
            asyncio.ensure_future(play.request(5 * MB, 400)) for _ in range(2)
        ]
        arriving = asyncio.ensure_future(
            play.body([200_000] * 20, 100, is_for_peer=True)
        )
        await play.clock.sleep_ms(300)
        waited = await play.request(4 * MB, 10)
        (given_up,) = await asyncio.gather(arriving, return_exceptions=True)
        await asyncio.gather(*own)
        assert play.held.total_bytes == 0
        return waited, given_up

    waited, given_up = virtual_time.run(main())
    assert waited is not None and waited < 10.0
    assert isinstance(given_up, errors.WharfError)
    assert given_up.kind is errors.ErrorKind.MEMORY_FULL
