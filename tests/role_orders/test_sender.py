"""Orders without an answer, and engines that a new leader asks."""

from __future__ import annotations

from tests.role_orders import fleets


def _names(fleet) -> list[str]:
    return [name for _, name, _ in fleet.orders]


def test_lost_order_is_sent_to_the_same_engine_again():
    """Another engine in its place would make two change if both are late."""

    async def check(fleet):
        for engine in fleet.engines.values():
            engine.loses_orders = 1
        await fleet.add("i1")
        fleet.leases["i1"].grant(1)
        await fleet.sleep_until(40_000.0)
        ordered = _names(fleet)
        assert len(set(ordered)) == 2
        assert len(ordered) == 4
        assert fleet.count(fleets.PREFILL) == 1

    fleets.run(check, prefill=3, decode=3)


def test_order_that_began_is_not_repeated():
    """The engine states that it is changing, so the order arrived."""

    async def check(fleet):
        for engine in fleet.engines.values():
            engine.loses_answers = 1
        await fleet.add("i1")
        fleet.leases["i1"].grant(1)
        await fleet.sleep_until(40_000.0)
        assert len(fleet.orders) == 2
        assert fleet.count(fleets.PREFILL) == 1

    fleets.run(check, prefill=3, decode=3)


def test_lost_order_is_not_reversed_before_its_end_is_known():
    """The order may be carried out after the one that would reverse it."""

    async def check(fleet):
        for engine in fleet.engines.values():
            engine.loses_answers = 3
            engine.late_ms = 8_000.0
        await fleet.add("i1")
        fleet.leases["i1"].grant(1)
        await fleet.sleep_until(4_000.0)
        first = len(fleet.orders)
        assert first == 2
        # Prompts are expensive now: all the engines are needed for prefill.
        fleet.costs = fleets.costs.FleetCosts(480.0, 48.0)
        await fleet.sleep_until(15_000.0)
        assert len(fleet.orders) == first

    fleets.run(check, prefill=3, decode=3)


def test_engines_are_asked_once_per_leadership_that_orders():
    """Calls to engines cost; only a leader that wants to order needs them."""

    async def check(fleet):
        await fleet.add("i1")
        fleet.leases["i1"].grant(2)
        await fleet.sleep_until(30_000.0)
        assert sorted(fleet.state_calls) == sorted(fleet.engines)
        fleet.state_calls.clear()
        fleet.leases["i1"].withdraw()
        await fleet.sleep_until(31_000.0)
        fleet.leases["i1"].grant(3)
        await fleet.sleep_until(60_000.0)
        assert fleet.state_calls == []

    fleets.run(check, prefill=3, decode=3)


def test_changing_engines_count_with_their_new_role():
    """A leader without any message must not order a second set away."""

    async def check(fleet):
        for name in ("g00", "g01"):
            fleet.begin(fleet.engines[name], fleets.DECODE)
        await fleet.add("i1", is_cut=True)
        fleet.leases["i1"].grant(2)
        await fleet.sleep_until(40_000.0)
        assert fleet.orders == []

    fleets.run(check, prefill=3, decode=3)


def test_first_leader_asks_no_engine():
    """A deployment without leader changes must make no further calls."""

    async def check(fleet):
        await fleet.add("i1")
        fleet.leases["i1"].grant(1)
        await fleet.sleep_until(30_000.0)
        assert fleet.count(fleets.PREFILL) == 1
        assert fleet.state_calls == []

    fleets.run(check, prefill=3, decode=3)
