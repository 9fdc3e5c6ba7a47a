"""Facts reach every instance, including those that the pushes missed."""

from __future__ import annotations

from jujubewharf import clock as clocks
from jujubewharf.experiments import bench as benches
from jujubewharf.experiments import virtual_time
from jujubewharf.membership import fact_store
from jujubewharf.membership import facts


async def _fleet(count: int, domains: int) -> benches.Bench:
    bench = benches.Bench()
    for number in range(count):
        await bench.start_instance(f"e{number:02}", f"d{number % domains}")
    await bench.clock.sleep_ms(8_000)
    return bench


def _count_knowing(bench: benches.Bench, subject: str) -> int:
    return sum(
        core.facts.get(facts.Topic.ENDPOINT_LEAVING, subject) is not None
        for core in (i.core for i in bench.instances.values())
    )


def test_facts_spread_in_seconds_and_expire():
    async def run() -> None:
        bench = await _fleet(24, 3)
        bench.instances["e05"].core.facts.publish(
            facts.Topic.ENDPOINT_LEAVING, "p1", version=1, ttl_ms=20_000
        )
        await bench.clock.sleep_ms(3_000)
        assert _count_knowing(bench, "p1") == 24
        await bench.clock.sleep_ms(21_000)
        assert _count_knowing(bench, "p1") == 0
        await bench.stop()

    virtual_time.run(run())


def test_partitioned_domain_syncs_after_healing():
    """A domain that misses all pushes of a fact receives it by digest sync."""

    async def run() -> None:
        bench = await _fleet(6, 2)
        bench.network.cut("d0", "d1")
        bench.instances["e00"].core.facts.publish(
            facts.Topic.ENDPOINT_LEAVING, "p1", version=1, ttl_ms=300_000
        )
        await bench.clock.sleep_ms(20_000)
        assert _count_knowing(bench, "p1") == 3
        bench.network.heal()
        await bench.clock.sleep_ms(12_000)
        assert _count_knowing(bench, "p1") == 6
        await bench.stop()

    virtual_time.run(run())


def test_higher_version_wins_in_any_order():
    async def run() -> None:
        store = fact_store.FactStore(clocks.Clock())
        newer = fact_store.Fact("t", "s", 2, "b", 1e9)
        assert store.add(newer)
        assert not store.add(fact_store.Fact("t", "s", 1, "z", 1e9))
        assert store.get("t", "s") == newer

    virtual_time.run(run())


def test_a_full_store_refuses_and_counts():
    async def run() -> None:
        store = fact_store.FactStore(clocks.Clock())
        for number in range(fact_store.MAX_FACTS + 3):
            store.add(fact_store.Fact("t", str(number), 1, "", 1e9))
        assert len(store) == fact_store.MAX_FACTS
        assert store.refused == 3

    virtual_time.run(run())
