"""Links between instances: requests, dialling on demand, failed peers."""

from __future__ import annotations

import dataclasses

import pytest

from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import virtual_time
from jujubewharf.peers import counters
from jujubewharf.peers import messages
from jujubewharf.peers import network


@messages.message(9_001)
@dataclasses.dataclass(frozen=True, slots=True)
class Question(messages.Message):
    text: str
    parts: tuple[int, ...] = ()


@messages.message(9_002)
@dataclasses.dataclass(frozen=True, slots=True)
class Answer(messages.Message):
    text: str


async def _bench(*instances: tuple[str, str]) -> benches.Bench:
    bench = benches.Bench()
    for name, domain in instances:
        instance = await bench.start_instance(name, domain)
        instance.core.peers.handle(Question, _answer)
    await bench.clock.sleep_ms(5_000)
    return bench


async def _answer(peer: str, question: Question) -> Answer:
    return Answer(f"{peer}:{question.text}")


def test_requests_reach_the_named_peer():
    async def run() -> None:
        bench = await _bench(("e1", "a"), ("e2", "a"), ("e3", "b"))
        mesh = bench.instances["e1"].core.peers
        answered = counters.AskOutcome.ANSWERED
        # Starting the bench has already sent requests on these links.
        before = mesh.counts.asks[answered]
        for peer in ("e1", "e2", "e3"):
            answer = await mesh.ask(
                peer, Question("q", (1, 2)), timeout_ms=1_000
            )
            assert answer == Answer("e1:q")
        assert mesh.counts.asks[answered] - before == 3
        assert not mesh.counts.drops
        await bench.stop()

    virtual_time.run(run())


def test_all_instances_see_each_other():
    async def run() -> None:
        bench = await _bench(("e1", "a"), ("e2", "a"), ("e3", "b"))
        for instance in bench.instances.values():
            view = instance.core.membership
            assert [m.instance for m in view.present()] == ["e1", "e2", "e3"]
        await bench.stop()

    virtual_time.run(run())


def test_a_dead_peer_is_unreachable_and_suspected_at_once():
    """Requests to a dead peer must fail at once, before the list drops it."""

    async def run() -> None:
        bench = await _bench(("e1", "a"), ("e2", "a"))
        e1 = bench.instances["e1"].core
        bench.kill_instance("e2")
        await bench.clock.sleep_ms(1_200)
        assert e1.membership.is_suspected("e2")
        with pytest.raises(network.PeerError) as caught:
            await e1.peers.ask("e2", Question("q"), timeout_ms=1_000)
        assert caught.value.fault is network.PeerFault.UNREACHABLE
        await bench.stop()

    virtual_time.run(run())


def test_on_demand_links_are_closed_when_idle():
    """Redialling closed on-demand links would grow to a link for every pair."""

    async def run() -> None:
        names = [(f"e{n:02}", f"d{n % 6}") for n in range(18)]
        bench = await _bench(*names)
        meshes = {n: i.core.peers for n, i in bench.instances.items()}
        await bench.clock.sleep_ms(30_000)
        others = [n for n in meshes if n not in meshes["e00"].linked_peers()]
        other = next(n for n in others if n != "e00")
        sent = bench.network.bytes_sent["e00"]
        await meshes["e00"].ask(other, Question("q"), timeout_ms=1_000)
        assert meshes["e00"].contact(other).is_linked
        assert bench.network.bytes_sent["e00"] > sent
        for _ in range(40):
            await bench.clock.sleep_ms(1_000)
            linked = meshes["e00"].contact(other).is_linked
        assert not linked
        for mesh in meshes.values():
            assert mesh.link_count() == len(mesh.linked_peers())
        await bench.stop()

    virtual_time.run(run())
