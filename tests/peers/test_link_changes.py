"""Requests under way while links are idle, replaced or closed."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random

import pytest

from jujubewharf import clock as clocks
from jujubewharf.experiments import virtual_time
from jujubewharf.peers import link as link_module
from jujubewharf.peers import mesh as meshes
from jujubewharf.peers import messages
from jujubewharf.peers import network
from jujubewharf.peers import peer
from jujubewharf.standins import network as networks

TIMING = peer.Timing(heartbeat_ms=100.0, suspect_after_ms=350.0)
IDLE_TIMEOUT_MS = 10_000.0


@messages.message(9_311)
@dataclasses.dataclass(frozen=True, slots=True)
class Work(messages.Message):
    """Asks for a reply after a while."""

    for_ms: float


class Pair:
    """Two instances with links over a simulated network.

    Args:
        delay_ms: One-way delay between them.

    Attributes:
        clock: Clock of the simulation.
        lost: Faults of requests that got no reply, with their times.
        answered: Number of requests that got one.
    """

    def __init__(self, delay_ms: float) -> None:
        self.clock = clocks.Clock(wall_origin_ms=0.0)
        self.lost: list[tuple[float, str]] = []
        self.answered = 0
        links = networks.MemoryNetwork(
            self.clock, near_ms=delay_ms, far_ms=delay_ms
        )
        self.meshes = {
            name: meshes.PeerMesh(
                name, "a", self.clock, links.transport(name, "a"), timing=TIMING
            )
            for name in ("e1", "e2")
        }

    async def start(self, *, is_standing: bool) -> None:
        for mesh in self.meshes.values():
            mesh.handle(Work, self._work)
            await mesh.start()
        addresses = {n: m.address for n, m in self.meshes.items()}
        for name, mesh in self.meshes.items():
            others = {n: a for n, a in addresses.items() if n != name}
            mesh.set_addresses(others)
            if is_standing:
                mesh.set_standing_peers(others)

    async def stop(self) -> None:
        for mesh in self.meshes.values():
            await mesh.stop()

    async def _work(self, sender: str, message: Work) -> Work:
        await self.clock.sleep_ms(message.for_ms)
        return message

    async def ask(self, name: str, for_ms: float) -> None:
        """Sends a request from an instance to the other one."""
        other = "e2" if name == "e1" else "e1"
        try:
            await self.meshes[name].ask(
                other, Work(for_ms), timeout_ms=for_ms + 2_000.0
            )
            self.answered += 1
        except network.PeerError as error:
            self.lost.append((self.clock.now_ms(), str(error)))

    def replace_links(self, *names: str) -> None:
        """Does what a change of TLS keys does at some instances."""
        for name in names:
            self.meshes[name].replace_links()


def run(scenario, *, is_standing=False, delay_ms=0.5):
    async def main():
        pair = Pair(delay_ms)
        await pair.start(is_standing=is_standing)
        await scenario(pair)
        await pair.stop()
        return pair

    return virtual_time.run(main())


@pytest.mark.parametrize("idle_ms", range(600, 3_000, 170))
@pytest.mark.parametrize("name", ["e1", "e2"])
def test_slow_reply_arrives_on_a_link_that_was_idle(idle_ms, name):
    """The idle time counted as silence, and the link was closed as dead."""

    async def scenario(pair):
        await pair.ask("e1", 0.0)
        await pair.clock.sleep_ms(idle_ms)
        await pair.ask(name, 300.0)

    pair = run(scenario)
    assert (pair.lost, pair.answered) == ([], 2)


@pytest.mark.parametrize("is_standing", [False, True])
@pytest.mark.parametrize("ends", [("e1",), ("e2",), ("e1", "e2")])
@pytest.mark.parametrize("name", ["e1", "e2"])
@pytest.mark.parametrize("between_ms", [0.0, 1.0, 40.0, 700.0])
def test_request_under_way_survives_key_changes(
    is_standing, ends, name, between_ms
):
    """Certificate, key and authority are replaced one after the other.

    A poll between them replaces the links more than once, at either end, while
    a request waits for its reply.
    """

    async def scenario(pair):
        await pair.ask("e1", 0.0)
        await pair.clock.sleep_ms(1_500.0)
        asked = asyncio.ensure_future(pair.ask(name, 2_500.0))
        for _ in range(3):
            await pair.clock.sleep_ms(between_ms)
            for end in ends:
                pair.replace_links(end)
                await pair.clock.sleep_ms(between_ms / 4)
        await asked

    pair = run(scenario, is_standing=is_standing)
    assert (pair.lost, pair.answered) == ([], 2)


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("is_standing", [False, True])
@pytest.mark.parametrize("delay_ms", [0.5, 15.0])
def test_no_request_is_lost_while_keys_change(seed, is_standing, delay_ms):
    """A link that was replaced was closed as the other end sent a request."""
    rng = random.Random(seed)

    async def send_all(pair, name):
        asked = []
        for _ in range(400):
            await pair.clock.sleep_ms(rng.choice((1.0, 3.0, 20.0, 120.0)))
            for_ms = rng.choice((0.0, 0.0, 5.0, 300.0))
            asked.append(asyncio.ensure_future(pair.ask(name, for_ms)))
        await asyncio.gather(*asked)

    async def change_keys(pair):
        while True:
            await pair.clock.sleep_ms(rng.choice((0.5, 30.0, 400.0, 2_500.0)))
            pair.replace_links(rng.choice(("e1", "e2")))

    async def scenario(pair):
        changing = asyncio.ensure_future(change_keys(pair))
        await asyncio.gather(send_all(pair, "e1"), send_all(pair, "e2"))
        changing.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await changing

    pair = run(scenario, is_standing=is_standing, delay_ms=delay_ms)
    assert (pair.lost, pair.answered) == ([], 800)


@pytest.mark.parametrize("name", ["e1", "e2"])
def test_request_that_crosses_the_end_of_an_idle_link_is_answered(name):
    """The end that dialled closed it just as the other one sent a request."""

    async def scenario(pair):
        for offset_ms in range(-50, 150, 4):
            await pair.ask("e1", 0.0)
            await pair.clock.sleep_ms(IDLE_TIMEOUT_MS + offset_ms)
            await pair.ask(name, 50.0)

    pair = run(scenario, delay_ms=15.0)
    assert (pair.lost, pair.answered) == ([], 100)


def test_replaced_keys_are_used_no_more_after_a_while():
    """Revoked keys stayed in use on links that are busy all the time."""

    async def scenario(pair):
        await pair.ask("e1", 0.0)
        (old,) = pair.meshes["e1"]._peers.get("e2").links
        pair.replace_links("e1", "e2")
        for _ in range(700):
            asked = asyncio.ensure_future(pair.ask("e1", 250.0))
            await pair.clock.sleep_ms(100.0)
        await asked
        assert old.is_closed

    pair = run(scenario)
    assert pair.lost == []


def test_reply_arrives_long_after_the_limit_of_old_keys():
    """The end that gave the link up sent no heartbeats, and seemed dead."""

    async def scenario(pair):
        await pair.ask("e1", 0.0)
        pair.replace_links("e1")
        for _ in range(12):
            await pair.clock.sleep_ms(4_900.0)
            await pair.ask("e2", 0.0)
        await pair.ask("e2", 4_000.0)
        assert pair.clock.now_ms() > 62_000.0

    pair = run(scenario)
    assert (pair.lost, pair.answered) == ([], 14)


def test_peer_can_not_keep_a_link_that_was_finished(monkeypatch):
    """A peer whose keys were revoked went on with the old link for ever."""
    is_busy = property(lambda self: True)
    monkeypatch.setattr(link_module.Link, "is_busy", is_busy)

    async def scenario(pair):
        await pair.ask("e1", 0.0)
        (old,) = pair.meshes["e1"]._peers.get("e2").links
        pair.replace_links("e1")
        await pair.clock.sleep_ms(75_000.0)
        assert old.is_closed

    run(scenario)
