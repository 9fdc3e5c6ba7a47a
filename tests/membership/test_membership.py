"""Membership: state of removed instances is dropped; listeners are called."""

from __future__ import annotations

from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import virtual_time

GENERATIONS = 12
FORGOTTEN_AFTER_MS = 150_000.0


def test_removed_instances_leave_no_state():
    """State of replaced instances must not accumulate (memory leak)."""

    async def run() -> None:
        bench = benches.Bench()
        for name in ("e1", "e2", "e3"):
            await bench.start_instance(name, "a")
        for generation in range(GENERATIONS):
            name = f"short-{generation}"
            await bench.start_instance(name, "a")
            await bench.clock.sleep_ms(5_000)
            bench.kill_instance(name)
            bench.remove_live_member(name)
        await bench.clock.sleep_ms(FORGOTTEN_AFTER_MS)
        core = bench.instances["e1"].core
        names = [member.instance for member in core.membership.members()]
        assert names == ["e1", "e2", "e3"]
        assert sorted(core.peers.known_peers()) == ["e2", "e3"]
        assert sorted(core.peers.peers_with_hello()) == ["e2", "e3"]
        assert len(core.facts.store) == 0
        assert core.facts.store.digest == 0
        detector = core.membership._failure_detector
        assert sorted(detector._known_since_ms) == ["e2", "e3"]
        assert not detector._published
        assert not detector._report_due_ms
        await bench.stop()

    virtual_time.run(run())


def test_listeners_are_notified_of_changes():
    async def run() -> None:
        bench = benches.Bench()
        await bench.start_instance("e1", "a")
        view = bench.instances["e1"].core.membership
        seen: list[tuple[str, ...]] = []
        view.listen(
            lambda: seen.append(tuple(m.instance for m in view.present()))
        )
        await bench.start_instance("e2", "a")
        await bench.clock.sleep_ms(3_000)
        bench.kill_instance("e2")
        await bench.clock.sleep_ms(3_000)
        assert ("e1", "e2") in seen
        assert seen[-1] == ("e1",)
        await bench.stop()

    virtual_time.run(run())
